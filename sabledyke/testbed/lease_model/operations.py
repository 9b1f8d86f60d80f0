"""Operations of holders in the lease model: their start, their end at the service, and their answers."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from sabledyke.lease import holder
from sabledyke.lease.holder_state import Phase
from sabledyke.lease.holder_state import Transition as HolderTransition
from sabledyke.testbed.lease_model.state import FaultBudget, Instance, ModelConfig, ModelOperation


class OperationStep(NamedTuple):
    """A transition of the operation of one instance.

    Attributes:
        action: Description of the transition, for traces.
        operation: The instance's operation afterwards; None for none.
        holder_transition: The holder's reaction; None where the holder does not observe the transition.
        cost: Name of the fault that is taken from the budget; "" for none.
    """

    action: str
    operation: ModelOperation | None
    holder_transition: HolderTransition | None = None
    cost: str = ""


def steps(config: ModelConfig, instance: Instance, budget: FaultBudget) -> Iterator[OperationStep]:
    """Return the possible transitions of the operation of an instance that is not paused."""
    state = instance.holder
    operation = instance.operation
    if operation is None:
        if budget.acts and holder.may_begin_operation(state, 0.0):
            begun = ModelOperation(state.token, state.may_operate_until_ms)
            yield OperationStep(
                "begins an operation", begun, holder.on_operation_begun(state, config.times), "acts"
            )
        return
    if operation.is_running:
        stopped = operation._replace(is_running=False)
        if operation.is_awaited:
            holder_transition = holder.on_operation_completed(
                state, config.times, 0.0, operation.token, is_completed=True
            )
            yield OperationStep("receives the answer to its operation", None, holder_transition)
        else:
            yield OperationStep("is not notified that its operation has ended", None)
        if budget.losses and operation.is_awaited:
            yield OperationStep("loses the answer to its operation", stopped, cost="losses")
    if operation.is_awaited and (budget.losses or state.phase is Phase.STOPPING):
        # The connection is reset, or the time limit of the shutdown has passed.
        cost = "" if state.phase is Phase.STOPPING else "losses"
        yield OperationStep(
            "stops waiting for its operation", *_stop_waiting(config, instance, operation), cost
        )


def after_tick(instance: Instance) -> Instance:
    """Return the instance one tick later; its operation runs at most until the call times out."""
    operation = instance.operation
    if operation is None:
        return instance
    remaining = operation.remaining - instance.clock_rate
    operation = operation._replace(remaining=remaining, is_running=operation.is_running and remaining > 0)
    return instance._replace(operation=operation if operation.is_running or operation.is_awaited else None)


def timeout_step(config: ModelConfig, instance: Instance) -> OperationStep | None:
    """Return the timeout of the call of an instance that is not paused; None if it has not timed out."""
    operation = instance.operation
    if operation is None or not operation.is_awaited:
        return None
    if operation.remaining > 0 and holder.may_operate(instance.holder, 0.0):
        return None
    return OperationStep("times out its call", *_stop_waiting(config, instance, operation))


def overlapping_operation(instances: tuple[Instance, ...]) -> str:
    """Return which instance may begin an operation while one of another lease runs at the service.

    Returns:
        The violation as text, "" for none.
    """
    for number, instance in enumerate(instances):
        operation = instance.operation
        if operation is None or not operation.is_running:
            continue
        for other_number, other in enumerate(instances):
            is_same_lease = other_number == number and other.holder.token == operation.token
            if not is_same_lease and not other.is_paused and holder.may_begin_operation(other.holder, 0.0):
                return f"{other.holder.holder_id} may act while {number}'s act is out"
    return ""


def _stop_waiting(
    config: ModelConfig, instance: Instance, operation: ModelOperation
) -> tuple[ModelOperation | None, HolderTransition]:
    holder_transition = holder.on_operation_completed(
        instance.holder, config.times, 0.0, operation.token, is_completed=False
    )
    return operation._replace(is_awaited=False) if operation.is_running else None, holder_transition
