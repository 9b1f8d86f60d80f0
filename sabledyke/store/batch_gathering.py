"""Gathers what waits for the database into batches, and takes back what a failed batch did not write.

Owns the findings of drift (at most ``MAX_PENDING_DRIFTS``); the intents and settlements are the
``IntentTable``'s, the entries the ``JournalQueue``'s.
"""

from __future__ import annotations

from sabledyke.store import audit_journal
from sabledyke.store.intent_table import IntentTable
from sabledyke.store.journal_queue import JournalQueue
from sabledyke.store.types import DriftFinding, JournalPosition, RecordBatch

MAX_PENDING_DRIFTS = 64  # findings of drift that may wait for a batch
FORGET_INTERVAL_MS = 1000.0  # between batches that also delete writes past their retention


class BatchGatherer:
    """Makes the batches of one instance.

    Args:
        instance: The name under which this scheduler records.
        limit: How many entries, intents and settlements a batch may hold of each.
        retention_ms: For how long the database retains writes.
        writes: Where the intents and settlements wait.
        journal: Where the entries wait.

    Attributes:
        drifts: Findings of drift that no batch has taken.
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
        self._forgot_at_ms = 0.0

    def on_drift(self, drift: DriftFinding) -> None:
        """Queue a finding of drift; beyond the bound it is dropped."""
        if len(self.drifts) < MAX_PENDING_DRIFTS:
            self.drifts.append(drift)

    def gather(self, now_ms: float, position: JournalPosition) -> RecordBatch:
        """Take up to a batch's worth of what waits, to be written from this position on."""
        pending = self._journal.take(self._limit)
        entries = [each.entry for each in pending]
        after, hashes = audit_journal.extend_chain(position, self._instance, entries)
        batch = RecordBatch(position, after, entries=entries, hashes=hashes)
        batch.intents = self._writes.take_intents(self._limit)
        completed = [each.settlement for each in pending]
        batch.settled = self._writes.take_settlements(self._limit, completed, batch.intents)
        batch.drifts = self.drifts
        self.drifts = []
        if now_ms - self._forgot_at_ms >= FORGET_INTERVAL_MS:
            self._forgot_at_ms = now_ms
            batch.forget_before_ms = now_ms - self._retention_ms
        return batch

    def requeue(self, batch: RecordBatch) -> None:
        """Put the entries and findings of a batch that failed back to the front."""
        self._journal.requeue()
        self.drifts = (batch.drifts + self.drifts)[:MAX_PENDING_DRIFTS]

    def drop_written(self, batch: RecordBatch) -> None:
        """Drop the entries and findings of a requeued batch that took effect after all."""
        self._journal.drop_written(len(batch.entries))
        del self.drifts[: len(batch.drifts)]
