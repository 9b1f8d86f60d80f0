"""Benchmark of a fleet: service during a plan, duration of a release, and CPU of an idle member."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from collections.abc import Awaitable
from pathlib import Path
from typing import NamedTuple

from benchmarks.compacted_log import time_s
from sabledyke.rollout import disruption_budget
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import Plan, PlanStage
from sabledyke.testbed.fleet import Fleet, plan_for_all, run_scenario
from sabledyke.testbed.fleet_settings import FleetSettings

PLAN_NAME = "p"
RETIRING_SITE = "s0"
SITE_COUNT = 3
SERVICE_FLEET_SIZE = 6
IDLE_FLEET_SIZE = 3
MIN_PLACEMENTS = 20  # number of placed volumes before the measurement starts
WARM_UP_S = 15.0  # time for schedulers to discover the nodes
STEADY_S = 30.0  # length of the baseline before the plan starts
IDLE_S = 10.0
PLAN_TIMEOUT_S = 600
MAX_SINGLE_RESTARTS = 5
OUTAGE_POLL_S = 0.005


class ServicePeriod(NamedTuple):
    """Service to clients during a period of time.

    Attributes:
        duration_s: Length of the period in seconds.
        served_fraction: Fraction of the requests that were served.
        p99_s: The 99th percentile of the latency in seconds.
    """

    duration_s: float
    served_fraction: float
    p99_s: float


async def measure_service(*, retires_site: bool) -> None:
    """Print service during a release or the retirement of a site, compared with a steady period before it."""
    plan = plan_for_all(PLAN_NAME, SERVICE_FLEET_SIZE)
    if retires_site:
        members = tuple(f"n{number}" for number in range(0, SERVICE_FLEET_SIZE, SITE_COUNT))
        plan = Plan(PLAN_NAME, members, retiring_site=RETIRING_SITE)
    label = "retirement" if retires_site else "release"

    async def scenario(fleet: Fleet) -> None:
        await fleet.wait_until(lambda _: len(fleet.placements()) >= MIN_PLACEMENTS)
        await asyncio.sleep(WARM_UP_S)
        steady = await _observe(fleet, asyncio.sleep(STEADY_S))
        await fleet.add_plan(plan)
        during = await _observe(fleet, fleet.wait_until(_is_plan_done, PLAN_TIMEOUT_S))
        lost_fraction = 1 - during.served_fraction / steady.served_fraction
        print(
            f"a {label} in a fleet of {SERVICE_FLEET_SIZE}, {during.duration_s:.1f} s:"
            f" {lost_fraction:.2%} lost of a steady {steady.served_fraction:.2%}"
        )
        print(
            f"  p99 {during.p99_s / steady.p99_s:.2f} times that before;"
            f" {fleet.metrics.outcomes['cut']} answers cut off"
        )
        if retires_site:
            print(f"  volumes moved {_moves_per_volume(fleet):.2f} times the least")

    settings = FleetSettings(
        SERVICE_FLEET_SIZE,
        client_count=8,
        site_count=SITE_COUNT,
        nodes_per_shard=2,
        heartbeat_timeout_ms=8000,
        lease_ttl_ms=3000,
        poll_interval_ms=200,
    )
    with tempfile.TemporaryDirectory() as folder:
        await run_scenario(settings, Path(folder), scenario)


async def measure_release_time(size: int) -> None:
    """Print the duration of a rolling restart, divided by the minimum of members times one restart cycle.

    A cycle is measured by single restarts in the same fleet, from SIGTERM until the listener is open again.
    """
    cycles_s: list[float] = []
    release_s = 0.0

    async def scenario(fleet: Fleet) -> None:
        nonlocal release_s
        for number in range(min(size, MAX_SINGLE_RESTARTS)):
            cycles_s.append(await time_s(_restart(fleet, number)))
            await fleet.wait_until(lambda view: not disruption_budget.members_out(view))
        began_s = time.monotonic()
        await fleet.add_plan(plan_for_all(PLAN_NAME, size))
        await fleet.wait_until(_is_plan_done, PLAN_TIMEOUT_S)
        release_s = time.monotonic() - began_s
        assert fleet.max_out() == 1

    with tempfile.TemporaryDirectory() as folder:
        await run_scenario(FleetSettings(size, heartbeat_timeout_ms=4000), Path(folder), scenario)
    cycle_s = sum(cycles_s) / len(cycles_s)
    ratio = release_s / size / cycle_s
    print(f"a release of {size}: {release_s:.1f} s, {ratio:.2f} times its cycles of {cycle_s:.2f} s")


async def measure_idle_member() -> None:
    """Print the minimum and maximum CPU use of idle members."""

    async def scenario(fleet: Fleet) -> None:
        instances = fleet.cluster.instances
        pids = [instance.process.pid for instance in instances if instance.process is not None]
        cpu_before_s = [cpu_s(pid) for pid in pids]
        fleet.stop_background_tasks()  # stops probes, which would use CPU of the members
        await asyncio.sleep(IDLE_S)
        usage = [(cpu_s(pid) - before) / IDLE_S for pid, before in zip(pids, cpu_before_s, strict=True)]
        print(f"a member at rest, looking every 200 ms: {min(usage):.2%} to {max(usage):.2%} of a core")

    settings = FleetSettings(
        IDLE_FLEET_SIZE, poll_interval_ms=200, heartbeat_timeout_ms=8000, lease_ttl_ms=3000
    )
    with tempfile.TemporaryDirectory() as folder:
        await run_scenario(settings, Path(folder), scenario)


def cpu_s(pid: int) -> float:
    """Return the CPU time of all threads of a process in seconds.

    ``schedstat`` counts nanoseconds; a clock tick of 10 ms would be a tenth of the measured value.
    """
    threads = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(thread.read_text().split()[0]) for thread in threads) / 1e9


async def _observe(fleet: Fleet, period: Awaitable[object]) -> ServicePeriod:
    """Return the service to clients until the awaitable completes."""
    metrics = fleet.metrics
    served_before = metrics.outcomes["served"]
    requests_before = metrics.request_count
    metrics.reset_latencies()
    duration_s = await time_s(period)
    served = metrics.outcomes["served"] - served_before
    return ServicePeriod(duration_s, served / (metrics.request_count - requests_before), metrics.p99_s())


async def _restart(fleet: Fleet, number: int) -> None:
    """Send SIGTERM to a member, and wait until its outage is over."""
    outage_count = len(fleet.availability[number].outages)
    fleet.cluster.send_signal(number, signal.SIGTERM)
    while len(fleet.availability[number].outages) == outage_count:
        await asyncio.sleep(OUTAGE_POLL_S)


def _moves_per_volume(fleet: Fleet) -> float:
    """Return the number of volume moves, divided by the moves that the site's retirement requires."""
    placements = fleet.placements().values()
    needed = sum(placement.origin_site == RETIRING_SITE for placement in placements)
    return sum(placement.move_count for placement in placements) / needed


def _is_plan_done(view: FleetView) -> bool:
    return view.plans[PLAN_NAME].stage is PlanStage.DONE
