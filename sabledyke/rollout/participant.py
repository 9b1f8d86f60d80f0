"""One member's side: when to request a ticket, and whether a granted one may still be used. Pure.

The participant gets the view of the log and the time on its own clock. The last check is the log's: the use
of a ticket is written only if ticket, plan and epoch stand as they were seen, so that a halt, a new
coordinator or a withdrawn ticket comes before it or after it, never between.
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
"""``Move.description`` of the move by which a member uses its ticket."""


@dataclass(slots=True, frozen=True)
class SentRequest:
    """The last request, and when it was made on this member's clock: before it was written."""

    plan: str
    request_number: int
    sent_at_ms: float


@dataclass(slots=True)
class Participant:
    """What one incarnation of a member knows.

    Attributes:
        name: The member's name.
        incarnation: Its incarnation.
        request_validity_ms: A ticket that was granted later than this after its request is not used.
        last_request: The request that waits for its answer.
        last_request_number: Number of the last request of this incarnation, 0 for none.
    """

    name: str
    incarnation: int
    request_validity_ms: float = 10_000.0
    last_request: SentRequest | None = None
    last_request_number: int = 0

    def step(self, view: FleetView, now_ms: float) -> StateChange | None:
        """Return the next move: a request, a ticket given back, or the use of one (``GOES_OUT``)."""
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
            return None  # others come first, and a request would only cross the coordinator's moves
        if self._has_recent_request(plan, now_ms):
            return None
        return self._request(plan, now_ms)

    def used_ticket(self, view: FleetView) -> Ticket | None:
        """Return the ticket that this incarnation has used, and is to leave by now.

        The answer to that write may have been lost: the use stands on the log, and nobody else may use the
        ticket.
        """
        ticket = view.tickets.get(self.name)
        if ticket is None or not ticket.used or ticket.settings:
            return None
        return ticket if ticket.incarnation == self.incarnation else None

    def due_settings(self, view: FleetView) -> Ticket | None:
        """Return a used ticket for new settings whose result this member has not written yet.

        A former incarnation may have used it.
        """
        ticket = view.tickets.get(self.name)
        if ticket is None or not ticket.settings or not ticket.used:
            return None
        return None if ticket.settings_result else ticket

    def replaces_released(self, view: FleetView) -> bool:
        """Return whether a former incarnation went out by a ticket, so that a budget bounds this start."""
        ticket = view.tickets.get(self.name)
        if ticket is None or not ticket.used or ticket.settings:
            return False
        return ticket.incarnation < self.incarnation

    def unfinished(self, view: FleetView, version: str) -> Ticket | None:
        """Return the ticket of a former incarnation after which this one started as another version.

        The former one may have died between using its ticket and writing the file that says which version to
        start.
        """
        if not self.replaces_released(view):
            return None
        ticket = view.tickets[self.name]
        return ticket if ticket.target not in ("", version) else None

    def _use_or_return(self, ticket: Ticket, view: FleetView, now_ms: float) -> StateChange | None:
        if ticket.used:
            return None  # by this incarnation, which leaves, or by a former one, as the coordinator sees
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
        """Return a new request; its age counts from here, as the grant may be long on its way."""
        self.last_request_number += 1
        self.last_request = SentRequest(plan.name, self.last_request_number, now_ms)
        request = TicketRequest(self.name, plan.name, self.incarnation, self.last_request_number)
        return StateChange(f"{self.name} asks to go out", (request,))

    def _check_usable(self, ticket: Ticket, view: FleetView, now_ms: float) -> None:
        """Raise StaleTicketError where the ticket may not be used: it is given back, and requested anew."""
        request = self.last_request
        if (
            request is None
            or ticket.request_number != request.request_number
            or ticket.incarnation != self.incarnation
        ):
            raise StaleTicketError(f"{self.name}: the ticket answers an earlier ask")
        age_ms = now_ms - request.sent_at_ms
        if age_ms > self.request_validity_ms:
            raise StaleTicketError(f"{self.name}: the ticket came {age_ms:.0f} ms after it was asked for")
        if view.epoch is None or ticket.token != view.epoch.token:
            raise StaleTicketError(
                f"{self.name}: the ticket is under token {ticket.token}, which is no longer in force"
            )
        plan = view.plans.get(ticket.plan)
        if plan is None or self.name not in remaining_members(plan):
            raise StaleTicketError(f"{self.name}: plan {ticket.plan} does not go on")
