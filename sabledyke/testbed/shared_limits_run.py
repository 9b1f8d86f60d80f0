"""Runs experiments on shared limits in real time on loopback.

Processes share a limit, the clients of one volume all use one member, then another, and faults are injected.
Storage nodes don't enforce the limit; they count what they serve to all processes together.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random

from sabledyke.testbed.deployment import LIMITED_PLAN, SHARD_COUNT
from sabledyke.testbed.fleet import Fleet, run_scenario
from sabledyke.testbed.fleet_faults import FleetFault
from sabledyke.testbed.fleet_settings import FleetSettings
from sabledyke.testbed.scenario import Report
from sabledyke.testbed.shared_limits import Experiment, FaultRow
from sabledyke.testbed.shared_limits_evaluation import (
    Disturbances,
    NodeHang,
    Span,
    VolumeRecord,
    evaluate_hang,
    evaluate_volume,
)
from sabledyke.testbed.workload import Client, ClientMetrics

LEANING_VOLUME = 1000
"""Volume whose clients all use the same member."""
SPREAD_VOLUME = 1001
"""Volume whose clients are spread over all members."""
VOLUMES = {LEANING_VOLUME: "leaning", SPREAD_VOLUME: "spread"}

SETTLING_S = 3.0
"""Time after a change of ``shared_member``, or a fault, that does not count for the served fraction."""
DEMAND_LIMITS = 2.0
"""Demand for each volume, in multiples of its limit."""
CLIENT_REQUESTS_PER_S = 8.0

LEASE_TTL_MS = 3000
HEARTBEAT_TIMEOUT_MS = 8000
POLL_INTERVAL_MS = 200


async def run(experiment: Experiment, folder: Path, seed: int) -> Report:
    """Run an experiment in ``folder``, and evaluate it."""
    report = Report()
    limits_run = _Run(experiment, seed, report)
    fleet = await run_scenario(_fleet_settings(experiment), folder, limits_run.run, seed)
    failed = [status for status in fleet.statuses if status]
    if failed:
        report.violations.append(f"processes ended with exit statuses {failed}")
    return report


def _fleet_settings(experiment: Experiment) -> FleetSettings:
    return FleetSettings(
        experiment.instances,
        experiment.backend,
        client_count=1,
        volume_limit=experiment.limit,
        shares_quotas=experiment.shares,
        quota_report_interval_ms=experiment.beat_ms,
        lease_ttl_ms=LEASE_TTL_MS,
        heartbeat_timeout_ms=HEARTBEAT_TIMEOUT_MS,
        poll_interval_ms=POLL_INTERVAL_MS,
        has_proxies=any("part" in fault.what for fault in experiment.fault),
    )


@dataclass(slots=True)
class _Run:
    """One run of an experiment.

    Attributes:
        experiment: The experiment.
        seed: The seed of clients and faults.
        report: The report that gets the evaluation.
        shared_member: The number of the member that the leaning volume's clients use.
        disturbances: The disturbances so far.
        metrics: The metrics of clients, by volume.
    """

    experiment: Experiment
    seed: int
    report: Report
    shared_member: int = 0
    disturbances: Disturbances = field(default_factory=Disturbances)
    metrics: dict[int, ClientMetrics] = field(
        default_factory=lambda: {volume: ClientMetrics() for volume in VOLUMES}
    )

    async def run(self, fleet: Fleet) -> None:
        """Run clients and faults in a started fleet, and evaluate the records."""
        clients = self._clients(fleet)
        tasks = [asyncio.create_task(client.run()) for client in clients]
        began_s = time.monotonic()
        tasks.append(asyncio.create_task(self._move_clients()))
        random = Random(self.seed)
        faults = [asyncio.create_task(self._inject(fleet, fault, random)) for fault in self.experiment.fault]
        await asyncio.sleep(self.experiment.length_s)
        completed_s = time.monotonic()
        await asyncio.gather(*faults)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for client in clients:
            client.close()
        self._evaluate(fleet, Span(began_s, completed_s))

    def _clients(self, fleet: Fleet) -> list[Client]:
        ports = [instance.port_number for instance in fleet.cluster.instances]
        client_count = max(1, round(DEMAND_LIMITS * self.experiment.limit / CLIENT_REQUESTS_PER_S))
        return [
            Client(
                f"{volume}-{number}-{self.seed}",
                partial(self._ports_of, ports, number),
                [volume],
                1 / CLIENT_REQUESTS_PER_S,
                self.metrics[volume],
                LIMITED_PLAN,
                len(ports),
            )
            for number in range(client_count)
            for volume in VOLUMES
        ]

    def _ports_of(self, ports: list[int], client: int, volume: int) -> list[int]:
        """Return the port for a client: of ``shared_member``, or of the client's own member."""
        member = self.shared_member if volume == LEANING_VOLUME else client % len(ports)
        return [ports[member]]

    async def _move_clients(self) -> None:
        """Move the leaning volume's clients from one member to the next."""
        while True:
            now_s = time.monotonic()
            self.disturbances.spans.append(Span(now_s, now_s + SETTLING_S))
            await asyncio.sleep(self.experiment.moves_s)
            self.shared_member = (self.shared_member + 1) % self.experiment.instances

    async def _inject(self, fleet: Fleet, fault: FaultRow, random: Random) -> None:
        await asyncio.sleep(fault.at)
        began_s = time.monotonic()
        size = fleet.settings.size
        others = [number for number in range(size) if number != self.shared_member]
        if fault.what == "hang":
            request_times_s = await fleet.nodes.hang(SPREAD_VOLUME % SHARD_COUNT, fault.for_s)
            hang = NodeHang(Span(began_s, time.monotonic()), request_times_s)
            self.disturbances.hangs.append(hang)
        elif fault.what == "kill_part":
            killed = random.sample(range(size), max(1, int(size * fault.share)))
            await asyncio.gather(*(fleet.inject(FleetFault.KILL, number) for number in killed))
        else:
            hits_shared_member = fault.who == "leaning" or not others
            target = self.shared_member if hits_shared_member else random.choice(others)
            await fleet.inject(FleetFault(fault.what), target, fault.for_s)
        self.disturbances.spans.append(Span(began_s, time.monotonic() + 2 * SETTLING_S))

    def _evaluate(self, fleet: Fleet, span: Span) -> None:
        for volume, name in VOLUMES.items():
            record = VolumeRecord(
                name,
                _unit_times_s(fleet, volume),
                self.metrics[volume].outcomes,
                self.experiment.least if volume == LEANING_VOLUME else 0.0,
            )
            evaluate_volume(self.experiment, record, span, self.disturbances, self.report)
        for hang in self.disturbances.hangs:
            evaluate_hang(self.experiment, hang, _unit_times_s(fleet, SPREAD_VOLUME), self.report)


def _unit_times_s(fleet: Fleet, volume: int) -> list[float]:
    """Return the times at which the fleet's storage nodes served units of a volume."""
    return fleet.nodes.unit_times.get(f"{volume:016x}", [])
