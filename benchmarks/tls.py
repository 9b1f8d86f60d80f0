"""Benchmark of TLS to storage nodes; figures for docs/design/tls.md.

    python benchmarks/tls.py [--seconds N]

Handshakes: CPU of the client side for full and resumed handshakes, through the program's layer and through
the standard library alone, alternating on memory buffers. Resumption: the fraction of the program's
reconnections that resume a session. Persistent connections: requests per second and p99 with TLS and without,
alternating over the same links in one process. Returning node: in simulated time, 20 schedulers with 40
attempts each reconnect to a node that has just started, with and without handshake admission.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))  # allows starting this file by its path

from benchmarks.nodes import serve_nodes
from benchmarks.tls_handshakes import BareClient, ProgramClient, handshake_cpu_us
from benchmarks.tls_keys import AUTHORITY
from benchmarks.tls_persistent import SlowTlsNode, measure_persistent_connections
from benchmarks.tls_resumption import resumed_fraction
from benchmarks.tls_returning_node import simulate

HANDSHAKE_ROUNDS = 5
PROGRAM_ROUNDS = 3


async def main() -> None:
    """Run all measurements and print them."""
    arguments = parse_arguments()
    if arguments.nodes is not None:  # in the process of the nodes; the file passes its root to the parent
        arguments.nodes.write_bytes(AUTHORITY.root)
        await serve_nodes(SlowTlsNode)
        return
    measure_handshakes(arguments.count)
    print(f"reconnections that resume: {await resumed_fraction(arguments.count):.1%}")
    with tempfile.TemporaryDirectory() as folder:
        await measure_persistent_connections(Path(folder), arguments.seconds, PROGRAM_ROUNDS)
    measure_returning_node()


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--count", type=int, default=300)
    parser.add_argument("--nodes", type=Path, help=argparse.SUPPRESS)
    return parser.parse_args()


def measure_handshakes(count: int) -> None:
    """Print the CPU of full and resumed handshakes, with the program's layer and with the library alone."""
    print("CPU us of the client's side of a handshake and one answer: the program's layer, the bare library")
    for resume in (False, True):
        program_us: list[float] = []
        bare_us: list[float] = []
        for _ in range(HANDSHAKE_ROUNDS):
            program_us.append(handshake_cpu_us(ProgramClient, count, resume=resume))
            bare_us.append(handshake_cpu_us(BareClient, count, resume=resume))
        program = statistics.median(program_us)
        bare = statistics.median(bare_us)
        kind = "resumed" if resume else "full"
        print(f"  {kind:8s} {program:6.0f} {bare:6.0f}, ratio {program / bare:.2f}")


def measure_returning_node() -> None:
    """Print the simulated reconnection of 20 schedulers to a node that has just started."""
    print("a box back cold, 20 schedulers with 40 attempts each (simulated): handshakes in the")
    print("busiest second, most load of 100 ms over what the box can do then, s until all are in")
    for admitted in (True, False):
        result = simulate(admitted=admitted)
        label = "with" if admitted else "without"
        print(
            f"  {label} admission: {result.max_handshakes_per_s:.0f} {result.max_load:.2f}"
            f" {result.duration_s:.1f}"
        )


if __name__ == "__main__":
    asyncio.run(main())
