"""The check of the lease model: its invariants, the search, and readable traces."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

from sabledyke.lease import holder
from sabledyke.lease.holder_state import HOLDING_PHASES, HolderState
from sabledyke.lease.types import UNACQUIRED
from sabledyke.testbed.lease_model import operations
from sabledyke.testbed.lease_model.state import Instance, ModelConfig, ModelState
from sabledyke.testbed.lease_model.transitions import successors
from sabledyke.testbed.parallel_search import explore_parallel
from sabledyke.testbed.state_search import SearchResult, StateModel, Transition, explore

LeaseSearchResult = SearchResult[ModelState]


def check(config: ModelConfig, *, parallel: bool = False) -> LeaseSearchResult:
    """Explore all reachable states of a configuration, on all cores if ``parallel`` is true."""
    times = replace(config.times, authority_tracks_expiry=config.authority_tracks_expiry)
    config = replace(config, times=times)
    model = StateModel((initial_state(config),), partial(successors, config), violation)
    search = explore_parallel if parallel else explore
    return search(model, config.max_states)


def initial_state(config: ModelConfig) -> ModelState:
    """Return the state in which no instance has requested the lease yet."""
    instances = tuple(
        Instance(HolderState(str(number)), rate) for number, rate in enumerate(config.clock_rates)
    )
    return ModelState(instances, UNACQUIRED, "", 0.0, (), config.budget)


def violation(state: ModelState) -> str:
    """Return the invariant that a state violates, "" for none."""
    acting = [
        instance.holder
        for instance in state.instances
        if not instance.is_paused and holder.may_operate(instance.holder, 0.0)
    ]
    if not acting:
        return ""
    if overlap := operations.overlapping_operation(state.instances):
        return overlap
    if len(acting) > 1:
        return f"{' and '.join(state.holder_id for state in acting)} act at once"
    highest_token = max(
        instance.holder.token for instance in state.instances if instance.holder.phase in HOLDING_PHASES
    )
    if acting[0].token < highest_token:
        return f"{acting[0].holder_id} may operate under a token older than another holder's"
    return ""


def describe(result: LeaseSearchResult) -> list[str]:
    """Return a line for each step of a trace: the instances, how long each may operate, and the lease."""
    lines = [_described_step(step) for step in result.trace]
    return [*lines, result.violation] if result.violation else lines


def _described_step(step: Transition[ModelState]) -> str:
    state = step.successor
    instances = ", ".join(_described_instance(instance) for instance in state.instances)
    lease = f"the lease is held by {state.holder_id or 'nobody'}, version {tuple(state.version)}"
    return f"{step.action}: {instances}; {lease}"


def _described_instance(instance: Instance) -> str:
    state = instance.holder
    paused = " paused" if instance.is_paused else ""
    until = f" until {state.may_operate_until_ms:.0f}" if holder.may_operate(state, 0.0) else ""
    return f"{state.holder_id}{paused} {state.phase.value}{until}"
