"""Benchmark of leases: request rates, bytes per lease, CPU of a renewal, time until a new holder operates.

    python -m benchmarks.lease [SEEDS]

The etcd is the testbed's stand-in, in this process: its figures are an upper bound of the client's cost and
do not describe a real server. A run takes about a minute with three seeds.
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

GRANTS = 200
RENEWALS = 400
LEASES_PER_FILE_GROWTH = 1000
HOLDER = "me"
DEFAULT_SEEDS = 3
TABLE_TTL_MS = 1000
ETCD_TIMEOUT_MS = 500
MANAGER_TIMES = LeaseTimes(ttl_ms=1000, renew_interval_ms=20, safety_margin_ms=100)
MANAGER_RUN_S = 3
CHECKPOINT_WAIT_S = 0.2
HOLDER_KILLS = (Fault(FaultKind.KILL, at_s=1.0), Fault(FaultKind.KILL, at_s=3.5))
HOLDER_STOPS = (Fault(FaultKind.TERMINATE, at_s=1.0), Fault(FaultKind.TERMINATE, at_s=3.5))


async def main(seeds: int) -> None:
    """Run all measurements and print them."""
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch)
        etcd = Etcd()
        await etcd.open()
        table = SqlAuthority(Target(path=str(folder / "leases.sqlite3")), TABLE_TTL_MS)
        await measure_authority("table", table)
        remote = EtcdAuthority([f"127.0.0.1:{etcd.port}"], "b/", TABLE_TTL_MS, ETCD_TIMEOUT_MS)
        await measure_authority("etcd", remote)
        await etcd.close()
        await measure_lease_size(folder)
        for backend in ("table", "etcd"):
            await measure_takeover(backend, folder, seeds, HOLDER_KILLS)
            await measure_takeover(backend, folder, seeds, HOLDER_STOPS)


async def measure_authority(name: str, authority: Authority) -> None:
    """Print grants and renewals per second, and the CPU that a lease manager uses in the event loop."""
    await authority.open()
    grants_per_s = await calls_per_s(
        GRANTS, lambda number: authority.request(f"grant{number}", HOLDER, Acquire(UNACQUIRED))
    )
    granted = await authority.request("renewed", HOLDER, Acquire(UNACQUIRED))
    assert isinstance(granted, Granted)
    token = granted.token
    renewals_per_s = await calls_per_s(RENEWALS, lambda _: authority.request("renewed", HOLDER, Renew(token)))
    print(f"{name}: {grants_per_s:.0f} grants/s, {renewals_per_s:.0f} renewals/s")
    await measure_manager(authority)
    await authority.close()


async def measure_manager(authority: Authority) -> None:
    """Print the CPU time of the event loop's thread per request of a lease manager."""
    manager = LeaseManager("kept", HOLDER, authority, MANAGER_TIMES, 1)
    cpu_before_s = time.thread_time()
    wall_before_s = time.perf_counter()
    task = asyncio.create_task(manager.run())
    await asyncio.sleep(MANAGER_RUN_S)
    request_count = manager.state.request_number
    cpu_s = time.thread_time() - cpu_before_s
    await manager.stop()
    await task
    wall_s = time.perf_counter() - wall_before_s
    print(
        f"  {1e6 * cpu_s / request_count:.0f} us of the loop's thread an ask"
        f" ({request_count} in {wall_s:.1f} s); etcd's with the stand-in"
    )


async def calls_per_s(count: int, call: Callable[[int], Awaitable[object]]) -> float:
    """Return the rate of sequential calls per second."""
    began_s = time.perf_counter()
    for number in range(count):
        await call(number)
    return count / (time.perf_counter() - began_s)


async def measure_lease_size(folder: Path) -> None:
    """Print the bytes per lease, calculated from the growth of the file."""
    path = folder / "many.sqlite3"
    authority = SqlAuthority(Target(path=str(path)), 3000)
    await authority.open()
    file_bytes: list[int] = []
    for first in (0, LEASES_PER_FILE_GROWTH):
        for number in range(first, first + LEASES_PER_FILE_GROWTH):
            await authority.request(f"duty-{number}", "n0.0123456789ab", Acquire(UNACQUIRED))
        await authority.close()  # closing the last connection checkpoints the WAL into the file
        await asyncio.sleep(CHECKPOINT_WAIT_S)
        file_bytes.append(path.stat().st_size)
    growth_bytes = file_bytes[1] - file_bytes[0]
    print(f"table: {growth_bytes / LEASES_PER_FILE_GROWTH:.0f} bytes a lease")


async def measure_takeover(backend: str, folder: Path, seed_count: int, faults: tuple[Fault, ...]) -> None:
    """Print the time from a holder's fault until a new holder operates, over TTL plus renew interval."""
    kind = faults[0].kind.value
    experiment = Experiment(
        "",
        length_s=6.0,
        authority=backend,
        ttl_ms=1000,
        renew_interval_ms=200,
        safety_margin_ms=300,
        faults=faults,
    )
    gaps_ms: list[float] = []
    for seed in range(seed_count):
        run_folder = folder / f"{backend}-{kind}-{seed}"
        run_folder.mkdir()
        report = await LeaseRun(experiment, run_folder, seed).run()
        gaps_ms += report.takeover_gaps_ms
    unit_ms = experiment.ttl_ms + experiment.renew_interval_ms
    ratios = sorted(gap_ms / unit_ms for gap_ms in gaps_ms)
    median = statistics.median(ratios)
    print(
        f"{backend}, {kind}: a new holder acts after median {median:.2f}, least {ratios[0]:.2f},"
        f" most {ratios[-1]:.2f} of lease plus renew interval ({len(ratios)} faults)"
    )


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEEDS))
