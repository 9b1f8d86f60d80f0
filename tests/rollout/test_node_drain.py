"""Drains of storage nodes: decisions, and every order of events."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from sabledyke.rollout import (
    change_tracker,
    node_drain,
)
from sabledyke.rollout.change_tracker import ChangeTracker
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import (
    Drain,
    DrainAcknowledgement,
    DrainPhase,
    ListedNode,
    PlanStage,
)
from sabledyke.testbed import drain_model
from tests.rollout.support import READY, TIMEOUTS, fleet

NODE = ListedNode("b0", 0, 0, ready=True, started=0.0)
NODES = {
    f"b{i}": replace(NODE, name=f"b{i}", zone=i % 2, shard=i // 2) for i in range(6)
}  # two of each shard


def drains(*phases: tuple[str, DrainPhase], acknowledged_by: tuple[str, ...] = (), **of: Any) -> FleetView:
    """Two members, a plan to drain all but one box of the yard, and drains under it."""
    seen = fleet(READY, READY, members=(), nodes=("b0", "b2", "b4", "b1", "b3"), **of)
    for i, (name, phase) in enumerate(phases):
        seen.drains[name] = Drain(name, "p", 1, 0.0, 80 + i, phase, 90 + i)
    for name in acknowledged_by:
        seen.acknowledgements[name] = DrainAcknowledgement(name, 1, (80, 81))
    return seen


LEAVING_PHASE, DRAINED_PHASE, WARMING_PHASE = DrainPhase.LEAVING, DrainPhase.DRAINED, DrainPhase.WARMING


@pytest.mark.parametrize(
    ("seen", "changed", "said"),
    [
        (drains(), {}, "b0 is to be drained"),
        (drains(max_out=0), {}, ""),
        (drains(("b0", LEAVING_PHASE)), {}, ""),  # the budget is spent
        (drains(("b0", LEAVING_PHASE), max_out=2), {}, "b2 is to be drained"),
        (
            drains(("b0", LEAVING_PHASE), max_out=2, max_out_per_site=1),
            {},
            "b3 is to",
        ),  # b2 and b4 are in its zone, b1 in its shard
        (drains(("b0", LEAVING_PHASE), max_out=6, max_out_fraction=0.2), {}, ""),
        (drains(max_out=1), {"b5": {"ready": False}}, ""),  # one is out unplanned
        (drains(max_out=1), {"b5": {"ready": False}, "b3": {"ready": False}}, "2 boxes are out unplanned"),
        (
            drains(max_out=2),
            {"b0": {"ready": False}},
            "b2 is to be drained",
        ),  # who is out keeps nobody waiting
        (drains(("b0", LEAVING_PHASE), acknowledged_by=("n0",)), {}, ""),
        (drains(("b0", LEAVING_PHASE), acknowledged_by=("n0", "n1")), {}, "b0 is drained"),
        (drains(("b0", LEAVING_PHASE), stage=PlanStage.HALTED), {}, "b0 is not drained any more"),
        (drains(("b0", DRAINED_PHASE), stage=PlanStage.HALTED), {}, ""),  # it may be away
        (drains(("b0", DRAINED_PHASE), stage=PlanStage.ROLLING_BACK), {}, "b0 is not drained any more"),
        (drains(("b0", DRAINED_PHASE)), {"b0": {"ready": False}}, ""),
        (drains(("b0", DRAINED_PHASE)), {"b0": {"started": 7.0}}, "b0 is listed as a later start"),
        (drains(("b0", DRAINED_PHASE)), {"b0": None}, ""),
        (drains(("b0", DRAINED_PHASE), removes_nodes=True), {"b0": None}, "b0 is gone"),
        (drains(removes_nodes=True), {"b0": None}, "b0 is gone"),
        (drains(released=("b0",), canary=True), {}, ""),
    ],
)
def test_a_box_goes_out_inside_its_budgets_and_only_when_nobody_sends_to_it(
    seen: FleetView, changed: dict[str, dict[str, Any] | None], said: str
) -> None:
    yard = {
        n: replace(b, **(changed.get(n) or {})) for n, b in NODES.items() if changed.get(n, {}) is not None
    }
    move = node_drain.decide(seen, 1, 0.0, ChangeTracker(), TIMEOUTS, yard)
    assert (
        move is None
        if not said
        else move is not None and said in move.description and move.expected_end == 100
    )


@pytest.mark.parametrize(
    ("seen", "yard", "why"),
    [
        (drains(), {"b1": NODES["b1"]}, "no box b0 is listed"),
        (drains(), {"b0": NODE}, "b0 alone holds shard 0"),
        (drains(("b0", LEAVING_PHASE), acknowledged_by=("n1",)), NODES, "n0 may send to it"),
        (drains(("b0", DRAINED_PHASE)), NODES, "not back in its time"),
    ],
)
def test_a_drain_that_does_not_go_on_halts_its_plan(
    seen: FleetView, yard: dict[str, ListedNode], why: str
) -> None:
    watch = ChangeTracker()
    for now in (0.0, 1001.0):
        assert node_drain.decide(seen, 1, now, watch, TIMEOUTS, yard) is None or now
        watch.observe(now, change_tracker.tracked_values(seen, {}))
    move = node_drain.decide(seen, 1, 1001.0, watch, TIMEOUTS, yard)
    assert move is not None
    assert why in move.description
    assert "halts" in move.description


def test_a_member_says_that_it_is_clear_after_its_grace_and_once_nothing_is_out() -> None:
    seen, closing, acknowledged = (
        drains(("b0", LEAVING_PHASE), ("b2", DRAINED_PHASE)),
        node_drain.DrainAcknowledger("n0", 1, 50.0),
        [],
    )
    for now, busy in ((0.0, ""), (40.0, ""), (50.0, "b0"), (60.0, "b0"), (70.0, "")):
        move = closing.step(seen, now, busy.__eq__)
        for record in move.records if move else ():
            assert isinstance(record, DrainAcknowledgement)
            seen.acknowledgements["n0"] = record
            acknowledged.append((now, record.drains))
    assert acknowledged == [(50.0, (81,)), (70.0, (80, 81))]
    assert node_drain.unacknowledged_by(seen, seen.drains["b0"]) == ["n1"]
    seen.drains.clear()
    move = closing.step(seen, 80.0, lambda _: False)
    assert move is not None
    assert move.records == (DrainAcknowledgement("n0", 1),)
    assert not closing.closed_since_ms


@pytest.mark.parametrize(
    ("size", "names", "budget"),
    [
        (1, 1, drain_model.Budget(1, 0, 0, 0)),
        (1, 1, drain_model.Budget(0, 1, 0, 0)),
        (1, 2, drain_model.Budget(0, 0, 1, 0)),
        (1, 2, drain_model.Budget(0, 0, 0, 1)),
        (2, 1, drain_model.Budget(0, 0, 0, 0)),
    ],
)
def test_no_order_of_events_sends_to_a_drained_box(size: int, names: int, budget: drain_model.Budget) -> None:
    found = drain_model.check(size, names, 1, budget)
    assert found.whole, (found.broken, [name for name, _ in found.trace])
    assert not found.broken, (found.broken, [name for name, _ in found.trace])


@pytest.mark.parametrize(
    ("without", "size", "names", "budget"),
    [
        ("lives_first", 1, 1, drain_model.Budget(1, 0, 0, 0)),
        ("silent_counts", 2, 1, drain_model.Budget(0, 1, 0, 0)),
        ("order", 1, 2, drain_model.Budget(0, 0, 1, 0)),
        ("busy", 1, 1, drain_model.Budget(0, 0, 0, 0)),
    ],
)
def test_without_its_checks_a_drained_box_is_sent_to(
    without: str, size: int, names: int, budget: drain_model.Budget
) -> None:
    found = drain_model.check(size, names, 1, budget, drain_model.Rules(**{without: False}))
    assert "drained box" in found.broken
    assert len(found.trace) > 3
