"""Drains of storage nodes: decisions, and a model check over every order of events."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from sabledyke.rollout import change_tracker, node_drain
from sabledyke.rollout.change_tracker import ChangeTracker
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import (
    Drain,
    DrainAcknowledgement,
    DrainPhase,
    ListedNode,
    PlanStage,
)
from sabledyke.testbed.drain_model import checker
from sabledyke.testbed.drain_model.state import FaultBudget, Safeguards
from tests.rollout.support import READY, TIMEOUTS, fleet

NODE = ListedNode("b0", zone=0, shard=0, ready=True, started=0.0)
NODES = {
    f"b{i}": replace(NODE, name=f"b{i}", zone=i % 2, shard=i // 2) for i in range(6)
}  # two of each shard


def drains(*phases: tuple[str, DrainPhase], acknowledged_by: tuple[str, ...] = (), **of: Any) -> FleetView:
    """Return two members, a plan to drain all listed nodes but one, and drains under this plan."""
    seen = fleet(READY, READY, members=(), nodes=("b0", "b2", "b4", "b1", "b3"), **of)
    for i, (name, phase) in enumerate(phases):
        seen.drains[name] = Drain(name, "p", 1, 0.0, 80 + i, phase, 90 + i)
    for name in acknowledged_by:
        seen.acknowledgements[name] = DrainAcknowledgement(name, 1, (80, 81))
    return seen


LEAVING_PHASE, DRAINED_PHASE, WARMING_PHASE = DrainPhase.LEAVING, DrainPhase.DRAINED, DrainPhase.WARMING


@pytest.mark.parametrize(
    ("seen", "changed", "expected"),
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
        (
            drains(max_out=1),
            {"b5": {"ready": False}, "b3": {"ready": False}},
            "2 storage nodes are out unplanned",
        ),
        (
            drains(max_out=2),
            {"b0": {"ready": False}},
            "b2 is to be drained",
        ),  # a node that is out does not delay the others
        (drains(("b0", LEAVING_PHASE), acknowledged_by=("n0",)), {}, ""),
        (drains(("b0", LEAVING_PHASE), acknowledged_by=("n0", "n1")), {}, "b0 is drained"),
        (drains(("b0", LEAVING_PHASE), stage=PlanStage.HALTED), {}, "b0 is no longer drained"),
        (drains(("b0", DRAINED_PHASE), stage=PlanStage.HALTED), {}, ""),  # the node may have been removed
        (drains(("b0", DRAINED_PHASE), stage=PlanStage.ROLLING_BACK), {}, "b0 is no longer drained"),
        (drains(("b0", DRAINED_PHASE)), {"b0": {"ready": False}}, ""),
        (drains(("b0", DRAINED_PHASE)), {"b0": {"started": 7.0}}, "b0 is listed as a later start"),
        (drains(("b0", DRAINED_PHASE)), {"b0": None}, ""),
        (drains(("b0", DRAINED_PHASE), removes_nodes=True), {"b0": None}, "b0 is removed"),
        (drains(removes_nodes=True), {"b0": None}, "b0 is removed"),
        (drains(released=("b0",), canary=True), {}, ""),
    ],
)
def test_a_node_is_drained_within_the_budgets_and_only_once_no_member_sends_to_it(
    seen: FleetView, changed: dict[str, dict[str, Any] | None], expected: str
) -> None:
    nodes = {
        n: replace(b, **(changed.get(n) or {})) for n, b in NODES.items() if changed.get(n, {}) is not None
    }
    change = node_drain.decide(seen, 1, 0.0, ChangeTracker(), TIMEOUTS, nodes)
    if not expected:
        assert change is None
        return
    assert change is not None
    assert expected in change.description
    assert change.expected_end == 100


@pytest.mark.parametrize(
    ("seen", "nodes", "reason"),
    [
        (drains(), {"b1": NODES["b1"]}, "no storage node b0 is listed"),
        (drains(), {"b0": NODE}, "b0 alone holds shard 0"),
        (drains(("b0", LEAVING_PHASE), acknowledged_by=("n1",)), NODES, "n0 may send to it"),
        (drains(("b0", DRAINED_PHASE)), NODES, "b0 is not back in time"),
    ],
)
def test_a_drain_without_progress_halts_its_plan(
    seen: FleetView, nodes: dict[str, ListedNode], reason: str
) -> None:
    tracker = ChangeTracker()
    for now in (0.0, 1001.0):
        assert node_drain.decide(seen, 1, now, tracker, TIMEOUTS, nodes) is None or now
        tracker.observe(now, change_tracker.tracked_values(seen, {}))
    change = node_drain.decide(seen, 1, 1001.0, tracker, TIMEOUTS, nodes)
    assert change is not None
    assert reason in change.description
    assert "halts" in change.description


def test_a_member_acknowledges_a_drain_after_its_grace_period_once_nothing_is_in_flight() -> None:
    seen = drains(("b0", LEAVING_PHASE), ("b2", DRAINED_PHASE))
    acknowledger = node_drain.DrainAcknowledger("n0", 1, 50.0)
    acknowledged = []
    for now, busy in ((0.0, ""), (40.0, ""), (50.0, "b0"), (60.0, "b0"), (70.0, "")):
        change = acknowledger.step(seen, now, busy.__eq__)
        for record in change.records if change else ():
            assert isinstance(record, DrainAcknowledgement)
            seen.acknowledgements["n0"] = record
            acknowledged.append((now, record.drains))
    assert acknowledged == [(50.0, (81,)), (70.0, (80, 81))]
    assert node_drain.unacknowledged_by(seen, seen.drains["b0"]) == ["n1"]
    seen.drains.clear()
    change = acknowledger.step(seen, 80.0, lambda _: False)
    assert change is not None
    assert change.records == (DrainAcknowledgement("n0", 1),)
    assert not acknowledger.closed_since_ms


@pytest.mark.parametrize(
    ("member_count", "drained_count", "budget"),
    [
        (1, 1, FaultBudget(deaths=1)),
        (1, 1, FaultBudget(missed_heartbeats=1)),
        (1, 2, FaultBudget(takeovers=1)),
        (1, 2, FaultBudget(halts=1)),
        (2, 1, FaultBudget()),
    ],
)
def test_no_order_of_events_sends_to_a_drained_node(
    member_count: int, drained_count: int, budget: FaultBudget
) -> None:
    result = checker.check(member_count, drained_count, 1, budget)
    assert not result.violation, [step.action for step in result.trace]
    assert result.is_complete


@pytest.mark.parametrize(
    ("safeguard", "member_count", "drained_count", "budget"),
    [
        ("registers_before_reading", 1, 1, FaultBudget(deaths=1)),
        ("waits_for_silent_members", 2, 1, FaultBudget(missed_heartbeats=1)),
        ("checks_order", 1, 2, FaultBudget(takeovers=1)),
        ("waits_for_in_flight", 1, 1, FaultBudget()),
    ],
)
def test_without_a_safeguard_the_model_finds_a_request_to_a_drained_node(
    safeguard: str, member_count: int, drained_count: int, budget: FaultBudget
) -> None:
    safeguards = Safeguards(**{safeguard: False})
    result = checker.check(member_count, drained_count, 1, budget, safeguards)
    assert "drained box" in result.violation
    assert len(result.trace) > 3
