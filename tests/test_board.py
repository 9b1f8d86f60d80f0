"""The board against a plain dict: appends, lives, repeats, compaction with a kill at every step, late
joiners.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Awaitable, Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion

from sabledyke.compacted_log import client, registers, section
from sabledyke.compacted_log.client import Board, Pen
from sabledyke.compacted_log.compaction import Policy
from sabledyke.compacted_log.etcd_backend import EtcdShelf
from sabledyke.compacted_log.reader import Again, Caught, Follower, Gone, News, Put
from sabledyke.compacted_log.records import BATCH, KEY_MOST, VALUE_MOST, Cell, Draft, Shelf, message_key
from sabledyke.compacted_log.sqlite_backend import TableShelf
from sabledyke.errors import (
    CompactedLogError,
    LogFullError,
    LogSchemaError,
    OperatorError,
    StaleWriterError,
    WriteConflictError,
)
from sabledyke.testbed.etcd_server import Etcd

POLICY = Policy(lag=6, tomb_ms=50, dirty=0.3, bytes_s=1e12)
BACKENDS = ("table", "etcd")


class Killed(BaseException):
    """The process dies at this call."""


@dataclass
class Faulty:
    """A shelf whose ``dies``-th commit from now is the process's last: done, or not, but never heard of."""

    inner: Shelf
    dies: int = -1
    done: bool = True
    lost: int = 0  # answers of commits that get lost on the way, though they were done

    async def get(self, keys: Sequence[str]) -> dict[str, Cell]:
        return await self.inner.get(keys)

    async def scan(self, first: str, end: str, most: int) -> list[tuple[str, Cell]]:
        return await self.inner.scan(first, end, most)

    async def commit(
        self, checks: Mapping[str, int], puts: Mapping[str, bytes], drops: Collection[str] = ()
    ) -> bool:
        self.dies -= 1
        if self.dies == -1 and not self.done:
            raise Killed
        made = await self.inner.commit(checks, puts, drops)
        if self.dies == -1:
            raise Killed
        if self.lost:
            self.lost -= 1
            raise CompactedLogError("the answer got lost")
        return made

    async def open(self) -> None:
        await self.inner.open()

    async def close(self) -> None:
        await self.inner.close()


@dataclass
class Setting:
    """A board on one of the backends, and a clock that the test moves."""

    shelf: Faulty
    board: Board
    path: str
    now: float = 0.0
    tokens: list[int] = field(default_factory=lambda: [1])

    async def clean(self, token: int | None = None, policy: Policy = POLICY) -> int:
        given = self.tokens[-1] if token is None else token
        return await self.board.clean("t", policy, lambda: given, lambda: self.now)

    async def join(self) -> dict[str, bytes | None]:
        reader = Follower()
        await self.board.catch_up("t", reader, 3)
        return {key: m.value for key, m in reader.state.items()}


def on(backend: str, story: Callable[[Setting], Awaitable[None]]) -> None:
    async def run() -> None:
        with tempfile.TemporaryDirectory() as folder:
            etcd = Etcd()
            await etcd.open()
            path = str(Path(folder) / "board.sqlite3")
            inner: Shelf = (
                TableShelf(path) if backend == "table" else EtcdShelf([f"127.0.0.1:{etcd.port}"], "x/")
            )
            shelf = Faulty(inner)
            await shelf.open()
            async with asyncio.timeout(60):
                await story(Setting(shelf, Board(shelf, 1), path))
            await shelf.close()
            await etcd.close()

    asyncio.run(run())


@pytest.mark.parametrize("backend", BACKENDS)
@pytest.mark.parametrize("seed", range(6))
def test_it_is_as_a_dict_also_when_cleaners_and_writers_die_at_any_step(
    backend: str, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Random appends, tombstones, passes killed at a random commit, readers that come late or were long
    away; answers get lost, and are asked for again by the board, or by who wrote.
    """
    monkeypatch.setattr(client, "PATIENCE", 5.0 * (seed % 2))

    async def story(made: Setting) -> None:
        random, model, last = Random(seed), dict[str, bytes](), dict[str, int]()
        pen = await made.board.claim("t", "w")
        readers = [Follower() for _ in range(3)]
        views: list[dict[str, bytes | None]] = [{} for _ in readers]
        offsets: list[int] = []
        for n in range(160):
            made.now += random.random() * 20
            match random.choice("aaaaaddcr"):
                case "a" | "d" as what:
                    drafts = []
                    for key in random.sample("abcdefghij", random.randint(1, 3)):
                        value = None if what == "d" else b"%d" % n + b"x" * random.randint(0, 9)
                        drafts.append(Draft(key, value, last.get(key) if random.random() < 0.3 else None))
                    made.shelf.lost = random.random() < 0.2
                    try:
                        given = await pen.append(drafts)
                    except CompactedLogError:
                        assert not client.PATIENCE
                        given = await pen.append(drafts)
                    for draft, offset in zip(drafts, given, strict=True):
                        last[draft.key] = offset
                        model.pop(draft.key, None)
                        if draft.value is not None:
                            model[draft.key] = draft.value
                    offsets += given
                case "c":
                    made.shelf.dies, made.shelf.done = random.randint(0, 6), random.random() < 0.5
                    try:
                        await made.clean()
                    except Killed:
                        made.tokens.append(made.tokens[-1] + 1)  # another cleaner takes over
                    made.shelf.dies = -1
                case "r":
                    i = random.randrange(3)
                    for news in await made.board.catch_up("t", readers[i], random.randint(1, 5)):
                        if isinstance(news, Put):
                            views[i][news.message.key] = news.message.value
                        elif isinstance(news, Gone):
                            views[i].pop(news.key, None)
                    assert views[i] == model, (n, i)
            # What was dropped and the key's place go together: an offset that is expected still tells.
            last = {k: o for k, o in last.items() if k in model}
        assert offsets == sorted(set(offsets))  # they only rise, and none is given twice
        for _ in range(3):
            assert await made.join() == model
            made.now += 100
            await made.clean()
        kept = await made.board.page("t", 1)
        assert len(kept) <= len(model) + POLICY.lag + 10  # the latest of each, and the newest part
        head = await made.board.head("t")
        assert head.size == sum(m.size for m in kept) and head.dirty >= 0

    on(backend, story)


@pytest.mark.parametrize("backend", BACKENDS)
def test_conditions_lives_and_repeats(backend: str) -> None:
    async def story(made: Setting) -> None:
        client = made.board
        pen = await client.claim("t", "w")
        (first,) = await pen.append([Draft("k", b"1", 0)])
        with pytest.raises(WriteConflictError):
            await pen.append([Draft("k", b"2", 0)])
        with pytest.raises(WriteConflictError):  # it rests on another key, which has moved
            await pen.append([Draft("l", b"2")], {"k": first + 7})
        (second,) = await pen.append([Draft("k", b"2", first)], {"k": first}, first + 1)
        with pytest.raises(WriteConflictError):  # something was said since it looked
            await pen.append([Draft("k", b"3")], end=second)
        made.shelf.lost = 2  # written, not heard of, asked again: taken once
        (third,) = await pen.append([Draft("k", b"3")])
        assert [m.value for m in await client.page("t", third)] == [b"3"] and third == second + 1
        later = await client.claim("t", "w")
        for stale in (pen, Pen(client, "t", pen.writer)):
            with pytest.raises(StaleWriterError):
                await stale.append([Draft("k", b"4")])
        await later.append([Draft("k", b"5")])
        coordinators = [client.pen("t", "c", life) for life in (7, 9, 9)]
        await coordinators[0].append([Draft("x", b"")])
        await coordinators[1].append([Draft("x", b"")])
        for behind in (coordinators[0], coordinators[2]):  # an older token, and the same in another's hands
            with pytest.raises(StaleWriterError):
                await behind.append([Draft("x", b"")])
        large = [Draft("k" * (KEY_MOST + 1), b"")], [Draft("k", b"x" * (VALUE_MOST + 1))]
        many = [Draft("k", b""), Draft("k", b"")], [Draft(str(n), b"") for n in range(BATCH + 1)]
        for bad in ([], [Draft("", b"")], *large, *many):
            with pytest.raises(LogFullError):
                await later.append(bad)

    on(backend, story)


@pytest.mark.parametrize("backend", BACKENDS)
def test_a_register_keeps_the_latest_word_of_the_latest_life(backend: str) -> None:
    async def story(made: Setting) -> None:
        names = [f"w{i}" for i in range(registers.PAGE + 3)]
        pens = [await made.board.claim("t", name) for name in names]
        cells = [registers.Register(made.shelf, "t", pen.writer) for pen in pens]
        for cell, name in zip(cells, names, strict=True):
            await cell.put({name: name.encode()})
        await cells[0].put({"w0": b"again", "load/w0": b"7"})
        found = await registers.read(made.shelf, "t")
        assert found == {n: n.encode() for n in names} | {"w0": b"again", "load/w0": b"7"}
        later = registers.Register(made.shelf, "t", (await made.board.claim("t", "w0")).writer)
        for _ in range(2):  # the older life is refused, whether or not the later one has written
            with pytest.raises(StaleWriterError):
                await cells[0].put({"w0": b"old"})
            with pytest.raises(StaleWriterError):  # also one that had not looked yet
                await registers.Register(made.shelf, "t", pens[0].writer).put({"w0": b"old"})
            await later.put({"w0": b"new"})
        with pytest.raises(LogFullError, match="a value has at most"):
            await later.put({"w0": b"x" * (VALUE_MOST + 1)})
        await registers.drop(made.shelf, "t", ["w1", "load/w0"])
        assert (await registers.read(made.shelf, "t")).keys() == set(names) - {"w1"}
        assert (await registers.read(made.shelf, "t"))["w0"] == b"new" and not await made.join()

    on(backend, story)


@pytest.mark.parametrize("backend", BACKENDS)
def test_many_writers_at_once_each_get_their_own_offsets(backend: str) -> None:
    async def story(made: Setting) -> None:
        pens = [await made.board.claim("t", f"w{i}") for i in range(6)]

        async def write(pen: Pen, i: int) -> list[int]:
            return [(await pen.append([Draft(f"{i}", b"%d" % n)]))[0] for n in range(10)]

        given = await asyncio.gather(*(write(pen, i) for i, pen in enumerate(pens)))
        assert sorted(o for some in given for o in some) == list(range(1, 61))
        assert await made.join() == {f"{i}": b"9" for i in range(6)}

    on(backend, story)


@pytest.mark.parametrize("backend", BACKENDS)
def test_an_older_cleaner_changes_nothing_and_the_newest_part_stays(backend: str) -> None:
    async def story(made: Setting) -> None:
        pen = await made.board.claim("t", "w")
        for n in range(30):
            await pen.append([Draft("k", b"%d" % n)])
        await made.clean(5)
        kept = [m.offset for m in await made.board.page("t", 1)]
        assert kept[-POLICY.lag :] == list(range(31 - POLICY.lag, 31)) and len(kept) <= POLICY.lag + 1
        for n in range(30):
            await pen.append([Draft("k", b"%d" % n)])
        with pytest.raises(StaleWriterError):
            await made.clean(4)
        assert (await made.board.page("t", 1))[-1].offset == 60 and await made.join() == {"k": b"29"}

    on(backend, story)


@pytest.mark.parametrize("tomb_ms, again", [(50.0, True), (1e9, False)])
def test_who_was_away_for_longer_than_tombstones_are_kept_is_told_so(tomb_ms: float, again: bool) -> None:
    async def story(made: Setting) -> None:
        pen, reader = await made.board.claim("t", "w"), Follower()
        await pen.append([Draft(k, b"1") for k in "abc"])
        await made.board.catch_up("t", reader)
        await pen.append([Draft("b", None)])
        for n in range(20):
            await pen.append([Draft("z", b"%d" % n)])
            made.now += 20
            await made.clean(policy=Policy(3, tomb_ms, 0.1, 1e12))
        news = await made.board.catch_up("t", reader)
        assert (Again() in news) is again and Gone("b") in news and "b" not in reader.state
        assert set(reader.state) == {"a", "c", "z"} and reader.caught
        small = Follower(2)
        with pytest.raises(LogFullError):
            await made.board.catch_up("t", small)

    on("table", story)


def test_a_file_of_a_newer_version_or_none_at_all_is_one_plain_error(tmp_path: Path) -> None:
    async def story(made: Setting) -> None:
        inner: Any = made.shelf.inner
        await inner._do(lambda db: db.execute("UPDATE board_about SET schema = 99").fetchall())
        with pytest.raises(LogSchemaError, match="schema 99"):
            await TableShelf(made.path).open()
        spoilt = tmp_path / "spoilt"
        spoilt.write_bytes(b"no database" * 100)
        with pytest.raises(LogSchemaError, match="spoilt"):
            await TableShelf(str(spoilt)).open()

    on("table", story)


@pytest.mark.parametrize(
    "of, said",
    [
        ({"topics": ["prices", "stock-2"], "clean_s": 1}, ""),
        ({"topics": ["fleet"]}, "'fleet' is the fleet's"),
        ({"topics": ["a/b"]}, "letters, digits"),
        ({"topics": ["a", "a"]}, "names one twice"),
        ({"clean_s": 0}, "board.clean_s must be a number >= 0.1, not 0"),
        ({"etcd": ["127.0.0.1:1"]}, "either path"),
    ],
)
def test_a_section_is_read_whole_or_not_at_all(of: dict[str, Any], said: str) -> None:
    table = {"path": "b", **of}
    if said:
        with pytest.raises(OperatorError, match=said):
            section.read(table)
        return
    made = section.read(table)
    assert made is not None and made.topics == ("prices", "stock-2") and made.clean == 1.0


def test_offsets_sort_as_their_cells_do() -> None:
    assert sorted(message_key("t", n) for n in (1, 15, 16, 255, 4096)) == [
        message_key("t", n) for n in (1, 15, 16, 255, 4096)
    ]


def _line(news: News) -> str:
    match news:
        case Put(message):
            return f"{message.key} is {(message.value or b'').decode()}"
        case Gone(key):
            return f"{key} is gone"
        case Again():
            return "starts again"
        case Caught(upto):
            return f"knows all up to {upto}"


def test_what_a_late_joiner_and_one_long_away_are_told_is_as_approved(snapshot: SnapshotAssertion) -> None:
    """Price lists by article, cleaned on the way; read the difference, then pytest --snapshot-update."""
    told = list[str]()

    async def story(made: Setting) -> None:
        pen, early, late = await made.board.claim("t", "w"), Follower(), Follower()

        async def say(*words: str) -> None:
            for key, _, value in (word.partition("=") for word in words):
                await pen.append([Draft(key, value.encode() or None)])

        async def hear(who: str, reader: Follower) -> None:
            told.extend(f"{who}: {_line(news)}" for news in await made.board.catch_up("t", reader, 3))

        await say("milk=1.20", "bread=2.10", "eggs=3.00", "milk=1.25")
        await hear("early", early)
        await say("eggs=", "bread=2.20", "salt=0.80", "milk=1.30", "bread=2.30", *["oil=6.00"] * 6)
        for _ in range(3):  # a pass leaves its mark, and a later one drops tombstones below it
            await made.clean()
            made.now += 60
        await hear("late", late)
        await say("oil=6.10", "salt=")
        await hear("late", late)
        await hear("early", early)
        assert {k: m.value for k, m in early.state.items()} == await made.join()

    on("table", story)
    table, told[:] = "\n".join(told), []
    on("etcd", story)
    assert "\n".join(told) == table == snapshot
