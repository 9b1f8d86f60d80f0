"""States of the drain model: the log, storage nodes, members and coordinators."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from sabledyke.rollout.records import Epoch, ListedNode, Member, MemberState, Plan, Record
from sabledyke.rollout.state_changes import StateChange
from sabledyke.testbed.fleet_transitions import PLAN_NAME
from sabledyke.testbed.model_log import Coordinator

FIRST_TOKEN = 1


class FaultBudget(NamedTuple):
    """Remaining number of times that each fault may occur.

    Attributes:
        deaths: Crashes of members, and graceful shutdowns with no request in flight.
        missed_heartbeats: Running members that a coordinator records as unresponsive.
        takeovers: Starts of a coordinator while another one may still run.
        halts: Halts and rollbacks of the plan by an operator.
        sends: Requests that all members together send.
    """

    deaths: int = 0
    missed_heartbeats: int = 0
    takeovers: int = 0
    halts: int = 0
    sends: int = 1


@dataclass(frozen=True, slots=True)
class Safeguards:
    """Safeguards of the drain protocol; a test may turn each off to show that it is needed.

    Attributes:
        registers_before_reading: A new incarnation registers on the log before its first read.
        waits_for_silent_members: A drain waits for the acknowledgements of unresponsive members.
        checks_order: The log accepts a coordinator's change only with the latest token and an unchanged end.
        waits_for_in_flight: A member acknowledges a drain only with no request in flight at the node.
    """

    registers_before_reading: bool = True
    waits_for_silent_members: bool = True
    checks_order: bool = True
    waits_for_in_flight: bool = True


class Instance(NamedTuple):
    """A member's process.

    Attributes:
        incarnation: Number of its incarnation.
        is_up: True while it runs.
        serves: True while it accepts requests of clients.
        closed_nodes: Nodes to which it sends no requests, as of its last read.
        known_drains: Drains that an earlier read has found, by the offset at which each began.
        in_flight_at: Nodes at which it has a request in flight.
        pending: The change that it has decided on and not written yet.
    """

    incarnation: int = 1
    is_up: bool = True
    serves: bool = True
    closed_nodes: frozenset[str] = frozenset()
    known_drains: frozenset[int] = frozenset()
    in_flight_at: frozenset[str] = frozenset()
    pending: StateChange | None = None


class DrainState(NamedTuple):
    """A state of the fleet.

    Attributes:
        records: Records of the log, in the order of their keys.
        next_offset: Offset of the next record.
        highest_token: The highest token under which a coordinator has written.
        nodes: Storage nodes in the endpoint list.
        instances: The members' processes.
        coordinators: The coordinators.
        budget: Faults that may still occur.
        violation: The invariant that the last transition violated, "" for none.
    """

    records: tuple[Record, ...]
    next_offset: int
    highest_token: int
    nodes: tuple[ListedNode, ...]
    instances: tuple[Instance, ...]
    coordinators: tuple[Coordinator, ...]
    budget: FaultBudget
    violation: str = ""


def initial_state(member_count: int, drained_count: int, max_out: int, budget: FaultBudget) -> DrainState:
    """Return a fleet with no drain, all nodes in one shard, and a plan to drain all of them but one."""
    members = [
        Member(f"n{i}", 1, state=MemberState.READY, offset=offset)
        for i, offset in enumerate(range(2, member_count + 2))
    ]
    nodes = tuple(
        ListedNode(f"b{i}", zone=0, shard=0, ready=True, started=0.0) for i in range(drained_count + 1)
    )
    drained = tuple(node.name for node in nodes[:drained_count])
    plan = Plan(PLAN_NAME, (), max_out, nodes=drained, offset=member_count + 2)
    return DrainState(
        records=(Epoch("c0", FIRST_TOKEN, 1), *members, plan),
        next_offset=member_count + 3,
        highest_token=FIRST_TOKEN,
        nodes=nodes,
        instances=(Instance(),) * member_count,
        coordinators=(Coordinator(FIRST_TOKEN),),
        budget=budget,
    )
