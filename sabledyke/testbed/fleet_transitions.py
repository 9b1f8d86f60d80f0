"""Transitions that all fleet models share: writes and starts of coordinators, and changes by an operator."""

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
"""Timeouts that never expire; the models have transitions of their own for the effects of time."""
SECOND_TOKEN = 2


def with_decision(state: F, index: int, change: StateChange) -> F:
    """Return the state in which a coordinator has decided on a change and not written it yet."""
    return with_coordinator(state, index, state.coordinators[index]._replace(pending=change))


def without_decision(state: F, index: int) -> F:
    """Return the state in which a coordinator has no change to write."""
    return with_coordinator(state, index, state.coordinators[index]._replace(pending=None))


def log_accepts(
    state: F, coordinator: Coordinator, change: StateChange, *, checks_token: bool, checks_end: bool
) -> bool:
    """Return whether the log accepts a coordinator's change.

    Args:
        state: State of the fleet at the time of the write.
        coordinator: The coordinator that writes.
        change: The change that the coordinator writes.
        checks_token: The log rejects writers whose token is older than the highest that has written.
        checks_end: The log rejects changes that are based on an older end of the log.
    """
    if checks_token and coordinator.token < state.highest_token:
        return False
    return not checks_end or change.expected_end == state.next_offset


def with_change_written(state: F, coordinator: Coordinator, change: StateChange) -> F:
    """Return the state after the write of a coordinator's change."""
    fenced: F = state._replace(highest_token=max(state.highest_token, coordinator.token))
    return with_append(fenced, change.records, change.deleted_keys)


def takeover_transitions(state: F) -> Iterator[Transition[F]]:
    """Return the start of a second coordinator while the first one may still run."""
    if state.budget.takeovers and len(state.coordinators) == 1:
        coordinators = (*state.coordinators, Coordinator(SECOND_TOKEN))
        yield Transition(
            "another coordinator starts", spend(state, "takeovers")._replace(coordinators=coordinators)
        )


def operator_transitions(state: F, plan: Plan) -> Iterator[Transition[F]]:
    """Return the halt and the rollback of a running plan by an operator."""
    if not state.budget.halts or plan.stage is not PlanStage.RUNNING:
        return
    spent = spend(state, "halts")
    for stage in (PlanStage.HALTED, PlanStage.ROLLING_BACK):
        changed = with_append(spent, (replace(plan, stage=stage),))
        yield Transition(f"the operator sets the plan to {stage.value}", changed)
