"""The decisions about the record of sends and the receipt journal of one instance.

Decides what the next transaction contains, which attempts are sent, wait, expire or are blocked, and which
served answers may be passed on. Each call returns the effects that the driver (``recording_transport``)
carries out. Accesses neither a database, a socket nor the scheduler: callers pass the time, in Unix
milliseconds, and the seed.

``IntentManager`` owns the position and the batch in flight; ``IntentTable`` owns the writes and their
attempts, ``JournalQueue`` the entries, ``BatchGatherer`` the findings of drift, and ``StoreHealth`` the
state of the store.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from sabledyke.policy.settings import RequestClass
from sabledyke.store.batch_gathering import BatchGatherer
from sabledyke.store.database_errors import DatabaseError, DatabaseErrorKind
from sabledyke.store.effects import AttemptId, CompleteWrite, Effect, ExpireAttempt, LogLine
from sabledyke.store.health import HealthState, StoreHealth, StoreLimits
from sabledyke.store.intent_table import IntentTable
from sabledyke.store.journal_queue import JournalQueue, PendingEntry
from sabledyke.store.types import (
    OUTCOME_SERVED,
    OUTCOME_UNCONFIRMED,
    DriftFinding,
    Intent,
    JournalEntry,
    JournalPosition,
    RecordBatch,
    RecordedWrite,
    SendRecord,
    Settlement,
)

MAX_CONFLICTS = 3  # consecutive conflicts with other transactions that are retried without a stall


class IntentManager:
    """The record of one instance; ``on_opened`` must be called first.

    Attributes:
        instance: The name under which this scheduler records.
        limits: The limits of the store.
        health: The state of the store.
        position: The last known position of the journal.
        batch_in_flight: The batch that is being written, if any.
        position_unknown: True if the position must be read again before the next batch.
    """

    def __init__(self, instance: str, limits: StoreLimits, seed: int, retention_ms: float) -> None:
        self.instance = instance
        self.limits = limits
        self.health = StoreHealth(limits, seed)
        self.position = JournalPosition(0)
        self.batch_in_flight: RecordBatch | None = None
        self.position_unknown = False
        self._uncertain_batch: RecordBatch | None = None  # a batch with unknown outcome
        self._writes = IntentTable()
        self._journal = JournalQueue()
        self._gatherer = BatchGatherer(instance, limits.batch, retention_ms, self._writes, self._journal)
        self._conflicts = 0  # consecutive batches that were rolled back because of a conflict

    def on_opened(
        self,
        position: JournalPosition,
        recent: Iterable[tuple[str, RecordedWrite]],
        retain_until_ms: float,
    ) -> None:
        """Start from the position of a record that was opened.

        Args:
            position: The position at which this incarnation begins.
            recent: Earlier writes that may still be repeated, by name.
            retain_until_ms: Time until which these writes stay in memory.
        """
        self.position = position
        self._writes.load(recent, retain_until_ms)

    # Queries by the driver.

    def accepts_writes(self) -> bool:
        """Return True if a keyed write may be accepted now."""
        return (
            self.health.accepts_writes and len(self._journal) + self._writes.unrecorded < self.limits.backlog
        )

    def earlier_send(self, name: str) -> SendRecord | None:
        """Return the first send of a write that may have run; None if none is in memory."""
        return self._writes.earlier_send(name)

    @property
    def has_pending_work(self) -> bool:
        """True if anything waits for the database."""
        return self._needs_batch or self._writes.has_waiting_attempts or self.batch_in_flight is not None

    @property
    def needs_polling(self) -> bool:
        """True if timer ticks are needed: something waits, or a stall has not ended."""
        if self.health.state is HealthState.FENCED:
            return False
        return self.has_pending_work or not self.health.accepts_writes

    @property
    def unwritten_entries(self) -> int:
        """Number of entries that are not in the journal yet."""
        return self._journal.unwritten

    @property
    def corrections(self) -> int:
        """Number of entries that correct an earlier one whose answer was not passed on."""
        return self._journal.corrections

    @property
    def size(self) -> int:
        """Number of entries in all tables, for checks of the memory bounds."""
        return self._writes.size + len(self._journal) + len(self._gatherer.drifts)

    # Events of writes and attempts.

    def on_attempt(
        self,
        now_ms: float,
        attempt: AttemptId,
        name: str,
        send: SendRecord,
        deadline_ms: float,
        request_class: RequestClass,
    ) -> list[Effect]:
        """Pass an attempt to ``IntentTable.on_attempt``, or expire it while writes are rejected."""
        if not self.accepts_writes():
            return [ExpireAttempt(attempt)]
        return self._writes.on_attempt(now_ms, attempt, name, send, deadline_ms, request_class)

    def on_attempt_cancelled(self, attempt: AttemptId) -> bool:
        """Cancel an attempt; return True if it was still waiting and so was never sent."""
        return self._writes.on_attempt_cancelled(attempt)

    def on_attempt_completed(self, name: str, *, may_have_run: bool) -> None:
        """Record the end of an attempt that was sent."""
        self._writes.on_attempt_completed(name, may_have_run=may_have_run)

    def on_write_completed(
        self, name: str, entry: JournalEntry, ticket: int | None, deadline_ms: float = 0.0
    ) -> list[Effect]:
        """Queue the journal entry of a keyed write that received its final answer.

        Args:
            name: The name under which the write is recorded.
            entry: The entry.
            ticket: For a served write, the number of the answer that waits until the entry is durable.
            deadline_ms: Time at which that answer fails if the entry is not durable.
        """
        state = self._writes.on_write_completed(name, served=entry.outcome == OUTCOME_SERVED)
        settlement = Settlement(name, state) if state is not None else None
        if ticket is not None and not self.health.accepts_writes:
            self._journal.append(PendingEntry(replace(entry, outcome=OUTCOME_UNCONFIRMED), settlement))
            return [CompleteWrite(ticket, journaled=False)]
        self._journal.append(PendingEntry(entry, settlement, ticket, deadline_ms))
        return []

    def on_drift(self, drift: DriftFinding) -> None:
        """Queue a finding of drift; beyond the bound it is dropped, as the driver has logged it."""
        self._gatherer.on_drift(drift)

    def fail_pending_answers(self) -> list[Effect]:
        """Fail all served answers that wait for their journal entries, because the program ends."""
        return self._journal.fail_all_waiting()

    def on_tick(self, now_ms: float) -> list[Effect]:
        """Expire attempts and fail answers past their deadlines, or all of them if a batch stalls."""
        effects: list[Effect] = []
        if self.health.on_tick(now_ms):
            stall = f"the database has not answered for {self.limits.stall_ms:.0f} ms"
            effects.append(LogLine(f"{stall}; keyed writes are rejected"))
            effects += self._fail_all_waiting(self.batch_in_flight)
        effects += self._writes.expire(now_ms)
        effects += self._journal.expire(now_ms)
        return effects

    # Batches.

    def next_batch(self, now_ms: float) -> RecordBatch | None:
        """Return the next batch to write; None if there is none, or none may be written now."""
        if self.batch_in_flight is not None or self.position_unknown:
            return None
        if not self.health.may_start_batch(now_ms):
            return None
        is_trial = self.health.state is HealthState.STALLED
        if not (self._needs_batch or is_trial):
            return None
        self.batch_in_flight = self._gatherer.gather(now_ms, self.position)
        self.health.on_batch_began(now_ms)
        return self.batch_in_flight

    def on_batch_committed(
        self, now_ms: float, accepted: set[str], existing: Mapping[str, RecordedWrite]
    ) -> list[Effect]:
        """Apply the results of a committed batch.

        Args:
            now_ms: The time.
            accepted: Names of the intents that were recorded.
            existing: Writes found in the record in place of the other intents, by name.
        """
        batch = self._end_batch()
        self.position = batch.after
        self._conflicts = 0
        effects: list[Effect] = []
        stalled_ms = self.health.on_batch_committed(now_ms)
        if stalled_ms:
            effects.append(
                LogLine(f"the database answers again after {stalled_ms:.0f} ms; keyed writes are accepted")
            )
        effects += self._journal.on_committed()
        self._writes.on_recorded(batch.intents, accepted, existing)
        effects += self._writes.release_waiting(now_ms)
        self._writes.drop_not_awaited(batch.intents)
        self._writes.evict(now_ms)
        return effects

    def on_batch_failed(self, now_ms: float, error: DatabaseError) -> list[Effect]:
        """Handle a batch that did not take effect, or whose outcome is unknown."""
        batch = self._end_batch()
        self._writes.restore_settlements(batch.settled)
        if self._is_retryable_conflict(error):
            self._conflicts += 1
            self._writes.restore_intents(batch.intents)
            self._gatherer.requeue(batch)
            self.health.allow_immediate_retry()
            return []
        self.position_unknown = True  # the position is read from the database before the next batch
        effects = self._begin_stall(now_ms, error)
        if error.uncertain:
            self._uncertain_batch = batch
            self._writes.settle_as_never_sent(batch.intents)
            # Answers fail before the requeue: their entries may be in the journal and need corrections.
            effects += self._fail_all_waiting(batch)
            self._gatherer.requeue(batch)
        else:
            self._gatherer.requeue(batch)
            effects += self._fail_all_waiting(batch)
        return effects

    def on_position_read(self, now_ms: float, position: JournalPosition) -> list[Effect]:
        """Continue from the position in the database, read after any earlier transaction ended."""
        uncertain = self._uncertain_batch
        self._uncertain_batch = None
        self.position_unknown = False
        if uncertain is not None and position == uncertain.after:  # the uncertain batch took effect
            self.position = position
            self._gatherer.drop_written(uncertain)
            return []
        if position == self.position:
            return []
        text = f"incarnation {position.incarnation} follows incarnation {self.position.incarnation}"
        return self._stall(now_ms, DatabaseError(DatabaseErrorKind.FENCED, text))

    def on_unreachable(self, now_ms: float, error: DatabaseError) -> list[Effect]:
        """Handle a failure to read the position."""
        return self._stall(now_ms, error)

    # Helpers.

    @property
    def _needs_batch(self) -> bool:
        return bool(self._writes.needs_batch or self._journal or self._gatherer.drifts)

    def _end_batch(self) -> RecordBatch:
        batch = self.batch_in_flight
        assert batch is not None
        self.batch_in_flight = None
        return batch

    def _is_retryable_conflict(self, error: DatabaseError) -> bool:
        """Return True if the batch was rolled back because of a conflict and may be retried at once."""
        is_conflict = error.kind is DatabaseErrorKind.CONFLICT and not error.uncertain
        return is_conflict and self._conflicts < MAX_CONFLICTS

    def _stall(self, now_ms: float, error: DatabaseError) -> list[Effect]:
        """Begin a stall between batches and fail everything that waits; do nothing during a stall."""
        effects = self._begin_stall(now_ms, error)
        return effects + self._fail_all_waiting(None) if effects else []

    def _begin_stall(self, now_ms: float, error: DatabaseError) -> list[Effect]:
        """Record a failure; return the line to log if it begins a stall."""
        fenced = error.kind is DatabaseErrorKind.FENCED
        if not self.health.on_batch_failed(now_ms, fenced=fenced):
            return []
        end = "permanently: restart this process" if fenced else "until it answers again"
        return [LogLine(f"{error}; keyed writes are rejected {end}")]

    def _fail_all_waiting(self, batch: RecordBatch | None) -> list[Effect]:
        """Expire all waiting attempts, and fail all served answers that wait for the journal."""
        intents: list[Intent] = batch.intents if batch is not None else []
        return self._writes.expire_all_waiting(intents) + self._journal.fail_all_waiting()
