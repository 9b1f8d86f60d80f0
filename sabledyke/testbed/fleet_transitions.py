"""Transitions that all models of fleets share: of coordinators that write and take over, and an operator."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from sabledyke.rollout.records import Plan, PlanStage
from sabledyke.rollout.state_changes import StateChange
from sabledyke.rollout.timeouts import Timeouts
from sabledyke.testbed.model_log import Coordinator, F, with_append, with_coordinator
from sabledyke.testbed.state_search import Transition
from sabledyke.testbed.state_updates import spend

PLAN_NAME = "p"
NEVER_MS = 1e18
TIMEOUTS = Timeouts(
    heartbeat_timeout_ms=NEVER_MS, return_timeout_ms=NEVER_MS, canary_soak_ms=0.0, warm_up_ms=0.0
)
"""Nothing times out by itself: what time does is a transition of the model."""
SECOND_TOKEN = 2


def with_decision(state: F, index: int, change: StateChange) -> F:
    """Return the state in which a coordinator has decided on a move, and not written it yet."""
    return with_coordinator(state, index, state.coordinators[index]._replace(pending=change))


def without_decision(state: F, index: int) -> F:
    """Return the state in which a coordinator has no move to write."""
    return with_coordinator(state, index, state.coordinators[index]._replace(pending=None))


def accepts(
    state: F, coordinator: Coordinator, change: StateChange, *, checks_token: bool, checks_end: bool
) -> bool:
    """Return whether the log accepts a coordinator's move.

    Args:
        state: The fleet when the move is written.
        coordinator: Who writes it.
        change: What it writes.
        checks_token: The log rejects writers under an older token than the highest that has written.
        checks_end: The log rejects moves that were decided by an older end of the log.
    """
    if checks_token and coordinator.token < state.highest_token:
        return False
    return not checks_end or change.expected_end == state.next_offset


def written(state: F, coordinator: Coordinator, change: StateChange) -> F:
    """Return the state after a coordinator's move was written."""
    fenced: F = state._replace(highest_token=max(state.highest_token, coordinator.token))
    return with_append(fenced, change.records, change.deleted_keys)


def takeover_transitions(state: F) -> Iterator[Transition[F]]:
    """Return the start of a second coordinator, while the first one may go on."""
    if state.budget.takeovers and len(state.coordinators) == 1:
        coordinators = (*state.coordinators, Coordinator(SECOND_TOKEN))
        yield Transition("another coordinator", spend(state, "takeovers")._replace(coordinators=coordinators))


def operator_transitions(state: F, plan: Plan) -> Iterator[Transition[F]]:
    """Return what an operator may do with a running plan."""
    if not state.budget.halts or plan.stage is not PlanStage.RUNNING:
        return
    spent = spend(state, "halts")
    for stage in (PlanStage.HALTED, PlanStage.ROLLING_BACK):
        changed = with_append(spent, (replace(plan, stage=stage),))
        yield Transition(f"the operator: {stage.value}", changed)
