"""The check of the ticket model: the search for a violated invariant."""

from __future__ import annotations

from functools import partial

from sabledyke.testbed.state_search import SearchResult, StateModel, explore
from sabledyke.testbed.ticket_model.state import FaultBudget, Safeguards, TicketState, initial_state
from sabledyke.testbed.ticket_model.transitions import successors

MAX_STATES = 400_000
ALL_SAFEGUARDS = Safeguards()


def check(
    member_count: int,
    max_out: int,
    budget: FaultBudget,
    safeguards: Safeguards = ALL_SAFEGUARDS,
    max_states: int = MAX_STATES,
) -> SearchResult[TicketState]:
    """Explore all reachable states of a fleet whose members a plan restarts.

    Args:
        member_count: Number of members of the fleet.
        max_out: Number of members that the plan allows to be out of service at the same time.
        budget: Faults that may occur.
        safeguards: Safeguards of the protocol that are in force.
        max_states: Number of states at which the search stops.
    """
    start = initial_state(member_count, max_out, budget)
    return explore(StateModel((start,), partial(successors, safeguards), violation), max_states)


def violation(state: TicketState) -> str:
    """Return the invariant that the last write violated, "" for none."""
    return state.violation
