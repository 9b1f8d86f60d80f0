"""Scenarios of drained storage nodes and retiring sites, in a fleet of processes that serves clients."""

from __future__ import annotations

import asyncio

import pytest

from sabledyke.errors import PlanError
from sabledyke.rollout import disruption_budget, node_drain
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import MemberState, Plan, PlanStage
from sabledyke.testbed.fleet import Fleet
from sabledyke.testbed.workload import RequestOutcome
from tests.rollout.release_scenarios import ReleaseFault, inject_all, release_all_members
from tests.rollout.support import READY, RETIRED

MIN_PLACED_VOLUMES = 20
MAX_LOST_FRACTION = 0.05


def assert_nothing_was_lost(fleet: Fleet) -> None:
    """Check that requests have one outcome, none was cut off, and keys ran twice only as the protocol allows.

    On a busy machine a few requests may meet a closing listener, or reach no member in time; none may get a
    partial or wrong answer.
    """
    outcomes = fleet.metrics.outcomes
    lost = (
        outcomes[RequestOutcome.CONNECTION_CLOSED]
        + outcomes[RequestOutcome.TIMED_OUT]
        + outcomes[RequestOutcome.UNREACHABLE]
    )
    assert not outcomes[RequestOutcome.CUT_OFF], outcomes
    assert not outcomes[RequestOutcome.WRONG_ANSWER], outcomes
    assert outcomes[RequestOutcome.SERVED] > outcomes.total() / 2, outcomes
    assert lost <= MAX_LOST_FRACTION * outcomes.total(), outcomes
    nodes = fleet.nodes
    assert not nodes.deduplication.violations, nodes.deduplication.describe_repeats()
    assert not nodes.repeats.untimely, nodes.repeats.untimely
    assert not nodes.requests_while_draining
    assert nodes.slow_start.max_load < 1
    sent_again = nodes.deduplication.keys_resent_by_clients()
    assert fleet.settings.nodes_per_shard > 1 or not sent_again, nodes.deduplication.describe_repeats()
    assert all(nodes.deduplication.runs[key] for key in fleet.metrics.served_keys)


async def wait_for_placements(fleet: Fleet) -> None:
    """Wait until enough volumes are placed."""
    await fleet.wait_until(lambda _: len(fleet.placements()) >= MIN_PLACED_VOLUMES)


async def release_under_load(fleet: Fleet) -> None:
    """A release loses no request of the clients."""
    await release_all_members(fleet)
    assert_nothing_was_lost(fleet)


async def retire_site(fleet: Fleet) -> None:
    """A site retires; its volumes move once each, and its members and nodes are removed."""
    await wait_for_placements(fleet)
    nodes = ("box0", "box5")
    await fleet.add_plan(Plan("p", ("n0", "n2"), retiring_site="s0", nodes_removed_next=nodes))
    view = await fleet.wait_until(lambda view: view.plans["p"].stage is PlanStage.DONE)
    await fleet.wait_until(lambda view: view.plans["p.boxes"].stage is PlanStage.DONE)
    assert fleet.node_operator.replaced == list(nodes)
    assert not {*nodes} & {endpoint["host"] for endpoint in fleet.nodes.endpoints()}
    assert {member.name: member.state for member in view.members.values()} == {
        "n0": RETIRED,
        "n1": READY,
        "n2": RETIRED,
        "n3": READY,
    }
    assert not disruption_budget.members_out(view)
    placements = (await fleet.read_all_placements()).values()  # clients may lag behind on a busy machine
    assert {placement.site for placement in placements} == {"s1"}
    assert all(placement.move_count == (placement.origin_site == "s0") for placement in placements)
    assert_nothing_was_lost(fleet)
    with pytest.raises(PlanError, match="no such member: n7"):
        await fleet.add_plan(Plan("q", ("n7",)))


async def retirement_rolled_back(fleet: Fleet) -> None:
    """An operator rolls back a retirement: volumes return to their sites, and no member leaves."""
    await wait_for_placements(fleet)
    await fleet.add_plan(Plan("p", ("n0", "n2"), retiring_site="s0"))
    await fleet.wait_until(lambda view: view.plans["p"].step >= 2)
    await fleet.change_stage("p", PlanStage.ROLLING_BACK)
    await fleet.wait_until(lambda view: view.plans["p"].stage is PlanStage.ROLLED_BACK)
    await fleet.wait_until(
        lambda _: all(placement.site == placement.origin_site for placement in fleet.placements().values())
    )
    assert {placement.move_count for placement in fleet.placements().values()} == {0, 2}
    assert fleet.max_out() == 0
    assert [instance.starts for instance in fleet.cluster.instances] == [1, 1, 1, 1]
    assert_nothing_was_lost(fleet)


async def drain_nodes(fleet: Fleet, *faults: ReleaseFault) -> None:
    """Nodes are replaced, one of a shard at a time, once all members have acknowledged the drain."""
    names = ("box0", "box1", "box4", "box5")
    await fleet.add_plan(Plan("p", (), max_out=2, nodes=names))
    await fleet.wait_until(lambda view: len(view.plans["p"].released) >= 1)
    coordinator = await fleet.coordinator()
    await inject_all(fleet, faults, coordinator, (coordinator + 1) % fleet.settings.size)
    view = await fleet.wait_until(lambda view: view.plans["p"].stage is PlanStage.DONE)
    assert sorted(fleet.node_operator.replaced) == sorted(names)
    assert sorted(view.plans["p"].released) == sorted(names)
    assert not view.drains
    assert fleet.max_out() <= len(faults)
    assert_nothing_was_lost(fleet)


async def drain_with_partitioned_member(fleet: Fleet) -> None:
    """A node is not removed while a partitioned member, which cannot read of the drain, still sends to it."""
    number = (await fleet.coordinator() + 1) % fleet.settings.size
    member = f"n{number}"

    def only_it_has_not_acknowledged(view: FleetView) -> bool:
        if not view.drains:
            return False
        return node_drain.unacknowledged_by(view, view.drains["box0"]) == [member]

    fleet.storage.proxies[number].partition()
    await fleet.wait_until(lambda view: view.members[member].state is MemberState.UNRESPONSIVE)
    await fleet.add_plan(Plan("p", (), nodes=("box0",)))
    await fleet.wait_until(only_it_has_not_acknowledged)
    request_count = fleet.nodes.request_count
    await asyncio.sleep(1)
    assert fleet.nodes.request_count > request_count
    assert not fleet.node_operator.replaced
    fleet.storage.proxies[number].heal()
    await fleet.wait_until(lambda view: view.plans["p"].stage is PlanStage.DONE)
    assert_nothing_was_lost(fleet)
