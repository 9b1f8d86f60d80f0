"""Homes of volumes, and what moves when a site's weight goes down and comes back."""

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
FAR = {("a", "b"): 1.0, ("a", "c"): 1.0, ("a", "d"): 5.0, ("b", "c"): 2.0, ("b", "d"): 4.0, ("c", "d"): 4.0}
DISTANCE = FAR | {(y, x): ms for (x, y), ms in FAR.items()}
World = tuple[FleetView, dict[str, VolumePlacement], dict[str, float], SiteMap]


def world(volumes: int = 400) -> World:
    """Four sites of three members each, and volumes that are at home in a member of theirs."""
    seen, made = FleetView(50), dict[str, VolumePlacement]()
    for i, site in enumerate(NAMES):
        for k in range(3):
            seen.members[f"{site}{k}"] = Member(f"{site}{k}", 1, "1", site, MemberState.READY, 3 * i + k + 1)
    random = Random(3)
    for n in range(volumes):
        name, site = f"{n:016x}", NAMES[n % 4]
        made[name] = VolumePlacement(name, site, f"{site}{n % 3}", site)
    loads = {name: random.expovariate(1.0) for name in made}
    return seen, made, loads, SiteMap(dict.fromkeys(NAMES, 1e9), DISTANCE)


def shifts(
    plan: Plan, seen: FleetView, made: dict[str, VolumePlacement], loads: dict[str, float], where: SiteMap
) -> None:
    """All that this step moves, an append after the other."""
    while (batch := evacuation.next_batch(plan, seen, made, loads, where)) is not None:
        made.update((home.volume, home) for home in batch.placements)


def play(plan: Plan, *of: Any) -> Plan:
    """All shifts and steps that can be, as if each were written at once."""
    for _ in range(2 * EVACUATION_STEPS + 4):
        shifts(plan, *of)
        step = evacuation.next_step(plan, of[0], of[1], 1.0, 1.0, survivors_well=True)
        if step is None:
            return plan
        assert isinstance(step.records[0], Plan)
        plan = step.records[0]
    raise AssertionError("it never ends")


def test_each_volume_of_a_retiring_site_moves_once_to_the_nearest_and_back_to_where_it_was() -> None:
    seen, made, loads, where = world()
    first, sizes, plan = dict(made), list[int](), Plan("p", ("a0", "a1", "a2"), retiring_site="a")
    for step in range(1, EVACUATION_STEPS + 1):
        plan = replace(plan, step=step)
        shifts(plan, seen, made, loads, where)
        sizes.append(sum(h.site == "a" for h in made.values()))
    assert sizes == sorted(set(sizes), reverse=True)
    assert sizes[-1] == 0
    moved = {n for n, h in made.items() if h != first[n]}
    assert moved == {n for n, h in first.items() if h.site == "a"}  # only what must
    assert all(made[n].move_count == 1 and made[n].previous_member == first[n].member for n in moved)
    there = Counter(made[n].site for n in moved)
    assert set(there) == {"b", "c"}
    assert min(there.values()) > 30  # both are as near, d is farther
    load_by_member = {m: 0.0 for m in seen.members if m[0] in "bc"}
    for home in made.values():
        if home.site in "bc":
            load_by_member[home.member] += loads[home.volume]
    assert max(load_by_member.values()) < 1.5 * sum(load_by_member.values()) / len(
        load_by_member
    )  # loads are bounded
    back = play(replace(plan, stage=PlanStage.ROLLING_BACK), seen, made, loads, where)
    assert back.step == -1
    assert all(made[n].site == first[n].site for n in made)
    assert all(made[n].move_count == 2 for n in moved)


def test_what_does_not_fit_goes_to_the_next_and_without_room_the_step_waits() -> None:
    seen, made, loads, where = world()
    used = {s: sum(loads[n] for n, h in made.items() if h.site == s) for s in NAMES}
    tight = replace(where, capacity={"a": 1e9, "b": used["b"] + 10, "c": used["c"] + 10, "d": 1e9})
    plan = play(Plan("p", ("a0",), retiring_site="a"), seen, made, loads, tight)
    assert plan.step == EVACUATION_STEPS + 1
    assert Counter(h.site for h in made.values())["d"] > 150
    for site in "bc":
        assert sum(loads[n] for n, h in made.items() if h.site == site) <= tight.capacity[site]
    seen, made, loads, where = world()
    full = replace(where, capacity=dict.fromkeys(NAMES, 1.0))
    plan = play(Plan("p", ("a0",), retiring_site="a"), seen, made, loads, full)
    assert plan.step == 1
    assert sum(h.site == "a" for h in made.values()) == 100  # nobody moved, nothing lost


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
    seen, made, _, _ = world(0)
    if "state" in change:
        seen.members["b0"] = replace(seen.members["b0"], state=change["state"])
    plan = Plan(
        "p", (), retiring_site="a", stage=change.get("stage", PlanStage.RUNNING), step=change.get("step", 0)
    )
    unchanged_ms = change.get("stood", 1.0)
    well = change.get("well", True)
    assert evacuation.next_step(plan, seen, made, unchanged_ms, 1.0, survivors_well=well) is None
    seen.members["b0"] = replace(seen.members["b0"], state=MemberState.READY)
    assert (
        evacuation.next_step(
            replace(plan, stage=PlanStage.RUNNING, step=0), seen, made, 1.0, 1.0, survivors_well=True
        )
        is not None
    )


def test_rendezvous_moves_only_what_it_must_and_follows_weights() -> None:
    volumes, weights = [f"{n:x}" for n in range(4000)], {"a": 1.0, "b": 2.0, "c": 1.0}
    before = {v: volume_placement.ranked_by_weight(v, weights)[0] for v in volumes}
    assert all(abs(Counter(before.values())[s] / 4000 - w / 4) < 0.03 for s, w in weights.items())
    after = {v: volume_placement.ranked_by_weight(v, weights | {"b": 1.0})[0] for v in volumes}
    assert all(before[v] == "b" for v in volumes if after[v] != before[v])


AB = {"room": {"a": 1, "b": 1}}


@pytest.mark.parametrize(
    ("data", "said"),
    [
        ({"room": {}}, "length >= 1, not 0"),
        ({"room": {"a": 0}}, "sites.room.a must be a number > 0.0, not 0"),
        (AB, "between a and b is missing"),
        (AB | {"distance": [{"between": ["a", "x"], "ms": 1}]}, "two sites"),
        (AB | {"distance": [{"between": ["a", "b"]}]}, r"distance\[0\].ms is missing"),
        (AB | {"distance": [{"between": "ab", "ms": 1}]}, "between must be a list, not 'ab'"),
        (
            AB | {"distance": [{"between": [*p], "ms": n} for n, p in enumerate(("ab", "ba"))]},
            "apart elsewhere",
        ),
        ({"room": {"a": 1}, "rooms": 1}, "rooms is not known"),
    ],
)
def test_a_section_that_cannot_be_used_is_one_plain_line(data: dict[str, Any], said: str) -> None:
    with pytest.raises(OperatorError, match=said):
        section.read(data)
