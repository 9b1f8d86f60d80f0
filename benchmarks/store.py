"""Benchmark of the store of record: cost, stalls and start-up; figures for docs/design/store.md.

    python benchmarks/store.py [--before DIR] [--seconds N] [--quick]

Runs the real program on loopback with stand-in nodes: without a store, with SQLite, with PostgreSQL (a
stand-in server in a separate process) and, if --before names a checkout of the previous version, that version
with and without its store. The variants alternate over several rounds; the figures are ratios of medians
within one run, since machines are shared. Then a stall: another connection locks the SQLite file with BEGIN
EXCLUSIVE for 8 s, under 100 requests/s with 35% keyed writes. Last, starts on files of a million rows and on
empty files.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))  # allows starting this file by its path

from benchmarks.nodes import ROOT, NodeProcess
from benchmarks.store_commits import measure_commits
from benchmarks.store_cost import make_variants, measure_cost
from benchmarks.store_stall import measure_stall
from benchmarks.store_starts import measure_start

STALL_S = 8.0
QUICK_STALL_S = 2.0
ROW_COUNT = 1_000_000
QUICK_ROW_COUNT = 10_000


async def main() -> None:
    """Run the parts that are selected on the command line."""
    arguments = parse_arguments()
    trees = {"now": ROOT}
    if arguments.before is not None:
        trees["before"] = arguments.before
    with tempfile.TemporaryDirectory(dir=os.environ.get("BENCH_DIR")) as name:
        folder = Path(name)
        nodes = await NodeProcess.start()
        if "cost" in arguments.parts:
            async with postgresql_server(folder) as port:
                variants = make_variants(folder, port, arguments.before, ROOT)
                rounds = 1 if arguments.quick else arguments.rounds
                await measure_cost(variants, nodes, folder, rounds, arguments.seconds)
        if "commits" in arguments.parts:
            await measure_commits(folder)
        if "stall" in arguments.parts:
            for label, tree in trees.items():
                lock_s = QUICK_STALL_S if arguments.quick else STALL_S
                await measure_stall(nodes, tree, folder, lock_s, label)
        if "starts" in arguments.parts:
            await measure_starts(nodes, trees, folder, QUICK_ROW_COUNT if arguments.quick else ROW_COUNT)
        await nodes.close()


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--before", type=Path)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--parts", default="cost,commits,stall,starts")
    return parser.parse_args()


@contextlib.asynccontextmanager
async def postgresql_server(folder: Path) -> AsyncIterator[int]:
    """Run the stand-in for PostgreSQL in a separate process, and yield its port."""
    server = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.standins.postgres",
        str(folder / "pg.sqlite3"),
        cwd=ROOT,
        stdout=subprocess.PIPE,
    )
    assert server.stdout is not None
    try:
        yield int(await server.stdout.readline())
    finally:
        server.terminate()
        await server.wait()


async def measure_starts(nodes: NodeProcess, trees: dict[str, Path], folder: Path, row_count: int) -> None:
    """Print start-up time and memory for empty files and for files of ``row_count`` rows."""
    print("starts: rows, s until it serves, MB then, MB after 3 s of load")
    for label, tree in trees.items():
        tree_folder = folder / label
        tree_folder.mkdir(exist_ok=True)
        for rows in (0, row_count):
            result = await measure_start(nodes, tree, tree_folder, rows)
            print(
                f"  {label:8s} {rows:9d} {result.startup_s:8.2f} {result.memory_mb:8.1f}"
                f" {result.memory_after_load_mb:8.1f}",
                flush=True,
            )


if __name__ == "__main__":
    asyncio.run(main())
