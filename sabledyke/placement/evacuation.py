"""What a coordinator does for a site that retires, or comes back: one step of its weight after the other.
Pure.

Told: the fleet's view, homes, the load of each volume, and whether the survivors do well. Gives at most one
move, which is written only if nothing was said since on the topic that it goes to. Volumes leave in nested
sets (``homes.leaves``), so each moves at most once on the way out, and only back to where it was on the way
back.

A step waits for: all that it moves is written, every survivor is ready, and they do no worse than before
(``well``).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

import orjson

from sabledyke.compacted_log.records import BATCH, Message
from sabledyke.placement.volume_placement import Home, Map, destination, leaves, member
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.moves import Move
from sabledyke.rollout.records import EVACUATION_STEPS, MemberState, Plan, PlanStage

HOMES = "homes"  # the topic
FIELDS = ("site", "member", "origin", "before", "moves")


def pack(home: Home) -> bytes:
    """As it is written."""
    return orjson.dumps([getattr(home, name) for name in FIELDS])


def read(state: Mapping[str, Message]) -> dict[str, Home]:
    """Homes by volume, from a reader's state."""
    homes = {key: Home(key, *orjson.loads(m.value)) for key, m in state.items() if m.value is not None}
    return {key: replace(home, offset=state[key].offset) for key, home in homes.items()}


@dataclass(slots=True, frozen=True)
class Shift:
    """Homes to write on ``HOMES``, as of its end, under this plan (or none, for volumes that are new)."""

    homes: tuple[Home, ...]
    what: str


def settle(
    seen: FleetView, homes: Mapping[str, Home], loads: Mapping[str, Mapping[str, float]]
) -> Shift | None:
    """Homes for volumes that have none yet: where their clients come, by the load that members tell of."""
    most: dict[str, tuple[float, str]] = {}
    for name, some in loads.items():
        if name in seen.members:
            for volume, load in some.items():
                most[volume] = max(most.get(volume, (0.0, "")), (load, name))
    new = [v for v in sorted(most) if v not in homes][:BATCH]
    made = [(v, most[v][1], seen.members[most[v][1]].site) for v in new]
    return (
        Shift(tuple(Home(v, site, who, site) for v, who, site in made), f"{len(made)} new") if made else None
    )


def shift(
    plan: Plan, seen: FleetView, homes: Mapping[str, Home], total: Mapping[str, float], map_: Map
) -> Shift | None:
    """The volumes that this step moves and that have not moved yet, as many as one append takes."""
    left = _left(plan)
    going = _going(plan, homes, left)
    used, held, moved = dict[str, float](), dict[str, float](), list[Home]()
    for home in homes.values():
        load = total.get(home.name, 0.0)
        used[home.site] = used.get(home.site, 0.0) + load
        held[home.member] = held.get(home.member, 0.0) + load
    for home in going[:BATCH]:
        load = total.get(home.name, 0.0)
        to = (
            plan.retiring_site
            if plan.stage is PlanStage.ROLLING_BACK
            else destination(home.name, load, home.site, map_, used, _closed(seen))
        )
        ready = [m.name for m in seen.members.values() if m.site == to and m.state is MemberState.READY]
        who = member(home.name, load, ready, held) if to is not None else None
        if to is None or who is None:
            continue  # no room, or nobody there: it stays, and the step waits
        used[to] = used.get(to, 0.0) + load
        held[who] = held.get(who, 0.0) + load
        moved.append(replace(home, site=to, member=who, before=home.member, moves=home.moves + 1))
    if not moved:
        return None
    return Shift(
        tuple(moved),
        f"{len(moved)} volumes move {'home' if plan.stage is PlanStage.ROLLING_BACK else 'away'}",
    )


def _closed(seen: FleetView) -> list[str]:
    """Sites that take nobody: those that retire as well."""
    return [
        p.retiring_site
        for p in seen.plans.values()
        if p.retiring_site and p.stage in (PlanStage.RUNNING, PlanStage.HALTED, PlanStage.DONE)
    ]


def _left(plan: Plan) -> float:
    """The part of its weight that the site has at this step; beyond the last one, all have moved."""
    return 1 - min(EVACUATION_STEPS, max(0, plan.step)) / EVACUATION_STEPS


def _going(plan: Plan, homes: Mapping[str, Home], left: float) -> list[Home]:
    """Volumes that move while ``left`` of the site's weight is left, and have not moved yet."""
    out, site = [], plan.retiring_site
    for _, home in sorted(homes.items()):
        gone = leaves(home.name, site, left)
        away = plan.stage is PlanStage.RUNNING and home.site == site and gone
        if away or plan.stage is PlanStage.ROLLING_BACK and home.origin == site != home.site and not gone:
            out.append(home)
    return out


def step(
    plan: Plan, seen: FleetView, homes: Mapping[str, Home], stood: float, soak: float, well: bool
) -> Move | None:
    """The next step of a plan all of whose moves are done, once the last has stood for ``soak`` ms."""
    if not plan.retiring_site or _going(plan, homes, _left(plan)) or stood < soak or not well:
        return None
    survivors = [m for m in seen.members.values() if m.site != plan.retiring_site]
    if any(m.state is not MemberState.READY for m in survivors if m.state is not MemberState.RETIRED):
        return None
    if plan.stage is PlanStage.RUNNING and plan.step <= EVACUATION_STEPS:
        to = plan.step + 1
    elif plan.stage is PlanStage.ROLLING_BACK and plan.step >= 0:
        to = plan.step - 1
    else:
        return None
    return Move(
        f"site {plan.retiring_site}: step {to} of {EVACUATION_STEPS}",
        (replace(plan, step=to),),
        expected_end=seen.next_offset,
    )
