"""Transitions of the ticket model: coordinators and an operator."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from math import inf

from sabledyke.rollout import disruption_budget, planner
from sabledyke.rollout.change_tracker import ChangeTracker
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import ACTIVE_STAGES, MemberState, Ticket
from sabledyke.rollout.state_changes import StateChange
from sabledyke.testbed.fleet_transitions import (
    PLAN_NAME,
    TIMEOUTS,
    log_accepts,
    operator_transitions,
    takeover_transitions,
    with_change_written,
    with_decision,
    without_decision,
)
from sabledyke.testbed.model_log import view_of
from sabledyke.testbed.state_search import Transition
from sabledyke.testbed.state_updates import spend
from sabledyke.testbed.ticket_model.canonical import canonical
from sabledyke.testbed.ticket_model.member_transitions import member_transitions
from sabledyke.testbed.ticket_model.state import Safeguards, TicketState

Transitions = Iterator[Transition[TicketState]]
TURN_PREFIX = "turn/"


class _ExpiredTurnTracker(ChangeTracker):
    """Reports turns as unchanged for an infinite time, and all other values as just changed."""

    def unchanged_ms(self, _now_ms: float, name: str) -> float:
        return inf if name.startswith(TURN_PREFIX) else 0.0


def successors(safeguards: Safeguards, state: TicketState) -> Transitions:
    """Return the transitions that a state allows; it is a violation if an active plan has none."""
    is_stuck = True
    for action, successor in _transitions(safeguards, state):
        is_stuck = False
        yield Transition(action, canonical(successor))
    stage = view_of(state).plans[PLAN_NAME].stage
    if is_stuck and stage in ACTIVE_STAGES:
        stuck = state._replace(violation=f"the plan stays {stage.value} permanently")
        yield Transition("no transition is possible", stuck)


def _transitions(safeguards: Safeguards, state: TicketState) -> Transitions:
    view = view_of(state)
    for index in range(len(state.coordinators)):
        yield from _coordinator_transitions(safeguards, state, index, view)
    yield from takeover_transitions(state)
    for index in range(len(state.instances)):
        yield from member_transitions(safeguards, state, index, view)
    yield from operator_transitions(state, view.plans[PLAN_NAME])


def _coordinator_transitions(
    safeguards: Safeguards, state: TicketState, index: int, view: FleetView
) -> Transitions:
    coordinator = state.coordinators[index]
    name = f"c{index}"
    if coordinator.pending is not None:
        action = f"{name} writes: {coordinator.pending.description}"
        yield Transition(action, _write(safeguards, state, index, coordinator.pending))
        return
    observed_view = view if safeguards.counts_unplanned else _with_all_ready(view)
    change = planner.decide(observed_view, name, coordinator.token, 0.0, ChangeTracker(), TIMEOUTS)
    if change is not None:
        yield Transition(f"{name} decides: {change.description}", with_decision(state, index, change))
        return
    if not state.budget.turn_timeouts:
        return
    change = planner.decide(observed_view, name, coordinator.token, 0.0, _ExpiredTurnTracker(), TIMEOUTS)
    if change is not None:
        decided = with_decision(spend(state, "turn_timeouts"), index, change)
        yield Transition(f"{name} decides after a turn timeout: {change.description}", decided)


def _with_all_ready(view: FleetView) -> FleetView:
    members = {name: replace(member, state=MemberState.READY) for name, member in view.members.items()}
    return replace(view, members=members)


def _write(safeguards: Safeguards, state: TicketState, index: int, change: StateChange) -> TicketState:
    coordinator = state.coordinators[index]
    state = without_decision(state, index)
    is_accepted = log_accepts(
        state,
        coordinator,
        change,
        checks_token=safeguards.checks_token,
        checks_end=safeguards.checks_end,
    )
    if not is_accepted:
        return state
    state = with_change_written(state, coordinator, change)
    if not any(isinstance(record, Ticket) for record in change.records):
        return state
    view = view_of(state)
    out = disruption_budget.members_out(view)
    if len(out) > view.plans[PLAN_NAME].max_out:
        return state._replace(violation=f"{sorted(out)} are out or may go")
    return state
