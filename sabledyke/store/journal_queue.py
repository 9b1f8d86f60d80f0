"""The queue of unwritten journal entries, and the served answers that wait for them.

Decides which answers may be passed on, and which outcome the journal records for the others. Accesses neither
a database nor a clock. The manager rejects writes beyond the backlog, so the queue exceeds the backlog by at
most the number of open requests.
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
        settlement: The state to record in the same batch, if any.
        ticket: The number of the served answer that waits for the entry, if any.
        deadline_ms: Time at which that answer fails if the entry is not durable.
    """

    entry: JournalEntry
    settlement: Settlement | None
    ticket: int | None = None
    deadline_ms: float = 0.0


class JournalQueue:
    """Entries in the order in which they are appended to the journal.

    Attributes:
        corrections: Number of entries that correct an earlier one whose answer was not passed on.
    """

    def __init__(self) -> None:
        self._queued: deque[PendingEntry] = deque()
        self._in_flight: list[PendingEntry] = []
        self.corrections = 0

    def __len__(self) -> int:
        """Return the number of entries that are not part of the batch in flight."""
        return len(self._queued)

    @property
    def unwritten(self) -> int:
        """Number of entries that are not known to be in the journal."""
        return len(self._queued) + len(self._in_flight)

    def append(self, pending: PendingEntry) -> None:
        """Append an entry to the queue."""
        self._queued.append(pending)

    def take(self, limit: int) -> list[PendingEntry]:
        """Move up to ``limit`` entries into the batch in flight, and return them."""
        self._in_flight = [self._queued.popleft() for _ in range(min(limit, len(self._queued)))]
        return self._in_flight

    def on_committed(self) -> list[Effect]:
        """Return effects that pass on the answers whose entries were committed."""
        effects: list[Effect] = [
            CompleteWrite(pending.ticket, journaled=True)
            for pending in self._in_flight
            if pending.ticket is not None
        ]
        self._in_flight = []
        return effects

    def requeue(self) -> None:
        """Put the entries of a failed batch back at the front of the queue."""
        self._queued.extendleft(reversed(self._in_flight))
        self._in_flight = []

    def drop_written(self, count: int) -> None:
        """Drop the first ``count`` entries of the queue, which were committed after all."""
        for _ in range(count):
            self._queued.popleft()

    def expire(self, now_ms: float) -> list[Effect]:
        """Fail the answers whose deadlines have passed."""
        waiting = self._waiting_for_answer()
        return [self._fail_answer(pending) for pending in waiting if now_ms >= pending.deadline_ms]

    def fail_all_waiting(self) -> list[Effect]:
        """Fail all answers that wait for their entries."""
        return [self._fail_answer(pending) for pending in self._waiting_for_answer()]

    def _waiting_for_answer(self) -> list[PendingEntry]:
        return [pending for pending in (*self._in_flight, *self._queued) if pending.ticket is not None]

    def _fail_answer(self, pending: PendingEntry) -> CompleteWrite:
        """Answer ``failed`` and set the entry's outcome, or append a correction if it is in flight.

        Guards against an answer that waits for its entry past its deadline or throughout a stall.
        """
        ticket = pending.ticket
        assert ticket is not None
        pending.ticket = None
        corrected = replace(pending.entry, outcome=OUTCOME_UNCONFIRMED)
        # An entry in flight may already be in the journal as served.
        if any(other is pending for other in self._in_flight):
            self._queued.append(PendingEntry(corrected, pending.settlement))
            self.corrections += 1
        else:
            pending.entry = corrected
        return CompleteWrite(ticket, journaled=False)
