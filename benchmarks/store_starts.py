"""Benchmark of program starts on a store with many rows and on an empty one."""

from __future__ import annotations

import sqlite3
import time
from pathlib import Path
from typing import NamedTuple

from benchmarks.load import run_steady
from benchmarks.nodes import NodeProcess
from benchmarks.program import start_program

LOAD_S = 3
OLDEST_ROW_AGE_MS = 3.4e6  # slightly less than the retention


class StartResult(NamedTuple):
    """Time and memory of one start."""

    startup_s: float
    memory_mb: float
    memory_after_load_mb: float


async def measure_start(nodes: NodeProcess, tree: Path, folder: Path, row_count: int) -> StartResult:
    """Start the program on a file of ``row_count`` rows; return the time and memory of the start."""
    path = folder / f"rows-{row_count}.sqlite3"
    operator_file = f'[store]\npath = "{path}"\n'
    program = await start_program(tree, folder, nodes, operator_file)  # the first start creates the schema
    await program.stop()
    if row_count:
        fill(path, row_count)
    program = await start_program(tree, folder, nodes, operator_file)
    memory_mb = program.memory_mb()
    await run_steady(program, LOAD_S)
    memory_after_load_mb = program.memory_mb()
    await program.stop()
    return StartResult(program.startup_s, memory_mb, memory_after_load_mb)


def fill(path: Path, row_count: int) -> None:
    """Insert writes of the last hour, and as many journal entries if the program's version has a journal."""
    now_ms = time.time() * 1000
    with sqlite3.connect(path) as database:
        tables = {name for (name,) in database.execute("SELECT name FROM sqlite_master WHERE type = 'table'")}
        has_journal = "journal" in tables
        journal_columns = ", 'n0', 1" if has_journal else ""
        database.executemany(
            f"INSERT INTO writes VALUES (?, ?, 1, 0, 'served'{journal_columns})",
            ((f"1/1/{row:032x}", now_ms - OLDEST_ROW_AGE_MS * row / row_count) for row in range(row_count)),
        )
        if has_journal:
            database.executemany(
                "INSERT INTO journal VALUES"
                " ('n0', ?, 1, 0, 0, 'write', '1', ?, '1', 0, 'box', 1, '', 'served', '')",
                ((row + 1, f"{row:032x}") for row in range(row_count)),
            )
            database.execute("UPDATE lives SET seq = ?", (row_count,))
