"""Benchmark of candidate database libraries for the store; figures for docs/design/store.md.

    python benchmarks/store_libraries.py

Candidates that are not installed are reported as such and skipped. Figures depend on the machine and its
load: compare them within one run, not between runs.
"""

from __future__ import annotations

import asyncio
import importlib.util
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

ROW_COUNT = 600
BATCH_SIZES = (1, 8, 32, 128)
WARM_UP_BATCH_SIZE = 128
IMPORT_ROUNDS = 3
COLUMNS = ("name", "at", "shard", "zone")
TABLE = "CREATE TABLE writes (name TEXT PRIMARY KEY, at REAL, shard INTEGER, zone INTEGER) WITHOUT ROWID"
INSERT = "INSERT OR IGNORE INTO writes VALUES (?, ?, ?, ?)"
PRAGMAS = ("PRAGMA journal_mode = WAL", "PRAGMA synchronous = FULL")
MODULES = ("sqlite3", "apsw", "aiosqlite", "sqlalchemy", "alembic.command", "asyncpg", "psycopg", "pg8000")

Row = tuple[str, float, int, int]
WriteRows = Callable[[str, int], None]
"""Writes ``ROW_COUNT`` rows to a new file at this path, in transactions of this many rows."""


class WriteCost(NamedTuple):
    """Commit rate and CPU time of writing all rows."""

    commits_per_s: float
    cpu_us_per_row: float


def main() -> None:
    """Print the table of import costs and the table of write costs."""
    print("import, beyond asyncio and ssl:")
    for module in MODULES:
        best = min(import_cost(module) for _ in range(IMPORT_ROUNDS))
        print(f"  {module:16s} {best}")
    print(f"{ROW_COUNT} rows through SQLite (WAL, synchronous FULL): commits/s, CPU us a row")
    for batch_size in BATCH_SIZES:
        for name, write_rows in CANDIDATES.items():
            print(f"  batch {batch_size:4d} {name:12s} {_describe(name, write_rows, batch_size)}")


def import_cost(module: str) -> str:
    """Return the time in ms and the resident memory in MB of an import in a new interpreter."""
    program = (
        "import time,resource,asyncio,ssl;a=resource.getrusage(0).ru_maxrss;t=time.perf_counter();"
        f"import {module};print(f'{{(time.perf_counter()-t)*1e3:.0f}} ms, "
        "{(resource.getrusage(0).ru_maxrss-a)/1024:.1f} MB')"
    )
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=False)
    return done.stdout.strip() or "not installed"


def measure(write_rows: WriteRows, batch_size: int) -> WriteCost:
    """Measure an installed candidate after a warm-up on another file."""
    with tempfile.TemporaryDirectory(dir=os.environ.get("BENCH_DIR")) as folder:
        write_rows(str(Path(folder) / "warm.db"), WARM_UP_BATCH_SIZE)
        wall_before_s = time.perf_counter()
        cpu_before_s = time.process_time()
        write_rows(str(Path(folder) / "record.db"), batch_size)
        wall_s = time.perf_counter() - wall_before_s
        cpu_s = time.process_time() - cpu_before_s
    return WriteCost(ROW_COUNT / batch_size / wall_s, cpu_s / ROW_COUNT * 1e6)


def _describe(name: str, write_rows: WriteRows, batch_size: int) -> str:
    if importlib.util.find_spec(name) is None:
        return "not installed"
    cost = measure(write_rows, batch_size)
    return f"{cost.commits_per_s:8.0f} {cost.cpu_us_per_row:8.1f}"


def make_batches(batch_size: int) -> list[list[Row]]:
    """Return all rows, split into batches of this size."""
    rows = [(f"1/{number:x}/{number:032x}", float(number), 1, 0) for number in range(ROW_COUNT)]
    return [rows[first : first + batch_size] for first in range(0, ROW_COUNT, batch_size)]


def write_with_sqlite3(path: str, batch_size: int) -> None:
    """Write all rows with the standard library's sqlite3."""
    import sqlite3

    database = sqlite3.connect(path, isolation_level=None)
    _write_batches(database, batch_size)
    database.close()


def write_with_apsw(path: str, batch_size: int) -> None:
    """Write all rows with APSW."""
    import apsw

    database = apsw.Connection(path)
    _write_batches(database, batch_size)
    database.close()


def _write_batches(database: Any, batch_size: int) -> None:
    """Write all rows through a connection with explicit transactions."""
    for statement in (*PRAGMAS, TABLE):
        database.execute(statement)
    for batch in make_batches(batch_size):
        database.execute("BEGIN IMMEDIATE")
        database.executemany(INSERT, batch)
        database.execute("COMMIT")


def write_with_aiosqlite(path: str, batch_size: int) -> None:
    """Write all rows with aiosqlite."""
    import aiosqlite

    async def write() -> None:
        async with aiosqlite.connect(path, isolation_level=None) as database:
            for statement in (*PRAGMAS, TABLE):
                await database.execute(statement)
            for batch in make_batches(batch_size):
                await database.execute("BEGIN IMMEDIATE")
                await database.executemany(INSERT, batch)
                await database.execute("COMMIT")

    asyncio.run(write())


def write_with_sqlalchemy(path: str, batch_size: int) -> None:
    """Write all rows with SQLAlchemy Core."""
    import sqlalchemy as sa
    from sqlalchemy.dialects.sqlite import insert

    engine = sa.create_engine(f"sqlite:///{path}")
    metadata = sa.MetaData()
    table = sa.Table(
        "writes",
        metadata,
        sa.Column("name", sa.Text, primary_key=True),
        sa.Column("at", sa.Float),
        sa.Column("shard", sa.Integer),
        sa.Column("zone", sa.Integer),
    )
    with engine.connect() as connection:
        for statement in PRAGMAS:
            connection.exec_driver_sql(statement)
        connection.commit()
        metadata.create_all(connection)
        insert_rows = insert(table).on_conflict_do_nothing()
        for batch in make_batches(batch_size):
            connection.execute(insert_rows, [dict(zip(COLUMNS, row, strict=True)) for row in batch])
            connection.commit()
    engine.dispose()


CANDIDATES: dict[str, WriteRows] = {
    "sqlite3": write_with_sqlite3,
    "apsw": write_with_apsw,
    "aiosqlite": write_with_aiosqlite,
    "sqlalchemy": write_with_sqlalchemy,
}


if __name__ == "__main__":
    main()
