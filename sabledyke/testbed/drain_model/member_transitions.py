"""Transitions of one member of the drain model: requests, reads of the log, acknowledgements and faults."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from sabledyke.rollout import node_drain
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import Member, MemberState
from sabledyke.rollout.state_changes import StateChange
from sabledyke.testbed.drain_model.state import DrainState, Instance, Safeguards
from sabledyke.testbed.fleet_transitions import PLAN_NAME
from sabledyke.testbed.model_log import with_append, with_instance
from sabledyke.testbed.state_search import Transition
from sabledyke.testbed.state_updates import spend

Transitions = Iterator[Transition[DrainState]]

EARLIER_READ_MS = 0.0
THIS_READ_MS = 1.0
"""Time of the current read: later than the earlier one by more than the member's grace period of 0 ms."""


def member_transitions(safeguards: Safeguards, state: DrainState, index: int, view: FleetView) -> Transitions:
    """Return the transitions of a member, and of the network between it and the nodes."""
    instance = state.instances[index]
    if not instance.is_up:
        yield from _transitions_while_down(safeguards, state, index, view)
        return
    yield from _fault_transitions(state, index, view)
    yield from _request_transitions(state, index, view)
    if instance.pending is not None:
        without_pending = with_instance(state, index, instance._replace(pending=None))
        action = f"n{index} writes: {instance.pending.description}"
        yield Transition(action, with_append(without_pending, instance.pending.records))
    else:
        yield from _read_transitions(safeguards, state, index, view)


def _transitions_while_down(
    safeguards: Safeguards, state: DrainState, index: int, view: FleetView
) -> Transitions:
    name = f"n{index}"
    registered = view.members[name]
    if registered.state is MemberState.READY:
        unresponsive = replace(registered, state=MemberState.UNRESPONSIVE)
        yield Transition(f"{name} is recorded as unresponsive", with_append(state, (unresponsive,)))
    restarted = Instance(state.instances[index].incarnation + 1, serves=False)
    started = with_instance(state, index, restarted)
    if safeguards.registers_before_reading:
        started = with_append(started, (Member(name, restarted.incarnation),))
    yield Transition(f"{name} restarts", started)


def _fault_transitions(state: DrainState, index: int, view: FleetView) -> Transitions:
    name = f"n{index}"
    instance = state.instances[index]
    registered = view.members[name]
    if state.budget.deaths:
        down = instance._replace(is_up=False, serves=False, in_flight_at=frozenset(), pending=None)
        died = with_instance(spend(state, "deaths"), index, down)
        yield Transition(f"{name} crashes", died)
        is_idle = not instance.in_flight_at and instance.pending is None
        if is_idle and registered.incarnation == instance.incarnation:
            yield Transition(
                f"{name} shuts down", with_append(died, (replace(registered, state=MemberState.OUT),))
            )
    if state.budget.missed_heartbeats and registered.state is MemberState.READY:
        unresponsive = replace(registered, state=MemberState.UNRESPONSIVE)
        yield Transition(
            f"{name} is recorded as unresponsive while it runs",
            with_append(spend(state, "missed_heartbeats"), (unresponsive,)),
        )


def _request_transitions(state: DrainState, index: int, view: FleetView) -> Transitions:
    name = f"n{index}"
    instance = state.instances[index]
    for node in sorted(instance.in_flight_at):
        answered = instance._replace(in_flight_at=instance.in_flight_at - {node})
        yield Transition(f"{name} receives an answer from {node}", with_instance(state, index, answered))
    if not instance.serves or not state.budget.sends:
        return
    for node in view.plans[PLAN_NAME].nodes:
        if node in instance.closed_nodes | instance.in_flight_at:
            continue
        sent = instance._replace(in_flight_at=instance.in_flight_at | {node})
        yield Transition(f"{name} sends to {node}", with_instance(spend(state, "sends"), index, sent))


def _read_transitions(safeguards: Safeguards, state: DrainState, index: int, view: FleetView) -> Transitions:
    """Return the read of the log after which the member serves, acknowledges drains, or has new knowledge."""
    name = f"n{index}"
    instance = state.instances[index]
    acknowledger = node_drain.DrainAcknowledger(
        name,
        instance.incarnation,
        grace_ms=0.0,
        closed_since_ms=dict.fromkeys(instance.known_drains, EARLIER_READ_MS),
    )

    def is_busy(node: str) -> bool:
        return safeguards.waits_for_in_flight and node in instance.in_flight_at

    change = acknowledger.step(view, THIS_READ_MS, is_busy)
    read = instance._replace(
        closed_nodes=node_drain.closed_nodes(view),
        known_drains=frozenset(acknowledger.closed_since_ms),
        serves=True,
    )
    registered = view.members[name]
    if registered.incarnation != instance.incarnation or registered.state is not MemberState.READY:
        ready = StateChange("is ready", (Member(name, instance.incarnation, state=MemberState.READY),))
        serving = read._replace(pending=ready)
        yield Transition(f"{name} reads the log, and serves", with_instance(state, index, serving))
    elif change is not None or read != instance:
        description = change.description if change else "nothing to write"
        decided = read._replace(pending=change)
        yield Transition(f"{name} reads the log: {description}", with_instance(state, index, decided))
