"""The check of the drain model: its invariants and the search."""

from __future__ import annotations

from functools import partial

from sabledyke.rollout.records import Drain, DrainPhase
from sabledyke.testbed.drain_model.state import DrainState, FaultBudget, Safeguards, initial_state
from sabledyke.testbed.drain_model.transitions import successors
from sabledyke.testbed.state_search import SearchResult, StateModel, explore

MAX_STATES = 400_000
ALL_SAFEGUARDS = Safeguards()


def check(
    member_count: int,
    drained_count: int,
    max_out: int,
    budget: FaultBudget,
    safeguards: Safeguards = ALL_SAFEGUARDS,
    max_states: int = MAX_STATES,
) -> SearchResult[DrainState]:
    """Explore all reachable states of a fleet that drains storage nodes.

    Args:
        member_count: Number of members that send requests to the nodes.
        drained_count: Number of nodes that the plan drains; the fleet has one node more.
        max_out: Number of nodes that the plan allows to be out of service at the same time.
        budget: Faults that may occur.
        safeguards: Safeguards of the protocol that are in force.
        max_states: Number of states at which the search stops.
    """
    start = initial_state(member_count, drained_count, max_out, budget)
    return explore(StateModel((start,), partial(successors, safeguards), violation), max_states)


def violation(state: DrainState) -> str:
    """Return the invariant that a state violates, "" for none."""
    drained = {
        record.name
        for record in state.records
        if isinstance(record, Drain) and record.phase is DrainPhase.DRAINED
    }
    for index, instance in enumerate(state.instances):
        if instance.is_up and instance.in_flight_at & drained:
            return f"n{index} has a request in flight at a drained box"
        if instance.is_up and instance.serves and drained - instance.closed_nodes:
            return f"n{index} would send to a drained box"
    return state.violation
