"""A member's decisions on tickets: when to request one, and whether a granted one may still be used. Pure.

The participant gets the view of the log and the time on its own clock. The log makes the last check: the use
of a ticket is written only if ticket, plan and epoch are unchanged since they were read. A halt, a new
coordinator or a withdrawn ticket therefore takes effect either before or after the use, never in between.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from sabledyke.errors import StaleTicketError
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.record_codec import key_of
from sabledyke.rollout.records import EPOCH_KEY, Plan, Ticket, TicketRequest
from sabledyke.rollout.release_order import next_members, remaining_members
from sabledyke.rollout.state_changes import StateChange

GOES_OUT = "goes out"
"""``StateChange.description`` of the change by which a member uses its ticket."""


@dataclass(slots=True, frozen=True)
class SentRequest:
    """The last request, with the time on this member's clock before it was written."""

    plan: str
    request_number: int
    sent_at_ms: float


@dataclass(slots=True)
class Participant:
    """Decides for one incarnation of a member.

    Attributes:
        name: The member's name.
        incarnation: The member's incarnation.
        request_validity_ms: Maximum time from a request to the use of its ticket.
        last_request: The request without an answer yet, if any.
        last_request_number: Number of the last request of this incarnation, 0 for none.
    """

    name: str
    incarnation: int
    request_validity_ms: float = 10_000.0
    last_request: SentRequest | None = None
    last_request_number: int = 0

    def step(self, view: FleetView, now_ms: float) -> StateChange | None:
        """Return the next change: a request, an unused ticket's return, or a ticket's use (``GOES_OUT``)."""
        member = view.members.get(self.name)
        if member is None or member.incarnation != self.incarnation:
            return None
        ticket = view.tickets.get(self.name)
        if ticket is not None:
            return self._use_or_return(ticket, view, now_ms)
        plan = next((plan for plan in view.active if self.name in remaining_members(plan)), None)
        if plan is None:
            self.last_request = None
            return None
        if member not in next_members(plan, view):
            return None  # others go first; a request would only conflict with the coordinator's changes
        if self._has_recent_request(plan, now_ms):
            return None
        return self._request(plan, now_ms)

    def used_ticket(self, view: FleetView) -> Ticket | None:
        """Return the ticket that this incarnation has used and must now leave by.

        The answer to that write may have been lost. The log holds the use in any case, and no other process
        may use the ticket.
        """
        ticket = view.tickets.get(self.name)
        if ticket is None or not ticket.used or ticket.settings:
            return None
        return ticket if ticket.incarnation == self.incarnation else None

    def due_settings(self, view: FleetView) -> Ticket | None:
        """Return a used ticket for new settings whose result this member has not written yet.

        The ticket may have been used by an earlier incarnation.
        """
        ticket = view.tickets.get(self.name)
        if ticket is None or not ticket.settings or not ticket.used:
            return None
        return None if ticket.settings_result else ticket

    def replaces_released(self, view: FleetView) -> bool:
        """Return whether an earlier incarnation left by a ticket, so that a budget limits this start."""
        ticket = view.tickets.get(self.name)
        if ticket is None or not ticket.used or ticket.settings:
            return False
        return ticket.incarnation < self.incarnation

    def unfinished(self, view: FleetView, version: str) -> Ticket | None:
        """Return the ticket of an earlier incarnation, if this one runs another version than its target.

        The earlier one may have crashed after using its ticket and before writing the version file.
        """
        if not self.replaces_released(view):
            return None
        ticket = view.tickets[self.name]
        return ticket if ticket.target not in ("", version) else None

    def _use_or_return(self, ticket: Ticket, view: FleetView, now_ms: float) -> StateChange | None:
        if ticket.used:
            return None  # this incarnation leaves by it, or the coordinator ends that of an earlier one
        key = key_of(ticket)
        try:
            self._check_usable(ticket, view, now_ms)
        except StaleTicketError as fault:
            self.last_request = None
            return StateChange(str(fault), deleted_keys=(key,), expected_offsets=((key, ticket.offset),))
        conditions = (key, f"plan/{ticket.plan}", EPOCH_KEY)
        return StateChange(
            GOES_OUT,
            (replace(ticket, used=True),),
            expected_offsets=tuple((name, view.offset_of(name)) for name in conditions),
        )

    def _has_recent_request(self, plan: Plan, now_ms: float) -> bool:
        request = self.last_request
        if request is None or request.plan != plan.name:
            return False
        return now_ms - request.sent_at_ms <= self.request_validity_ms / 2

    def _request(self, plan: Plan, now_ms: float) -> StateChange:
        """Return a new request, whose age counts from now, as the write and the grant may be delayed."""
        self.last_request_number += 1
        self.last_request = SentRequest(plan.name, self.last_request_number, now_ms)
        request = TicketRequest(self.name, plan.name, self.incarnation, self.last_request_number)
        return StateChange(f"{self.name} asks to go out", (request,))

    def _check_usable(self, ticket: Ticket, view: FleetView, now_ms: float) -> None:
        """Raise StaleTicketError if the ticket must be returned unused and requested again."""
        request = self.last_request
        if (
            request is None
            or ticket.request_number != request.request_number
            or ticket.incarnation != self.incarnation
        ):
            raise StaleTicketError(f"{self.name}: the ticket answers an earlier request")
        age_ms = now_ms - request.sent_at_ms
        if age_ms > self.request_validity_ms:
            raise StaleTicketError(
                f"{self.name}: the ticket came {age_ms:.0f} ms after its request, too late"
            )
        if view.epoch is None or ticket.token != view.epoch.token:
            raise StaleTicketError(
                f"{self.name}: the ticket is under token {ticket.token}, which is no longer in force"
            )
        plan = view.plans.get(ticket.plan)
        if plan is None or self.name not in remaining_members(plan):
            raise StaleTicketError(f"{self.name}: plan {ticket.plan} no longer releases this member")
