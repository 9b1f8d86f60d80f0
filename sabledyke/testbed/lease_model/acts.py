"""Acts of holders in the lease model: they begin, end at the service, and their answers arrive or do not."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from sabledyke.lease import holder
from sabledyke.lease.holder_state import Phase
from sabledyke.lease.holder_state import Transition as HolderTransition
from sabledyke.testbed.lease_model.state import FaultBudget, Instance, ModelAct, ModelConfig


class ActStep(NamedTuple):
    """What can happen to the acts of one instance.

    Attributes:
        action: What happens.
        act: Its act afterwards.
        decided: What its holder decides; None where it notices nothing.
        cost: The fault that is spent; "" for none.
    """

    action: str
    act: ModelAct | None
    decided: HolderTransition | None = None
    cost: str = ""


def steps(config: ModelConfig, instance: Instance, budget: FaultBudget) -> Iterator[ActStep]:
    """Return what can happen to the acts of an instance that is awake."""
    state = instance.holder
    act = instance.act
    if act is None:
        if budget.acts and holder.may_begin_operation(state, 0.0):
            begun = ModelAct(state.token, state.may_operate_until_ms)
            yield ActStep("begins an act", begun, holder.on_operation_begun(state, config.times), "acts")
        return
    if act.is_running:
        stopped = act._replace(is_running=False)
        if act.is_awaited:
            decided = holder.on_operation_completed(state, config.times, 0.0, act.token, is_completed=True)
            yield ActStep("hears that its act has ended", None, decided)
        else:
            yield ActStep("has its act end unheard", None)
        if budget.losses and act.is_awaited:
            yield ActStep("loses the answer to its act", stopped, cost="losses")
    if act.is_awaited and (budget.losses or state.phase is Phase.STOPPING):
        # Its connection is reset, or the shutdown allows no longer.
        cost = "" if state.phase is Phase.STOPPING else "losses"
        yield ActStep("waits for its act no longer", *_unawaited(config, instance, act), cost)


def after_tick(instance: Instance) -> Instance:
    """Return the instance a tick later; the service works on an act no longer than its call may take."""
    act = instance.act
    if act is None:
        return instance
    remaining = act.remaining - instance.clock_rate
    act = act._replace(remaining=remaining, is_running=act.is_running and remaining > 0)
    return instance._replace(act=act if act.is_running or act.is_awaited else None)


def timed_out(config: ModelConfig, instance: Instance) -> ActStep | None:
    """Return how an instance that is awake gives up a call that has taken all the time that it may."""
    act = instance.act
    if act is None or not act.is_awaited:
        return None
    if act.remaining > 0 and holder.may_operate(instance.holder, 0.0):
        return None
    return ActStep("gives up its call", *_unawaited(config, instance, act))


def overlapping_act(instances: tuple[Instance, ...]) -> str:
    """Return who may begin an act while the service works on one under another lease, "" for nobody."""
    for number, instance in enumerate(instances):
        act = instance.act
        if act is None or not act.is_running:
            continue
        for other_number, other in enumerate(instances):
            is_same_lease = other_number == number and other.holder.token == act.token
            if not is_same_lease and not other.is_paused and holder.may_begin_operation(other.holder, 0.0):
                return f"{other.holder.holder_id} may act while {number}'s act is out"
    return ""


def _unawaited(
    config: ModelConfig, instance: Instance, act: ModelAct
) -> tuple[ModelAct | None, HolderTransition]:
    decided = holder.on_operation_completed(instance.holder, config.times, 0.0, act.token, is_completed=False)
    return act._replace(is_awaited=False) if act.is_running else None, decided
