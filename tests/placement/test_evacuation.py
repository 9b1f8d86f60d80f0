"""Placements of volumes, and their moves while the weight of a site is reduced and restored."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from sabledyke.errors import OperatorError
from sabledyke.placement import evacuation, section, volume_placement
from sabledyke.placement.volume_placement import SiteMap, VolumePlacement
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import EVACUATION_STEPS, Member, MemberState, Plan, PlanStage

NAMES = ("a", "b", "c", "d")
DISTANCES_ONE_WAY = {
    ("a", "b"): 1.0,
    ("a", "c"): 1.0,
    ("a", "d"): 5.0,
    ("b", "c"): 2.0,
    ("b", "d"): 4.0,
    ("c", "d"): 4.0,
}
DISTANCES = DISTANCES_ONE_WAY | {(y, x): ms for (x, y), ms in DISTANCES_ONE_WAY.items()}
Evacuation = tuple[FleetView, dict[str, VolumePlacement], dict[str, float], SiteMap]


def placed_volumes(volumes: int = 400) -> Evacuation:
    """Return four sites of three members each, with volumes placed on them, their loads and a site map."""
    view, placements = FleetView(50), dict[str, VolumePlacement]()
    for i, site in enumerate(NAMES):
        for k in range(3):
            view.members[f"{site}{k}"] = Member(f"{site}{k}", 1, "1", site, MemberState.READY, 3 * i + k + 1)
    random = Random(3)
    for n in range(volumes):
        name, site = f"{n:016x}", NAMES[n % 4]
        placements[name] = VolumePlacement(name, site, f"{site}{n % 3}", site)
    loads = {name: random.expovariate(1.0) for name in placements}
    return view, placements, loads, SiteMap(dict.fromkeys(NAMES, 1e9), DISTANCES)


def move_volumes(
    plan: Plan,
    view: FleetView,
    placements: dict[str, VolumePlacement],
    loads: dict[str, float],
    site_map: SiteMap,
) -> None:
    """Apply all moves of the plan's step, one append after the other."""
    while (batch := evacuation.next_batch(plan, view, placements, loads, site_map)) is not None:
        placements.update((home.volume, home) for home in batch.placements)


def run_to_end(plan: Plan, *of: Any) -> Plan:
    """Apply all possible moves and steps as if each were written at once, and return the last plan."""
    for _ in range(2 * EVACUATION_STEPS + 4):
        move_volumes(plan, *of)
        step = evacuation.next_step(plan, of[0], of[1], 1.0, 1.0, survivors_well=True)
        if step is None:
            return plan
        assert isinstance(step.records[0], Plan)
        plan = step.records[0]
    raise AssertionError("the plan does not reach its last step")


def test_each_volume_of_a_retiring_site_moves_once_to_a_nearest_site_and_a_rollback_returns_it() -> None:
    view, placements, loads, site_map = placed_volumes()
    first, sizes, plan = dict(placements), list[int](), Plan("p", ("a0", "a1", "a2"), retiring_site="a")
    for step in range(1, EVACUATION_STEPS + 1):
        plan = replace(plan, step=step)
        move_volumes(plan, view, placements, loads, site_map)
        sizes.append(sum(h.site == "a" for h in placements.values()))
    assert sizes == sorted(set(sizes), reverse=True)
    assert sizes[-1] == 0
    moved = {n for n, h in placements.items() if h != first[n]}
    assert moved == {n for n, h in first.items() if h.site == "a"}  # no other volumes
    assert all(
        placements[n].move_count == 1 and placements[n].previous_member == first[n].member for n in moved
    )
    there = Counter(placements[n].site for n in moved)
    assert set(there) == {"b", "c"}
    assert min(there.values()) > 30  # b and c are at equal distance, d is farther
    load_by_member = {m: 0.0 for m in view.members if m[0] in "bc"}
    for home in placements.values():
        if home.site in "bc":
            load_by_member[home.member] += loads[home.volume]
    # The load of each member is bounded.
    assert max(load_by_member.values()) < 1.5 * sum(load_by_member.values()) / len(load_by_member)
    back = run_to_end(replace(plan, stage=PlanStage.ROLLING_BACK), view, placements, loads, site_map)
    assert back.step == -1
    assert all(placements[n].site == first[n].site for n in placements)
    assert all(placements[n].move_count == 2 for n in moved)


def test_a_volume_that_does_not_fit_goes_to_the_next_site_and_without_capacity_the_step_waits() -> None:
    view, placements, loads, site_map = placed_volumes()
    used = {s: sum(loads[n] for n, h in placements.items() if h.site == s) for s in NAMES}
    tight = replace(site_map, capacity={"a": 1e9, "b": used["b"] + 10, "c": used["c"] + 10, "d": 1e9})
    plan = run_to_end(Plan("p", ("a0",), retiring_site="a"), view, placements, loads, tight)
    assert plan.step == EVACUATION_STEPS + 1
    assert Counter(h.site for h in placements.values())["d"] > 150
    for site in "bc":
        assert sum(loads[n] for n, h in placements.items() if h.site == site) <= tight.capacity[site]
    view, placements, loads, site_map = placed_volumes()
    full = replace(site_map, capacity=dict.fromkeys(NAMES, 1.0))
    plan = run_to_end(Plan("p", ("a0",), retiring_site="a"), view, placements, loads, full)
    assert plan.step == 1
    assert sum(h.site == "a" for h in placements.values()) == 100  # no volume moved or lost


@pytest.mark.parametrize(
    "change",
    [
        {"stood": 0.5},
        {"well": False},
        {"state": MemberState.OUT},
        {"stage": PlanStage.HALTED},
        {"step": EVACUATION_STEPS + 1},
    ],
)
def test_a_step_waits_for_the_survivors(change: dict[str, Any]) -> None:
    view, placements, _, _ = placed_volumes(0)
    if "state" in change:
        view.members["b0"] = replace(view.members["b0"], state=change["state"])
    plan = Plan(
        "p", (), retiring_site="a", stage=change.get("stage", PlanStage.RUNNING), step=change.get("step", 0)
    )
    unchanged_ms = change.get("stood", 1.0)
    well = change.get("well", True)
    assert evacuation.next_step(plan, view, placements, unchanged_ms, 1.0, survivors_well=well) is None
    view.members["b0"] = replace(view.members["b0"], state=MemberState.READY)
    assert (
        evacuation.next_step(
            replace(plan, stage=PlanStage.RUNNING, step=0), view, placements, 1.0, 1.0, survivors_well=True
        )
        is not None
    )


def test_rendezvous_moves_as_few_volumes_as_possible_and_follows_weights() -> None:
    volumes, weights = [f"{n:x}" for n in range(4000)], {"a": 1.0, "b": 2.0, "c": 1.0}
    before = {v: volume_placement.ranked_by_weight(v, weights)[0] for v in volumes}
    assert all(abs(Counter(before.values())[s] / 4000 - w / 4) < 0.03 for s, w in weights.items())
    after = {v: volume_placement.ranked_by_weight(v, weights | {"b": 1.0})[0] for v in volumes}
    assert all(before[v] == "b" for v in volumes if after[v] != before[v])


AB = {"room": {"a": 1, "b": 1}}


@pytest.mark.parametrize(
    ("data", "message"),
    [
        ({"room": {}}, "length >= 1, not 0"),
        ({"room": {"a": 0}}, "sites.room.a must be a number > 0.0, not 0"),
        (AB, "between a and b is missing"),
        (AB | {"distance": [{"between": ["a", "x"], "ms": 1}]}, "two sites"),
        (AB | {"distance": [{"between": ["a", "b"]}]}, r"distance\[0\].ms is missing"),
        (AB | {"distance": [{"between": "ab", "ms": 1}]}, "between must be a list, not 'ab'"),
        (
            AB | {"distance": [{"between": [*p], "ms": n} for n, p in enumerate(("ab", "ba"))]},
            "apart in another row",
        ),
        ({"room": {"a": 1}, "rooms": 1}, "rooms is not known"),
    ],
)
def test_an_invalid_section_is_rejected_with_one_error(data: dict[str, Any], message: str) -> None:
    with pytest.raises(OperatorError, match=message):
        section.read(data)
