"""Benchmark of the complete program on persistent connections, with TLS and without."""

from __future__ import annotations

import asyncio
import statistics
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

from benchmarks.load import HIGH_RATE, run_flat_out, run_steady
from benchmarks.nodes import RESPONSE, RESPONSE_DELAY_S, ROOT, NodeProcess
from benchmarks.program import start_program
from benchmarks.tls_keys import SERVER_CONTEXT
from tests.standins.tls import TlsNode

WARM_UP_S = 1.0


class SlowTlsNode(TlsNode):
    """Responds to every request after a few milliseconds, over TLS."""

    def __init__(self) -> None:
        super().__init__(SERVER_CONTEXT)
        self.answer = self._respond

    async def _respond(self, _: object) -> bytes:
        self.seen.clear()
        await asyncio.sleep(RESPONSE_DELAY_S)
        return RESPONSE


class Round(NamedTuple):
    """Results of one round."""

    cpu_us_per_request: float
    median_ms: float
    p99_ms: float
    flat_out_rate: float


@dataclass
class Variant:
    """The program with plain connections or with TLS, and its rounds."""

    name: str
    nodes: NodeProcess
    operator_file: str
    rounds: list[Round] = field(default_factory=list)

    async def measure(self, folder: Path, seconds: float) -> None:
        """Run one round."""
        program = await start_program(ROOT, folder, self.nodes, self.operator_file)
        await run_steady(program, WARM_UP_S)
        steady = await run_steady(program, seconds, HIGH_RATE)
        self.rounds.append(Round(*steady, await run_flat_out(program, seconds)))
        await program.stop()

    def medians(self) -> Round:
        """Return the median of each column."""
        return Round(*(statistics.median(column) for column in zip(*self.rounds, strict=True)))


async def measure_persistent_connections(folder: Path, seconds: float, rounds: int) -> None:
    """Measure both variants alternately, and print the table."""
    roots = folder / "roots.pem"
    plain = Variant("plain", await NodeProcess.start(), "")
    tls_nodes = await NodeProcess.start("benchmarks.tls", "--nodes", str(roots))
    tls = Variant("TLS", tls_nodes, f'[tls]\nroots = "{roots}"\nname = "box"\n')
    for _ in range(rounds):
        await plain.measure(folder, seconds)
        await tls.measure(folder, seconds)
    print(f"the program, 4 boxes: CPU us a request, median and p99 ms at {HIGH_RATE:.0f}/s, flat out/s")
    for variant in (plain, tls):
        cpu_us, median_ms, p99_ms, flat_out_rate = variant.medians()
        print(f"  {variant.name:6s} {cpu_us:8.0f} {median_ms:8.1f} {p99_ms:8.1f} {flat_out_rate:8.0f}")
        await variant.nodes.close()
    ratios = [with_tls / without for without, with_tls in zip(plain.medians(), tls.medians(), strict=True)]
    print("  ratio  " + " ".join(f"{ratio:8.2f}" for ratio in ratios))
