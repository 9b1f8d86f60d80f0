"""The coordinator's decisions on a retiring site: evacuation and its rollback in steps of weight. Pure.

Volumes move in nested sets (``volume_placement.is_moved_at``): each moves at most once during an evacuation,
and a rollback only returns it to its site of origin. The next step waits until all placements of this one are
written, every member of another site is ready, and these members reject and fail no more than before.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

import orjson

from sabledyke.compacted_log.records import MAX_APPEND_MESSAGES, Message
from sabledyke.placement.volume_placement import (
    SiteMap,
    VolumePlacement,
    is_moved_at,
    member_for,
    nearest_site_with_capacity,
)
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import EVACUATION_STEPS, MemberState, Plan, PlanStage
from sabledyke.rollout.state_changes import StateChange

PLACEMENTS_TOPIC = "homes"
STORED_FIELDS = ("site", "member", "origin_site", "previous_member", "move_count")
"""Fields of a placement, which is stored under its volume as a JSON array of them in this order."""
CLOSED_STAGES = (PlanStage.RUNNING, PlanStage.HALTED, PlanStage.DONE)
"""Stages of a plan in which the site that it retires accepts no volumes."""


def encode(placement: VolumePlacement) -> bytes:
    """Encode a placement in its stored form."""
    return orjson.dumps([getattr(placement, name) for name in STORED_FIELDS])


def decode_placements(state: Mapping[str, Message]) -> dict[str, VolumePlacement]:
    """Decode the placements of a reader's state, by volume."""
    return {
        volume: replace(VolumePlacement(volume, *orjson.loads(message.value)), offset=message.offset)
        for volume, message in state.items()
        if message.value is not None
    }


@dataclass(slots=True, frozen=True)
class PlacementBatch:
    """Placements to write at the end of their topic, and their description for the log."""

    placements: tuple[VolumePlacement, ...]
    description: str


def place_new_volumes(
    view: FleetView,
    placements: Mapping[str, VolumePlacement],
    loads: Mapping[str, Mapping[str, float]],
) -> PlacementBatch | None:
    """Place volumes without a placement on the member that serves most of their load.

    Args:
        view: The fleet's records.
        placements: Placements by volume.
        loads: Units per second by volume, by member.

    Returns:
        As many placements as fit in one append; None if there are none.
    """
    busiest = _busiest_members(view, loads)
    volumes = [volume for volume in sorted(busiest) if volume not in placements][:MAX_APPEND_MESSAGES]
    if not volumes:
        return None
    placed = []
    for volume in volumes:
        member = view.members[busiest[volume]]
        placed.append(VolumePlacement(volume, member.site, member.name, member.site))
    return PlacementBatch(tuple(placed), f"{len(placed)} new volumes placed")


def next_batch(
    plan: Plan,
    view: FleetView,
    placements: Mapping[str, VolumePlacement],
    load_by_volume: Mapping[str, float],
    site_map: SiteMap,
) -> PlacementBatch | None:
    """Return new placements of the volumes that the plan's step moves and that have not moved yet.

    Args:
        plan: A plan that retires a site.
        view: The fleet's records.
        placements: Placements by volume.
        load_by_volume: Units per second by volume.
        site_map: Capacities and distances of sites.

    Returns:
        As many placements as fit in one append; None if there are none, or no site has capacity for them.
    """
    loads = _PlacedLoads(placements, load_by_volume)
    moved = []
    for placement in _volumes_to_move(plan, placements)[:MAX_APPEND_MESSAGES]:
        load = load_by_volume.get(placement.volume, 0.0)
        target = _target_site(plan, view, placement, load, site_map, loads)
        if target is None:
            continue  # no site has capacity: the volume stays, and the step waits
        ready = [
            member.name
            for member in view.members.values()
            if member.site == target and member.state is MemberState.READY
        ]
        member = member_for(placement.volume, load, ready, loads.by_member)
        if member is None:
            continue
        loads.add(target, member, load)
        moved.append(_moved(placement, target, member))
    if not moved:
        return None
    direction = "home" if plan.stage is PlanStage.ROLLING_BACK else "away"
    return PlacementBatch(tuple(moved), f"{len(moved)} volumes move {direction}")


def next_step(
    plan: Plan,
    view: FleetView,
    placements: Mapping[str, VolumePlacement],
    unchanged_ms: float,
    soak_ms: float,
    *,
    survivors_well: bool,
) -> StateChange | None:
    """Return the next step of a plan whose volumes have all moved, or None if it has to wait.

    Args:
        plan: A plan that may retire a site.
        view: The fleet's records.
        placements: Placements by volume.
        unchanged_ms: Time for which the plan has been at its step.
        soak_ms: Minimum time at each step.
        survivors_well: Whether the members of other sites reject and fail no more than before.
    """
    if not plan.retiring_site or _volumes_to_move(plan, placements):
        return None
    if unchanged_ms < soak_ms or not survivors_well or not _survivors_ready(plan, view):
        return None
    if plan.stage is PlanStage.RUNNING and plan.step <= EVACUATION_STEPS:
        step = plan.step + 1
    elif plan.stage is PlanStage.ROLLING_BACK and plan.step >= 0:
        step = plan.step - 1
    else:
        return None
    description = f"site {plan.retiring_site}: step {step} of {EVACUATION_STEPS}"
    return StateChange(description, (replace(plan, step=step),), expected_end=view.next_offset)


class _PlacedLoads:
    """Load of each site and member, as the sum over the volumes that are placed there."""

    def __init__(
        self, placements: Mapping[str, VolumePlacement], load_by_volume: Mapping[str, float]
    ) -> None:
        self.by_site: dict[str, float] = {}
        self.by_member: dict[str, float] = {}
        for placement in placements.values():
            self.add(placement.site, placement.member, load_by_volume.get(placement.volume, 0.0))

    def add(self, site: str, member: str, load: float) -> None:
        self.by_site[site] = self.by_site.get(site, 0.0) + load
        self.by_member[member] = self.by_member.get(member, 0.0) + load


def _busiest_members(view: FleetView, loads: Mapping[str, Mapping[str, float]]) -> dict[str, str]:
    """Return the member with the highest load for each volume; among equal ones the last by name."""
    busiest: dict[str, tuple[float, str]] = {}
    for member, load_by_volume in loads.items():
        if member not in view.members:
            continue
        for volume, load in load_by_volume.items():
            busiest[volume] = max(busiest.get(volume, (0.0, "")), (load, member))
    return {volume: member for volume, (_, member) in busiest.items()}


def _volumes_to_move(plan: Plan, placements: Mapping[str, VolumePlacement]) -> list[VolumePlacement]:
    """Return the placements of volumes that move at the plan's step, and have not moved yet."""
    remaining_weight = _remaining_weight(plan)
    return [
        placement
        for _, placement in sorted(placements.items())
        if _has_to_move(plan, placement, remaining_weight)
    ]


def _has_to_move(plan: Plan, placement: VolumePlacement, remaining_weight: float) -> bool:
    site = plan.retiring_site
    is_away = is_moved_at(placement.volume, site, remaining_weight)
    if plan.stage is PlanStage.RUNNING:
        return placement.site == site and is_away
    if plan.stage is PlanStage.ROLLING_BACK:
        return placement.origin_site == site and placement.site != site and not is_away
    return False


def _remaining_weight(plan: Plan) -> float:
    """Return the fraction of its weight that the site keeps at this step; 0 after the last step."""
    return 1 - min(EVACUATION_STEPS, max(0, plan.step)) / EVACUATION_STEPS


def _target_site(
    plan: Plan,
    view: FleetView,
    placement: VolumePlacement,
    load: float,
    site_map: SiteMap,
    loads: _PlacedLoads,
) -> str | None:
    if plan.stage is PlanStage.ROLLING_BACK:
        return plan.retiring_site
    closed = _closed_sites(view)
    return nearest_site_with_capacity(placement.volume, load, placement.site, site_map, loads.by_site, closed)


def _closed_sites(view: FleetView) -> list[str]:
    """Return the retiring and retired sites, which accept no volumes."""
    return [
        plan.retiring_site
        for plan in view.plans.values()
        if plan.retiring_site and plan.stage in CLOSED_STAGES
    ]


def _moved(placement: VolumePlacement, site: str, member: str) -> VolumePlacement:
    return replace(
        placement,
        site=site,
        member=member,
        previous_member=placement.member,
        move_count=placement.move_count + 1,
    )


def _survivors_ready(plan: Plan, view: FleetView) -> bool:
    survivors = (member for member in view.members.values() if member.site != plan.retiring_site)
    return all(member.state in (MemberState.READY, MemberState.RETIRED) for member in survivors)
