"""One member's side: when to ask for a ticket, and whether the one that came may still be used. Pure.

Told: the view of the board and the time on its own clock. The last check is the board's: ``Go`` is written
only if ticket, plan and epoch stand as they were seen, so that a halt, a new coordinator or a ticket taken
back comes before it or after it, never between.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from sabledyke.errors import StaleTicketError
from sabledyke.rollout.planner import Move, near, wanted
from sabledyke.rollout.records import EPOCH, Ask, Plan, Ticket, View, key


@dataclass(slots=True, frozen=True)
class Asked:
    """What was asked last, and when, on this member's clock: before it was written."""

    plan: str
    number: int
    at: float


@dataclass(slots=True)
class Participant:
    """What one life of a member knows; ``valid`` ms after it asked a ticket is too old to use."""

    name: str
    life: int
    valid: float = 10_000.0
    asked: Asked | None = None
    numbers: int = 0

    def step(self, seen: View, now: float) -> Move | None:
        """The next thing to write: an ask, a ticket given back, or that it goes
        (``Move.what`` is ``GOES``).
        """
        me, ticket = seen.members.get(self.name), seen.tickets.get(self.name)
        if me is None or me.life != self.life:
            return None
        if ticket is not None:
            if ticket.going:
                return None  # spent: by this life, which leaves, or a former one, which the coordinator sees
            try:
                self._judge(ticket, seen, now)
            except StaleTicketError as fault:
                self.asked = None
                return Move(str(fault), ends=(key(ticket),), expects=((key(ticket), ticket.offset),))
            rests = (key(ticket), f"plan/{ticket.plan}", EPOCH)
            return Move(GOES, (replace(ticket, going=True),), expects=tuple((k, seen.at(k)) for k in rests))
        plan = next((p for p in seen.active if self.name in wanted(p)), None)
        if plan is None:
            self.asked = None
        elif me not in near(plan, seen):
            return None  # others come first, and an ask would only cross the coordinator
        elif self.asked is None or self.asked.plan != plan.name or now - self.asked.at > self.valid / 2:
            return self._ask(plan, now)
        return None

    def gone(self, seen: View) -> Ticket | None:
        """The ticket that this life has said to go by, and is to leave by now.

        Guards against that word's answer being lost: it stands on the board, and nobody else may use it.
        """
        ticket = seen.tickets.get(self.name)
        mine = ticket is not None and ticket.going and ticket.life == self.life and not ticket.settings
        return ticket if mine else None

    def due(self, seen: View) -> Ticket | None:
        """New settings that this member, or a former life, is to take on, and has not said how it went."""
        ticket = seen.tickets.get(self.name)
        due = ticket is not None and ticket.settings and ticket.going and not ticket.took
        return ticket if due else None

    def in_turn(self, seen: View) -> bool:
        """This life began as a former one went out by a ticket: no more begin at once than may be out."""
        ticket = seen.tickets.get(self.name)
        return ticket is not None and ticket.going and ticket.life < self.life and not ticket.settings

    def unfinished(self, seen: View, version: str) -> Ticket | None:
        """A ticket that a former life used, and after which this one started as another version than it says.

        Guards against a death between its word that it goes and the file that tells which version to start.
        """
        ticket = seen.tickets.get(self.name) if self.in_turn(seen) else None
        return ticket if ticket is not None and ticket.to not in ("", version) else None

    def _ask(self, plan: Plan, now: float) -> Move:
        """Time counts from here: the grant may be long on its way."""
        self.numbers += 1
        self.asked = Asked(plan.name, self.numbers, now)
        return Move(f"{self.name} asks to go out", (Ask(self.name, plan.name, self.life, self.numbers),))

    def _judge(self, ticket: Ticket, seen: View, now: float) -> None:
        """A StaleTicket where it may not be used: it is given back, and asked for anew."""
        asked, plan = self.asked, seen.plans.get(ticket.plan)
        if asked is None or ticket.number != asked.number or ticket.life != self.life:
            raise StaleTicketError(f"{self.name}: the ticket answers an earlier ask")
        if now - asked.at > self.valid:
            raise StaleTicketError(
                f"{self.name}: the ticket came {now - asked.at:.0f} ms after it was asked for"
            )
        if seen.epoch is None or ticket.token != seen.epoch.token:
            raise StaleTicketError(
                f"{self.name}: the ticket is under token {ticket.token}, which is no longer in force"
            )
        if plan is None or self.name not in wanted(plan):
            raise StaleTicketError(f"{self.name}: plan {ticket.plan} does not go on")


GOES = "goes out"
