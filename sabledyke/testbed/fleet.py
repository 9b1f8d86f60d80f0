"""A fleet of real processes under releases and faults, with storage nodes and clients round it.

Each process is started again when it ends, as the version that it asked for, and its listener is probed all
the time. Runs on loopback, bounded in time; ends only what it started.
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
from sabledyke.testbed.availability import Availability, max_out_at_once, probe_until
from sabledyke.testbed.cluster import Cluster
from sabledyke.testbed.deployment import traffic_settings
from sabledyke.testbed.fleet_faults import FleetFault
from sabledyke.testbed.fleet_settings import FleetSettings, operator_file
from sabledyke.testbed.fleet_storage import FleetStorage
from sabledyke.testbed.node_operator import NodeOperator
from sabledyke.testbed.storage_nodes import StorageNodes
from sabledyke.testbed.supervisor import FIRST_VERSION, Supervisor
from sabledyke.testbed.workload import Client, ClientMetrics

WAIT_TIMEOUT_S = 180.0  # that a busy machine may take for what a scenario waits for
POLL_S = 0.05  # between two polls of the log
PLACEMENT_POLL_S = 0.1
VOLUMES_PER_CLIENT = 40
REQUEST_INTERVAL_S = 0.2  # of one client, on average
COMMAND_RETRIES = 20  # of an operator's command, while the log stalls
PAGE_MESSAGES = 7  # of a reader that joins late


class Fleet:
    """One run of a fleet; use it as a context.

    Attributes:
        settings: The fleet's settings.
        cluster: Its processes.
        supervisor: Whoever starts them again.
        storage: Where their log and leases are.
        nodes: The storage nodes.
        availability: What the probes of each member showed.
        metrics: What its clients saw.
        node_operator: Whoever takes drained storage nodes away.
        transcript_names: What members are called in the transcript, where their roles matter.
        log: The compacted log, once the fleet has started.
        statuses: The exit statuses of the processes, once it has ended.
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
            self._run_in_background(self.supervisor.supervise(number))
            self._run_in_background(self._probe(number))
        await self.wait_until(self._is_complete)
        if self.settings.nodes_per_shard > 1:
            self._run_in_background(self.node_operator.run(self.log))
        if self.settings.site_count > 1:
            self._run_in_background(self._follow_placements())
        self._start_clients()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.stop_watching()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.statuses = await self.cluster.stop()
        for client in self._clients:
            client.close()
        await self.nodes.close()
        await self.log.backend.close()
        await self.storage.close()

    def stop_watching(self) -> None:
        """Stop the supervisor, the probes and the clients."""
        for task in self._tasks:
            task.cancel()

    async def read_view(self) -> FleetView:
        """Return the fleet as the log has it now."""
        return await commands.read_view(self.log, self._reader)

    async def read_view_anew(self) -> FleetView:
        """Return the fleet as a reader has it that joins now."""
        reader = LogReader()
        await self.log.catch_up(FLEET_TOPIC, reader, PAGE_MESSAGES)
        return view_of(reader.latest, reader.position)

    async def read_messages(self) -> list[Message]:
        """Return all messages of the fleet's topic that are retained, in order."""
        messages: list[Message] = []
        while True:
            page = await self.log.read_page(FLEET_TOPIC, messages[-1].offset + 1 if messages else 1)
            if not page:
                return messages
            messages += page

    async def wait_until(
        self, condition: Callable[[FleetView], Any], timeout_s: float = WAIT_TIMEOUT_S
    ) -> FleetView:
        """Wait until a condition holds, and return the view that it holds of.

        Raises:
            TimeoutError: It does not hold in time; the error names the last view, to trace what is stuck.
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
            raise TimeoutError(f"not within {timeout_s:.0f} s; the last view is {view}") from None

    async def add_plan(self, plan: Plan) -> None:
        """Publish a plan, as an operator does.

        Raises:
            PlanError: It cannot be.
        """

        def decide(view: FleetView) -> StateChange:
            plan_changes.validate(plan, view)
            return StateChange("plan", (plan,), expected_end=view.next_offset)

        await self._command(decide)

    async def change_stage(self, plan: str, stage: PlanStage) -> None:
        """Halt a plan, resume it, or roll it back, as an operator does.

        Raises:
            PlanError: It cannot be.
        """

        def decide(view: FleetView) -> StateChange:
            changed = plan_changes.change_stage(view.plans[plan], stage, "by the experiment")
            return StateChange("word", (changed,), expected_end=view.next_offset)

        await self._command(decide)

    async def forget_member(self, name: str) -> None:
        """Say that a member will never return, as an operator does.

        Raises:
            PlanError: It is not out.
        """
        await self._command(lambda view: plan_changes.forget_member(name, view))

    async def coordinator(self) -> int:
        """Return the number of the member that coordinates."""
        view = await self.wait_until(lambda view: view.epoch is not None)
        assert view.epoch is not None
        return int(view.epoch.name.partition(".")[0].removeprefix("n"))

    async def inject(self, kind: FleetFault, target: int = 0, duration_s: float = 0.0) -> None:
        """Begin a fault, and end it after its duration."""
        await fleet_faults.inject(kind, target, duration_s, self.cluster, self.storage)

    def placements(self) -> dict[str, VolumePlacement]:
        """Return where volumes are placed, as clients last read it."""
        return evacuation.decode_placements(self._placement_reader.latest)

    async def read_placements_anew(self) -> dict[str, VolumePlacement]:
        """Return where volumes are placed, as a reader has it that joins now."""
        reader = LogReader()
        await self.log.catch_up(evacuation.PLACEMENTS_TOPIC, reader)
        return evacuation.decode_placements(reader.latest)

    def max_out(self) -> int:
        """Return how many members were out at once, at the worst moment so far."""
        return max_out_at_once(self.availability, time.monotonic())

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

    def _run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    def _is_complete(self, view: FleetView) -> bool:
        """Return whether all members are in service, and one of them coordinates."""
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
            self._run_in_background(client.run())

    def _ports_of(self, volume: int) -> list[int]:
        """Return where clients go for a volume: to the members that it is placed at, then to all others."""
        size = self.settings.size
        placement = self.placements().get(f"{volume:016x}")
        names = [placement.member, placement.previous_member] if placement is not None else []
        placed = [int(name.removeprefix("n")) for name in names if name]
        all_numbers = [(volume + i) % size for i in range(size)]
        return [
            self.cluster.instances[number].port_number for number in dict.fromkeys([*placed, *all_numbers])
        ]

    async def _follow_placements(self) -> None:
        """Read where volumes are placed, as clients do."""
        while True:
            with contextlib.suppress(CompactedLogError):
                await self.log.catch_up(evacuation.PLACEMENTS_TOPIC, self._placement_reader)
            await asyncio.sleep(PLACEMENT_POLL_S)


def plan_for_all(name: str, size: int, **fields: Any) -> Plan:
    """Return a plan for all members of a fleet of this size."""
    return Plan(name, tuple(f"n{number}" for number in range(size)), **fields)


async def play(
    settings: FleetSettings, folder: Path, scenario: Callable[[Fleet], Awaitable[None]], seed: int = 1
) -> Fleet:
    """Run a scenario in a fleet of its own, and return the fleet after its end."""
    async with Fleet(settings, folder, seed) as fleet:
        await scenario(fleet)
    return fleet
