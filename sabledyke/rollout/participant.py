"""One member's side: when to ask for a ticket, and whether the one that came may still be used. Pure.

Told: the view of the board and the time on its own clock. The last check is the board's: ``Go`` is written
only if ticket, plan and epoch stand as they were seen, so that a halt, a new coordinator or a ticket taken
back comes before it or after it, never between.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from sabledyke.errors import StaleTicket
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.planner import Move, next_members, remaining_members
from sabledyke.rollout.record_codec import key_of
from sabledyke.rollout.records import EPOCH_KEY, Plan, Ticket, TicketRequest


@dataclass(slots=True, frozen=True)
class SentRequest:
    """What was asked last, and when, on this member's clock: before it was written."""

    plan: str
    request_number: int
    sent_at_ms: float


@dataclass(slots=True)
class Participant:
    """What one life of a member knows; ``valid`` ms after it asked a ticket is too old to use."""

    name: str
    incarnation: int
    request_validity_ms: float = 10_000.0
    last_request: SentRequest | None = None
    last_request_number: int = 0

    def step(self, seen: FleetView, now: float) -> Move | None:
        """The next thing to write: an ask, a ticket given back, or that it goes
        (``Move.what`` is ``GOES``).
        """
        me, ticket = seen.members.get(self.name), seen.tickets.get(self.name)
        if me is None or me.incarnation != self.incarnation:
            return None
        if ticket is not None:
            if ticket.used:
                return None  # spent: by this life, which leaves, or a former one, which the coordinator sees
            try:
                self._judge(ticket, seen, now)
            except StaleTicket as fault:
                self.last_request = None
                return Move(
                    str(fault),
                    deleted_keys=(key_of(ticket),),
                    expected_offsets=((key_of(ticket), ticket.offset),),
                )
            rests = (key_of(ticket), f"plan/{ticket.plan}", EPOCH_KEY)
            return Move(
                GOES_OUT,
                (replace(ticket, used=True),),
                expected_offsets=tuple((k, seen.offset_of(k)) for k in rests),
            )
        plan = next((p for p in seen.active if self.name in remaining_members(p)), None)
        if plan is None:
            self.last_request = None
        elif me not in next_members(plan, seen):
            return None  # others come first, and an ask would only cross the coordinator
        elif (
            self.last_request is None
            or self.last_request.plan != plan.name
            or now - self.last_request.sent_at_ms > self.request_validity_ms / 2
        ):
            return self._ask(plan, now)
        return None

    def used_ticket(self, seen: FleetView) -> Ticket | None:
        """The ticket that this life has said to go by, and is to leave by now.

        Guards against that word's answer being lost: it stands on the board, and nobody else may use it.
        """
        ticket = seen.tickets.get(self.name)
        mine = (
            ticket is not None
            and ticket.used
            and ticket.incarnation == self.incarnation
            and not ticket.settings
        )
        return ticket if mine else None

    def due_settings(self, seen: FleetView) -> Ticket | None:
        """New settings that this member, or a former life, is to take on, and has not said how it went."""
        ticket = seen.tickets.get(self.name)
        due = ticket is not None and ticket.settings and ticket.used and not ticket.settings_result
        return ticket if due else None

    def replaces_released(self, seen: FleetView) -> bool:
        """This life began as a former one went out by a ticket: no more begin at once than may be out."""
        ticket = seen.tickets.get(self.name)
        return (
            ticket is not None
            and ticket.used
            and ticket.incarnation < self.incarnation
            and not ticket.settings
        )

    def unfinished(self, seen: FleetView, version: str) -> Ticket | None:
        """A ticket that a former life used, and after which this one started as another version than it says.

        Guards against a death between its word that it goes and the file that tells which version to start.
        """
        ticket = seen.tickets.get(self.name) if self.replaces_released(seen) else None
        return ticket if ticket is not None and ticket.target not in ("", version) else None

    def _ask(self, plan: Plan, now: float) -> Move:
        """Time counts from here: the grant may be long on its way."""
        self.last_request_number += 1
        self.last_request = SentRequest(plan.name, self.last_request_number, now)
        return Move(
            f"{self.name} asks to go out",
            (TicketRequest(self.name, plan.name, self.incarnation, self.last_request_number),),
        )

    def _judge(self, ticket: Ticket, seen: FleetView, now: float) -> None:
        """A StaleTicket where it may not be used: it is given back, and asked for anew."""
        asked, plan = self.last_request, seen.plans.get(ticket.plan)
        if (
            asked is None
            or ticket.request_number != asked.request_number
            or ticket.incarnation != self.incarnation
        ):
            raise StaleTicket(f"{self.name}: the ticket answers an earlier ask")
        if now - asked.sent_at_ms > self.request_validity_ms:
            raise StaleTicket(
                f"{self.name}: the ticket came {now - asked.sent_at_ms:.0f} ms after it was asked for"
            )
        if seen.epoch is None or ticket.token != seen.epoch.token:
            raise StaleTicket(
                f"{self.name}: the ticket is under token {ticket.token}, which is no longer in force"
            )
        if plan is None or self.name not in remaining_members(plan):
            raise StaleTicket(f"{self.name}: plan {ticket.plan} does not go on")


GOES_OUT = "goes out"
