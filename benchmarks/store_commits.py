"""Benchmark of the store's batches by size: writes per second, without the rest of the program."""

from __future__ import annotations

import time
from pathlib import Path

from sabledyke.store import startup, statements
from sabledyke.store.connect import connect
from sabledyke.store.health import StoreLimits
from sabledyke.store.intent_manager import IntentManager
from sabledyke.store.section import Target
from sabledyke.store.session import Session
from sabledyke.store.types import JournalEntry

BATCH_SIZES = (1, 4, 16, 64, 256)
MIN_WRITES = 200
BATCHES = 20
RETENTION_MS = 1e9


async def measure_commits(folder: Path) -> None:
    """Print one row for each batch size."""
    print("the record's batches on SQLite (WAL, FULL): size, commits/s, writes/s, CPU us a write")
    for batch_size in BATCH_SIZES:
        session = await connect(Target(path=str(folder / f"batch-{batch_size}.sqlite3")))
        await startup.migrate(session)
        write_count = max(MIN_WRITES, batch_size * BATCHES)
        wall_before_s = time.perf_counter()
        cpu_before_s = time.process_time()
        batch_count = await _write(session, batch_size, write_count)
        wall_s = time.perf_counter() - wall_before_s
        cpu_s = time.process_time() - cpu_before_s
        print(
            f"  {batch_size:4d} {batch_count / wall_s:8.0f} {write_count / wall_s:8.0f}"
            f" {cpu_s / write_count * 1e6:8.1f}"
        )
        await session.close()


async def _write(session: Session, batch_size: int, write_count: int) -> int:
    """Store completed writes in batches; return the number of batches."""
    intents = IntentManager("n0", StoreLimits(batch=batch_size), 1, RETENTION_MS)
    intents.on_opened(await startup.begin_incarnation(session, "n0"), [], 0)
    batch_count = 0
    for first in range(0, write_count, batch_size):
        for number in range(first, first + batch_size):
            intents.on_write_completed(f"1/1/{number:032x}", _journal_entry(number), None)
        batch = intents.next_batch(first)
        assert batch is not None
        await session.transact(statements.batch_steps(batch, "n0"))
        intents.on_batch_committed(first, set(), {})
        batch_count += 1
    return batch_count


def _journal_entry(number: int) -> JournalEntry:
    return JournalEntry(
        number,
        number,
        "write",
        f"{1:016x}",
        f"{number:032x}",
        f"{number:016x}",
        0,
        "box-0",
        1.0,
        "0" * 64,
        "served",
    )
