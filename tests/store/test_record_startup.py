"""The opening of a record at a start: it waits for locks, migrates the schema, or fails with one line."""

from __future__ import annotations

import asyncio
import sqlite3
import time
from pathlib import Path

import pytest

from sabledyke.store import maintenance
from sabledyke.store.database_errors import StoreError
from sabledyke.store.section import Target
from tests.standins.postgres_faults import FaultPoint
from tests.store.record_deployment import (
    RecordDeployment,
    run_scenario,
)


def test_a_start_waits_for_another_process_that_locks_the_file(tmp_path: Path) -> None:
    async def scenario(deployment: RecordDeployment) -> None:
        await deployment.shut_down()
        other = sqlite3.connect(deployment.file, isolation_level=None)
        other.execute("BEGIN EXCLUSIVE")
        asyncio.get_running_loop().call_later(0.5, other.close)
        await deployment.start_incarnation()
        assert (await deployment.put("k"))[0] == 200

    run_scenario(tmp_path, "sqlite", scenario)


def test_a_start_waits_for_a_server_that_is_slow_to_accept_it(tmp_path: Path) -> None:
    async def scenario(deployment: RecordDeployment) -> None:
        await deployment.shut_down()
        sessions = deployment.postgres.sessions

        async def script(point: FaultPoint) -> None:
            await asyncio.sleep(0.5 * (point.session == sessions + 1 and point.number == 1))

        deployment.postgres.script = script
        await deployment.start_incarnation()
        assert deployment.postgres.sessions == sessions + 1

    run_scenario(tmp_path, "postgresql", scenario)


def test_a_file_of_schema_1_is_migrated_in_place_with_all_its_rows(tmp_path: Path) -> None:
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

    async def scenario(deployment: RecordDeployment) -> None:
        assert deployment.rows("SELECT name, state FROM writes ORDER BY name") == [
            ("1/1/never", "never"),
            ("1/1/new", "sent"),
            ("1/1/old", "unknown"),
        ]
        assert (await deployment.put("old"))[0] == 500  # the deduplication window has passed
        assert not deployment.nodes[0].sent
        assert (await deployment.put("never", shard=1))[0] == 200
        assert (await deployment.put("new"))[0] == 200
        assert deployment.rows("SELECT version FROM schema_version") == [(2,)]

    run_scenario(tmp_path, "sqlite", scenario)


@pytest.mark.parametrize(
    ("make", "expected_text"),
    [
        ("corrupt", "is corrupt"),
        ("newer", "a schema that this version does not support"),
        ("folder", "cannot be reached"),
        ("half", "a restore was not finished"),
        ("password", "rejects the user name or password"),
        ("down", "cannot be reached"),
    ],
)
def test_a_start_fails_with_a_single_line_if_the_store_is_unusable(
    tmp_path: Path, make: str, expected_text: str
) -> None:
    async def run() -> str:
        deployment = RecordDeployment(
            tmp_path, "sqlite" if make not in ("password", "down") else "postgresql"
        )
        await deployment.discovery.open()
        await deployment.postgres.open()
        if make == "corrupt":
            Path(deployment.path).write_bytes(b"no database at all" * 100)
        elif make in ("newer", "half"):
            assert await maintenance.migrate(Target(path=deployment.path), lambda _: None)
            with sqlite3.connect(deployment.path) as db:
                db.execute(f"UPDATE schema_version SET version = {99 if make == 'newer' else -2}")
        elif make == "folder":
            deployment.path = str(tmp_path / "nowhere" / "record.sqlite3")
        elif make == "password":
            deployment.postgres.password = "another"
        else:
            deployment.postgres.die()
        with pytest.raises(StoreError) as raised:
            await deployment.start_incarnation()
        deployment.discovery.die()
        await deployment.postgres.end()
        return str(raised.value)

    reported = asyncio.run(run())
    assert expected_text in reported
    assert "\n" not in reported
    assert "secret" not in reported
