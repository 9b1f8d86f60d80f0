"""Retention of writes in memory and in the database, and the writes that a start reads."""

from __future__ import annotations

import asyncio
from pathlib import Path

from sabledyke.store import startup, statements
from sabledyke.store.connect import connect
from sabledyke.store.intent_manager import IntentManager
from sabledyke.store.section import Target
from sabledyke.store.types import SendRecord, Step
from tests.store.record_model import ENTRY, KEYED, LIMITS


def test_memory_and_database_hold_a_bounded_number_of_writes(tmp_path: Path) -> None:
    """Guards against unbounded growth when every write has a new key.

    Memory holds the writes inside their windows, and the table the writes inside the retention.
    """

    async def run() -> tuple[int, int]:
        session = await connect(Target(path=str(tmp_path / "record.sqlite3")))
        await startup.migrate(session)
        manager = IntentManager("n0", LIMITS, 1, 60_000)
        largest = 0
        now = 0.0
        manager.on_opened(await startup.begin_incarnation(session, "n0"), [], 0)
        for n in range(3000):
            now += 50
            name = f"1/1/{n}"
            manager.on_attempt(now, (n, 0), name, SendRecord(now, 0, 0), now + 1000, KEYED)
            for _ in range(2):
                batch = manager.next_batch(now)
                assert batch is not None
                results = await session.transact(statements.batch_steps(batch, "n0"))
                manager.on_batch_committed(now, statements.accepted_intents(batch, results), {})
                if not batch.entries:
                    manager.on_attempt_completed(name, may_have_run=True)
                    manager.on_write_completed(name, ENTRY, None)
            largest = max(largest, manager.size)
        rows = (await session.query(statements.COUNT_ROWS["writes"]))[0][0]
        await session.close()
        return largest, int(rows)

    largest, rows = asyncio.run(run())
    windows = (KEYED.deduplication_window_ms + KEYED.deadline_ms) / 50
    assert largest < windows + 40
    assert rows < 60_000 / 50 + statements.DELETION_LIMIT_ROWS


def test_a_start_reads_a_bounded_number_of_recent_writes(tmp_path: Path) -> None:
    async def run() -> None:
        session = await connect(Target(path=str(tmp_path / "record.sqlite3")))
        await startup.migrate(session)
        rows = [(f"1/1/{n}", float(n), 0, 0, "served" if n % 2 else "never", "n0", 1) for n in range(40_000)]
        for i in range(0, 40_000, 10_000):
            await session.transact([Step(statements.INSERT_WRITE, rows[i : i + 10_000])])
        recent = await startup.recent_writes(session, 39_900.0)
        assert len(recent) == 50
        assert recent[0][0] == "1/1/39999"
        # The number of writes that a start reads is bounded.
        assert len(await startup.recent_writes(session, 0.0)) == startup.MAX_RECENT_WRITES
        plan = await session.query("EXPLAIN QUERY PLAN " + statements.SELECT_RECENT_WRITES, 0.0, 1)
        assert "writes_at" in str(plan)
        await session.close()

    asyncio.run(run())
