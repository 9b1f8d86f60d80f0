"""Drives the coordinator while this process holds the lease: writes its changes, and compacts topics."""

from __future__ import annotations

from math import inf

from sabledyke import log
from sabledyke.application.extensions import ServerContext
from sabledyke.compacted_log import registers
from sabledyke.compacted_log.client import CompactedLog, LogWriter
from sabledyke.compacted_log.section import LogSection
from sabledyke.errors import WriteConflictError
from sabledyke.lease.manager import LeaseManager, boottime_ms
from sabledyke.placement.evacuation import PLACEMENTS_TOPIC, PlacementBatch
from sabledyke.placement.evacuation_driver import EvacuationDriver
from sabledyke.rollout import node_drain, planner
from sabledyke.rollout.canary_analysis import Baseline, failing_plans
from sabledyke.rollout.change_tracker import ChangeTracker, tracked_values
from sabledyke.rollout.commands import append_change
from sabledyke.rollout.fleet_log import FleetLog
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.heartbeats import decode_heartbeats
from sabledyke.rollout.node_list import NodeList
from sabledyke.rollout.records import FLEET_TOPIC, HEARTBEATS_TOPIC
from sabledyke.rollout.state_changes import StateChange
from sabledyke.rollout.timeouts import Timeouts

COORDINATOR = "coordinator"
"""Writer name of coordinators on the log."""


class CoordinatorDriver:
    """Runs the coordinator in this process; ``planner`` and ``node_drain`` decide.

    Each new token resets all observations, as they were made under another lease.

    Attributes:
        timeouts: Timeouts of the coordinator.
    """

    def __init__(
        self,
        context: ServerContext,
        name: str,
        compacted_log: CompactedLog,
        log_section: LogSection,
        fleet_log: FleetLog,
        lease: LeaseManager,
        nodes: NodeList,
        sites: EvacuationDriver | None,
        heartbeat_interval_ms: float,
    ) -> None:
        """Create a driver that holds no lease yet.

        Args:
            context: The server that this driver runs in.
            name: Name of this coordinator, different in each incarnation.
            compacted_log: The log.
            log_section: The operator's section of the log.
            fleet_log: The fleet's topic as this process reads it.
            lease: The coordinator's lease.
            nodes: Storage nodes as listed by discovery.
            sites: Driver of evacuations; None if the operator names no sites.
            heartbeat_interval_ms: Interval between heartbeats of a member.
        """
        self.timeouts = Timeouts()
        self._context = context
        self._name = name
        self._compacted_log = compacted_log
        self._log_section = log_section
        self._fleet_log = fleet_log
        self._lease = lease
        self._nodes = nodes
        self._sites = sites
        self._heartbeat_interval_ms = heartbeat_interval_ms
        self._token = 0
        self._writer: LogWriter | None = None
        self._tracker = ChangeTracker()
        self._baseline = Baseline()
        self._registers: dict[str, bytes] = {}
        self._registers_read_at_ms = -inf

    async def step(self) -> None:
        """Write changes until there is none left to decide.

        Raises:
            LeaseLostError: This process does not hold the lease.
        """
        if self._context.is_shutting_down():
            return
        writer = self._writer_for(self._lease.current_token())
        await self._read_registers()
        for _ in range(self._fleet_log.record_count + 1):
            view = await self._fleet_log.read()
            now_ms = boottime_ms()
            change = self._decide(view, now_ms)
            if change is None and self._sites is not None:
                self._lease.current_token()
                done = await self._sites.step(
                    view, self._token, self._registers, now_ms, self._tracker, self.timeouts
                )
                if isinstance(done, PlacementBatch):
                    log.emit("fleet", done.description, token=self._token)
                    continue
                change = done
            if change is None:
                return
            await self._write(writer, change)

    async def compact_topics(self) -> None:
        """Compact the topics that the coordinator is responsible for.

        Raises:
            LeaseLostError: This process does not hold the lease.
        """
        for topic in (FLEET_TOPIC, PLACEMENTS_TOPIC, *self._log_section.topics):
            await self._compacted_log.compact(
                topic, self._log_section.compaction, self._lease.current_token, boottime_ms
            )

    def _writer_for(self, token: int) -> LogWriter:
        if token != self._token or self._writer is None:
            self._token = token
            self._tracker = ChangeTracker()
            self._baseline = Baseline()
            self._writer = self._compacted_log.writer(FLEET_TOPIC, COORDINATOR, token)
        return self._writer

    async def _read_registers(self) -> None:
        if boottime_ms() - self._registers_read_at_ms >= self._heartbeat_interval_ms / 2:
            self._registers = await registers.read_values(self._compacted_log.backend, HEARTBEATS_TOPIC)
            self._registers_read_at_ms = boottime_ms()

    def _decide(self, view: FleetView, now_ms: float) -> StateChange | None:
        heartbeats = decode_heartbeats(self._registers)
        values = {name: heartbeat.values for name, heartbeat in heartbeats.items()}
        self._tracker.observe(now_ms, tracked_values(view, values))
        counts = {name: heartbeat.count for name, heartbeat in heartbeats.items()}
        failing = failing_plans(view.active, self._baseline.since_first_seen(counts))
        change = planner.decide(view, self._name, self._token, now_ms, self._tracker, self.timeouts, failing)
        if change is not None:
            return change
        if not view.drains and not any(plan.nodes for plan in view.active):
            return None
        nodes = self._nodes.by_name()
        return node_drain.decide(view, self._token, now_ms, self._tracker, self.timeouts, nodes)

    async def _write(self, writer: LogWriter, change: StateChange) -> None:
        """Write a change; after a conflict the next one is decided at once, as members write all the time."""
        self._lease.current_token()
        try:
            await append_change(writer, change)
        except WriteConflictError:
            return
        log.emit_change("fleet", "move", change.description, token=self._token)
