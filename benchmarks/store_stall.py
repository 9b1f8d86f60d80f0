"""Benchmark of a stall of the store: another connection locks the SQLite file exclusively."""

from __future__ import annotations

import asyncio
import random
import sqlite3
from collections import Counter
from pathlib import Path

from benchmarks.load import STEADY_RATE, Client, is_keyed_write
from benchmarks.nodes import NodeProcess
from benchmarks.program import start_program

BEFORE_S = 1.0
JUST_AFTER_S = 1.0
LATER_S = 5.0


async def measure_stall(nodes: NodeProcess, tree: Path, folder: Path, lock_s: float, label: str) -> None:
    """Lock the file for ``lock_s`` seconds under load, and print statuses and latencies of the requests."""
    path = folder / "stall.sqlite3"
    program = await start_program(tree, folder, nodes, f'[store]\npath = "{path}"\n')
    load = StallLoad(program.port)
    await load.run(BEFORE_S, "before")
    blocker = sqlite3.connect(path, isolation_level=None, timeout=5)
    blocker.execute("BEGIN EXCLUSIVE")
    await load.run(lock_s, "stalled")
    blocker.execute("COMMIT")
    blocker.close()
    await load.run(JUST_AFTER_S, "first second after")
    await load.run(LATER_S, "later")
    await load.finish()
    broken_invariants = await program.stop()
    path.unlink()
    print(f"file held for {lock_s:.0f} s, {label}; invariants broken: {broken_invariants}")
    for label_text, count in sorted(load.table().items()):
        print(f"  {label_text:45s} {count}")


class StallLoad:
    """Requests at a steady rate, with statistics by the phase in which they were sent."""

    def __init__(self, port: int) -> None:
        self._client = Client(port, 5)
        self._random = random.Random(6)
        self._tasks: list[asyncio.Task[None]] = []
        self._statuses = Counter[str]()
        self._slowest_ms: dict[str, int] = {}

    async def run(self, seconds: float, phase: str) -> None:
        """Send requests for this many seconds, without waiting for their answers."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        while loop.time() < end_s:
            await asyncio.sleep(self._random.expovariate(STEADY_RATE))
            request = self._send(phase, write=is_keyed_write(self._random))
            self._tasks.append(asyncio.create_task(request))

    async def finish(self) -> None:
        """Wait for all answers."""
        await asyncio.gather(*self._tasks)
        self._client.close()

    def table(self) -> dict[str, int]:
        """Return request counts by phase, kind and status, and maximum latencies in ms by phase and kind."""
        slowest = {f"{group}: slowest ms": slowest_ms for group, slowest_ms in self._slowest_ms.items()}
        return {**self._statuses, **slowest}

    async def _send(self, phase: str, *, write: bool) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        status = await self._client.request(write=write)
        latency_ms = int((loop.time() - began_s) * 1000)
        group = f"{phase}, {'keyed write' if write else 'read'}"
        self._statuses[f"{group}: {status}"] += 1
        self._slowest_ms[group] = max(self._slowest_ms.get(group, 0), latency_ms)
