"""Drives the homes of volumes for the coordinator.

Reads homes and the members' loads, and writes what ``retire`` decides. It decides nothing.
"""

from __future__ import annotations

from collections.abc import Mapping

import orjson

from sabledyke.compacted_log.client import Board
from sabledyke.compacted_log.reader import Follower
from sabledyke.compacted_log.records import Draft
from sabledyke.placement import evacuation
from sabledyke.placement.evacuation import HOMES, Shift
from sabledyke.placement.volume_placement import Map
from sabledyke.rollout.canary_analysis import AnswerCount, Baseline, is_worse
from sabledyke.rollout.change_tracker import ChangeTracker
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.heartbeats import decode_loads
from sabledyke.rollout.moves import Move
from sabledyke.rollout.records import MemberState, Plan
from sabledyke.rollout.timeouts import Timeouts


class SiteKeeper:
    """Of one coordinator; what it knows is begun anew with each token."""

    def __init__(self, board: Board, map_: Map) -> None:
        self._board, self._map = board, map_
        self._reader, self._token = Follower(), 0
        self._calm = (0, 0)  # answers of the survivors, and those that served nobody, before anybody moved
        self._base = Baseline()
        self._stepped = ("", 0)

    async def turn(
        self,
        seen: FleetView,
        token: int,
        signs: Mapping[str, bytes],
        now: float,
        watch: ChangeTracker,
        patience: Timeouts,
    ) -> Move | str | None:
        """A move for the fleet's topic, what was written on the homes' own, or None where
        nothing is to do.
        """
        if token != self._token:
            self._token, self._pen = token, self._board.pen(HOMES, "coordinator", token)
            self._base, self._stepped = Baseline(), ("", 0)
        await self._board.catch_up(HOMES, self._reader)
        homes, total = evacuation.read(self._reader.state), dict[str, float]()
        loads = decode_loads(signs)
        for some in loads.values():
            for volume, load in some.items():
                total[volume] = total.get(volume, 0.0) + load
        plans = [plan for plan in seen.active if plan.retiring_site]
        shift = evacuation.settle(seen, homes, loads)
        for plan in plans:
            shift = shift or evacuation.shift(plan, seen, homes, total, self._map)
        if shift is not None:
            return await self._write(shift)
        for plan in plans:
            well, stood = self._well(plan, seen, signs), watch.unchanged_ms(now, f"step/{plan.name}")
            move = evacuation.step(plan, seen, homes, stood, patience.canary_soak_ms, well)
            if move is not None:
                return move
        return None

    async def _write(self, shift: Shift) -> str:
        drafts = [Draft(home.name, evacuation.pack(home)) for home in shift.homes]
        await self._pen.append(drafts, end=self._reader.position)
        return shift.what

    def _well(self, plan: Plan, seen: FleetView, state: Mapping[str, bytes]) -> bool:
        """Do the survivors refuse and fail no more, since the last step, than before anybody moved?"""
        survivors = [
            m
            for m in seen.members.values()
            if m.site != plan.retiring_site and m.state is not MemberState.RETIRED
        ]
        counts = {m.name: AnswerCount(*orjson.loads(state[m.name])[:3]) for m in survivors if m.name in state}
        if self._stepped != (plan.name, plan.step):
            self._stepped, self._base = (plan.name, plan.step), Baseline()
        since = self._base.since_first_seen(counts).values()
        now = sum(n for n, _ in since), sum(bad for _, bad in since)
        if plan.step == 0:
            self._calm = now
        return not is_worse(now, self._calm)
