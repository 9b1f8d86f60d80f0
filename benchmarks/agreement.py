"""What the compacted log and a release cost.

A late reader, compaction, a decision, a member at rest, the time of a release, and what it and the retirement
of a site cost in service.

    python -m benchmarks.agreement [MESSAGES] [SIZE ...]

Ratios are of two things in one run. The etcd is the laboratory's stand-in, in this process. Bounded: about
six minutes with 1,000,000 messages and fleets of 5 and 12.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable
from pathlib import Path

from benchmarks.compacted_log import measure_log, time_s
from benchmarks.rollout_decisions import measure_drain_decision, measure_ticket_decision
from sabledyke.rollout import disruption_budget
from sabledyke.rollout.records import Plan, PlanStage
from sabledyke.testbed.fleet import Fleet, plan_for_all, play
from sabledyke.testbed.fleet_settings import FleetSettings

WARM, STEADY = 15.0, 30.0  # seconds: boxes are learnt, and service is counted before anything happens


async def service(what: str, size: int = 6) -> None:
    """Served and p99 in a release, or while a site of two retires, over those of as long before it."""

    async def story(fleet: Fleet) -> None:
        async def through(what: Awaitable[object]) -> tuple[float, float, float]:
            """Seconds that it takes, the share served meanwhile, and their p99."""
            metrics = fleet.metrics
            served, asked = metrics.outcomes["served"], metrics.request_count
            metrics.reset_latencies()
            took = await time_s(what)
            share = (metrics.outcomes["served"] - served) / (metrics.request_count - asked)
            return took, share, metrics.p99_s()

        await fleet.wait_until(lambda _: len(fleet.placements()) >= 20)
        await asyncio.sleep(WARM)
        _, before, p99 = await through(asyncio.sleep(STEADY))
        if what == "release":
            await fleet.add_plan(plan_for_all("p", size))
        else:
            gone = tuple(f"n{i}" for i in range(0, size, 3))
            await fleet.add_plan(Plan("p", gone, retiring_site="s0"))
        over = fleet.wait_until(lambda v: v.plans["p"].stage is PlanStage.DONE, 600)
        took, share, slow = await through(over)
        lost = 1 - share / before
        print(f"a {what} in a fleet of {size}, {took:.1f} s: {lost:.2%} lost of a steady {before:.2%}")
        print(f"  p99 {slow / p99:.2f} times that before; {fleet.metrics.outcomes['cut']} answers cut off")
        if what != "release":
            homes = fleet.placements().values()
            least = sum(h.origin_site == "s0" for h in homes)
            print(f"  volumes moved {sum(h.move_count for h in homes) / least:.2f} times the least")

    with tempfile.TemporaryDirectory() as folder:
        made = FleetSettings(
            size,
            client_count=8,
            site_count=3,
            nodes_per_shard=2,
            heartbeat_timeout_ms=8000,
            lease_ttl_ms=3000,
            poll_interval_ms=200,
        )
        await play(made, Path(folder), story)


async def release(size: int) -> None:
    """Print the time of a rolling restart over the least, which is members times one member's cycle.

    A cycle is measured by hand in the same fleet, from SIGTERM until the member's listener is open again.
    """
    took, cycles = list[float](), list[float]()

    async def story(fleet: Fleet) -> None:
        for i in range(min(size, 5)):
            downs, began = len(fleet.availability[i].outages), time.monotonic()
            fleet.cluster.send_signal(i, signal.SIGTERM)
            while len(fleet.availability[i].outages) == downs:
                await asyncio.sleep(0.005)
            cycles.append(time.monotonic() - began)
            await fleet.wait_until(lambda v: not disruption_budget.members_out(v))
        began = time.monotonic()
        await fleet.add_plan(plan_for_all("p", size))
        await fleet.wait_until(lambda v: v.plans["p"].stage is PlanStage.DONE, 600)
        took.append(time.monotonic() - began)
        assert fleet.max_out() == 1

    with tempfile.TemporaryDirectory() as folder:
        await play(FleetSettings(size, heartbeat_timeout_ms=4000), Path(folder), story)
    cycle = sum(cycles) / len(cycles)
    times = took[0] / size / cycle
    print(f"a release of {size}: {took[0]:.1f} s, {times:.2f} times its cycles of {cycle:.2f} s")


async def rest() -> None:
    """Print what a member costs at rest: CPU seconds of its process over ten seconds."""

    async def story(fleet: Fleet) -> None:
        pids = [one.process.pid for one in fleet.cluster.instances if one.process is not None]
        before = [cpu(pid) for pid in pids]
        fleet.stop_watching()  # no probes meanwhile
        await asyncio.sleep(10)
        spent = [cpu(pid) - b for pid, b in zip(pids, before, strict=True)]
        most, low = max(spent) / 10, min(spent) / 10
        print(f"a member at rest, looking every 200 ms: {low:.2%} to {most:.2%} of a core")

    with tempfile.TemporaryDirectory() as folder:
        settings = FleetSettings(3, poll_interval_ms=200, heartbeat_timeout_ms=8000, lease_ttl_ms=3000)
        await play(settings, Path(folder), story)


def cpu(pid: int) -> float:
    """CPU seconds of a process's threads so far; a tick of 10 ms would be a tenth of the aim."""
    threads = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(thread.read_text().split()[0]) for thread in threads) / 1e9


async def run(messages: int, sizes: list[int]) -> None:
    """All of it."""
    for members in (12, 200, 1000):
        measure_ticket_decision(members)
    measure_drain_decision(member_count=200, node_count=1000)
    await measure_log(messages)
    await rest()
    for what in ("release", "retirement"):
        await service(what)
    for size in sizes:
        await release(size)


if __name__ == "__main__":
    numbers = [int(word) for word in sys.argv[1:]]
    asyncio.run(run(numbers[0] if numbers else 1_000_000, numbers[1:] or [5, 12]))
