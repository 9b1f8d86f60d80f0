"""The canonical form of a ticket model state: ranks replace offsets, incarnations and request numbers."""

from __future__ import annotations

from typing import Any

from sabledyke.rollout.records import Member, Record, Ticket, TicketRequest
from sabledyke.testbed.offset_ranks import OffsetRanks, mentioned_records
from sabledyke.testbed.state_updates import ranks
from sabledyke.testbed.ticket_model.state import NO_REQUEST, Instance, TicketState


def canonical(state: TicketState) -> TicketState:
    """Return the state that represents all states in which these numbers have the same order."""
    state_ranks = _TicketRanks(state)
    instances = tuple(
        state_ranks.instance(f"n{index}", instance) for index, instance in enumerate(state.instances)
    )
    return state_ranks.state(state, instances)


class _TicketRanks(OffsetRanks):
    """Ranks of offsets, and of the incarnations and request numbers of each member."""

    def __init__(self, state: TicketState) -> None:
        super().__init__(state)
        incarnations: dict[str, set[int]] = {}
        request_numbers: dict[str, set[int]] = {}
        for index, instance in enumerate(state.instances):
            name = f"n{index}"
            incarnations[name] = {instance.incarnation}
            request_numbers[name] = {NO_REQUEST, instance.request_number, instance.last_request_number}
        for record in mentioned_records(state):
            if isinstance(record, Member | TicketRequest | Ticket):
                incarnations[record.name].add(record.incarnation)
            if isinstance(record, TicketRequest | Ticket):
                request_numbers[record.name].add(record.request_number)
        self._incarnations = {name: ranks(used, first=1) for name, used in incarnations.items()}
        self._request_numbers = {name: ranks(used) for name, used in request_numbers.items()}

    def ranked_fields(self, record: Record) -> dict[str, Any]:
        fields = super().ranked_fields(record)
        if isinstance(record, Member | TicketRequest | Ticket):
            fields["incarnation"] = self._incarnations[record.name][record.incarnation]
        if isinstance(record, TicketRequest | Ticket):
            fields["request_number"] = self._request_numbers[record.name][record.request_number]
        return fields

    def instance(self, name: str, instance: Instance) -> Instance:
        """Return the instance with ranks in place of its numbers."""
        request_numbers = self._request_numbers[name]
        return instance._replace(
            incarnation=self._incarnations[name][instance.incarnation],
            request_number=request_numbers[instance.request_number],
            last_request_number=request_numbers[instance.last_request_number],
            pending=self.change(instance.pending),
        )
