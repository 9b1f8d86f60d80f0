"""The record's decisions under a simulated clock and database, with faults at every step."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from sabledyke.policy.interface import Group, Repeat
from sabledyke.policy.retry import HELD_UP
from sabledyke.store import audit_journal
from sabledyke.store.database_errors import DatabaseError, DatabaseErrorKind
from sabledyke.store.effects import BlockAttempt, CompleteWrite, Effect, ExpireAttempt, SendAttempt
from sabledyke.store.health import HealthState, StoreHealth, StoreLimits
from sabledyke.store.intent_manager import MAX_PENDING_DRIFTS, IntentManager
from sabledyke.store.types import (
    DriftFinding,
    JournalEntry,
    JournalPosition,
    RecordBatch,
    RecordedWrite,
    SendRecord,
    WriteState,
)
from tests.helpers import WRITE

KEYED = replace(WRITE, deadline=2000, repeat=Repeat.DEDUPLICATED, group=Group.CELL, repeat_window=1500)
LIMITS = StoreLimits(stall_ms=100, batch=4, backlog=200, first_wait_ms=20, longest_wait_ms=100)
ENTRY = JournalEntry(0, 0, "write", "1", "k", "1", 0, "box", 1.0, "d", "served")


class Database:
    """A naive model of what the SQL does: rows and a journal that only whole batches change."""

    def __init__(self) -> None:
        self.writes: dict[str, tuple[SendRecord, WriteState, int]] = {}
        self.position = JournalPosition(0)
        self.journal: list[tuple[int, int, JournalEntry, str]] = []  # seq, life, entry, hash

    def start(self) -> JournalPosition:
        self.position = replace(self.position, incarnation=self.position.incarnation + 1)
        return self.position

    def commit(self, batch: RecordBatch) -> tuple[set[str], dict[str, RecordedWrite]]:
        before, life = batch.before, batch.after.incarnation
        if (self.position.incarnation, self.position.batches) != (life, before.batches):
            raise DatabaseError(DatabaseErrorKind.FENCED)
        for name, state in batch.settled:
            if name in self.writes:
                sent, old, owner = self.writes[name]
                if state == WriteState.SERVED or (owner == life and old == WriteState.SENT):
                    self.writes[name] = sent, state, owner
        taken, found = set(), {}
        for intent in batch.intents:
            row = self.writes.get(intent.name)
            if row is None or row[1] == WriteState.NEVER or (row[1] == WriteState.SENT and row[2] == life):
                self.writes[intent.name] = intent.sent, WriteState.SENT, life
                taken.add(intent.name)
            else:
                found[intent.name] = RecordedWrite(row[0], row[1])
        for i, (entry, told) in enumerate(zip(batch.entries, batch.hashes, strict=True)):
            self.journal.append((before.last_sequence + 1 + i, life, entry, told))
        self.position = batch.after
        return taken, found

    def audit(self) -> audit_journal.ChainAudit:
        walk = audit_journal.ChainAudit("n0")
        for seq, life, e, told in self.journal:
            walk.on_row(
                (
                    "n0",
                    seq,
                    life,
                    e.completed_at_ms,
                    e.began_at_ms,
                    e.class_name,
                    e.volume,
                    e.key,
                    e.piece,
                    e.shard,
                    e.node,
                    e.units,
                    e.digest,
                    e.outcome,
                    told,
                )
            )
        walk.on_end(self.position)
        return walk


class World:
    """One life after another of a keeper, clients that repeat their keys, boxes of two cells, and faults."""

    def __init__(self, seed: int, faults: float) -> None:
        self.random, self.faults = random.Random(seed), faults
        self.database, self.now = Database(), 1000.0
        self.effects: dict[str, list[tuple[float, int]]] = {}  # when and in which cell each ran
        self.served: set[str] = set()  # told to clients
        self.answers = 0
        self.live()

    def live(self) -> None:
        """A start: nothing is left but the database."""
        self.keeper = IntentManager("n0", LIMITS, self.random.randrange(99), 1e9)
        since = self.now - KEYED.repeat_window
        recent = [
            (name, RecordedWrite(sent, state))
            for name, (sent, state, _) in self.database.writes.items()
            if state != WriteState.NEVER and sent.sent_at_ms >= since
        ]
        self.keeper.on_opened(self.database.start(), recent, self.now + KEYED.repeat_window)
        self.attempts: dict[tuple[int, int], tuple[str, int, bool]] = {}  # waiting or out: name, cell, out
        self.tickets: dict[int, str] = {}
        self.rid = 0

    def ask(self) -> None:
        name = f"k{self.random.randrange(12)}"
        self.rid += 1
        attempt, cell = (self.rid, 0), self.random.randrange(2)
        self.attempts[attempt] = name, cell, False
        deadline = self.now + self.random.choice((30, 400))
        self.do(
            self.keeper.on_attempt(self.now, attempt, name, SendRecord(self.now, cell, 0), deadline, KEYED)
        )

    def do(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendAttempt(attempt):
                    name, cell, out = self.attempts[attempt]
                    assert not out
                    assert name in self.database.writes, "sent before its intent is durable"
                    self.attempts[attempt] = name, cell, True
                case ExpireAttempt(attempt) | BlockAttempt(attempt):
                    name, _, out = self.attempts.pop(attempt)
                    assert not out
                    self.finish(name, "failed")
                case CompleteWrite(ticket, kept):
                    name = self.tickets.pop(ticket)
                    self.answers += 1
                    if kept:
                        told = [e for _, _, e, _ in self.database.journal if e.key == name]
                        assert any(e.outcome == "served" for e in told), "served, and not in the journal"
                        self.served.add(name)

    def box(self) -> None:
        """An attempt that is out ends: it runs or not, and its answer may be lost."""
        out = [a for a, (_, _, o) in self.attempts.items() if o]
        if not out:
            return
        attempt = self.random.choice(out)
        name, cell, _ = self.attempts.pop(attempt)
        fate = self.random.choice(("served", "served", "lost", "lost after", "refused"))
        if fate in ("served", "lost after"):
            self.effects.setdefault(name, []).append((self.now, cell))
        self.keeper.on_attempt_ended(name, may_have_run=fate != "refused")
        self.finish(name, "served" if fate == "served" else "failed")

    def finish(self, name: str, outcome: str) -> None:
        entry = replace(ENTRY, key=name, outcome=outcome, completed_at_ms=int(self.now))
        ticket = None
        if outcome == "served":
            ticket = self.rid = self.rid + 1
            self.tickets[ticket] = name
        self.do(self.keeper.on_write_completed(name, entry, ticket, self.now + 300))

    def batch(self) -> None:
        keeper = self.keeper
        if keeper.position_unknown:
            if keeper.health.may_start_batch(self.now):
                self.do(keeper.on_position_read(self.now, self.database.position))
            return
        batch = keeper.next_batch(self.now)
        if batch is None:
            return
        self.now += self.random.choice((1, 5, 30)) if self.random.random() > 0.05 else 150
        self.do(keeper.on_tick(self.now))
        fate = self.random.random()
        if fate < self.faults:  # nothing of it took effect
            kind = self.random.choice(
                (
                    DatabaseErrorKind.STALL,
                    DatabaseErrorKind.CONFLICT,
                    DatabaseErrorKind.LOST,
                    DatabaseErrorKind.FULL,
                )
            )
            self.do(
                keeper.on_batch_failed(self.now, DatabaseError(kind, uncertain=self.random.random() < 0.5))
            )
        elif fate < 2 * self.faults:  # all of it did, and the answer is lost
            self.database.commit(batch)
            self.do(keeper.on_batch_failed(self.now, DatabaseError(DatabaseErrorKind.LOST, uncertain=True)))
        else:
            taken, found = self.database.commit(batch)
            self.do(keeper.on_batch_committed(self.now, taken, found))

    def run(self, steps: int, kills: float) -> None:
        for _ in range(steps):
            self.now += self.random.choice((0, 1, 3, 20))
            do = self.random.choice((self.ask, self.ask, self.box, self.box, self.batch, self.batch))
            do()
            self.do(self.keeper.on_tick(self.now))
            if self.random.random() < kills:
                batch = self.keeper.next_batch(self.now) if not self.keeper.position_unknown else None
                if batch is not None and self.random.random() < 0.5:
                    self.database.commit(batch)  # killed between its commit and the answer
                for name, cell, out in self.attempts.values():
                    if out and self.random.random() < 0.5:  # the box runs what the dead had sent
                        self.effects.setdefault(name, []).append((self.now, cell))
                self.now += self.random.choice((50, 1400, 1600))
                self.live()


@pytest.mark.parametrize("seed", range(60))
def test_no_key_has_its_effect_beyond_its_window_and_group_whatever_fails(seed: int) -> None:
    """Lives killed anywhere, batches that fail, stall or lose their answers, boxes that lose theirs."""
    world = World(seed, faults=(0.0, 0.1, 0.3)[seed % 3])
    world.run(900, kills=0.01 * (seed % 4))
    for name, ran in world.effects.items():
        first, cell = ran[0]
        for at, where in ran[1:]:
            # A box ran a repeat inside the window and the cell of the first: there it drops it. The window
            # is counted from the first send, which came up to its attempt's time before the effect.
            assert where == cell and at < first + KEYED.repeat_window + KEYED.deadline, name
    audit = world.database.audit()
    assert audit.passed, audit.faults
    told = {e.key for _, _, e, _ in world.database.journal if e.outcome == "served"}
    assert world.served <= told and (world.answers or seed % 3 == 2)


@pytest.mark.parametrize("seed", range(6))
def test_every_attempt_and_every_answer_ends_once_and_nothing_is_kept(seed: int) -> None:
    """After any schedule of faults and a time of rest, all tables are empty."""
    world = World(seed, faults=0.2)
    world.run(600, kills=0.0)
    world.faults = 0.0
    for _ in range(400):
        world.now += 20
        world.box()
        world.batch()
        world.do(world.keeper.on_tick(world.now))
    world.now += 60_000
    world.keeper.on_drift(DriftFinding(0, "", "", "", "", ""))  # one more batch, which forgets
    world.batch()
    assert (
        not world.attempts
        and not world.tickets
        and world.keeper.size == 0
        and not world.keeper.has_pending_work
    )
    assert world.keeper.health.state is HealthState.OPEN


def keeper() -> IntentManager:
    made = IntentManager("n0", LIMITS, 1, 1e9)
    made.on_opened(JournalPosition(1), [], 0)
    return made


def sends(k: IntentManager, now: float, attempt: int, shard: int = 0, name: str = "a") -> list[Effect]:
    return k.on_attempt(now, (attempt, 0), name, SendRecord(now, shard, 0), now + 200, KEYED)


def test_an_attempt_waits_for_its_intent_and_is_moot_past_its_deadline() -> None:
    k = keeper()
    assert sends(k, 0, 1) == [] and sends(k, 0, 2, name="b") == []
    batch = k.next_batch(0)
    assert batch is not None and [i.name for i in batch.intents] == ["a", "b"] and k.next_batch(0) is None
    assert k.on_attempt_cancelled((2, 0)) and not k.on_attempt_cancelled((2, 0))
    assert k.on_batch_committed(250, {"a", "b"}, {}) == [
        ExpireAttempt((1, 0))
    ]  # durable too late: it is not sent
    again = k.next_batch(251)
    assert again is not None and sorted(again.settled) == [("a", WriteState.NEVER), ("b", WriteState.NEVER)]


def test_what_another_scheduler_sent_is_found_and_kept_to() -> None:
    k = keeper()
    for number, shard in ((1, 0), (2, 1)):
        sends(k, 1000, number, shard, name=f"x{shard}")
    assert k.next_batch(1000)
    other = RecordedWrite(SendRecord(900, 0, 0), WriteState.UNKNOWN)
    effects = k.on_batch_committed(1001, set(), {"x0": other, "x1": other})
    assert effects == [SendAttempt((1, 0)), BlockAttempt((2, 0))] and k.earlier_send("x1") == other.first_send
    over = 900 + KEYED.repeat_window - HELD_UP  # what is decided by then is written inside the window
    assert sends(k, over - 1, 3, 0, name="x1") == [SendAttempt((3, 0))]
    assert sends(k, over, 4, 0, name="x1") == [BlockAttempt((4, 0))]


def test_a_write_that_never_ran_may_go_elsewhere_but_is_recorded_there_first() -> None:
    k = keeper()
    sends(k, 0, 1)
    k.next_batch(0)
    assert k.on_batch_committed(1, {"a"}, {}) == [SendAttempt((1, 0))]
    k.on_attempt_ended("a", may_have_run=False)
    assert sends(k, 2, 2, shard=0) == [SendAttempt((2, 0))]  # the same place: the same intent serves
    k.on_attempt_ended("a", may_have_run=False)
    assert sends(k, 3, 3, shard=1) == []
    batch = k.next_batch(4)
    assert batch is not None and batch.intents[0].sent.shard == 1


def test_a_stall_refuses_at_once_and_ends_with_the_answer_that_comes() -> None:
    k = keeper()
    sends(k, 0, 1)
    assert k.next_batch(0) and not k.on_tick(99)
    effects = k.on_tick(100)
    assert (
        ExpireAttempt((1, 0)) in effects
        and not k.accepts_writes()
        and sends(k, 101, 2) == [ExpireAttempt((2, 0))]
    )
    effects = k.on_batch_committed(8000, {"a"}, {})
    assert k.accepts_writes() and [type(e).__name__ for e in effects] == [
        "LogLine"
    ]  # what was given up is not sent


def test_served_answers_wait_for_their_entries_and_fail_with_the_stall() -> None:
    k = keeper()
    assert k.on_write_completed("a", ENTRY, 7, 300) == [] and k.next_batch(0)
    assert CompleteWrite(7, False) in k.on_tick(100) and k.corrections == 1
    k.on_batch_committed(101, set(), {})
    batch = k.next_batch(101)
    assert batch is not None and [e.outcome for e in batch.entries] == ["unconfirmed"]
    k.on_batch_committed(102, set(), {})
    assert k.on_write_completed("b", ENTRY, 8, 104) == [] and k.on_tick(105) == [
        CompleteWrite(8, False)
    ]  # past its deadline
    assert k.corrections == 1 and k.next_batch(106).entries[0].outcome == "unconfirmed"  # type: ignore[union-attr]


def test_a_batch_whose_answer_is_lost_is_written_once() -> None:
    k, database = keeper(), Database()
    database.start()
    k.on_write_completed("a", ENTRY, 7, 300)
    batch = k.next_batch(0)
    assert batch is not None
    database.commit(batch)
    assert (
        CompleteWrite(7, False) in k.on_batch_failed(1, DatabaseError(DatabaseErrorKind.LOST, uncertain=True))
        and k.position_unknown
    )
    assert k.next_batch(1000) is None  # not before the position is read
    k.on_position_read(1000, database.position)
    batch = k.next_batch(1001)
    assert batch is not None and [e.outcome for e in batch.entries] == ["unconfirmed"]
    database.commit(batch)
    assert database.audit().passed and len(database.journal) == 2


def test_an_older_life_stops_for_good() -> None:
    k = keeper()
    sends(k, 0, 1)
    k.next_batch(0)
    assert (
        ExpireAttempt((1, 0)) in k.on_batch_failed(1, DatabaseError(DatabaseErrorKind.FENCED))
        and not k.needs_polling
    )
    k.on_position_read(2, JournalPosition(2))
    assert not k.accepts_writes() and k.next_batch(1e9) is None and k.health.state is HealthState.FENCED
    other = keeper()
    other.position_unknown = True
    assert other.on_position_read(0, JournalPosition(2)) and other.health.state is HealthState.FENCED


def test_a_conflict_is_written_again_without_a_stall_a_few_times() -> None:
    k = keeper()
    sends(k, 0, 1)
    for n in range(4):
        batch = k.next_batch(n)
        assert batch is not None and len(batch.intents) == 1
        effects = k.on_batch_failed(n, DatabaseError(DatabaseErrorKind.CONFLICT))
        assert (effects == []) is (n < 3)
    assert not k.accepts_writes()


def test_batches_are_bounded_and_nothing_is_taken_past_the_backlog() -> None:
    k = keeper()
    for n in range(10):
        sends(k, 0, n, name=str(n))
        k.on_write_completed(f"x{n}", ENTRY, None)
    for _ in range(3):
        batch = k.next_batch(0)
        assert batch is not None and len(batch.intents) <= 4 >= len(batch.entries)
        k.on_batch_committed(0, {i.name for i in batch.intents}, {})
    assert k.next_batch(0) is None
    for n in range(LIMITS.backlog):
        k.on_write_completed(f"y{n}", ENTRY, None)
    assert not k.accepts_writes() and sends(k, 0, 99) == [ExpireAttempt((99, 0))]
    for _ in range(2 * MAX_PENDING_DRIFTS):
        k.on_drift(DriftFinding(0, "", "", "", "", ""))
    assert k.size <= LIMITS.backlog + MAX_PENDING_DRIFTS + 20


def test_trials_back_off_and_find_a_store_that_is_back_within_a_second() -> None:
    health, now = StoreHealth(StoreLimits(), 3), 0.0
    waits = []
    for _ in range(12):
        health.on_batch_began(now)
        health.on_batch_failed(now)
        trial = health.next_trial_ms()
        assert not health.may_start_batch(trial - 0.01) and health.may_start_batch(trial)
        waits.append(trial - now)
        now = trial
    assert waits[0] <= 50 and max(waits) <= StoreLimits().longest_wait_ms
    assert max(waits) + StoreLimits().give_up_ms < 1000 and health.stalls == 1
    assert (
        health.retry_after_ms(now, 10_000) > 0
        and health.on_batch_committed(now) > 0
        and health.accepts_writes
    )
