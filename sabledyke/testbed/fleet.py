"""A fleet of real processes under releases and faults, with storage nodes and clients.

A process that ends is started again as the version that it requested, and its listener is probed throughout.
The fleet runs on loopback for a bounded time, and ends only processes that it started.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.reader import LogReader
from sabledyke.compacted_log.records import Message
from sabledyke.errors import CompactedLogError
from sabledyke.placement import evacuation
from sabledyke.placement.volume_placement import VolumePlacement
from sabledyke.rollout import commands, disruption_budget, plan_changes
from sabledyke.rollout.fleet_view import FleetView, view_of
from sabledyke.rollout.records import FLEET_TOPIC, Plan, PlanStage
from sabledyke.rollout.state_changes import StateChange
from sabledyke.testbed import fleet_faults
from sabledyke.testbed.availability import Availability, max_concurrent_outages, probe_until
from sabledyke.testbed.cluster import Cluster
from sabledyke.testbed.deployment import traffic_settings
from sabledyke.testbed.fleet_faults import FleetFault
from sabledyke.testbed.fleet_settings import FleetSettings, operator_file
from sabledyke.testbed.fleet_storage import FleetStorage
from sabledyke.testbed.node_operator import NodeOperator
from sabledyke.testbed.storage_nodes import StorageNodes
from sabledyke.testbed.supervisor import FIRST_VERSION, Supervisor
from sabledyke.testbed.workload import Client, ClientMetrics

WAIT_TIMEOUT_S = 180.0  # limit of one wait of a scenario, with room for a busy machine
POLL_S = 0.05  # interval of polls of the log
PLACEMENT_POLL_S = 0.1
VOLUMES_PER_CLIENT = 40
REQUEST_INTERVAL_S = 0.2  # mean time between two requests of a client
COMMAND_RETRIES = 20  # retries of an operator's command while the log stalls
PAGE_MESSAGES = 7  # messages per page of a reader that reads the topic from its start


class Fleet:
    """One run of a fleet, as an asynchronous context manager.

    Attributes:
        settings: The fleet's settings.
        cluster: The processes.
        supervisor: The supervisor that restarts the processes.
        storage: The storage of the log and the leases.
        nodes: The storage nodes.
        availability: The availability of each member, by its number.
        metrics: The outcomes and latencies of the clients' requests.
        node_operator: The operator that replaces or removes drained storage nodes.
        transcript_names: Names by role that replace members' names in the transcript.
        log: The compacted log; set when the fleet starts.
        statuses: The exit statuses of the processes; empty before the fleet's end.
    """

    def __init__(self, settings: FleetSettings, folder: Path, seed: int = 1) -> None:
        self.settings = settings
        self.cluster = Cluster(folder, settings.size)
        self.supervisor = Supervisor(self.cluster, self._operator_file)
        self.storage = FleetStorage(settings, folder, seed)
        self.nodes = StorageNodes(settings.nodes_per_shard, settings.node_warm_up_ms / 1000)
        self.availability = [Availability() for _ in range(settings.size)]
        self.metrics = ClientMetrics()
        self.node_operator = NodeOperator(self.nodes)
        self.transcript_names: dict[str, str] = {}
        self.log: CompactedLog
        self.statuses: list[int] = []
        self._seed = seed
        self._clients: list[Client] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._reader = LogReader()
        self._placement_reader = LogReader()

    async def __aenter__(self) -> Fleet:
        await self.storage.open()
        if self.settings.client_count:
            self.nodes.open()
        for number in range(self.settings.size):
            await self.storage.open_proxy(number)
            self._prepare(number)
        self.log = CompactedLog(self.storage.create_backend(), self._seed)
        await self.log.backend.open()
        await asyncio.gather(*(self.cluster.start(number) for number in range(self.settings.size)))
        for number in range(self.settings.size):
            self._start_in_background(self.supervisor.supervise(number))
            self._start_in_background(self._probe(number))
        await self.wait_until(self._is_complete)
        if self.settings.nodes_per_shard > 1:
            self._start_in_background(self.node_operator.run(self.log))
        if self.settings.site_count > 1:
            self._start_in_background(self._follow_placements())
        self._start_clients()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.stop_background_tasks()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.statuses = await self.cluster.stop()
        for client in self._clients:
            client.close()
        await self.nodes.close()
        await self.log.backend.close()
        await self.storage.close()

    def stop_background_tasks(self) -> None:
        """Cancel the background tasks: supervisor, probes, node operator, placement reader and clients."""
        for task in self._tasks:
            task.cancel()

    async def read_view(self) -> FleetView:
        """Read the log to its end, and return the current view of the fleet."""
        return await commands.read_view(self.log, self._reader)

    async def read_view_from_start(self) -> FleetView:
        """Return the view of a new reader, which reads the topic from its start."""
        reader = LogReader()
        await self.log.catch_up(FLEET_TOPIC, reader, PAGE_MESSAGES)
        return view_of(reader.latest, reader.position)

    async def read_messages(self) -> list[Message]:
        """Return all retained messages of the fleet's topic, in order."""
        messages: list[Message] = []
        while True:
            page = await self.log.read_page(FLEET_TOPIC, messages[-1].offset + 1 if messages else 1)
            if not page:
                return messages
            messages += page

    async def wait_until(
        self, condition: Callable[[FleetView], Any], timeout_s: float = WAIT_TIMEOUT_S
    ) -> FleetView:
        """Wait until a condition holds, and return the view that fulfils it.

        Raises:
            TimeoutError: The condition did not hold in time; the message contains the last view.
        """
        view: FleetView | None = None
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    with contextlib.suppress(CompactedLogError):  # the log may be stalled
                        view = await self.read_view()
                        if condition(view):
                            return view
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            raise TimeoutError(f"condition not met in {timeout_s:.0f} s; the last view is {view}") from None

    async def add_plan(self, plan: Plan) -> None:
        """Publish a plan, as an operator does.

        Raises:
            PlanError: The plan is invalid, or cannot begin now.
        """

        def decide(view: FleetView) -> StateChange:
            plan_changes.validate(plan, view)
            return StateChange("plan", (plan,), expected_end=view.next_offset)

        await self._command(decide)

    async def change_stage(self, plan: str, stage: PlanStage) -> None:
        """Halt a plan, resume it, or roll it back, as an operator does.

        Raises:
            PlanError: The plan's stage does not allow the change.
        """

        def decide(view: FleetView) -> StateChange:
            changed = plan_changes.change_stage(view.plans[plan], stage, "by the experiment")
            return StateChange("word", (changed,), expected_end=view.next_offset)

        await self._command(decide)

    async def forget_member(self, name: str) -> None:
        """Declare that a member will never return, as an operator does.

        Raises:
            PlanError: The member is not out of service.
        """
        await self._command(lambda view: plan_changes.forget_member(name, view))

    async def coordinator(self) -> int:
        """Return the number of the coordinator; wait until there is one."""
        view = await self.wait_until(lambda view: view.epoch is not None)
        assert view.epoch is not None
        return int(view.epoch.name.partition(".")[0].removeprefix("n"))

    async def inject(self, kind: FleetFault, target: int = 0, duration_s: float = 0.0) -> None:
        """Begin a fault, and end it after its duration."""
        await fleet_faults.inject(kind, target, duration_s, self.cluster, self.storage)

    def placements(self) -> dict[str, VolumePlacement]:
        """Return the volumes' placements as the clients last read them, by the volumes' names."""
        return evacuation.decode_placements(self._placement_reader.latest)

    async def read_all_placements(self) -> dict[str, VolumePlacement]:
        """Return the volumes' placements as a new reader reads them from the topic's start."""
        reader = LogReader()
        await self.log.catch_up(evacuation.PLACEMENTS_TOPIC, reader)
        return evacuation.decode_placements(reader.latest)

    def max_out(self) -> int:
        """Return the largest number of members that were out of service at the same time so far."""
        return max_concurrent_outages(self.availability, time.monotonic())

    async def _command(self, decide: Callable[[FleetView], StateChange]) -> None:
        await commands.apply(self.log, self._reader, decide, retries=COMMAND_RETRIES)

    def _prepare(self, number: int) -> None:
        settings = self.settings
        operator = self._operator_file(number, FIRST_VERSION)
        if not settings.client_count:
            self.cluster.prepare(number, operator)
            return
        self.cluster.prepare(
            number,
            operator,
            settings=traffic_settings(settings.node_warm_up_ms, settings.volume_limit),
            discovery=f"127.0.0.1:{self.nodes.discovery_port}",
        )

    def _operator_file(self, number: int, version: str) -> str:
        return operator_file(self.settings, self.storage.keys_for(number), number, version)

    def _start_in_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))

    def _is_complete(self, view: FleetView) -> bool:
        """Return True if all members are in service and there is a coordinator."""
        is_in_service = len(view.members) == self.settings.size and not disruption_budget.members_out(view)
        return is_in_service and view.epoch is not None

    async def _probe(self, number: int) -> None:
        await probe_until(
            lambda: number in self.supervisor.retired,
            self.cluster.instances[number].port_number,
            self.availability[number],
            self.settings.size,
        )

    def _start_clients(self) -> None:
        for number in range(self.settings.client_count):
            client = Client(
                name=f"c{number}-{self._seed}",
                ports_of=self._ports_of,
                volumes=range(number, number + VOLUMES_PER_CLIENT),
                mean_interval_s=REQUEST_INTERVAL_S,
                metrics=self.metrics,
            )
            self._clients.append(client)
            self._start_in_background(client.run())

    def _ports_of(self, volume: int) -> list[int]:
        """Return the ports to try for a volume: those of members in its placement, then all others."""
        size = self.settings.size
        placement = self.placements().get(f"{volume:016x}")
        names = [placement.member, placement.previous_member] if placement is not None else []
        placed = [int(name.removeprefix("n")) for name in names if name]
        all_numbers = [(volume + i) % size for i in range(size)]
        return [
            self.cluster.instances[number].port_number for number in dict.fromkeys([*placed, *all_numbers])
        ]

    async def _follow_placements(self) -> None:
        """Read the volumes' placements periodically, as clients do."""
        while True:
            with contextlib.suppress(CompactedLogError):
                await self.log.catch_up(evacuation.PLACEMENTS_TOPIC, self._placement_reader)
            await asyncio.sleep(PLACEMENT_POLL_S)


def plan_for_all(name: str, size: int, **fields: Any) -> Plan:
    """Return a plan for all members of a fleet with ``size`` members."""
    return Plan(name, tuple(f"n{number}" for number in range(size)), **fields)


async def run_scenario(
    settings: FleetSettings, folder: Path, scenario: Callable[[Fleet], Awaitable[None]], seed: int = 1
) -> Fleet:
    """Run a scenario in a new fleet, and return the fleet after its end."""
    async with Fleet(settings, folder, seed) as fleet:
        await scenario(fleet)
    return fleet
