"""A simple model of the record's SQL, and a simulation of clients, nodes and faults that uses it."""

from __future__ import annotations

import random
from dataclasses import astuple, dataclass, replace

from sabledyke.policy.settings import DeduplicationScope, RepeatSafety
from sabledyke.store import audit_journal
from sabledyke.store.database_errors import DatabaseError, DatabaseErrorKind
from sabledyke.store.effects import AttemptId, BlockAttempt, CompleteWrite, Effect, ExpireAttempt, SendAttempt
from sabledyke.store.health import StoreLimits
from sabledyke.store.intent_manager import IntentManager
from sabledyke.store.types import (
    JournalEntry,
    JournalPosition,
    RecordBatch,
    RecordedWrite,
    SendRecord,
    WriteState,
)
from tests.support.settings import WRITE

KEYED = replace(
    WRITE,
    deadline_ms=2000,
    repeat_safety=RepeatSafety.DEDUPLICATED,
    deduplication_scope=DeduplicationScope.CELL,
    deduplication_window_ms=1500,
)
LIMITS = StoreLimits(stall_ms=100, batch=4, backlog=200, first_wait_ms=20, longest_wait_ms=100)
FAILURES = (
    DatabaseErrorKind.STALL,
    DatabaseErrorKind.CONFLICT,
    DatabaseErrorKind.LOST,
    DatabaseErrorKind.FULL,
)
ENTRY = JournalEntry(0, 0, "write", "1", "k", "1", 0, "box", 1.0, "d", "served")


class RecordModel:
    """A simple model of the record's tables, which only complete batches change."""

    def __init__(self) -> None:
        self.writes: dict[str, _WriteRow] = {}
        self.position = JournalPosition(0)
        self.journal: list[_JournalRow] = []

    def start(self) -> JournalPosition:
        """Begin the next incarnation."""
        self.position = replace(self.position, incarnation=self.position.incarnation + 1)
        return self.position

    def commit(self, batch: RecordBatch) -> tuple[set[str], dict[str, RecordedWrite]]:
        """Apply a batch; return the accepted intents, and the existing writes in place of the others."""
        incarnation = batch.after.incarnation
        if (self.position.incarnation, self.position.batches) != (incarnation, batch.before.batches):
            raise DatabaseError(DatabaseErrorKind.FENCED)
        for name, state in batch.settled:
            if name in self.writes:
                self._settle(self.writes[name], state, incarnation)
        accepted: set[str] = set()
        existing: dict[str, RecordedWrite] = {}
        for intent in batch.intents:
            row = self.writes.get(intent.name)
            if row is None or row.may_be_sent_by(incarnation):
                self.writes[intent.name] = _WriteRow(intent.sent, WriteState.SENT, incarnation)
                accepted.add(intent.name)
            else:
                existing[intent.name] = RecordedWrite(row.send, row.state)
        pairs = zip(batch.entries, batch.hashes, strict=True)
        for sequence, (entry, entry_hash) in enumerate(pairs, batch.before.last_sequence + 1):
            self.journal.append(_JournalRow(sequence, incarnation, entry, entry_hash))
        self.position = batch.after
        return accepted, existing

    def audit(self) -> audit_journal.ChainAudit:
        """Audit the journal."""
        chain_audit = audit_journal.ChainAudit("n0")
        for row in self.journal:
            values = astuple(row.entry)
            chain_audit.on_row(("n0", row.sequence, row.incarnation, *values, row.entry_hash))
        chain_audit.on_end(self.position)
        return chain_audit

    def _settle(self, row: _WriteRow, state: WriteState, incarnation: int) -> None:
        if state == WriteState.SERVED or (row.owner == incarnation and row.state == WriteState.SENT):
            row.state = state


class RecordSimulation:
    """Incarnations of an intent manager, clients that repeat keys, nodes of two cells, and faults.

    Attributes:
        faults: Probability of a failed batch, and of a committed batch whose answer is lost.
        effects: Time and cell of each execution, by the name of the write.
        served: Names of the writes that clients were answered as served.
        answers: Number of served answers, whether passed on or failed.
        attempts: Attempts that wait or were sent.
        tickets: Names of the writes whose served answers wait, by ticket.
    """

    def __init__(self, seed: int, faults: float) -> None:
        self.random = random.Random(seed)
        self.faults = faults
        self.database = RecordModel()
        self.now = 1000.0
        self.effects: dict[str, list[tuple[float, int]]] = {}
        self.served: set[str] = set()
        self.answers = 0
        self.start_incarnation()

    def start_incarnation(self) -> None:
        """Start an incarnation, with only the contents of the database left."""
        self.manager = IntentManager("n0", LIMITS, self.random.randrange(99), 1e9)
        since = self.now - KEYED.deduplication_window_ms
        recent = [
            (name, RecordedWrite(row.send, row.state))
            for name, row in self.database.writes.items()
            if row.state != WriteState.NEVER and row.send.sent_at_ms >= since
        ]
        self.manager.on_opened(self.database.start(), recent, self.now + KEYED.deduplication_window_ms)
        self.attempts: dict[AttemptId, _Attempt] = {}
        self.tickets: dict[int, str] = {}
        self.last_id = 0

    def run(self, steps: int, kills: float) -> None:
        """Run random events; after each, the manager is killed with the probability ``kills``."""
        for _ in range(steps):
            self.now += self.random.choice((0, 1, 3, 20))
            event = self.random.choice(
                (
                    self.begin_attempt,
                    self.begin_attempt,
                    self.end_attempt,
                    self.end_attempt,
                    self.write_batch,
                    self.write_batch,
                )
            )
            event()
            self.carry_out(self.manager.on_tick(self.now))
            if self.random.random() < kills:
                self.kill()

    def kill(self) -> None:
        """Kill the manager, and start the next incarnation some time later."""
        batch = self.manager.next_batch(self.now) if not self.manager.position_unknown else None
        if batch is not None and self.random.random() < 0.5:
            self.database.commit(batch)  # the kill comes between the commit and its answer
        for attempt in self.attempts.values():
            if attempt.sent and self.random.random() < 0.5:  # the node runs an attempt of the killed manager
                self.effects.setdefault(attempt.name, []).append((self.now, attempt.cell))
        self.now += self.random.choice((50, 1400, 1600))
        self.start_incarnation()

    def begin_attempt(self) -> None:
        """Begin an attempt of a write with one of a few keys, in either cell."""
        name = f"k{self.random.randrange(12)}"
        self.last_id += 1
        attempt = self.last_id, 0
        cell = self.random.randrange(2)
        self.attempts[attempt] = _Attempt(name, cell)
        deadline = self.now + self.random.choice((30, 400))
        send = SendRecord(self.now, cell, 0)
        self.carry_out(self.manager.on_attempt(self.now, attempt, name, send, deadline, KEYED))

    def end_attempt(self) -> None:
        """End a random attempt that was sent; it may run or not, and its answer may be lost."""
        sent = [attempt for attempt, known in self.attempts.items() if known.sent]
        if not sent:
            return
        known = self.attempts.pop(self.random.choice(sent))
        result = self.random.choice(("served", "served", "lost", "lost after", "refused"))
        if result in ("served", "lost after"):
            self.effects.setdefault(known.name, []).append((self.now, known.cell))
        self.manager.on_attempt_completed(known.name, may_have_run=result != "refused")
        self.complete_write(known.name, "served" if result == "served" else "failed")

    def complete_write(self, name: str, outcome: str) -> None:
        """Give a write its final answer."""
        entry = replace(ENTRY, key=name, outcome=outcome, completed_at_ms=int(self.now))
        ticket = None
        if outcome == "served":
            self.last_id += 1
            ticket = self.last_id
            self.tickets[ticket] = name
        self.carry_out(self.manager.on_write_completed(name, entry, ticket, self.now + 300))

    def write_batch(self) -> None:
        """Write a batch, which may fail or lose its answer, or read the position again."""
        manager = self.manager
        if manager.position_unknown:
            if manager.health.may_start_batch(self.now):
                self.carry_out(manager.on_position_read(self.now, self.database.position))
            return
        batch = manager.next_batch(self.now)
        if batch is None:
            return
        self.now += self.random.choice((1, 5, 30)) if self.random.random() > 0.05 else 150
        self.carry_out(manager.on_tick(self.now))
        draw = self.random.random()
        if draw < self.faults:  # the batch does not take effect
            kind = self.random.choice(FAILURES)
            error = DatabaseError(kind, uncertain=self.random.random() < 0.5)
            self.carry_out(manager.on_batch_failed(self.now, error))
        elif draw < 2 * self.faults:  # the batch takes effect, and its answer is lost
            self.database.commit(batch)
            error = DatabaseError(DatabaseErrorKind.LOST, uncertain=True)
            self.carry_out(manager.on_batch_failed(self.now, error))
        else:
            accepted, existing = self.database.commit(batch)
            self.carry_out(manager.on_batch_committed(self.now, accepted, existing))

    def carry_out(self, effects: list[Effect]) -> None:
        """Carry out the manager's effects as its driver does, and check each step."""
        for effect in effects:
            match effect:
                case SendAttempt(attempt):
                    known = self.attempts[attempt]
                    assert not known.sent
                    assert known.name in self.database.writes, "sent before its intent is durable"
                    known.sent = True
                case ExpireAttempt(attempt) | BlockAttempt(attempt):
                    known = self.attempts.pop(attempt)
                    assert not known.sent
                    self.complete_write(known.name, "failed")
                case CompleteWrite(ticket, journaled):
                    name = self.tickets.pop(ticket)
                    self.answers += 1
                    if journaled:
                        entries = [row.entry for row in self.database.journal if row.entry.key == name]
                        assert any(
                            entry.outcome == "served" for entry in entries
                        ), "served, and not in the journal"
                        self.served.add(name)


@dataclass(slots=True)
class _WriteRow:
    send: SendRecord
    state: WriteState
    owner: int  # the incarnation that recorded the write

    def may_be_sent_by(self, incarnation: int) -> bool:
        if self.state == WriteState.NEVER:
            return True
        return self.state == WriteState.SENT and self.owner == incarnation


@dataclass(slots=True, frozen=True)
class _JournalRow:
    sequence: int
    incarnation: int
    entry: JournalEntry
    entry_hash: str


@dataclass(slots=True)
class _Attempt:
    name: str
    cell: int
    sent: bool = False
