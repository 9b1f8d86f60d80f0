"""Benchmark of a single decision of the coordinator, for many members and for many storage nodes."""

from __future__ import annotations

import time
from collections.abc import Callable

from sabledyke.rollout import node_drain, planner
from sabledyke.rollout.change_tracker import ChangeTracker
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import (
    Drain,
    DrainPhase,
    Epoch,
    ListedNode,
    Member,
    MemberState,
    Plan,
    TicketRequest,
)
from sabledyke.rollout.timeouts import Timeouts

COORDINATOR = "c"
PLAN = "p"
TOKEN = 1
ZONE_COUNT = 4
SITE_COUNT = 10
MAX_RELEASED = 100
TICKET_ROUNDS = 200
DRAIN_ROUNDS = 20
VIEW_OFFSET = 9999
PLAN_OFFSET = 9000
FIRST_REQUEST_OFFSET = 5000
FIRST_MEMBER_OFFSET = 2


def measure_ticket_decision(member_count: int) -> None:
    """Print the time of a decision in a plan with some members released and all others requesting tickets."""
    view = FleetView(VIEW_OFFSET, epoch=Epoch(COORDINATOR, TOKEN, 1))
    for number in range(member_count):
        _add_member(view, number, f"s{number % SITE_COUNT}")
        request = TicketRequest(f"n{number}", PLAN, 1, 1, FIRST_REQUEST_OFFSET + number)
        view.requests[request.name] = request
    names = tuple(f"n{number}" for number in range(member_count))
    released = names[: min(MAX_RELEASED, member_count // 2)]
    view.plans[PLAN] = Plan(PLAN, names, max_out=5, max_out_per_site=1, released=released, offset=PLAN_OFFSET)

    def decide() -> None:
        change = planner.decide(view, COORDINATOR, TOKEN, 0.0, ChangeTracker(), Timeouts())
        assert change is not None

    print(f"a decision over {member_count} members: {_time_us(decide, TICKET_ROUNDS):.0f} us")


def measure_drain_decision(member_count: int, node_count: int) -> None:
    """Print the time of a decision that changes nothing, with a tenth of the nodes draining."""
    view = FleetView(VIEW_OFFSET, epoch=Epoch(COORDINATOR, TOKEN, 1))
    for number in range(member_count):
        _add_member(view, number, "")
    nodes = [_listed_node(number) for number in range(node_count)]
    draining = nodes[: node_count // 10]
    node_names = tuple(node.name for node in nodes)
    view.plans[PLAN] = Plan(PLAN, (), len(draining), nodes=node_names, offset=PLAN_OFFSET)
    for number, node in enumerate(draining):
        offset = FIRST_REQUEST_OFFSET + number
        view.drains[node.name] = Drain(node.name, PLAN, TOKEN, 0.0, offset, DrainPhase.LEAVING, offset)
    node_by_name = {node.name: node for node in nodes}

    def decide() -> None:
        change = node_drain.decide(view, TOKEN, 0.0, ChangeTracker(), Timeouts(), node_by_name)
        assert change is None

    print(
        f"a decision over {node_count} boxes, {len(draining)} of them drained, and {member_count} members:"
        f" {_time_us(decide, DRAIN_ROUNDS):.0f} us"
    )


def _add_member(view: FleetView, number: int, site: str) -> None:
    offset = FIRST_MEMBER_OFFSET + number
    member = Member(f"n{number}", 1, "1", site, MemberState.READY, offset)
    view.members[member.name] = member


def _listed_node(number: int) -> ListedNode:
    return ListedNode(
        name=f"b{number}", zone=number % ZONE_COUNT, shard=number // ZONE_COUNT, ready=True, started=0.0
    )


def _time_us(call: Callable[[], None], rounds: int) -> float:
    began_s = time.perf_counter()
    for _ in range(rounds):
        call()
    return (time.perf_counter() - began_s) / rounds * 1e6
