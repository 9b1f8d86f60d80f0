"""The decisions of the record of sends and of the receipt journal, for one instance.

Decides what goes into the next transaction, which attempts are sent, wait, expire or are blocked, and which
served answers may be passed on. Each call returns the effects that the driver (``recording_transport``)
carries out. Knows neither a database, a socket nor the scheduler; the time, in Unix milliseconds, and the
seed are passed in.

Owns the position and the batch in flight; ``IntentTable`` owns the writes and their attempts,
``JournalQueue`` the entries, ``BatchGatherer`` the findings of drift, ``StoreHealth`` whether the store is
fit.
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

MAX_CONFLICTS = 3  # batches in a row that are simply written again where the database asks for that


class IntentManager:
    """One instance's record; ``on_opened`` comes before anything else.

    Attributes:
        instance: The name under which this scheduler records.
        limits: The bounds of the store.
        health: Whether the store is fit to record a write.
        position: How far the record has come, as far as is known.
        batch_in_flight: The batch that the database has, if any.
        position_unknown: The position must be read anew before the next batch.
    """

    def __init__(self, instance: str, limits: StoreLimits, seed: int, retention_ms: float) -> None:
        self.instance = instance
        self.limits = limits
        self.health = StoreHealth(limits, seed)
        self.position = JournalPosition(0)
        self.batch_in_flight: RecordBatch | None = None
        self.position_unknown = False
        self._uncertain_batch: RecordBatch | None = None  # nobody knows whether it took effect
        self._writes = IntentTable()
        self._journal = JournalQueue()
        self._gatherer = BatchGatherer(instance, limits.batch, retention_ms, self._writes, self._journal)
        self._conflicts = 0  # batches in a row that the database gave up for another transaction

    def on_opened(
        self,
        position: JournalPosition,
        recent: Iterable[tuple[str, RecordedWrite]],
        retain_until_ms: float,
    ) -> None:
        """Begin at the position of a record that was opened.

        Args:
            position: Where this incarnation begins.
            recent: Earlier sends that can still matter, by the names of their writes.
            retain_until_ms: Until when memory holds these.
        """
        self.position = position
        self._writes.load(recent, retain_until_ms)

    # Queries of the driver.

    def accepts_writes(self) -> bool:
        """Whether a keyed write may be accepted now."""
        return (
            self.health.accepts_writes and len(self._journal) + self._writes.unrecorded < self.limits.backlog
        )

    def earlier_send(self, name: str) -> SendRecord | None:
        """Return the send of this write that may have run already, as far as memory has it."""
        return self._writes.earlier_send(name)

    @property
    def has_pending_work(self) -> bool:
        """Whether something waits for the database."""
        return self._needs_batch or self._writes.has_waiting_attempts or self.batch_in_flight is not None

    @property
    def needs_polling(self) -> bool:
        """Whether it is to be called again soon: something waits, or a stall is to be ended."""
        if self.health.state is HealthState.FENCED:
            return False
        return self.has_pending_work or not self.health.accepts_writes

    @property
    def unwritten_entries(self) -> int:
        """Entries that are not in the journal yet."""
        return self._journal.unwritten

    @property
    def corrections(self) -> int:
        """Entries which say that an earlier one's answer was not passed on."""
        return self._journal.corrections

    @property
    def size(self) -> int:
        """Entries in all tables, for what watches their bounds."""
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
        """Decide about an attempt of a keyed write; see ``IntentTable.on_attempt``."""
        if not self.accepts_writes():
            return [ExpireAttempt(attempt)]
        return self._writes.on_attempt(now_ms, attempt, name, send, deadline_ms, request_class)

    def on_attempt_cancelled(self, attempt: AttemptId) -> bool:
        """Cancel an attempt; whether it was still waiting here, and so was never sent."""
        return self._writes.on_attempt_cancelled(attempt)

    def on_attempt_completed(self, name: str, *, may_have_run: bool) -> None:
        """Note that an attempt that was sent is over."""
        self._writes.on_attempt_completed(name, may_have_run=may_have_run)

    def on_write_completed(
        self, name: str, entry: JournalEntry, ticket: int | None, deadline_ms: float = 0.0
    ) -> list[Effect]:
        """Queue the journal entry of a keyed write that has its final answer.

        Args:
            name: What the write is recorded by.
            entry: The entry.
            ticket: For a served write, the answer that waits until its entry is durable.
            deadline_ms: When that answer is given up.
        """
        state = self._writes.on_write_completed(name, served=entry.outcome == OUTCOME_SERVED)
        settlement = Settlement(name, state) if state is not None else None
        if ticket is not None and not self.health.accepts_writes:
            self._journal.append(PendingEntry(replace(entry, outcome=OUTCOME_UNCONFIRMED), settlement))
            return [CompleteWrite(ticket, journaled=False)]
        self._journal.append(PendingEntry(entry, settlement, ticket, deadline_ms))
        return []

    def on_drift(self, drift: DriftFinding) -> None:
        """Queue a finding of drift; beyond the bound it is only logged."""
        self._gatherer.on_drift(drift)

    def on_tick(self, now_ms: float) -> list[Effect]:
        """Give up attempts and answers past their deadlines, and all that waits when a batch stalls."""
        effects: list[Effect] = []
        if self.health.on_tick(now_ms):
            stall = f"it does not answer for {self.limits.stall_ms:.0f} ms"
            effects.append(LogLine(f"{stall}; keyed writes are rejected"))
            effects += self._give_up(self.batch_in_flight)
        effects += self._writes.expire(now_ms)
        effects += self._journal.expire(now_ms)
        return effects

    # Batches.

    def next_batch(self, now_ms: float) -> RecordBatch | None:
        """Return what the database is to do now, if anything; the position must be known."""
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
        """Note that the batch took effect.

        Args:
            now_ms: The time.
            accepted: Names of the intents that the record accepted.
            existing: What the record had already, by name, for those that it did not.
        """
        batch = self._end_batch()
        self.position = batch.after
        self._conflicts = 0
        effects: list[Effect] = []
        stalled_ms = self.health.on_batch_committed(now_ms)
        if stalled_ms:
            effects.append(LogLine(f"it answers again after {stalled_ms:.0f} ms; keyed writes are accepted"))
        effects += self._journal.on_committed()
        self._writes.on_recorded(batch.intents, accepted, existing)
        effects += self._writes.release_waiting(now_ms)
        self._writes.drop_unwanted(batch.intents)
        self._writes.evict(now_ms)
        return effects

    def on_batch_failed(self, now_ms: float, error: DatabaseError) -> list[Effect]:
        """Note that the batch did not take effect, or that nobody knows whether it did."""
        batch = self._end_batch()
        self._writes.restore_settlements(batch.settled)
        if self._may_write_again(error):
            self._conflicts += 1
            self._writes.restore_intents(batch.intents)
            self._gatherer.requeue(batch)
            self.health.allow_immediate_retry()
            return []
        self.position_unknown = True  # what the database holds is read before it is written again
        effects = self._begin_stall(now_ms, error)
        if error.uncertain:
            self._uncertain_batch = batch
            self._writes.settle_as_never_sent(batch.intents)
            effects += self._give_up(batch)  # while these are still in flight: they may be in the journal
            self._gatherer.requeue(batch)
        else:
            self._gatherer.requeue(batch)
            effects += self._give_up(batch)
        return effects

    def on_position_read(self, now_ms: float, position: JournalPosition) -> list[Effect]:
        """Go on from the position that the database has, read after whatever was under way had ended."""
        uncertain = self._uncertain_batch
        self._uncertain_batch = None
        self.position_unknown = False
        if uncertain is not None and position == uncertain.after:  # it took effect
            self.position = position
            self._gatherer.drop_written(uncertain)
            return []
        if position == self.position:
            return []
        text = f"incarnation {position.incarnation} follows incarnation {self.position.incarnation}"
        return self._stall(now_ms, DatabaseError(DatabaseErrorKind.FENCED, text))

    def on_unreachable(self, now_ms: float, error: DatabaseError) -> list[Effect]:
        """Note that the position could not be read."""
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

    def _may_write_again(self, error: DatabaseError) -> bool:
        """Whether the database asks for the same batch once more, of which nothing has happened."""
        is_conflict = error.kind is DatabaseErrorKind.CONFLICT and not error.uncertain
        return is_conflict and self._conflicts < MAX_CONFLICTS

    def _stall(self, now_ms: float, error: DatabaseError) -> list[Effect]:
        """Begin a stall between batches, and give up all that waits; nothing where it has begun."""
        effects = self._begin_stall(now_ms, error)
        return effects + self._give_up(None) if effects else []

    def _begin_stall(self, now_ms: float, error: DatabaseError) -> list[Effect]:
        """Note the failure; the line to log where a stall begins with it."""
        fenced = error.kind is DatabaseErrorKind.FENCED
        if not self.health.on_batch_failed(now_ms, fenced=fenced):
            return []
        end = "for good: restart it" if fenced else "until it answers again"
        return [LogLine(f"{error}; keyed writes are rejected {end}")]

    def _give_up(self, batch: RecordBatch | None) -> list[Effect]:
        """Answer all that waits for the database: attempts expire, served answers are not passed on."""
        intents: list[Intent] = batch.intents if batch is not None else []
        return self._writes.give_up(intents) + self._journal.give_up()
