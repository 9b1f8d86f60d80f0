"""Benchmark of the program with and without the store of record: CPU, latency and throughput."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.load import HIGH_RATE, KEYED_WRITE_FRACTION, STEADY_RATE, run_flat_out, run_steady
from benchmarks.nodes import NodeProcess
from benchmarks.program import start_program

BASELINE = "off"
COLUMNS = (
    f"at {STEADY_RATE:.0f}",
    "of off",
    f"at {HIGH_RATE:.0f}",
    "of off",
    "median ms",
    "flat out",
    "of off",
)


@dataclass
class Variant:
    """A version and configuration of the program, with the results of its rounds.

    Attributes:
        name: Name of the variant in the table.
        tree: Path of the checkout to run.
        operator_file: Text of the operator's file; empty for none.
        steady_cpu_us: CPU time per request at ``STEADY_RATE``.
        high_cpu_us: CPU time per request at ``HIGH_RATE``.
        median_ms: Median latency at ``STEADY_RATE``.
        flat_out_rate: Served requests per second under maximum load.
    """

    name: str
    tree: Path
    operator_file: str
    steady_cpu_us: list[float] = field(default_factory=list)
    high_cpu_us: list[float] = field(default_factory=list)
    median_ms: list[float] = field(default_factory=list)
    flat_out_rate: list[float] = field(default_factory=list)

    async def measure(self, nodes: NodeProcess, folder: Path, seconds: float) -> None:
        """Run one round."""
        program = await start_program(self.tree, folder, nodes, self.operator_file)
        steady = await run_steady(program, seconds)
        high = await run_steady(program, seconds, HIGH_RATE)
        self.steady_cpu_us.append(steady.cpu_us_per_request)
        self.high_cpu_us.append(high.cpu_us_per_request)
        self.median_ms.append(steady.median_ms)
        self.flat_out_rate.append(await run_flat_out(program, seconds / 2))
        await program.stop()


def make_variants(folder: Path, postgresql_port: int, before: Path | None, current: Path) -> list[Variant]:
    """Return the variants to compare, starting with the baseline without a store.

    Args:
        folder: Folder for the SQLite stores.
        postgresql_port: Port of the PostgreSQL server.
        before: Checkout of an earlier version; None to leave it out.
        current: Checkout of the current version.
    """
    sqlite = f'[store]\npath = "{folder}/new.sqlite3"\n'
    postgresql = f'[store]\nurl = "postgresql://sabledyke@127.0.0.1:{postgresql_port}/record"\n'
    variants = [
        Variant(BASELINE, current, ""),
        Variant("sqlite", current, sqlite),
        Variant("postgresql", current, postgresql),
        Variant("sqlite, gather 0", current, f"{sqlite}gather_ms = 0\n"),
    ]
    if before is not None:
        variants.append(Variant("before, off", before, ""))
        variants.append(Variant("before, sqlite", before, f'[store]\npath = "{folder}/old.sqlite3"\n'))
    return variants


async def measure_cost(
    variants: list[Variant], nodes: NodeProcess, folder: Path, rounds: int, seconds: float
) -> None:
    """Measure the variants alternately, and print the table."""
    for _ in range(rounds):
        for variant in variants:
            await variant.measure(nodes, folder, seconds)
    rates = f"at {STEADY_RATE:.0f} and {HIGH_RATE:.0f} requests/s"
    print(f"CPU us a request {rates}, {KEYED_WRITE_FRACTION:.0%} keyed writes; median")
    print(f"answer at {STEADY_RATE:.0f}; requests/s flat out; medians of {rounds} rounds in turn")
    print(" " * 20 + "".join(f"{column:>12s}" for column in COLUMNS))
    for variant in variants:
        print(_row(variant, variants[0]), flush=True)


def _row(variant: Variant, baseline: Variant) -> str:
    steady = statistics.median(variant.steady_cpu_us)
    steady_ratio = steady / statistics.median(baseline.steady_cpu_us)
    high = statistics.median(variant.high_cpu_us)
    high_ratio = high / statistics.median(baseline.high_cpu_us)
    latency = statistics.median(variant.median_ms)
    flat_out = statistics.median(variant.flat_out_rate)
    flat_out_ratio = flat_out / statistics.median(baseline.flat_out_rate)
    return (
        f"  {variant.name:18s}{steady:12.0f}{steady_ratio:12.2f}{high:12.0f}{high_ratio:12.2f}"
        f"{latency:12.1f}{flat_out:12.0f}{flat_out_ratio:12.2f}"
    )
