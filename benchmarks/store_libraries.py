"""What the candidates for the store's libraries cost; figures for docs/design/store.md.

    python benchmarks/store_libraries.py

Each candidate is measured where it is installed and left out, with a word, where it is not. All figures of
one call come from one machine at one time: compare within a call, not between calls.
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

ROWS = 600
TABLE = "CREATE TABLE writes (name TEXT PRIMARY KEY, at REAL, shard INTEGER, zone INTEGER) WITHOUT ROWID"
INSERT = "INSERT OR IGNORE INTO writes VALUES (?, ?, ?, ?)"
PRAGMAS = ("PRAGMA journal_mode = WAL", "PRAGMA synchronous = FULL")


def rows(batch: int) -> list[list[tuple[str, float, int, int]]]:
    """ROWS rows in batches."""
    out = [(f"1/{i:x}/{i:032x}", float(i), 1, 0) for i in range(ROWS)]
    return [out[i : i + batch] for i in range(0, ROWS, batch)]


def with_sqlite3(path: str, batch: int) -> None:
    import sqlite3

    db = sqlite3.connect(path, isolation_level=None)
    for line in (*PRAGMAS, TABLE):
        db.execute(line)
    for some in rows(batch):
        db.execute("BEGIN IMMEDIATE")
        db.executemany(INSERT, some)
        db.execute("COMMIT")
    db.close()


def with_apsw(path: str, batch: int) -> None:
    import apsw

    db = apsw.Connection(path)
    for line in (*PRAGMAS, TABLE):
        db.execute(line)
    for some in rows(batch):
        db.execute("BEGIN IMMEDIATE")
        db.executemany(INSERT, some)
        db.execute("COMMIT")
    db.close()


def with_aiosqlite(path: str, batch: int) -> None:
    import aiosqlite

    async def run() -> None:
        async with aiosqlite.connect(path, isolation_level=None) as db:
            for line in (*PRAGMAS, TABLE):
                await db.execute(line)
            for some in rows(batch):
                await db.execute("BEGIN IMMEDIATE")
                await db.executemany(INSERT, some)
                await db.execute("COMMIT")

    asyncio.run(run())


def with_sqlalchemy(path: str, batch: int) -> None:
    import sqlalchemy as sa
    from sqlalchemy.dialects.sqlite import insert

    engine = sa.create_engine(f"sqlite:///{path}")
    meta = sa.MetaData()
    table = sa.Table(
        "writes",
        meta,
        sa.Column("name", sa.Text, primary_key=True),
        sa.Column("at", sa.Float),
        sa.Column("shard", sa.Integer),
        sa.Column("zone", sa.Integer),
    )
    with engine.connect() as db:
        for line in PRAGMAS:
            db.exec_driver_sql(line)
        db.commit()
        meta.create_all(db)
        statement = insert(table).on_conflict_do_nothing()
        for some in rows(batch):
            db.execute(statement, [dict(zip(("name", "at", "shard", "zone"), r, strict=True)) for r in some])
            db.commit()
    engine.dispose()


CANDIDATES: dict[str, Callable[[str, int], None]] = {
    "sqlite3": with_sqlite3,
    "apsw": with_apsw,
    "aiosqlite": with_aiosqlite,
    "sqlalchemy": with_sqlalchemy,
}
IMPORTS = ("sqlite3", "apsw", "aiosqlite", "sqlalchemy", "alembic.command", "asyncpg", "psycopg", "pg8000")


def cost_of_import(module: str) -> str:
    """Milliseconds and MB of resident memory that a fresh interpreter needs more."""
    text = (
        "import time,resource,asyncio,ssl;a=resource.getrusage(0).ru_maxrss;t=time.perf_counter();"
        f"import {module};print(f'{{(time.perf_counter()-t)*1e3:.0f}} ms, "
        "{(resource.getrusage(0).ru_maxrss-a)/1024:.1f} MB')"
    )
    done = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, check=False)
    return done.stdout.strip() or "not installed"


def main() -> None:
    """Print both tables."""
    print("import, beyond asyncio and ssl:")
    for module in IMPORTS:
        best = min(cost_of_import(module) for _ in range(3))
        print(f"  {module:16s} {best}")
    print(f"{ROWS} rows through SQLite (WAL, synchronous FULL): commits/s, CPU us a row")
    for batch in (1, 8, 32, 128):
        for name, run in CANDIDATES.items():
            if importlib.util.find_spec(name) is None:
                print(f"  batch {batch:4d} {name:12s} not installed")
                continue
            with tempfile.TemporaryDirectory(dir=os.environ.get("BENCH_DIR")) as folder:
                run(str(Path(folder) / "warm.db"), 128)
                began, cpu = time.perf_counter(), time.process_time()
                run(str(Path(folder) / "record.db"), batch)
                took, spent = time.perf_counter() - began, time.process_time() - cpu
            commits = ROWS / batch / took
            print(f"  batch {batch:4d} {name:12s} {commits:8.0f} {spent / ROWS * 1e6:8.1f}")


if __name__ == "__main__":
    main()
