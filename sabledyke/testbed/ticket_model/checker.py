"""The check of the ticket model: the search for a violation."""

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
    """Explore all reachable states of a fleet that is restarted by a plan.

    Args:
        member_count: Members of the fleet.
        max_out: Members that the plan lets be out at once.
        budget: Faults that may come.
        safeguards: What the protocol keeps to.
        max_states: Bound of the search.
    """
    start = initial_state(member_count, max_out, budget)
    return explore(StateModel((start,), partial(successors, safeguards), violation), max_states)


def violation(state: TicketState) -> str:
    """Return which invariant the last write violated, "" for none."""
    return state.violation
