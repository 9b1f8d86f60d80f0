"""A database as a box: reads and keyed writes through the whole program, with faults at every message."""

from __future__ import annotations

import asyncio
import sqlite3
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from sabledyke import invariants, log, operator_config
from sabledyke.application.server import Server
from sabledyke.config import Config
from sabledyke.protocol import discovery
from sabledyke.store.in_doubt import Doubt, Next, Verdict
from sabledyke.store.section import Box, Section, Target
from tests.helpers import BRISK
from tests.standins import Discovery, ask
from tests.standins.postgres import Cut, Point, Postgres, fault_at, nothing
from tests.store_rig import BACKENDS
from tests.test_net import DEPLOYMENT, GET, PUT

INFO = "IO-Info: units=1,shard=0,hosts=1\n"


class LinkRig:
    """A server before one box, a database of either kind."""

    def __init__(self, tmp_path: Path, backend: str) -> None:
        self.backend, self.path = backend, str(tmp_path / "box.sqlite3")
        self.postgres, self.discovery = Postgres(self.path), Discovery()
        self.ids = 0

    async def __aenter__(self) -> LinkRig:
        invariants.violations.clear()
        log._limiter = log.Limiter()
        await self.postgres.open()
        await self.discovery.open()
        self.discovery.add("db", self.postgres.port, 0)
        if self.backend == "sqlite":
            target = Target(path=self.path)
        else:
            target = Target(host="elsewhere", database="d", user="sabledyke", password="secret")
        store = Section(boxes=(Box(b"db", target, 3),))
        known = discovery.read_listing(self.discovery.listing(), DEPLOYMENT, cached=True)
        here = ("127.0.0.1", self.discovery.port)
        config = Config("n0", ("127.0.0.1", 0), here, 1, 256, 1 << 22, known, DEPLOYMENT)
        self.server = Server(config, operator_config.OperatorConfig(store=store), BRISK)
        await self.server.open()
        self.server.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.postgres.script = nothing
        self.server.leave()
        await self.server.finish()
        self.discovery.die()
        await self.postgres.end()
        assert not invariants.violations

    async def put(self, key: str, body: bytes = b"x", piece: int = 1) -> tuple[int, bytes]:
        self.ids += 1
        more = f"{INFO}Idempotency-Key: {key}\nContent-Length: {len(body)}\n"
        text = PUT.format(f"{piece:x}", f"w{self.ids}", more)
        status, _, answer = await ask(self.server.listeners[0].port, text, body)
        return status, answer

    async def warm(self) -> None:
        """A first piece, once the machine lets a connection come up in its 250 ms."""
        until = time.monotonic() + 5
        while (await self.put("first", piece=9))[0] != 200:
            assert time.monotonic() < until

    async def get(self, piece: int = 1) -> tuple[int, bytes]:
        self.ids += 1
        text = GET.format(f"{piece:x}", f"r{self.ids}", INFO)
        status, _, body = await ask(self.server.listeners[0].port, text)
        return status, body

    def rows(self, sql: str) -> list[tuple[object, ...]]:
        with sqlite3.connect(self.path) as db:
            return db.execute(sql).fetchall()

    def sent(self, start: str) -> int:
        """How often a statement that begins so reached the server."""
        return sum(s.startswith(start) for s in self.postgres.statements)


def play(tmp_path: Path, backend: str, story: Callable[[LinkRig], Awaitable[None]]) -> None:
    async def run() -> None:
        async with asyncio.timeout(30), LinkRig(tmp_path, backend) as made:
            await story(made)

    asyncio.run(run())


@pytest.mark.parametrize("backend", BACKENDS)
def test_pieces_are_written_and_read_and_a_repeat_gets_the_first_result(tmp_path: Path, backend: str) -> None:
    async def story(made: LinkRig) -> None:
        status, first = await made.put("k", b"one")
        assert status == 200 and await made.get() == (200, b"one")
        assert await made.put("k", b"two") == (200, first) and await made.get() == (200, b"one")
        assert (await made.put("l", b"three"))[0] == 200 and await made.get() == (200, b"three")
        assert (await made.get(99))[0] == 503  # a read: nothing was served, and asking again is harmless
        answers = await asyncio.gather(*(made.put(f"m{n}", b"%d" % n, n) for n in range(12)))
        assert {s for s, _ in answers} == {200}
        assert [await made.get(n) for n in range(12)] == [(200, b"%d" % n) for n in range(12)]
        assert len(made.rows("SELECT * FROM keys")) == 14
        assert made.postgres.sessions <= 3  # the box's bound on connections

    play(tmp_path, backend, story)


def first_commit(fault: Callable[[Point], Awaitable[None]], stage: str) -> Callable[[Point], Awaitable[None]]:
    """A script that acts at the first COMMIT after a key was claimed."""
    seen: list[Point] = []
    claimed: set[int] = set()

    async def script(point: Point) -> None:
        if point.what.startswith("INSERT INTO keys"):
            claimed.add(point.session)
        if point.what == "COMMIT" and point.session in claimed and point.stage == stage and not seen:
            seen.append(point)
            await fault(point)

    return script


async def cut(_: Point) -> None:
    raise Cut


def test_a_commit_whose_answer_is_lost_is_found_by_its_key(tmp_path: Path) -> None:
    async def story(made: LinkRig) -> None:
        await made.warm()
        made.postgres.script = first_commit(cut, "after")
        status, result = await made.put("k", b"one")
        assert status == 200 and await made.put("k", b"two") == (200, result)
        assert await made.get() == (200, b"one") and len(made.rows("SELECT * FROM keys")) == 2

    play(tmp_path, "postgresql", story)


def test_a_commit_that_never_happened_is_fenced_and_only_then_made_again(tmp_path: Path) -> None:
    async def story(made: LinkRig) -> None:
        await made.warm()
        made.postgres.script = first_commit(cut, "before")
        claims = made.sent("INSERT INTO keys")
        assert (await made.put("k", b"one"))[0] == 200 and await made.get() == (200, b"one")
        assert made.sent("INSERT INTO keys") == claims + 3  # the claim, its fence, the claim made again
        assert made.rows("SELECT state FROM keys WHERE name LIKE '%k'") == [("done",)]

    play(tmp_path, "postgresql", story)


def test_a_commit_that_happens_late_is_waited_for_not_repeated(tmp_path: Path) -> None:
    """The connection is lost, and the old transaction commits only later: absence alone would mislead."""

    async def story(made: LinkRig) -> None:
        await made.warm()

        async def late(_: Point) -> None:
            for writer in made.postgres._writers:
                writer.transport.abort()
            await asyncio.sleep(0.15)  # the server goes on with what it has received

        made.postgres.script = first_commit(late, "before")
        claims = made.sent("INSERT INTO keys")
        assert (await made.put("k", b"one"))[0] == 200
        assert made.sent("INSERT INTO keys") == claims + 2  # the claim and the fence that waited for it
        assert made.rows("SELECT state FROM keys WHERE name LIKE '%k'") == [("done",)]

    play(tmp_path, "postgresql", story)


def test_a_commit_that_stalls_past_the_deadline_may_have_run_and_is_not_repeated(tmp_path: Path) -> None:
    async def story(made: LinkRig) -> None:
        await made.warm()

        over = []

        async def stall(_: Point) -> None:
            await asyncio.sleep(5)
            over.append(True)

        made.postgres.script = first_commit(stall, "before")
        claims = made.sent("INSERT INTO pieces")
        assert (await made.put("k", b"one"))[0] == 500 and not over  # long before the stall ends
        assert made.sent("INSERT INTO pieces") == claims + 1
        assert await made.get(9) == (200, b"x")  # reads are not held up

    play(tmp_path, "postgresql", story)


@pytest.mark.parametrize("fault", ["cut before", "cut after", "40001", "53300", "57P01", "slow"])
@pytest.mark.parametrize("message", range(1, 24, 3))
def test_a_fault_at_every_message_leaves_one_effect_and_a_true_answer(
    tmp_path: Path, message: int, fault: str
) -> None:
    async def story(made: LinkRig) -> None:
        await made.warm()
        first, start = max(made.postgres.sessions_messages.items())
        made.postgres.script = fault_at(first, start + message, fault)
        status, _ = await made.put("k", b"one")
        assert status in (200, 500, 503)
        done = made.rows("SELECT state FROM keys WHERE name LIKE '%k'")
        piece = made.rows(f"SELECT body FROM pieces WHERE piece = '{1:016x}'")
        assert piece == ([(b"one",)] if done == [("done",)] else [])
        if status == 200:
            assert piece
        if status == 503:
            assert not piece  # refused: trying again is harmless
        until = time.monotonic() + 5
        while (await made.put("k", b"one"))[0] != 200:  # the module may try the box singly first
            assert time.monotonic() < until
        assert await made.get() == (200, b"one")

    play(tmp_path, "postgresql", story)


def test_a_locked_file_turns_work_away_and_a_given_up_commit_never_happens(tmp_path: Path) -> None:
    async def story(made: LinkRig) -> None:
        await made.warm()
        other = sqlite3.connect(made.path, isolation_level=None)
        other.execute("BEGIN IMMEDIATE")
        assert (await made.put("k", b"one"))[0] == 503 and await made.get(9) == (200, b"x")
        other.execute("COMMIT")
        other.close()
        assert not made.rows("SELECT * FROM keys WHERE name LIKE '%k'")
        assert (await made.put("k", b"one"))[0] == 200

    play(tmp_path, "sqlite", story)


def test_boxes_that_are_gone_leave_no_connection(tmp_path: Path) -> None:
    async def story(made: LinkRig) -> None:
        assert (await made.put("k"))[0] == 200
        made.discovery.hosts.pop()
        made.server._listed(discovery.read_listing(made.discovery.listing(), DEPLOYMENT))
        while made.postgres._writers:
            await asyncio.sleep(0.005)

    play(tmp_path, "postgresql", story)


def test_doubt_asks_until_it_is_known() -> None:
    doubt = Doubt("a1", 1000)
    assert doubt.next(0) is Next.LOOK_UP
    doubt.absent()
    assert doubt.next(0) is Next.FENCE  # absence proves nothing
    doubt.fenced()
    assert doubt.next(0) is Next.LOOK_UP
    doubt.found("a1", "fenced", b"")
    assert doubt.next(0) is Next.NOTHING and doubt.verdict is Verdict.NEVER
    for state, attempt in (("done", "a0"), ("done", "a1")):
        doubt = Doubt("a1", 1000)
        doubt.found(attempt, state, b"r")
        assert doubt.verdict is Verdict.SERVED and doubt.result == b"r"
    doubt = Doubt("a1", 1000)
    doubt.found("a0", "fenced", b"")  # an earlier attempt's fence says nothing of this one
    assert doubt.next(0) is Next.FENCE and doubt.verdict is Verdict.MAY_HAVE_RUN
    for _ in range(Doubt.MOST):
        doubt.failed()
    assert doubt.next(0) is Next.NOTHING and Doubt("a", 10).next(0) is Next.NOTHING
