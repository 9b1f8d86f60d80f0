"""What leases cost: asks a second, bytes a lease, time of the loop for a renewal, time to a new holder.

    python -m benchmarks.lease [SEEDS]

The etcd is the laboratory's stand-in, in this process: its figures bound what this side costs, and say
nothing of a real server. Bounded: about a minute with three seeds.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from sabledyke.lease.etcd_authority import EtcdAuthority
from sabledyke.lease.manager import LeaseManager
from sabledyke.lease.sql_authority import SqlAuthority
from sabledyke.lease.types import UNACQUIRED, Acquire, Authority, Granted, LeaseTimes, Renew
from sabledyke.store.section import Target
from sabledyke.testbed.etcd_server import Etcd
from sabledyke.testbed.experiment import Experiment, Fault, FaultKind
from sabledyke.testbed.lease_run import LeaseRun

GRANTS, RENEWALS, LEASES = 200, 400, 1000


async def rate(count: int, ask: Callable[[int], Awaitable[object]]) -> float:
    """Asks a second, one after the other."""
    began = time.perf_counter()
    for i in range(count):
        await ask(i)
    return count / (time.perf_counter() - began)


async def authority(name: str, made: Authority) -> None:
    """Grants and renewals a second, and what a keeper costs the loop."""
    await made.open()
    grants = await rate(GRANTS, lambda i: made.request(f"grant{i}", "me", Acquire(UNACQUIRED)))
    granted = await made.request("renewed", "me", Acquire(UNACQUIRED))
    assert isinstance(granted, Granted)
    renewals = await rate(RENEWALS, lambda _: made.request("renewed", "me", Renew(granted.token)))
    keeper = LeaseManager(
        "kept", "me", made, LeaseTimes(ttl_ms=1000, renew_interval_ms=20, safety_margin_ms=100), 1
    )
    cpu, began = time.thread_time(), time.perf_counter()
    task = asyncio.create_task(keeper.run())
    await asyncio.sleep(3)
    asked, spent = keeper.state.request_number, time.thread_time() - cpu
    await keeper.stop()
    await task
    cost, took = 1e6 * spent / asked, time.perf_counter() - began
    print(f"{name}: {grants:.0f} grants/s, {renewals:.0f} renewals/s")
    print(f"  {cost:.0f} us of the loop's thread an ask ({asked} in {took:.1f} s); etcd's with the stand-in")


async def bytes_a_lease(folder: Path) -> None:
    """By the size of the file."""
    path = folder / "many.sqlite3"
    made = SqlAuthority(Target(path=str(path)), 3000)
    await made.open()
    sizes = []
    for first in (0, LEASES):
        for i in range(first, first + LEASES):
            await made.request(f"duty-{i}", "n0.0123456789ab", Acquire(UNACQUIRED))
        await made.close()  # the last connection moves the log into the file
        await asyncio.sleep(0.2)
        sizes.append(path.stat().st_size)
    print(f"table: {(sizes[1] - sizes[0]) / LEASES:.0f} bytes a lease")


async def takeover(backend: str, folder: Path, seeds: int) -> None:
    """From SIGKILL of the holder to another's act, as parts of lease and renew interval together."""
    faults = (Fault(FaultKind.KILL, at_s=1.0), Fault(FaultKind.KILL, at_s=3.5))
    plain = Experiment(
        "",
        length_s=6.0,
        authority=backend,
        ttl_ms=1000,
        renew_interval_ms=200,
        safety_margin_ms=300,
        faults=faults,
    )
    gaps: list[float] = []
    for seed in range(seeds):
        at = folder / f"{backend}{seed}"
        at.mkdir()
        gaps += (await LeaseRun(plain, at, seed).play()).takeover_gaps_ms
    parts = sorted(gap / (plain.ttl_ms + plain.renew_interval_ms) for gap in gaps)
    told = f"median {statistics.median(parts):.2f}, least {parts[0]:.2f}, most {parts[-1]:.2f}"
    print(f"{backend}: a new holder acts after {told} of lease plus renew interval ({len(parts)} kills)")


async def main(seeds: int) -> None:
    """All of it."""
    with tempfile.TemporaryDirectory() as scratch:
        folder, etcd = Path(scratch), Etcd()
        await etcd.open()
        table = SqlAuthority(Target(path=str(folder / "leases.sqlite3")), 1000)
        remote = EtcdAuthority([f"127.0.0.1:{etcd.port}"], "b/", 1000, 500)
        made: Authority
        for name, made in (("table", table), ("etcd", remote)):
            await authority(name, made)
            await made.close()
        await etcd.close()
        await bytes_a_lease(folder)
        for backend in ("table", "etcd"):
            await takeover(backend, folder, seeds)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 3))
