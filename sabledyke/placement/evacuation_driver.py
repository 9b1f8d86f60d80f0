"""Drives placements for the coordinator: reads placements and members' loads, and writes new placements.

The decisions are made in ``evacuation``.
"""

from __future__ import annotations

from collections.abc import Mapping

from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.reader import LogReader
from sabledyke.compacted_log.records import NewMessage
from sabledyke.placement import evacuation
from sabledyke.placement.evacuation import PLACEMENTS_TOPIC, PlacementBatch
from sabledyke.placement.volume_placement import SiteMap, VolumePlacement
from sabledyke.rollout.canary_analysis import AnswerTotal, Baseline, is_worse, total_of
from sabledyke.rollout.change_tracker import ChangeTracker
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.heartbeats import decode_heartbeat, decode_loads
from sabledyke.rollout.records import MemberState, Plan
from sabledyke.rollout.state_changes import StateChange
from sabledyke.rollout.timeouts import Timeouts

COORDINATOR = "coordinator"
"""Writer name of coordinators on the log."""


class EvacuationDriver:
    """Runs the evacuations of one coordinator; each new token resets all observations."""

    def __init__(self, compacted_log: CompactedLog, site_map: SiteMap) -> None:
        """Create a driver that has read nothing yet.

        Args:
            compacted_log: The log.
            site_map: Capacities and distances of sites.
        """
        self._compacted_log = compacted_log
        self._site_map = site_map
        self._reader = LogReader()
        self._token = 0
        self._before_evacuation = AnswerTotal(0, 0)  # answers of surviving members before any volume moved
        self._baseline = Baseline()
        self._observed_step = ("", 0)

    async def step(
        self,
        view: FleetView,
        token: int,
        registers: Mapping[str, bytes],
        now_ms: float,
        tracker: ChangeTracker,
        timeouts: Timeouts,
    ) -> StateChange | PlacementBatch | None:
        """Write placements, or return a change for the fleet's topic.

        Args:
            view: The fleet's records.
            token: Fencing token of the coordinator's lease.
            registers: Heartbeats and loads of members, as stored.
            now_ms: Time on the coordinator's clock.
            tracker: Time for which each value has been unchanged on that clock.
            timeouts: Timeouts of the coordinator.

        Returns:
            A change that is still to be written, placements that were written, or None if there is neither.
        """
        if token != self._token:
            self._begin(token)
        await self._compacted_log.catch_up(PLACEMENTS_TOPIC, self._reader)
        placements = evacuation.decode_placements(self._reader.latest)
        plans = [plan for plan in view.active if plan.retiring_site]
        batch = self._next_batch(view, plans, placements, decode_loads(registers))
        if batch is not None:
            await self._write(batch)
            return batch
        for plan in plans:
            well = self._survivors_well(plan, view, registers)
            unchanged_ms = tracker.unchanged_ms(now_ms, f"step/{plan.name}")
            change = evacuation.next_step(
                plan, view, placements, unchanged_ms, timeouts.canary_soak_ms, survivors_well=well
            )
            if change is not None:
                return change
        return None

    def _begin(self, token: int) -> None:
        self._token = token
        self._writer = self._compacted_log.writer(PLACEMENTS_TOPIC, COORDINATOR, token)
        self._baseline = Baseline()
        self._observed_step = ("", 0)

    def _next_batch(
        self,
        view: FleetView,
        plans: list[Plan],
        placements: Mapping[str, VolumePlacement],
        loads: Mapping[str, Mapping[str, float]],
    ) -> PlacementBatch | None:
        batch = evacuation.place_new_volumes(view, placements, loads)
        if batch is not None:
            return batch
        load_by_volume = _total_by_volume(loads)
        for plan in plans:
            batch = evacuation.next_batch(plan, view, placements, load_by_volume, self._site_map)
            if batch is not None:
                return batch
        return None

    async def _write(self, batch: PlacementBatch) -> None:
        new_messages = [
            NewMessage(placement.volume, evacuation.encode(placement)) for placement in batch.placements
        ]
        await self._writer.append(new_messages, expected_end=self._reader.position)

    def _survivors_well(self, plan: Plan, view: FleetView, registers: Mapping[str, bytes]) -> bool:
        """Return whether members of other sites reject and fail no more since the last step than before."""
        counts = {
            member.name: decode_heartbeat(registers[member.name]).count
            for member in view.members.values()
            if member.site != plan.retiring_site
            and member.state is not MemberState.RETIRED
            and member.name in registers
        }
        if self._observed_step != (plan.name, plan.step):
            self._observed_step = (plan.name, plan.step)
            self._baseline = Baseline()
        since_step = total_of(self._baseline.since_first_seen(counts).values())
        if plan.step == 0:
            self._before_evacuation = since_step
        return not is_worse(since_step, self._before_evacuation)


def _total_by_volume(loads: Mapping[str, Mapping[str, float]]) -> dict[str, float]:
    total: dict[str, float] = {}
    for load_by_volume in loads.values():
        for volume, load in load_by_volume.items():
            total[volume] = total.get(volume, 0.0) + load
    return total
