"""Transitions of the drain model: coordinators, storage nodes and an operator."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from sabledyke.rollout import node_drain, planner
from sabledyke.rollout.change_tracker import ChangeTracker
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import Drain, DrainPhase, Epoch, MemberState
from sabledyke.rollout.state_changes import StateChange
from sabledyke.testbed.drain_model.member_transitions import member_transitions
from sabledyke.testbed.drain_model.state import DrainState, Safeguards
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
from sabledyke.testbed.offset_ranks import OffsetRanks
from sabledyke.testbed.state_search import Transition
from sabledyke.testbed.state_updates import replaced_at

Transitions = Iterator[Transition[DrainState]]


def successors(safeguards: Safeguards, state: DrainState) -> Transitions:
    """Return the transitions that a state allows, with ranks as the offsets of each successor."""
    for action, successor in _transitions(safeguards, state):
        yield Transition(action, _with_offset_ranks(successor))


def _transitions(safeguards: Safeguards, state: DrainState) -> Transitions:
    view = view_of(state)
    for index in range(len(state.coordinators)):
        yield from _coordinator_transitions(safeguards, state, index, view)
    yield from takeover_transitions(state)
    for index in range(len(state.instances)):
        yield from member_transitions(safeguards, state, index, view)
    yield from _node_transitions(state, view)
    yield from operator_transitions(state, view.plans[PLAN_NAME])


def _coordinator_transitions(
    safeguards: Safeguards, state: DrainState, index: int, view: FleetView
) -> Transitions:
    coordinator = state.coordinators[index]
    if coordinator.pending is not None:
        action = f"c{index} writes: {coordinator.pending.description}"
        yield Transition(action, _write(safeguards, state, index, coordinator.pending))
        return
    change = _decide(safeguards, state, index, view)
    if change is not None:
        yield Transition(f"c{index} decides: {change.description}", with_decision(state, index, change))


def _decide(safeguards: Safeguards, state: DrainState, index: int, view: FleetView) -> StateChange | None:
    name = f"c{index}"
    token = state.coordinators[index].token
    if view.epoch is None or view.epoch.token != token:
        return StateChange("coordinates", (Epoch(name, token),), expected_end=view.next_offset)
    observed_view = view if safeguards.waits_for_silent_members else _with_unresponsive_as_out(view)
    nodes = {node.name: node for node in state.nodes}
    drain_change = node_drain.decide(observed_view, token, 0.0, ChangeTracker(), TIMEOUTS, nodes)
    return drain_change or planner.decide(observed_view, name, token, 0.0, ChangeTracker(), TIMEOUTS)


def _with_unresponsive_as_out(view: FleetView) -> FleetView:
    members = {
        name: replace(member, state=MemberState.OUT) if member.state is MemberState.UNRESPONSIVE else member
        for name, member in view.members.items()
    }
    return replace(view, members=members)


def _write(safeguards: Safeguards, state: DrainState, index: int, change: StateChange) -> DrainState:
    coordinator = state.coordinators[index]
    state = without_decision(state, index)
    checks_order = safeguards.checks_order
    if not log_accepts(state, coordinator, change, checks_token=checks_order, checks_end=checks_order):
        return state
    state = with_change_written(state, coordinator, change)
    view = view_of(state)
    out = node_drain.nodes_out(view, {})
    begins_drain = any(
        isinstance(record, Drain) and record.phase is DrainPhase.LEAVING for record in change.records
    )
    if begins_drain and len(out) > view.plans[PLAN_NAME].max_out:
        return state._replace(violation=f"{sorted(out)} are out of service, more than the plan allows")
    return state


def _node_transitions(state: DrainState, view: FleetView) -> Transitions:
    """Return a restart of each drained node, which the endpoint list shows as a later start."""
    for index, node in enumerate(state.nodes):
        drain = view.drains.get(node.name)
        if drain is None or drain.phase is not DrainPhase.DRAINED or node.started != drain.node_started:
            continue
        nodes = replaced_at(state.nodes, index, replace(node, started=node.started + 1))
        yield Transition(f"{node.name} restarts", state._replace(nodes=nodes))


def _with_offset_ranks(state: DrainState) -> DrainState:
    known_drains = (offset for instance in state.instances for offset in instance.known_drains)
    ranks = OffsetRanks(state, known_drains)
    instances = tuple(
        instance._replace(
            pending=ranks.change(instance.pending),
            known_drains=frozenset(ranks.offsets[offset] for offset in instance.known_drains),
        )
        for instance in state.instances
    )
    return ranks.state(state, instances)
