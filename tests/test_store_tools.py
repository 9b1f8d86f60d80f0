"""The operators' commands, the section's checks, and the program killed for real."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sqlite3
import subprocess
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson
import pytest

from sabledyke.__main__ import main
from sabledyke.errors import OperatorError
from sabledyke.store import maintenance, section, startup, statements
from sabledyke.store.connect import connect
from sabledyke.store.database_errors import StoreError
from sabledyke.store.drift import DriftWatch
from sabledyke.store.intent_manager import Keeper
from sabledyke.store.section import Target
from sabledyke.store.types import Sent, Step
from tests.standins.postgres import Postgres
from tests.store_rig import BACKENDS, KeyedBox, StoreRig, rig
from tests.test_outside import ROOT, nested
from tests.test_store_keeper import ENTRY, KEYED, LIMITS

Check = Callable[[StoreRig, list[str]], Any]


def filled(tmp_path: Path, backend: str, check: Check) -> list[str]:
    """A record with 30 served writes of two instances' worth of lives, and what a check says of it."""
    said: list[str] = []

    async def run() -> None:
        async with rig(tmp_path, backend) as made:
            for life in range(2):
                await asyncio.gather(*(made.put(f"k{life}-{n}", piece=n) for n in range(15)))
                await made.leave()
                if not life:
                    await made.live()
            await check(made, said)

    asyncio.run(run())
    return said


def spoil(made: StoreRig, sql: str) -> None:
    with sqlite3.connect(made.file) as db:
        db.execute(sql)


@pytest.mark.parametrize("backend", BACKENDS)
@pytest.mark.parametrize(
    ("sql", "says"),
    [
        ("SELECT 1", "the chain holds"),
        ("UPDATE journal SET units = 2 WHERE seq = 7", "entry 7 was changed"),
        ("UPDATE journal SET outcome = 'failed' WHERE seq = 30", "entry 30 was changed"),
        ("DELETE FROM journal WHERE seq = 7", "entry 7 is missing"),
        ("DELETE FROM journal WHERE seq IN (8, 9)", "entries 8 to 9 are missing"),
        ("DELETE FROM journal WHERE seq > 28", "entries 29 to 30 are missing at the end"),
        ("UPDATE lives SET seq = 29", "entries 30 to 30 were appended by no batch"),
        ("DELETE FROM lives", "never started here"),
    ],
)
def test_an_audit_names_what_was_tampered_with(tmp_path: Path, backend: str, sql: str, says: str) -> None:
    async def check(made: StoreRig, said: list[str]) -> None:
        assert await maintenance.audit(made.target(), said.append)
        said.clear()
        spoil(made, sql)
        assert await maintenance.audit(made.target(), said.append) is (sql == "SELECT 1")

    assert says in "\n".join(filled(tmp_path, backend, check))


@pytest.mark.parametrize("backend", BACKENDS)
def test_backup_and_restore_keep_every_row_and_lock_older_lives_out(tmp_path: Path, backend: str) -> None:
    copy, fresh = str(tmp_path / "copy.sqlite3"), Target(path=str(tmp_path / "fresh.sqlite3"))

    async def check(made: StoreRig, said: list[str]) -> None:
        await made.live()  # in service, meanwhile
        assert await maintenance.backup(made.target(), copy, said.append)
        assert (await made.put("later"))[0] == 200
        with pytest.raises(StoreError, match="exists already"):
            await maintenance.backup(made.target(), copy, said.append)
        with pytest.raises(StoreError, match="needs an empty one"):
            await maintenance.restore(made.target(), copy, said.append)
        assert await maintenance.restore(fresh, copy, said.append) and await maintenance.audit(
            fresh, said.append
        )
        with sqlite3.connect(fresh.path) as db:
            assert db.execute("SELECT count(*) FROM journal").fetchone() == (30,)
            assert db.execute("SELECT count(*) FROM writes").fetchone() == (30,)
            assert db.execute("SELECT life FROM lives").fetchone() == (4,)
        with sqlite3.connect(copy) as db:
            db.execute("UPDATE journal SET digest = '' WHERE seq = 3")
        other = Target(path=str(tmp_path / "other.sqlite3"))
        assert not await maintenance.restore(other, copy, said.append) and "nothing was restored" in said

    filled(tmp_path, backend, check)


def test_a_restore_that_was_not_finished_is_not_taken_for_a_record(tmp_path: Path) -> None:
    copy, fresh = str(tmp_path / "copy.sqlite3"), Target(path=str(tmp_path / "fresh.sqlite3"))

    async def check(made: StoreRig, said: list[str]) -> None:
        assert await maintenance.backup(made.target(), copy, said.append)
        with sqlite3.connect(copy) as db:
            db.execute("CREATE TRIGGER broken BEFORE INSERT ON writes BEGIN SELECT RAISE(ABORT, 'x'); END")
        session = await connect(fresh)
        await startup.migrate(session)
        await session.query("CREATE TRIGGER full BEFORE INSERT ON writes BEGIN SELECT RAISE(ABORT, 'x'); END")
        await session.close()
        with pytest.raises(Exception, match="x"):
            await maintenance.restore(fresh, copy, said.append)
        assert not await maintenance.check(fresh, said.append) and "was not finished" in said[-1]

    filled(tmp_path, "sqlite", check)


@pytest.mark.parametrize("backend", BACKENDS)
def test_reconcile_tells_what_disagrees(tmp_path: Path, backend: str) -> None:
    async def check(made: StoreRig, said: list[str]) -> None:
        spoil(made, "UPDATE writes SET state = 'unknown' WHERE name LIKE '%k0-1'")
        assert await maintenance.reconcile(made.target(), said.append)  # served in the journal: not in doubt
        spoil(made, "UPDATE writes SET state = 'never' WHERE name LIKE '%k0-2'")
        spoil(made, "INSERT INTO writes VALUES ('1/9/lost', 1, 0, 0, 'served', 'n0', 1)")
        spoil(made, "INSERT INTO writes VALUES ('1/9/open', 1, 0, 0, 'sent', 'n0', 1)")
        said.clear()
        assert not await maintenance.reconcile(made.target(), said.append)

    said = filled(tmp_path, backend, check)
    assert said[:6] == [
        "served on record, and not in the journal: 1",
        "  1/9/lost",
        "served in the journal, and never sent on record: 1",
        "  1/1/k0-2",
        "in doubt: may have run, and nobody was told that it did: 1",
        "  1/9/open",
    ]


def test_the_commands_on_a_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    operators = tmp_path / "operator.toml"

    async def check(made: StoreRig, _: list[str]) -> None:
        operators.write_text(made.text)

    filled(tmp_path, "sqlite", check)
    capsys.readouterr()

    def run(*words: str) -> tuple[int, str, str]:
        status = main(["store", *words, "--operator", str(operators)])
        out = capsys.readouterr()
        return status, out.out, out.err

    status, out, _ = run("check")
    assert status == 0 and "journal: 30 rows" in out and "instance n0: life 2" in out
    assert run("migrate")[:2] == (0, "schema 2\n") and run("audit")[0] == run("reconcile")[0] == 0
    exported = tmp_path / "journal.jsonl"
    assert run("export", str(exported))[:2] == (0, "30 entries\n")
    rows = [json.loads(line) for line in exported.read_text().splitlines()]
    assert [r["seq"] for r in rows] == list(range(1, 31)) and rows[0]["outcome"] == "served"
    assert run("export", str(exported))[0] == 2  # never over another file
    assert run("export", str(tmp_path / "new"), "--since", str(rows[-1]["at"] + 1))[1] == "0 entries\n"
    assert run("export", str(tmp_path / "x"), "--since", "monday")[0] == 2
    assert run("backup", str(tmp_path / "b"))[0] == 0
    with sqlite3.connect(tmp_path / "record.sqlite3") as db:
        db.execute("DELETE FROM journal WHERE seq = 1")
    assert run("audit")[0] == 1
    operators.write_text("[store]\n")
    status, _, err = run("check")
    assert status == 2 and err.count("\n") == 1 and "names no record" in err
    operators.write_text(f'[store]\npath = "{tmp_path}/none.sqlite3"\n')
    assert run("check")[0] == 2 and not (tmp_path / "none.sqlite3").exists()


def read(text: str, environ: dict[str, str] | None = None) -> section.Section | None:
    return section.read(tomllib.loads(text), environ or {})


def test_the_section_takes_either_backend_and_its_bounds(tmp_path: Path) -> None:
    assert read("") is None
    got = read('path = "a"\nbatch = 7\nstall_ms = 100')
    assert got and got.record and got.record.path == "a" and (got.limits.batch, got.limits.stall) == (7, 100)
    secret = tmp_path / "secret"
    secret.write_text("hush\nmore\n")
    secret.chmod(0o600)
    got = read(f'url = "postgresql://u%40x@h:1/d?sslmode=verify-full"\npassword_file = "{secret}"')
    assert got is not None and got.record is not None
    assert (got.record.user, got.record.port, got.record.password) == ("u@x", 1, "hush")
    assert got.record.tls == "verify-full" and "hush" not in repr(got) + str(got)
    got = read('[[box]]\nhost = "a"\nurl = "postgresql://u@h"', {"SABLEDYKE_STORE_PASSWORD": "p"})
    assert got is not None and got.record is None and got.boxes[0].target.password == "p"


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ('path = "a"\nurl = "postgresql://u@h"', "both"),
        ('url = "mysql://u@h"', "must read"),
        ('url = "postgresql://u:hush@h/d"', "holds a password"),
        ('url = "postgresql://h/d"', "must read"),
        ('url = "postgresql://u@h:x"', "cannot be read"),
        ('url = "postgresql://u@h?x=1"', "sslmode"),
        ('path = "a"\nbatch = 0', "batch"),
        ('path = "a"\nstall_ms = -1', "stall_ms"),
        ('pth = "a"', "pth"),
        ('[[box]]\nhost = "a"', "neither"),
        ('path = "a"\nfirst_wait_ms = 300\nlongest_wait_ms = 100', "longer"),
        ('[[box]]\nhost = "a"\npath = "x"\n[[box]]\nhost = "a"\npath = "y"', "same host"),
        ('url = "postgresql://u@h"\npassword_file = "/nowhere/at/all"', "No such file"),
    ],
)
def test_a_bad_section_is_one_plain_line(text: str, says: str) -> None:
    with pytest.raises(OperatorError, match=says) as raised:
        read(text)
    assert "\n" not in str(raised.value) and "hush" not in str(raised.value)


def test_a_password_file_that_others_may_read_is_refused(tmp_path: Path) -> None:
    secret = tmp_path / "secret"
    for content, mode, says in (("hush", 0o640, "its owner alone"), ("", 0o600, "holds no password")):
        secret.write_text(content)
        secret.chmod(mode)
        with pytest.raises(OperatorError, match=says):
            section.read_password(str(secret))


def test_statements_read_alike_for_both_backends() -> None:
    assert statements.for_sqlite(statements.POSITION).endswith("WHERE instance = ?1")
    for name, sql in vars(statements).items():
        if name.isupper() and isinstance(sql, str):
            assert "::" not in statements.for_sqlite(sql), name


def test_drift_compares_only_what_is_certain() -> None:
    watch, piece = DriftWatch(most=2), (1, 2)
    watch.writing(piece)
    assert not watch.wants(10, piece)
    watch.written(5, piece, "a")
    assert watch.read(20, 4, piece, "b", "box") is None  # asked before the write had ended
    assert watch.read(20, 6, piece, "a", "box") is None and watch.compared == 1
    watch.writing(piece)
    watch.writing(piece)
    watch.written(30, piece, "c")
    watch.written(31, piece, "d")  # two at a time: the last to end is what is known
    found = watch.read(40, 35, piece, "c", "box")
    assert found is not None and (found.wanted, found.got) == ("d", "c")
    assert watch.read(41, 36, piece, "c", "box") is None  # said once
    watch.writing(piece)
    watch.written(50, piece, None)
    assert not watch.wants(60, piece)
    for n in range(9):
        watch.writing((1, n))
        watch.written(n, (1, n), "x")
    assert watch.size == 2


def test_memory_and_disk_forget_at_a_bounded_pace(tmp_path: Path) -> None:
    """Ever-new keys: memory holds what can still matter, and the table what is remembered."""

    async def run() -> tuple[int, int]:
        session = await connect(Target(path=str(tmp_path / "record.sqlite3")))
        await startup.migrate(session)
        keeper, most, now = Keeper("n0", LIMITS, 1, 60_000), 0, 0.0
        keeper.opened(await startup.new_life(session, "n0"), [], 0)
        for n in range(3000):
            now += 50
            name = f"1/1/{n}"
            keeper.attempt(now, (n, 0), name, Sent(now, 0, 0), now + 1000, KEYED)
            for _ in range(2):
                batch = keeper.next_batch(now)
                assert batch is not None
                results = await session.transact(statements.steps(batch, "n0"))
                keeper.committed(now, statements.taken(batch, results), {})
                if not batch.entries:
                    keeper.ended(name, may_have_run=True)
                    keeper.finished(now, name, ENTRY, None)
            most = max(most, keeper.size)
        rows = (await session.query(statements.COUNT["writes"]))[0][0]
        await session.close()
        return most, int(rows)

    most, rows = asyncio.run(run())
    windows = (KEYED.deduplication_window_ms + KEYED.deadline_ms) / 50
    assert most < windows + 40 and rows < 60_000 / 50 + statements.SLICE


def test_a_start_reads_only_what_can_still_matter(tmp_path: Path) -> None:
    async def run() -> None:
        session = await connect(Target(path=str(tmp_path / "record.sqlite3")))
        await startup.migrate(session)
        rows = [(f"1/1/{n}", float(n), 0, 0, "served" if n % 2 else "never", "n0", 1) for n in range(40_000)]
        for i in range(0, 40_000, 10_000):
            await session.transact([Step(statements.PUT_WRITE, rows[i : i + 10_000])])
        recent = await startup.recent(session, 39_900.0)
        assert len(recent) == 50 and recent[0][0] == "1/1/39999"
        assert len(await startup.recent(session, 0.0)) == startup.MOST_RECENT  # bounded, newest first
        plan = await session.query("EXPLAIN QUERY PLAN " + statements.RECENT, 0.0, 1)
        assert "writes_at" in str(plan)
        await session.close()

    asyncio.run(run())


@pytest.mark.parametrize("when", ["sent", "served", "journalled"])
def test_a_program_killed_between_intent_send_answer_and_journal_repeats_nothing(
    tmp_path: Path, when: str
) -> None:
    """SIGKILL to the program itself, a restart, and the client's repeat."""
    settings = nested()
    settings["profiles"][0] |= {
        "name": "write",
        "semantics": "deduplicated",
        "group": "cell",
        "window": 60000,
        "aim": 5000,
        "hard_limit": 20000,
    }
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    path = tmp_path / "record.sqlite3"
    (tmp_path / "operator.toml").write_text(f'[store]\npath = "{path}"\nstall_ms = 9000\n')

    async def start(box: KeyedBox) -> asyncio.subprocess.Process:
        entry = {
            "host": "box-0",
            "dial": f"127.0.0.1:{box.port}",
            "site": "x",
            "class": "m",
            "block": 0,
            "health": "ready",
            "share": 1.0,
            "born_ms": 0,
        }
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "discovery": "127.0.0.1:9",
            "seed": "1",
            "settings": settings,
            "known": {"seq": 1, "whole": True, "hosts": [entry]},
        }
        (tmp_path / "config.json").write_bytes(orjson.dumps(config))
        environment = {**os.environ, "GW_CONFIG": str(tmp_path / "config.json")}
        for name in ("GW_NAME", "GW_LISTEN", "GW_DISCOVERY"):
            environment.pop(name, None)
        program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            "-m",
            "sabledyke",
            "serve",
            "--operator",
            str(tmp_path / "operator.toml"),
            cwd=ROOT,
            env=environment,
            stderr=subprocess.PIPE,
        )
        assert program.stderr is not None
        while b"serves at" not in (line := await program.stderr.readline()):
            assert line, "it did not start"
        return program

    async def put(ident: str) -> int:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        plan = settings["grades"][0]["name"]
        head = (
            f"PUT /api/1/1 HTTP/1.1\r\nReq-Id: {ident}\r\nReq-Kind: write\r\nTier: {plan}\r\n"
            "Req-Deadline: 15\r\nIO-Info: units=1,shard=0,hosts=1\r\nIdempotency-Key: k\r\n"
            "Content-Length: 1\r\n\r\nx"
        )
        writer.write(head.encode())
        try:
            line = await reader.readline()
            return int(line.split()[1]) if line else 0
        except ConnectionError:
            return 0
        finally:
            writer.close()

    async def run() -> None:
        box = KeyedBox()
        await box.open()
        program = await start(box)
        box.fates = ["hold"]
        first = asyncio.create_task(put("a"))
        await box.held.wait()  # the intent is durable, the box has run it
        lock = sqlite3.connect(path, isolation_level=None)
        if when == "served":  # its entry cannot be written: the answer is not passed on
            lock.execute("BEGIN IMMEDIATE")
        if when != "sent":
            box.go.set()
        if when == "journalled":
            assert await first == 200
        else:
            await asyncio.sleep(0.05)
        program.send_signal(signal.SIGKILL)
        await program.wait()
        lock.close()
        box.go.set()
        if when != "journalled":
            assert await first in (0, 500)  # the client knows nothing, or that it may have run
        program = await start(box)
        assert await put("b") == 200 and box.effects == {"k": 1}
        program.terminate()
        await program.wait()
        box.die()

    async def bounded() -> None:
        async with asyncio.timeout(40):
            await run()

    asyncio.run(bounded())
    with sqlite3.connect(path) as db:
        rows = db.execute("SELECT life, outcome FROM journal ORDER BY seq").fetchall()
        assert rows == ([(1, "served")] if when == "journalled" else []) + [(2, "served")]
    said: list[str] = []
    assert asyncio.run(maintenance.audit(Target(path=str(path)), said.append)), said


def test_a_postgresql_record_is_backed_up_while_it_is_written(tmp_path: Path) -> None:
    """One snapshot: what is committed meanwhile is not in it, and its chain holds."""

    async def run() -> None:
        server = Postgres(str(tmp_path / "pg.sqlite3"))
        await server.open()
        target = Target(host="127.0.0.1", port=server.port, database="d", user="sabledyke", password="secret")
        session = await connect(target)
        await startup.migrate(session)
        keeper = Keeper("n0", LIMITS, 1, 1e9)
        keeper.opened(await startup.new_life(session, "n0"), [], 0)

        async def write(count: int) -> None:
            for n in range(count):
                keeper.finished(n, f"k{n}", ENTRY, None)
                batch = keeper.next_batch(n)
                assert batch is not None
                await session.transact(statements.steps(batch, "n0"))
                keeper.committed(n, set(), {})
                await asyncio.sleep(0)

        await write(20)
        said: list[str] = []
        copy = str(tmp_path / "copy")
        done, _ = await asyncio.gather(maintenance.backup(target, copy, said.append), write(40))
        assert done and await maintenance.audit(Target(path=copy), said.append), said
        await session.close()
        await server.end()

    asyncio.run(run())
