"""Runs experiments on leases in real time on loopback, and evaluates the resource's record of operations.

Each run has a folder of its own and a bounded duration.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import orjson

from sabledyke.application.loop_lateness import LoopLateness
from sabledyke.lease.holder_state import HolderEvent
from sabledyke.testbed.cluster import Cluster
from sabledyke.testbed.etcd_server import Etcd
from sabledyke.testbed.experiment import Experiment
from sabledyke.testbed.fault_proxy import Proxy
from sabledyke.testbed.fenced_resource import FencedResource, OperationEvaluation, evaluate
from sabledyke.testbed.lease_faults import POLL_S, FaultInjector, InstanceProxies, wait_until

MIN_OPERATIONS = 20  # a run waits for more operations than this, also on a busy machine
FIRST_OPERATION_TIMEOUT_S = 60.0
LATENESS_POLL_S = 0.01
SEED_BITS = 32
RELEASE_EVENTS = frozenset(
    event.value for event in (HolderEvent.RELEASED, HolderEvent.RECALLED, HolderEvent.FENCED)
)


@dataclass(slots=True)
class Report:
    """The result of a run.

    Attributes:
        evaluation: The evaluation of the resource's record of operations.
        rejected: The number of operations that the resource rejected for their token.
        takeover_gaps_ms: The time from each fault that hit the holder to another holder's next operation.
        statuses: The exit statuses of the processes.
        timeline: The log lines of all processes by wall time.
        lateness: The lateness of the event loop that runs the authority, the resource and the proxies.
    """

    evaluation: OperationEvaluation
    rejected: int
    takeover_gaps_ms: list[float] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    timeline: list[dict[str, Any]] = field(default_factory=list)
    lateness: LoopLateness = field(default_factory=LoopLateness)

    def lines(self) -> list[str]:
        """Return the lines to print."""
        evaluation = self.evaluation
        longest_gap_ms = evaluation.longest_gap_ms
        gaps = ", ".join(f"{gap:.0f} ms" for gap in self.takeover_gaps_ms) or "none"
        return [
            f"{evaluation.operation_count} operations by {evaluation.holder_count} holders; "
            f"{evaluation.overlap_count} overlapped, {evaluation.stale_count} under an outdated token, "
            f"{evaluation.lease_overlap_count} sent under two leases at once, "
            f"{evaluation.in_flight_at_release_count} in flight when their lease was released",
            f"{self.rejected} rejected for their token; "
            f"longest time between two operations {longest_gap_ms:.0f} ms",
            f"time to another holder's operation after each fault: {gaps}",
            f"lateness of the event loop of authority and resource: {self.lateness.describe()}",
        ]


def _released_at_ms(timeline: Iterable[dict[str, Any]]) -> dict[int, float]:
    """Return the time of each lease's release by token, from the holders' logs."""
    return {
        int(line["token"]): float(line["mono"]) for line in timeline if line.get("what") in RELEASE_EVENTS
    }


@contextlib.asynccontextmanager
async def _measure_loop_lateness() -> AsyncIterator[LoopLateness]:
    """Measure the lateness of the running event loop while the context is active."""
    lateness = LoopLateness()
    loop = asyncio.get_running_loop()

    async def measure() -> None:
        while True:
            due_s = loop.time() + LATENESS_POLL_S
            await asyncio.sleep(LATENESS_POLL_S)
            lateness.record(loop.time(), loop.time() - due_s)

    task = loop.create_task(measure())
    try:
        yield lateness
    finally:
        task.cancel()


class LeaseRun:
    """One run of an experiment.

    Attributes:
        resource: The resource that executes the instances' operations.
        cluster: The instances' processes.
    """

    def __init__(self, experiment: Experiment, folder: Path, seed: int) -> None:
        self.resource = FencedResource(experiment.operation_duration_ms, fenced=experiment.fenced)
        self.cluster = Cluster(folder, experiment.instance_count)
        self._experiment = experiment
        self._folder = folder
        self._random = Random(seed)
        self._etcd = Etcd() if experiment.authority == "etcd" else None
        self._proxies: list[InstanceProxies] = []
        self._injector = FaultInjector(
            experiment, self.cluster, self.resource, self._etcd, self._proxies, self._random
        )

    async def run(self) -> Report:
        """Run the experiment, write its timeline and operations to the folder, and return the report."""
        await self.resource.open()
        if self._etcd is not None:
            await self._etcd.open()
        try:
            async with _measure_loop_lateness() as lateness:
                await self._start_instances()
                await self._wait_for_first_operation()
                await self._run_faults()
        finally:
            statuses = await self._stop()
        timeline = self.cluster.timeline()
        report = Report(
            evaluation=evaluate(self.resource.operations, _released_at_ms(timeline)),
            rejected=self.resource.fence.rejected,
            takeover_gaps_ms=self._takeover_gaps_ms(),
            statuses=statuses,
            timeline=timeline,
            lateness=lateness,
        )
        lines = b"".join(orjson.dumps(line) + b"\n" for line in report.timeline)
        (self._folder / "timeline.jsonl").write_bytes(lines)
        operations = b"".join(orjson.dumps(operation) + b"\n" for operation in self.resource.operations)
        (self._folder / "acts.jsonl").write_bytes(operations)
        return report

    async def _start_instances(self) -> None:
        numbers = range(self._experiment.instance_count)
        for number in numbers:
            self._proxies.append(await self._open_proxies())
            self.cluster.prepare(number, self._operator_file(number))
        await asyncio.gather(*(self.cluster.start(number) for number in numbers))

    async def _open_proxies(self) -> InstanceProxies:
        to_authority: Proxy | None = None
        if self._etcd is not None:
            to_authority = Proxy(self._etcd.port, self._random.getrandbits(SEED_BITS))
            await to_authority.open()
        to_resource = Proxy(self.resource.port, self._random.getrandbits(SEED_BITS))
        await to_resource.open()
        return InstanceProxies(to_authority, to_resource)

    async def _wait_for_first_operation(self) -> None:
        async with asyncio.timeout(FIRST_OPERATION_TIMEOUT_S):
            while not self.resource.operations:
                await asyncio.sleep(POLL_S)

    async def _run_faults(self) -> None:
        started_at = time.monotonic()
        await self._injector.start_all(started_at)
        await asyncio.sleep(max(0.0, started_at + self._experiment.length_s - time.monotonic()))
        await self._injector.finish()
        await wait_until(lambda: len(self.resource.operations) > MIN_OPERATIONS)

    async def _stop(self) -> list[int]:
        """Stop faults, instances, proxies and services, and return the exit statuses of the instances."""
        self._injector.cancel()
        statuses = await self.cluster.stop()
        for proxies in self._proxies:
            if proxies.to_authority is not None:
                await proxies.to_authority.close()
            await proxies.to_resource.close()
        await self.resource.close()
        if self._etcd is not None:
            await self._etcd.close()
        return statuses

    def _takeover_gaps_ms(self) -> list[float]:
        operations = sorted(self.resource.operations, key=lambda operation: operation.start_ms)
        gaps_ms: list[float] = []
        for loss in self._injector.holder_losses:
            takeovers = (
                operation.start_ms
                for operation in operations
                if operation.start_ms > loss.at_ms and operation.holder != loss.holder
            )
            next_operation_at = next(takeovers, None)
            if next_operation_at is not None:
                gaps_ms.append(next_operation_at - loss.at_ms)
        return gaps_ms

    def _operator_file(self, number: int) -> str:
        experiment = self._experiment
        proxies = self._proxies[number]
        authority = f'path = "{self._folder / "leases.sqlite3"}"'
        if proxies.to_authority is not None:
            authority = f'etcd = ["127.0.0.1:{proxies.to_authority.port}"]'
        offset_ms = experiment.clock_offsets_ms[number] if experiment.clock_offsets_ms else 0.0
        rate = experiment.clock_rates[number] if experiment.clock_rates else 1.0
        return f"""
[log]
format = "json"

[lease]
{authority}
ttl_ms = {experiment.ttl_ms}
renew_ms = {experiment.renew_interval_ms}
margin_ms = {experiment.safety_margin_ms}
drift = {experiment.max_clock_drift}
clock = {{offset_ms = {offset_ms}, rate = {rate}}}

[[lease.duty]]
name = "sweep"
kind = "call"
url = "http://127.0.0.1:{proxies.to_resource.port}/act"
every_s = {experiment.operation_interval_s}
"""
