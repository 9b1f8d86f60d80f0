"""Gathers pending intents, entries and findings into batches, and queues those of failed batches again.

Owns the findings of drift (at most ``MAX_PENDING_DRIFTS``). ``IntentTable`` owns the intents and settlements,
``JournalQueue`` the entries.
"""

from __future__ import annotations

from sabledyke.store import audit_journal
from sabledyke.store.intent_table import IntentTable
from sabledyke.store.journal_queue import JournalQueue
from sabledyke.store.types import DriftFinding, JournalPosition, RecordBatch

MAX_PENDING_DRIFTS = 64  # findings of drift that may wait for a batch
DELETION_INTERVAL_MS = 1000.0  # time between batches that also delete writes past their retention


class BatchGatherer:
    """Gathers the batches of one instance.

    Args:
        instance: The name under which this scheduler records.
        limit: Maximum number of entries, of intents and of settlements in a batch.
        retention_ms: Time for which the database retains writes.
        writes: The pending intents and settlements.
        journal: The pending entries.

    Attributes:
        drifts: Findings of drift that are not part of a batch yet.
    """

    def __init__(
        self, instance: str, limit: int, retention_ms: float, writes: IntentTable, journal: JournalQueue
    ) -> None:
        self.drifts: list[DriftFinding] = []
        self._instance = instance
        self._limit = limit
        self._retention_ms = retention_ms
        self._writes = writes
        self._journal = journal
        self._deleted_at_ms = 0.0

    def on_drift(self, drift: DriftFinding) -> None:
        """Queue a finding of drift; beyond the bound it is dropped."""
        if len(self.drifts) < MAX_PENDING_DRIFTS:
            self.drifts.append(drift)

    def gather(self, now_ms: float, position: JournalPosition) -> RecordBatch:
        """Return a batch of the oldest pending items, which starts at this position."""
        pending = self._journal.take(self._limit)
        entries = [each.entry for each in pending]
        after, hashes = audit_journal.extend_chain(position, self._instance, entries)
        batch = RecordBatch(position, after, entries=entries, hashes=hashes)
        batch.intents = self._writes.take_intents(self._limit)
        completed = [each.settlement for each in pending]
        batch.settled = self._writes.take_settlements(self._limit, completed, batch.intents)
        batch.drifts = self.drifts
        self.drifts = []
        if now_ms - self._deleted_at_ms >= DELETION_INTERVAL_MS:
            self._deleted_at_ms = now_ms
            batch.delete_before_ms = now_ms - self._retention_ms
        return batch

    def requeue(self, batch: RecordBatch) -> None:
        """Put the entries and findings of a failed batch back at the front of their queues."""
        self._journal.requeue()
        self.drifts = (batch.drifts + self.drifts)[:MAX_PENDING_DRIFTS]

    def drop_written(self, batch: RecordBatch) -> None:
        """Drop the entries and findings of a requeued batch that was committed after all."""
        self._journal.drop_written(len(batch.entries))
        del self.drifts[: len(batch.drifts)]
