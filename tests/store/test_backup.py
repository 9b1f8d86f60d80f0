"""Backup and restore of a record."""

from __future__ import annotations

import asyncio
import sqlite3
from pathlib import Path

import pytest

from sabledyke.store import maintenance, startup, statements
from sabledyke.store.connect import connect
from sabledyke.store.database_errors import StoreError
from sabledyke.store.intent_manager import IntentManager
from sabledyke.store.section import Target
from tests.standins.postgres import Postgres
from tests.store.filled_record import check_filled_record
from tests.store.record_deployment import (
    BACKENDS,
    RecordDeployment,
)
from tests.store.record_model import ENTRY, LIMITS


@pytest.mark.parametrize("backend", BACKENDS)
def test_backup_and_restore_keep_every_row_and_exclude_older_incarnations(
    tmp_path: Path, backend: str
) -> None:
    copy, fresh = str(tmp_path / "copy.sqlite3"), Target(path=str(tmp_path / "fresh.sqlite3"))

    async def check(deployment: RecordDeployment, reported: list[str]) -> None:
        await deployment.start_incarnation()  # the record is in service during the backup
        assert await maintenance.backup(deployment.target(), copy, reported.append)
        assert (await deployment.put("later"))[0] == 200
        with pytest.raises(StoreError, match="exists already"):
            await maintenance.backup(deployment.target(), copy, reported.append)
        with pytest.raises(StoreError, match="needs an empty record"):
            await maintenance.restore(deployment.target(), copy, reported.append)
        assert await maintenance.restore(fresh, copy, reported.append)
        assert await maintenance.audit(fresh, reported.append)
        with sqlite3.connect(fresh.path) as db:
            assert db.execute("SELECT count(*) FROM journal").fetchone() == (30,)
            assert db.execute("SELECT count(*) FROM writes").fetchone() == (30,)
            assert db.execute("SELECT life FROM lives").fetchone() == (4,)
        with sqlite3.connect(copy) as db:
            db.execute("UPDATE journal SET digest = '' WHERE seq = 3")
        other = Target(path=str(tmp_path / "other.sqlite3"))
        assert not await maintenance.restore(other, copy, reported.append)
        assert "nothing was restored" in reported

    check_filled_record(tmp_path, backend, check)


def test_an_unfinished_restore_fails_the_check(tmp_path: Path) -> None:
    copy, fresh = str(tmp_path / "copy.sqlite3"), Target(path=str(tmp_path / "fresh.sqlite3"))

    async def check(deployment: RecordDeployment, reported: list[str]) -> None:
        assert await maintenance.backup(deployment.target(), copy, reported.append)
        with sqlite3.connect(copy) as db:
            db.execute("CREATE TRIGGER broken BEFORE INSERT ON writes BEGIN SELECT RAISE(ABORT, 'x'); END")
        session = await connect(fresh)
        await startup.migrate(session)
        await session.query("CREATE TRIGGER full BEFORE INSERT ON writes BEGIN SELECT RAISE(ABORT, 'x'); END")
        await session.close()
        with pytest.raises(Exception, match="x"):
            await maintenance.restore(fresh, copy, reported.append)
        assert not await maintenance.check(fresh, reported.append)
        assert "was not finished" in reported[-1]

    check_filled_record(tmp_path, "sqlite", check)


def test_a_postgresql_record_is_backed_up_while_it_is_written(tmp_path: Path) -> None:
    """Guards against a copy that mixes states: the backup reads one snapshot, so its chain is intact."""

    async def run() -> None:
        server = Postgres(str(tmp_path / "pg.sqlite3"))
        await server.open()
        target = Target(host="127.0.0.1", port=server.port, database="d", user="sabledyke", password="secret")
        session = await connect(target)
        await startup.migrate(session)
        manager = IntentManager("n0", LIMITS, 1, 1e9)
        manager.on_opened(await startup.begin_incarnation(session, "n0"), [], 0)

        async def write(count: int) -> None:
            for n in range(count):
                manager.on_write_completed(f"k{n}", ENTRY, None)
                batch = manager.next_batch(n)
                assert batch is not None
                await session.transact(statements.batch_steps(batch, "n0"))
                manager.on_batch_committed(n, set(), {})
                await asyncio.sleep(0)

        await write(20)
        reported: list[str] = []
        copy = str(tmp_path / "copy")
        done, _ = await asyncio.gather(maintenance.backup(target, copy, reported.append), write(40))
        assert done, reported
        assert await maintenance.audit(Target(path=copy), reported.append), reported
        await session.close()
        await server.end()

    asyncio.run(run())
