"""The whole program with a record: stalls, lost answers, kills, two lives, on SQLite and PostgreSQL."""

from __future__ import annotations

import asyncio
import random
import sqlite3
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

import pytest

from sabledyke.store import maintenance
from sabledyke.store.database_errors import StoreError
from sabledyke.store.section import Target
from sabledyke.store.session import SqliteSession
from tests.standins.postgres import Cut, Point, fault_at, nothing
from tests.store_rig import BACKENDS, StoreRig, rig

Story = Callable[[StoreRig], Awaitable[None]]


def play(tmp_path: Path, backend: str, story: Story, extra: str = "") -> None:
    async def run() -> None:
        async with rig(tmp_path, backend, extra) as made:
            await story(made)
            made.postgres.script = nothing
            if made.server.listeners:
                await made.leave()
            said: list[str] = []
            assert await maintenance.audit(made.target(), said.append), said
            assert await maintenance.reconcile(made.target(), said.append), said

    asyncio.run(run())


@pytest.mark.parametrize("backend", BACKENDS)
def test_what_is_served_is_in_the_journal_before_its_client_knows(tmp_path: Path, backend: str) -> None:
    async def story(made: StoreRig) -> None:
        answers = await asyncio.gather(*(made.put(f"k{n}", b"body", n, n % 2) for n in range(20)))
        assert [(s, b) for s, _, b in answers] == [(200, b"body")] * 20
        assert sorted(made.journal()) == sorted((f"k{n}", "served") for n in range(20))
        assert made.rows("SELECT state, count(*) FROM writes GROUP BY state") == [("served", 20)]
        assert await made.get(3, 1) == (200, b"body")
        columns = "class, volume, piece, shard, box, units, life"
        row = made.rows(f"SELECT {columns} FROM journal WHERE token = 'k3'")
        assert row == [("write", f"{1:016x}", f"{3:016x}", 1, "box-1", 1.0, 1)]

    play(tmp_path, backend, story)


@pytest.mark.parametrize("backend", BACKENDS)
def test_a_repeat_after_a_restart_keeps_to_window_and_cell(tmp_path: Path, backend: str) -> None:
    async def story(made: StoreRig) -> None:
        made.nodes[0].fates = ["lost"] * 8
        assert (await made.put("k"))[0] == 500
        sent = made.nodes[0].sent["k"]
        await made.kill()
        made.nodes[0].fates = []
        await made.live()
        assert (await made.put("k", shard=1))[0] == 500 and not made.nodes[1].sent  # another cell
        assert (await made.put("k"))[0] == 200 and made.nodes[0].effects["k"] == 1
        await made.kill()
        with sqlite3.connect(made.file) as db:
            db.execute("UPDATE writes SET at = at - 1500")
        await made.live()
        assert (await made.put("k"))[0] == 500  # past its window: not sent, though memory never held it
        assert (
            made.nodes[0].sent["k"] == sent + 1 and made.recording_transport.intents.position.incarnation == 3
        )

    play(tmp_path, backend, story)


@pytest.mark.parametrize("backend", BACKENDS)
def test_a_stall_refuses_keyed_writes_at_once_and_nothing_else_and_ends_by_itself(
    tmp_path: Path, backend: str, capfd: pytest.CaptureFixture[str]
) -> None:
    """The stall is of commits; the guard of the core answers nobody (an invariant, checked by the rig)."""

    async def story(made: StoreRig) -> None:
        assert (await made.put("before"))[0] == 200
        stalled, end = asyncio.Event(), asyncio.Event()

        async def script(point: Point) -> None:
            if point.what == "COMMIT" and not end.is_set():
                stalled.set()
                await end.wait()

        other = sqlite3.connect(made.file, isolation_level=None)
        if backend == "sqlite":
            other.execute("BEGIN EXCLUSIVE")
        else:
            made.postgres.script = script
        first = await asyncio.gather(*(made.put(f"first{n}", piece=n) for n in range(5)))
        assert {s for s, _, _ in first} <= {500, 503}
        later = [await made.put(f"later{n}", piece=n) for n in range(5)]
        assert all(s == 503 and float(h["retry-after"]) > 0 for s, h, _ in later)
        assert all([(await made.get(n))[0] == 200 for n in range(5)])
        assert not made.nodes[0].sent.keys() & {"first0", "later0"}  # nothing unrecorded was sent
        end.set()
        other.close()
        until = time.monotonic() + 5
        while (await made.put("after", piece=9))[0] != 200:
            assert time.monotonic() < until
        assert (
            made.recording_transport.intents.health.stalls == 1
            and made.recording_transport.intents.health.accepts_writes
        )

    play(tmp_path, backend, story)
    said = capfd.readouterr().err
    assert "keyed writes are rejected" in said and "it answers again after" in said


def test_a_start_waits_for_who_holds_the_file_just_now(tmp_path: Path) -> None:
    async def story(made: StoreRig) -> None:
        await made.leave()
        other = sqlite3.connect(made.file, isolation_level=None)
        other.execute("BEGIN EXCLUSIVE")
        asyncio.get_running_loop().call_later(0.5, other.close)
        await made.live()
        assert (await made.put("k"))[0] == 200

    play(tmp_path, "sqlite", story)


def test_a_start_waits_for_a_server_that_is_slow_to_take_it(tmp_path: Path) -> None:
    async def story(made: StoreRig) -> None:
        await made.leave()
        sessions = made.postgres.sessions

        async def script(point: Point) -> None:
            await asyncio.sleep(0.5 * (point.session == sessions + 1 and point.number == 1))

        made.postgres.script = script
        await made.live()
        assert made.postgres.sessions == sessions + 1

    play(tmp_path, "postgresql", story)


@pytest.mark.parametrize("backend", BACKENDS)
def test_a_served_write_that_cannot_be_journalled_is_answered_failed(tmp_path: Path, backend: str) -> None:
    async def story(made: StoreRig) -> None:
        made.nodes[0].fates = ["hold"]
        one = asyncio.create_task(made.put("k", wait=2.0))
        await made.nodes[0].held.wait()
        end = asyncio.Event()

        async def script(point: Point) -> None:
            if point.what == "COMMIT":
                await end.wait()

        made.postgres.script = script
        other = sqlite3.connect(made.file, isolation_level=None)
        if backend == "sqlite":
            other.execute("BEGIN IMMEDIATE")
        made.nodes[0].go.set()
        assert (await one)[0] == 500 and made.nodes[0].effects["k"] == 1
        end.set()
        other.close()
        await made.leave()
        outcomes = [o for k, o in made.journal() if k == "k"]
        assert outcomes[-1] == "unconfirmed" and made.rows("SELECT state FROM writes") == [("served",)]

    play(tmp_path, backend, story)


@pytest.mark.parametrize("fault", ["cut before", "cut after", "40001", "53300", "57P01", "slow"])
@pytest.mark.parametrize("message", range(1, 13))
def test_a_fault_at_every_message_of_the_record_repeats_nothing(
    tmp_path: Path, message: int, fault: str
) -> None:
    """Writes go on while the connection breaks, errs or lags at each message in turn."""

    async def story(made: StoreRig) -> None:
        first = made.postgres.sessions
        start = made.postgres.sessions_messages[first]
        made.postgres.script = fault_at(first, start + message, fault)
        answers = [await made.put(f"k{n}", f"{n}".encode(), n) for n in range(4)]
        until = time.monotonic() + 5
        while (await made.put("last", piece=9))[0] != 200:
            assert time.monotonic() < until
        assert {s for s, _, _ in answers} <= {200, 500, 503}
        if fault in ("40001", "slow"):
            assert {s for s, _, _ in answers} == {200}
        served = {k for k, outcome in made.journal() if outcome == "served"}
        assert {f"k{n}" for n, (s, _, _) in enumerate(answers) if s == 200} <= served
        assert all(n == 1 for n in made.nodes[0].sent.values())

    play(tmp_path, "postgresql", story)


@pytest.mark.parametrize("backend", BACKENDS)
@pytest.mark.parametrize("seed", range(3))
def test_a_random_schedule_of_kills_and_faults_repeats_nothing(
    tmp_path: Path, seed: int, backend: str
) -> None:
    """Clients repeat what failed, boxes lose answers, the server is killed anywhere, commits break."""

    async def story(made: StoreRig) -> None:
        chance = random.Random(seed)

        async def script(point: Point) -> None:
            if chance.random() < 0.01:
                raise Cut
            if point.what == "COMMIT" and chance.random() < 0.03:
                await asyncio.sleep(0.3)

        made.postgres.script = script
        served: set[str] = set()

        async def client(n: int) -> None:
            key = f"k{n}"
            for _ in range(3):
                with suppress(OSError, asyncio.IncompleteReadError):
                    if (await made.put(key, piece=n, shard=n % 2))[0] == 200:
                        served.add(key)
                        return
                await asyncio.sleep(chance.random() * 0.1)

        for life in range(3):
            for box in made.nodes:
                box.fates = [chance.choice(("ok", "ok", "lost", "cut")) for _ in range(12)]
            clients = [asyncio.create_task(client(life * 15 + n)) for n in range(15)]
            await asyncio.sleep(0.05 + chance.random() * 0.2)
            await made.kill()
            while True:
                try:
                    await made.live()
                    break
                except StoreError:
                    await asyncio.sleep(0.01)
            await asyncio.gather(*clients)
        for n in range(45, 65):  # on a busy machine each kill may come before anything was served
            if not served:
                await client(n)
        assert served
        for box in made.nodes:
            assert all(n == 1 for n in box.effects.values())
        journalled = {k for k, outcome in made.journal() if outcome == "served"}
        assert served <= journalled

    play(tmp_path, backend, story)


@pytest.mark.parametrize("backend", BACKENDS)
def test_the_database_rejects_what_an_older_life_writes(
    tmp_path: Path, backend: str, capfd: pytest.CaptureFixture[str]
) -> None:
    async def story(made: StoreRig) -> None:
        assert (await made.put("a"))[0] == 200
        older = made.server
        newer = await made.live()  # a second start under the same name
        assert made.recording_transport.intents.position.incarnation == 2
        made.server = older
        status, _, _ = await made.put("late")
        assert status == 503 and "late" not in made.nodes[0].sent
        assert (await made.get())[0] == 200  # reads go on
        made.server = newer
        assert (await made.put("b"))[0] == 200
        assert [k for k, _ in made.journal()] == ["a", "b"]
        made.server = older
        await made.leave()
        made.server = newer

    play(tmp_path, backend, story)
    assert "was taken over by a later start under this name" in capfd.readouterr().err


def test_todays_file_is_upgraded_in_place_with_all_its_rows(tmp_path: Path) -> None:
    path = tmp_path / "record.sqlite3"
    now = time.time() * 1000
    with sqlite3.connect(path) as db:
        db.execute(
            "CREATE TABLE writes (name TEXT PRIMARY KEY, at REAL NOT NULL, shard INTEGER NOT NULL,"
            " zone INTEGER NOT NULL, state TEXT NOT NULL) WITHOUT ROWID"
        )
        rows = [("1/1/old", now - 5000, 0, 0, "unknown"), ("1/1/new", now, 0, 0, "sent")]
        rows.append(("1/1/never", now, 0, 0, "never"))
        db.executemany("INSERT INTO writes VALUES (?, ?, ?, ?, ?)", rows)

    async def story(made: StoreRig) -> None:
        assert made.rows("SELECT name, state FROM writes ORDER BY name") == [
            ("1/1/never", "never"),
            ("1/1/new", "sent"),
            ("1/1/old", "unknown"),
        ]
        assert (await made.put("old"))[0] == 500 and not made.nodes[0].sent  # past its window
        assert (await made.put("never", shard=1))[0] == 200 and (await made.put("new"))[0] == 200
        assert made.rows("SELECT version FROM schema_version") == [(2,)]

    play(tmp_path, "sqlite", story)


def test_answers_that_differ_from_what_was_written_are_told_and_recorded(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    async def run() -> None:
        async with rig(tmp_path, "sqlite") as made:
            assert (await made.put("k", b"right", 5))[0] == 200 and await made.get(5) == (200, b"right")
            path = next(iter(made.nodes[0].pieces))
            made.nodes[0].pieces[path] = b"wrong"
            assert await made.get(5) == (200, b"wrong") and await made.get(5) == (200, b"wrong")
            await made.leave()
            said: list[str] = []
            assert not await maintenance.reconcile(made.target(), said.append)
            assert "boxes that showed other data than was written: 1" in said and "box-0" in "".join(said)

    asyncio.run(run())
    assert capfd.readouterr().err.count("drift: box-0 shows volume") == 1


@pytest.mark.parametrize(
    ("pragma", "back"),
    [
        ("max_page_count = 1", "max_page_count = 1000000"),
        ("query_only = 1", "query_only = 0"),
    ],
)
def test_a_full_or_read_only_disk_in_service_is_a_stall_and_loses_nothing(
    tmp_path: Path, pragma: str, back: str
) -> None:
    async def story(made: StoreRig) -> None:
        assert (await made.put("before"))[0] == 200
        session = made.recording_transport.writer.session
        assert isinstance(session, SqliteSession)
        made.nodes[0].fates = ["hold"]
        held = asyncio.create_task(made.put("held", piece=2))
        await made.nodes[0].held.wait()
        await session.run(lambda db: db.execute(f"PRAGMA {pragma}").close())
        made.nodes[0].go.set()
        assert (await held)[0] in (200, 500)  # a page may have had room for one more entry
        n = 0
        while (await made.put(f"k{n}", b"x" * 3000, n))[0] == 200:  # until the pages that are there are full
            n += 1
        assert (await made.get())[0] == 200 and not made.recording_transport.intents.accepts_writes()
        await session.run(lambda db: db.execute(f"PRAGMA {back}").close())
        until = time.monotonic() + 5
        while (await made.put("after", piece=9))[0] != 200:
            assert time.monotonic() < until
        assert {"before", "held", "after"} <= {k for k, _ in made.journal()}

    play(tmp_path, "sqlite", story)


@pytest.mark.parametrize(
    ("make", "says"),
    [
        ("corrupt", "is corrupt"),
        ("newer", "a schema that this version does not know"),
        ("folder", "cannot be reached"),
        ("half", "a restore into it was not finished"),
        ("password", "refuses the name or password"),
        ("down", "cannot be reached"),
    ],
)
def test_a_store_that_cannot_be_used_ends_the_start_in_one_line(tmp_path: Path, make: str, says: str) -> None:
    async def run() -> str:
        made = StoreRig(tmp_path, "sqlite" if make not in ("password", "down") else "postgresql")
        await made.discovery.open()
        await made.postgres.open()
        if make == "corrupt":
            Path(made.path).write_bytes(b"no database at all" * 100)
        elif make in ("newer", "half"):
            assert await maintenance.migrate(Target(path=made.path), lambda _: None)
            with sqlite3.connect(made.path) as db:
                db.execute(f"UPDATE schema_version SET version = {99 if make == 'newer' else -2}")
        elif make == "folder":
            made.path = str(tmp_path / "nowhere" / "record.sqlite3")
        elif make == "password":
            made.postgres.password = "another"
        else:
            made.postgres.die()
        with pytest.raises(StoreError) as raised:
            await made.live()
        made.discovery.die()
        await made.postgres.end()
        return str(raised.value)

    said = asyncio.run(run())
    assert says in said and "\n" not in said and "secret" not in said
