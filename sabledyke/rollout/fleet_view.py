"""View of all current records of the fleet's topic, from which coordinators and members decide."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from sabledyke.compacted_log.records import Message
from sabledyke.rollout.record_codec import decode
from sabledyke.rollout.records import (
    ACTIVE_STAGES,
    EPOCH_KEY,
    Drain,
    DrainAcknowledgement,
    Epoch,
    Member,
    Plan,
    Record,
    Ticket,
    TicketRequest,
)


@dataclass(slots=True)
class FleetView:
    """Records by name, as of all offsets below ``next_offset``."""

    next_offset: int = 1
    members: dict[str, Member] = field(default_factory=dict)
    plans: dict[str, Plan] = field(default_factory=dict)
    requests: dict[str, TicketRequest] = field(default_factory=dict)
    tickets: dict[str, Ticket] = field(default_factory=dict)
    drains: dict[str, Drain] = field(default_factory=dict)
    acknowledgements: dict[str, DrainAcknowledgement] = field(default_factory=dict)
    epoch: Epoch | None = None

    @property
    def active(self) -> list[Plan]:
        """Plans in progress, ordered by name."""
        return [plan for _, plan in sorted(self.plans.items()) if plan.stage in ACTIVE_STAGES]

    def offset_of(self, key: str) -> int:
        """Return the offset of the record under a key, 0 if there is none."""
        if key == EPOCH_KEY:
            return self.epoch.offset if self.epoch else 0
        kind, _, name = key.partition("/")
        tables: Mapping[str, Mapping[str, Record]] = {
            "member": self.members,
            "plan": self.plans,
            "ask": self.requests,
            "ticket": self.tickets,
            "drain": self.drains,
            "clear": self.acknowledgements,
        }
        found = tables[kind].get(name)
        return found.offset if found is not None else 0

    def put(self, record: Record) -> None:
        """Store a record in place of the previous one under its key."""
        match record:
            case Member():
                self.members[record.name] = record
            case Plan():
                self.plans[record.name] = record
            case TicketRequest():
                self.requests[record.name] = record
            case Ticket():
                self.tickets[record.name] = record
            case Drain():
                self.drains[record.name] = record
            case DrainAcknowledgement():
                self.acknowledgements[record.name] = record
            case Epoch():
                self.epoch = record


def view_of(state: Mapping[str, Message], next_offset: int) -> FleetView:
    """Return the view of a reader's state, without records of kinds that this version does not know."""
    view = FleetView(next_offset)
    for message in state.values():
        record = decode(message)
        if record is not None:
            view.put(record)
    return view
