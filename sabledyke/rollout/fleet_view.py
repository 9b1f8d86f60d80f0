"""All records of the fleet's topic that hold at one offset."""

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
    """All that holds, up to before ``next``; what a coordinator or a member decides by."""

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
        """Plans under which somebody may go out, the oldest name first."""
        return [plan for _, plan in sorted(self.plans.items()) if plan.stage in ACTIVE_STAGES]

    def offset_of(self, name: str) -> int:
        """Where a key stands; 0 where it holds nothing."""
        kind, _, rest = name.partition("/")
        if name == EPOCH_KEY:
            return self.epoch.offset if self.epoch else 0
        tables: Mapping[str, Mapping[str, Record]] = {
            "member": self.members,
            "plan": self.plans,
            "ask": self.requests,
            "ticket": self.tickets,
            "drain": self.drains,
            "clear": self.acknowledgements,
        }
        found = tables[kind].get(rest)
        return found.offset if found is not None else 0

    def put(self, record: Record) -> None:
        """It holds from now on."""
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


def view_of(state: Mapping[str, Message], next_: int) -> FleetView:
    """From a reader's state."""
    made = FleetView(next_)
    for message in state.values():
        if (record := decode(message)) is not None:
            made.put(record)
    return made
