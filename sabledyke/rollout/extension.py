"""Takes part in releases, as a member and, while this process holds the lease, as the coordinator.

``participant`` and ``planner`` decide; the drivers write their changes to the log. The coordinator also
compacts the log's topics.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING
from uuid import uuid4

from sabledyke import log
from sabledyke.application.extensions import AnswerCallback, Extension, ServerContext, Submit
from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.section import LogSection
from sabledyke.config import Config, ConfigError
from sabledyke.core import ClientRequest
from sabledyke.lease.extension import create_authority
from sabledyke.lease.manager import LeaseManager
from sabledyke.lease.section import LeaseSection as LeaseSection
from sabledyke.placement.evacuation_driver import EvacuationDriver
from sabledyke.placement.volume_placement import SiteMap
from sabledyke.policy.nodes import EndpointList
from sabledyke.rollout.coordinator_driver import CoordinatorDriver
from sabledyke.rollout.disruption_budget import has_work_under_way
from sabledyke.rollout.fleet_log import FleetLog
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.heartbeats import VolumeLoads
from sabledyke.rollout.member_driver import MemberDriver
from sabledyke.rollout.node_drain import closed_nodes
from sabledyke.rollout.node_list import NodeList
from sabledyke.rollout.periodic import run_periodically
from sabledyke.rollout.section import Section

if TYPE_CHECKING:
    from sabledyke.operator_config import OperatorConfig

LEASE_NAME = "rollout"
"""Name of the coordinator's lease, whose token also fences the compaction of the log."""
JOIN_RETRY_INTERVAL_S = 0.1
MAX_IDLE_INTERVAL_S = 1.0
"""Maximum interval between polls of the log while no plan is in progress."""


class RolloutExtension(Extension):
    """Extension that makes this process a member of a fleet.

    Attributes:
        compacted_log: The log that the fleet shares.
        member: Driver of this process as a member.
    """

    def __init__(
        self,
        context: ServerContext,
        section: Section,
        log_section: LogSection,
        lease: LeaseSection,
        sites: SiteMap | None = None,
    ) -> None:
        """Set up a member that has not joined yet.

        Args:
            context: The server that this extension runs in.
            section: The operator's section of releases.
            log_section: The operator's section of the log.
            lease: The operator's section of the coordinator's lease.
            sites: Capacities and distances of sites; None if the operator names none.
        """
        self._context = context
        self._section = section
        self._log_section = log_section
        self._identity = f"{context.config.name}.{uuid4().hex[:12]}"
        self._authority = create_authority(lease)
        self._tasks: list[asyncio.Task[None]] = []
        self._nodes = NodeList(lambda entries: context.apply_node_entries(entries))
        self._loads = VolumeLoads() if sites is not None else None
        self.compacted_log = CompactedLog(log_section.create_backend(), context.config.seed)
        self._fleet_log = FleetLog(self.compacted_log, log_section.max_keys, self._on_view)
        self._lease = LeaseManager(
            LEASE_NAME, self._identity, self._authority, lease.times, context.config.seed
        )
        self.member = MemberDriver(
            context, section, self.compacted_log, log_section, self._fleet_log, self._loads
        )
        self._coordinator = CoordinatorDriver(
            context=context,
            name=self._identity,
            compacted_log=self.compacted_log,
            log_section=log_section,
            fleet_log=self._fleet_log,
            lease=self._lease,
            nodes=self._nodes,
            sites=EvacuationDriver(self.compacted_log, sites) if sites is not None else None,
            heartbeat_interval_ms=section.heartbeat_interval_ms,
        )
        self.apply_config(context.config)

    async def open(self) -> None:
        """Join the fleet; returns once the log answers and this incarnation has begun."""
        await self._authority.open()
        while (view := await self.member.join()) is None:
            if self._context.is_shutting_down():
                return
            await asyncio.sleep(JOIN_RETRY_INTERVAL_S)
        self.waits_for_budget = self.member.begin(view)
        self._start_tasks()
        incarnation = self.member.incarnation
        log.emit("fleet", f"{self._identity} is a member, incarnation {incarnation}, {self._section}")

    def apply_config(self, config: Config) -> None:
        """Apply the deployment's warm-up time of nodes to the coordinator's timeouts."""
        self._coordinator.timeouts = replace(self._section.timeouts, warm_up_ms=config.settings.warm_up_ms)

    def submit(self, request: ClientRequest, done: AnswerCallback, onward: Submit) -> int:
        """Count the load of the request's volume, which is published with the heartbeats."""
        if self._loads is not None:
            self._loads.add(request.volume, request.units)
        return onward(request, done)

    def adjust_endpoint_list(self, update: EndpointList) -> EndpointList:
        """Mark nodes that a plan drains as draining."""
        return self._nodes.on_update(update)

    def check_operator_config(self, operator: OperatorConfig) -> None:
        """Reject a changed section ``[board]``, which only a restart can apply."""
        if operator.board != self._log_section:
            raise ConfigError("section [board] has changed: restart to apply it")

    async def close(self) -> None:
        """Write that the member is out of service, and release the lease."""
        if self._tasks:
            lease_task, *tasks = self._tasks
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self.member.write_final_state()
            await self._lease.stop()
            await asyncio.gather(lease_task, return_exceptions=True)
        await self._authority.close()
        await self.compacted_log.backend.close()

    def _start_tasks(self) -> None:
        loop = asyncio.get_running_loop()
        heartbeat_s = self._section.heartbeat_interval_ms / 1000
        self._tasks = [loop.create_task(self._lease.run())]
        for action, interval_s in (
            (self.member.step, self._poll_interval_s),
            (self.member.send_heartbeat, lambda: heartbeat_s),
            (self._coordinator.step, self._poll_interval_s),
            (self._coordinator.compact_topics, lambda: self._log_section.compaction_interval_s),
        ):
            self._tasks.append(loop.create_task(run_periodically(action, interval_s)))

    def _poll_interval_s(self) -> float:
        interval_s = self._section.poll_interval_ms / 1000
        if has_work_under_way(self._fleet_log.view):
            return interval_s
        heartbeat_s = self._section.heartbeat_interval_ms / 1000
        return max(interval_s, min(heartbeat_s, MAX_IDLE_INTERVAL_S))

    def _on_view(self, view: FleetView) -> None:
        """Close drained nodes, before any decision is made from the view."""
        self._nodes.set_closed_nodes(closed_nodes(view))


def set_up(context: ServerContext, operator: OperatorConfig) -> Extension | None:
    """Return the extension, or None if the operator's file does not configure a fleet member."""
    if operator.rollout is None or operator.board is None or operator.lease is None:
        return None
    return RolloutExtension(context, operator.rollout, operator.board, operator.lease, operator.sites)
