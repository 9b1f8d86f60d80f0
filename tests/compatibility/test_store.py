"""Compatibility of the store of record (schemas 1 and 2) and of the tables of leases and fences."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from pathlib import Path

import orjson
import pytest

from tests.compatibility.files import DATA, dump, load
from tests.compatibility.program import lease, record
from tests.compatibility.program.values import values

INTENTS = [
    ["scontrino/3b4d60021/order-1", [1700000000100.5, 3, 1]],
    ["scontrino/3b4d60021/order-2", [1700000000200.0, 4, 2]],
    ["scontrino/3b4d60021/order-3", [1700000000300.0, 5, 0]],
    ["scontrino/3b4d60021/order-4", [1700000000400.0, 6, 1]],
]
SETTLED = [
    ("scontrino/3b4d60021/order-1", "served"),
    ("scontrino/3b4d60021/order-2", "unknown"),
    ("scontrino/3b4d60021/order-3", "never"),
]
ENTRIES = [
    [
        1700000000500,
        1700000000100,
        "scontrino",
        "00000003b4d60021",
        f"order-{number}",
        "0000000000000007",
        3,
        "s-00000001",
        1.5,
        "ab" * 32,
        outcome,
    ]
    for number, outcome in enumerate(("served", "refused", "failed", "departed", "unconfirmed"), 1)
]
DRIFT = [1700000000600, "00000003b4d60021", "0000000000000007", "s-00000001", "ab" * 32, "cd" * 32]
WRITES = [  # name, [time of the first send, shard, zone], state
    ("scontrino/3b4d60021/order-1", [1700000000100.5, 3, 1], "served"),
    ("scontrino/3b4d60021/order-2", [1700000000200.0, 4, 2], "unknown"),
    ("scontrino/3b4d60021/order-3", [1700000000300.0, 5, 0], "never"),
    ("scontrino/3b4d60021/order-4", [1700000000400.0, 6, 1], "sent"),
]


Scenario = Callable[[], Coroutine[None, None, None]]


def _play(scenario: Scenario) -> None:
    asyncio.run(scenario())


async def write_schema_2(path: str) -> None:
    """Write two incarnations of an instance, with rows in every table, and a fence."""
    session = await record.open_record(path)
    incarnation, *_ = await record.begin_incarnation(session, "n1")
    assert incarnation == 1
    await record.write_batch(session, "n1", intents=INTENTS)
    await record.write_batch(session, "n1", settled=SETTLED, entries=ENTRIES, drifts=[DRIFT])
    assert (await record.begin_incarnation(session, "n1"))[:3] == [2, 2, 5]
    await lease.check_token(session, "nightly", 7)
    await session.close()


async def write_leases(path: str) -> None:
    """Write a lease that is held and recalled, and a released one whose leader task was completed."""
    authority = lease.table_authority(path)
    await authority.open()
    assert values(await lease.acquire(authority, "coordinator", (0, 0))) == [1]
    assert values(await lease.renew(authority, "coordinator", 1)) == [False]
    assert await authority.recall("coordinator", at_once=False)
    assert values(await lease.acquire(authority, "nightly", (0, 0))) == [1]
    assert values(await lease.release(authority, "nightly", 1)) == [[1, 1], "", True, 3000.0]
    assert values(await lease.acquire(authority, "nightly", (1, 1))) == [2]
    assert await authority.record_completion("nightly", 2, 1700000000123)
    await lease.release(authority, "nightly", 2)
    await authority.close()


@pytest.mark.parametrize(
    ("name", "write"),
    [
        ("store_schema_1.sql", record.write_schema_1),
        ("store_schema_2.sql", write_schema_2),
        ("leases.sql", write_leases),
    ],
)
def test_the_same_rows_are_written_to_the_same_tables(
    name: str,
    write: Callable[[str], Coroutine[None, None, None]],
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(time, "time", lambda: 1700000000.25)  # stored in leases; no decision depends on it
    path = str(tmp_path / "store.sqlite3")
    _play(lambda: write(path))
    assert dump(path) == (DATA / name).read_text()


@pytest.mark.parametrize("schema", [1, 2])
def test_a_stored_record_is_migrated_and_read_in_full(schema: int, tmp_path: Path) -> None:
    path = load(f"store_schema_{schema}.sql", tmp_path / "store.sqlite3")

    async def scenario() -> None:
        assert await record.migrate(path) == (f"schema 2{', was 1' if schema == 1 else ''}")
        session = await record.open_record(path)
        for name, sent, state in WRITES:
            assert await record.look_up(session, name) == [sent, state]
        recent = [name for name, *_ in reversed(WRITES) if not name.endswith("order-3")]
        assert [name for name, _ in await record.recent(session)] == recent
        assert (await record.begin_incarnation(session, "n1"))[:3] == (
            [1, 0, 0] if schema == 1 else [3, 2, 5]
        )
        await session.close()

    _play(scenario)
    assert _schema(dump(path)) == _schema((DATA / "store_schema_2.sql").read_text())


def _schema(text: str) -> list[str]:
    """Return the CREATE statements except that of the fences, which the first token check creates."""
    return [line for line in text.splitlines() if line.startswith("CREATE") and " fences " not in line]


def test_a_stored_journal_passes_its_audit_and_is_exported(tmp_path: Path) -> None:
    path = load("store_schema_2.sql", tmp_path / "store.sqlite3")

    async def scenario() -> None:
        assert await record.audit(path)
        text = await record.export(path)
        rows = [orjson.loads(line) for line in text.splitlines()]
        assert [list(row.values())[3:-1] for row in rows] == ENTRIES
        assert [list(row.values())[:3] for row in rows] == [["n1", seq, 1] for seq in range(1, 6)]
        assert text == (DATA / "journal.jsonl").read_bytes()

    _play(scenario)


def test_a_stored_fence_rejects_an_older_token(tmp_path: Path) -> None:
    path = load("store_schema_2.sql", tmp_path / "store.sqlite3")

    async def scenario() -> None:
        session = await record.open_record(path)
        await lease.check_token(session, "nightly", 7)
        with pytest.raises(lease.DatabaseError):
            await lease.check_token(session, "nightly", 6)
        await session.close()

    _play(scenario)


def test_stored_leases_are_read_in_full(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", lambda: 1700000001.25)
    path = load("leases.sql", tmp_path / "leases.sqlite3")

    async def scenario() -> None:
        authority = lease.table_authority(path)
        await authority.open()
        assert [values(summary) for summary in await authority.list_leases()] == [
            ["coordinator", lease.HOLDER_ID, 1, 2000.0, True, 0],
            ["nightly", "", 2, 2000.0, False, 1700000000123],
        ]
        status = values(await lease.inspect(authority, "coordinator"))
        assert status == [[1, 1], lease.HOLDER_ID, False, 3000.0]
        assert values(await lease.renew(authority, "coordinator", 1)) == [True]
        assert await authority.last_completion("nightly") == 1700000000123
        assert values(await lease.acquire(authority, "nightly", (2, 1))) == [3]
        await authority.close()

    _play(scenario)
