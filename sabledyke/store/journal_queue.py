"""The journal entries that are still to be written, and the served answers that wait for them.

Decides which answers may be passed on, and what the journal says of those that may not. Knows neither a
database nor a clock. Bounds: the manager accepts no writes beyond the backlog, so that the queue exceeds it
by no more than the requests that are open.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace

from sabledyke.store.effects import CompleteWrite, Effect
from sabledyke.store.types import OUTCOME_UNCONFIRMED, JournalEntry, Settlement


@dataclass(slots=True, eq=False)
class PendingEntry:
    """An entry that no batch has written yet.

    Attributes:
        entry: The entry.
        settlement: The state to record with it, if any.
        ticket: The served answer that waits for it, if any.
        deadline_ms: When that answer is given up.
    """

    entry: JournalEntry
    settlement: Settlement | None
    ticket: int | None = None
    deadline_ms: float = 0.0


class JournalQueue:
    """Entries in the order in which they will stand in the journal."""

    def __init__(self) -> None:
        self._queued: deque[PendingEntry] = deque()
        self._in_flight: list[PendingEntry] = []
        self.corrections = 0  # entries that say an earlier one's answer was not passed on

    def __len__(self) -> int:
        """Return the number of entries that no batch has taken."""
        return len(self._queued)

    @property
    def unwritten(self) -> int:
        """Entries that are not in the journal yet, as far as is known."""
        return len(self._queued) + len(self._in_flight)

    def append(self, pending: PendingEntry) -> None:
        """Queue an entry."""
        self._queued.append(pending)

    def take(self, limit: int) -> list[PendingEntry]:
        """Move up to ``limit`` entries into the batch in flight, and return them."""
        self._in_flight = [self._queued.popleft() for _ in range(min(limit, len(self._queued)))]
        return self._in_flight

    def on_committed(self) -> list[Effect]:
        """Pass on the answers whose entries are in the journal now."""
        effects: list[Effect] = [
            CompleteWrite(pending.ticket, journaled=True)
            for pending in self._in_flight
            if pending.ticket is not None
        ]
        self._in_flight = []
        return effects

    def requeue(self) -> None:
        """Put the entries of a batch that failed back to the front."""
        self._queued.extendleft(reversed(self._in_flight))
        self._in_flight = []

    def drop_written(self, count: int) -> None:
        """Drop the first entries of the queue: they are in the journal after all."""
        for _ in range(count):
            self._queued.popleft()

    def expire(self, now_ms: float) -> list[Effect]:
        """Give up the answers that have waited past their deadlines."""
        waiting = self._waiting_for_answer()
        return [self._give_up(pending) for pending in waiting if now_ms >= pending.deadline_ms]

    def give_up(self) -> list[Effect]:
        """Give up all answers that wait."""
        return [self._give_up(pending) for pending in self._waiting_for_answer()]

    def _waiting_for_answer(self) -> list[PendingEntry]:
        return [pending for pending in (*self._in_flight, *self._queued) if pending.ticket is not None]

    def _give_up(self, pending: PendingEntry) -> CompleteWrite:
        """Answer ``failed``; the journal says so, if need be by a further entry.

        Guards against an answer that waits past its deadline, or longer than a stall, for its entry.
        """
        ticket = pending.ticket
        assert ticket is not None
        pending.ticket = None
        corrected = replace(pending.entry, outcome=OUTCOME_UNCONFIRMED)
        if any(other is pending for other in self._in_flight):  # it may be in the journal as served by now
            self._queued.append(PendingEntry(corrected, pending.settlement))
            self.corrections += 1
        else:
            pending.entry = corrected
        return CompleteWrite(ticket, journaled=False)
