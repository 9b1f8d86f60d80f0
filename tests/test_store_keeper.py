"""The record's decisions under a simulated clock and database, with faults at every step."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from sabledyke.policy.retry import WRITE_DELAY_MS
from sabledyke.policy.settings import DeduplicationScope, RepeatSafety
from sabledyke.store import audit_journal
from sabledyke.store.database_errors import Kind, StoreFault
from sabledyke.store.health import Health, Limits, State
from sabledyke.store.intent_manager import DRIFTS, Blocked, Effect, Go, Keeper, Moot, Told
from sabledyke.store.types import (
    NEVER,
    SENT,
    SERVED,
    UNKNOWN,
    Batch,
    Drift,
    Entry,
    Found,
    Position,
    Sent,
)
from tests.helpers import WRITE

KEYED = replace(
    WRITE,
    deadline_ms=2000,
    repeat_safety=RepeatSafety.DEDUPLICATED,
    deduplication_scope=DeduplicationScope.CELL,
    deduplication_window_ms=1500,
)
LIMITS = Limits(stall=100, batch=4, backlog=200, first_wait=20, longest_wait=100)
ENTRY = Entry(0, 0, "write", "1", "k", "1", 0, "box", 1.0, "d", "served")


class Database:
    """A naive model of what the SQL does: rows and a journal that only whole batches change."""

    def __init__(self) -> None:
        self.writes: dict[str, tuple[Sent, str, int]] = {}
        self.position = Position(0)
        self.journal: list[tuple[int, int, Entry, str]] = []  # seq, life, entry, hash

    def start(self) -> Position:
        self.position = replace(self.position, life=self.position.life + 1)
        return self.position

    def commit(self, batch: Batch) -> tuple[set[str], dict[str, Found]]:
        before, life = batch.before, batch.after.life
        if (self.position.life, self.position.batch) != (life, before.batch):
            raise StoreFault(Kind.FENCED)
        for name, state in batch.settled:
            if name in self.writes:
                sent, old, owner = self.writes[name]
                if state == SERVED or (owner == life and old == SENT):
                    self.writes[name] = sent, state, owner
        taken, found = set(), {}
        for intent in batch.intents:
            row = self.writes.get(intent.name)
            if row is None or row[1] == NEVER or (row[1] == SENT and row[2] == life):
                self.writes[intent.name] = intent.sent, SENT, life
                taken.add(intent.name)
            else:
                found[intent.name] = Found(row[0], row[1])
        for i, (entry, told) in enumerate(zip(batch.entries, batch.hashes, strict=True)):
            self.journal.append((before.seq + 1 + i, life, entry, told))
        self.position = batch.after
        return taken, found

    def audit(self) -> audit_journal.Audit:
        walk = audit_journal.Audit("n0")
        for seq, life, e, told in self.journal:
            walk.row(
                (
                    "n0",
                    seq,
                    life,
                    e.at,
                    e.began,
                    e.class_,
                    e.volume,
                    e.key,
                    e.piece,
                    e.shard,
                    e.box,
                    e.units,
                    e.digest,
                    e.outcome,
                    told,
                )
            )
        walk.end(self.position)
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
        self.keeper = Keeper("n0", LIMITS, self.random.randrange(99), 1e9)
        since = self.now - KEYED.deduplication_window_ms
        recent = [
            (name, Found(sent, state))
            for name, (sent, state, _) in self.database.writes.items()
            if state != NEVER and sent.at >= since
        ]
        self.keeper.opened(self.database.start(), recent, self.now + KEYED.deduplication_window_ms)
        self.attempts: dict[tuple[int, int], tuple[str, int, bool]] = {}  # waiting or out: name, cell, out
        self.tickets: dict[int, str] = {}
        self.rid = 0

    def ask(self) -> None:
        name = f"k{self.random.randrange(12)}"
        self.rid += 1
        attempt, cell = (self.rid, 0), self.random.randrange(2)
        self.attempts[attempt] = name, cell, False
        deadline = self.now + self.random.choice((30, 400))
        self.do(self.keeper.attempt(self.now, attempt, name, Sent(self.now, cell, 0), deadline, KEYED))

    def do(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Go(attempt):
                    name, cell, out = self.attempts[attempt]
                    assert not out
                    assert name in self.database.writes, "sent before its intent is durable"
                    self.attempts[attempt] = name, cell, True
                case Moot(attempt) | Blocked(attempt):
                    name, _, out = self.attempts.pop(attempt)
                    assert not out
                    self.finish(name, "failed")
                case Told(ticket, kept):
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
        self.keeper.ended(name, may_have_run=fate != "refused")
        self.finish(name, "served" if fate == "served" else "failed")

    def finish(self, name: str, outcome: str) -> None:
        entry = replace(ENTRY, key=name, outcome=outcome, at=int(self.now))
        ticket = None
        if outcome == "served":
            ticket = self.rid = self.rid + 1
            self.tickets[ticket] = name
        self.do(self.keeper.finished(self.now, name, entry, ticket, self.now + 300))

    def batch(self) -> None:
        keeper = self.keeper
        if keeper.unsure:
            if keeper.health.may_try(self.now):
                self.do(keeper.synced(self.now, self.database.position))
            return
        batch = keeper.next_batch(self.now)
        if batch is None:
            return
        self.now += self.random.choice((1, 5, 30)) if self.random.random() > 0.05 else 150
        self.do(keeper.tick(self.now))
        fate = self.random.random()
        if fate < self.faults:  # nothing of it took effect
            kind = self.random.choice((Kind.STALL, Kind.CONFLICT, Kind.LOST, Kind.FULL))
            self.do(keeper.failed(self.now, StoreFault(kind, uncertain=self.random.random() < 0.5)))
        elif fate < 2 * self.faults:  # all of it did, and the answer is lost
            self.database.commit(batch)
            self.do(keeper.failed(self.now, StoreFault(Kind.LOST, uncertain=True)))
        else:
            taken, found = self.database.commit(batch)
            self.do(keeper.committed(self.now, taken, found))

    def run(self, steps: int, kills: float) -> None:
        for _ in range(steps):
            self.now += self.random.choice((0, 1, 3, 20))
            do = self.random.choice((self.ask, self.ask, self.box, self.box, self.batch, self.batch))
            do()
            self.do(self.keeper.tick(self.now))
            if self.random.random() < kills:
                batch = self.keeper.next_batch(self.now) if not self.keeper.unsure else None
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
            assert where == cell and at < first + KEYED.deduplication_window_ms + KEYED.deadline_ms, name
    audit = world.database.audit()
    assert audit.ok, audit.faults
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
        world.do(world.keeper.tick(world.now))
    world.now += 60_000
    world.keeper.drifted(Drift(0, "", "", "", "", ""))  # one more batch, which forgets
    world.batch()
    assert not world.attempts and not world.tickets and world.keeper.size == 0 and not world.keeper.busy
    assert world.keeper.health.state is State.OPEN


def keeper() -> Keeper:
    made = Keeper("n0", LIMITS, 1, 1e9)
    made.opened(Position(1), [], 0)
    return made


def sends(k: Keeper, now: float, attempt: int, shard: int = 0, name: str = "a") -> list[Effect]:
    return k.attempt(now, (attempt, 0), name, Sent(now, shard, 0), now + 200, KEYED)


def test_an_attempt_waits_for_its_intent_and_is_moot_past_its_deadline() -> None:
    k = keeper()
    assert sends(k, 0, 1) == [] and sends(k, 0, 2, name="b") == []
    batch = k.next_batch(0)
    assert batch is not None and [i.name for i in batch.intents] == ["a", "b"] and k.next_batch(0) is None
    assert k.withdrawn((2, 0)) and not k.withdrawn((2, 0))
    assert k.committed(250, {"a", "b"}, {}) == [Moot((1, 0))]  # durable too late: it is not sent
    again = k.next_batch(251)
    assert again is not None and sorted(again.settled) == [("a", NEVER), ("b", NEVER)]


def test_what_another_scheduler_sent_is_found_and_kept_to() -> None:
    k = keeper()
    for number, shard in ((1, 0), (2, 1)):
        sends(k, 1000, number, shard, name=f"x{shard}")
    assert k.next_batch(1000)
    other = Found(Sent(900, 0, 0), UNKNOWN)
    effects = k.committed(1001, set(), {"x0": other, "x1": other})
    assert effects == [Go((1, 0)), Blocked((2, 0))] and k.earlier("x1") == other.sent
    over = (
        900 + KEYED.deduplication_window_ms - WRITE_DELAY_MS
    )  # what is decided by then is written inside the window
    assert sends(k, over - 1, 3, 0, name="x1") == [Go((3, 0))]
    assert sends(k, over, 4, 0, name="x1") == [Blocked((4, 0))]


def test_a_write_that_never_ran_may_go_elsewhere_but_is_recorded_there_first() -> None:
    k = keeper()
    sends(k, 0, 1)
    k.next_batch(0)
    assert k.committed(1, {"a"}, {}) == [Go((1, 0))]
    k.ended("a", may_have_run=False)
    assert sends(k, 2, 2, shard=0) == [Go((2, 0))]  # the same place: the same intent serves
    k.ended("a", may_have_run=False)
    assert sends(k, 3, 3, shard=1) == []
    batch = k.next_batch(4)
    assert batch is not None and batch.intents[0].sent.shard == 1


def test_a_stall_refuses_at_once_and_ends_with_the_answer_that_comes() -> None:
    k = keeper()
    sends(k, 0, 1)
    assert k.next_batch(0) and not k.tick(99)
    effects = k.tick(100)
    assert Moot((1, 0)) in effects and not k.takes() and sends(k, 101, 2) == [Moot((2, 0))]
    effects = k.committed(8000, {"a"}, {})
    assert k.takes() and [type(e).__name__ for e in effects] == ["Say"]  # what was given up is not sent


def test_served_answers_wait_for_their_entries_and_fail_with_the_stall() -> None:
    k = keeper()
    assert k.finished(0, "a", ENTRY, 7, 300) == [] and k.next_batch(0)
    assert Told(7, False) in k.tick(100) and k.corrections == 1
    k.committed(101, set(), {})
    batch = k.next_batch(101)
    assert batch is not None and [e.outcome for e in batch.entries] == ["unconfirmed"]
    k.committed(102, set(), {})
    assert k.finished(103, "b", ENTRY, 8, 104) == [] and k.tick(105) == [Told(8, False)]  # past its deadline
    assert k.corrections == 1 and k.next_batch(106).entries[0].outcome == "unconfirmed"  # type: ignore[union-attr]


def test_a_batch_whose_answer_is_lost_is_written_once() -> None:
    k, database = keeper(), Database()
    database.start()
    k.finished(0, "a", ENTRY, 7, 300)
    batch = k.next_batch(0)
    assert batch is not None
    database.commit(batch)
    assert Told(7, False) in k.failed(1, StoreFault(Kind.LOST, uncertain=True)) and k.unsure
    assert k.next_batch(1000) is None  # not before the position is read
    k.synced(1000, database.position)
    batch = k.next_batch(1001)
    assert batch is not None and [e.outcome for e in batch.entries] == ["unconfirmed"]
    database.commit(batch)
    assert database.audit().ok and len(database.journal) == 2


def test_an_older_life_stops_for_good() -> None:
    k = keeper()
    sends(k, 0, 1)
    k.next_batch(0)
    assert Moot((1, 0)) in k.failed(1, StoreFault(Kind.FENCED)) and not k.restless
    k.synced(2, Position(2))
    assert not k.takes() and k.next_batch(1e9) is None and k.health.state is State.FENCED
    other = keeper()
    other.unsure = True
    assert other.synced(0, Position(2)) and other.health.state is State.FENCED


def test_a_conflict_is_written_again_without_a_stall_a_few_times() -> None:
    k = keeper()
    sends(k, 0, 1)
    for n in range(4):
        batch = k.next_batch(n)
        assert batch is not None and len(batch.intents) == 1
        effects = k.failed(n, StoreFault(Kind.CONFLICT))
        assert (effects == []) is (n < 3)
    assert not k.takes()


def test_batches_are_bounded_and_nothing_is_taken_past_the_backlog() -> None:
    k = keeper()
    for n in range(10):
        sends(k, 0, n, name=str(n))
        k.finished(0, f"x{n}", ENTRY, None)
    for _ in range(3):
        batch = k.next_batch(0)
        assert batch is not None and len(batch.intents) <= 4 >= len(batch.entries)
        k.committed(0, {i.name for i in batch.intents}, {})
    assert k.next_batch(0) is None
    for n in range(LIMITS.backlog):
        k.finished(0, f"y{n}", ENTRY, None)
    assert not k.takes() and sends(k, 0, 99) == [Moot((99, 0))]
    for _ in range(2 * DRIFTS):
        k.drifted(Drift(0, "", "", "", "", ""))
    assert k.size <= LIMITS.backlog + DRIFTS + 20


def test_trials_back_off_and_find_a_store_that_is_back_within_a_second() -> None:
    health, now = Health(Limits(), 3), 0.0
    waits = []
    for _ in range(12):
        health.began(now)
        health.failed(now)
        trial = health.next_trial()
        assert not health.may_try(trial - 0.01) and health.may_try(trial)
        waits.append(trial - now)
        now = trial
    assert waits[0] <= 50 and max(waits) <= Limits().longest_wait
    assert max(waits) + Limits().give_up < 1000 and health.stalls == 1
    assert health.advice(now, 10_000) > 0 and health.succeeded(now) > 0 and health.fit
