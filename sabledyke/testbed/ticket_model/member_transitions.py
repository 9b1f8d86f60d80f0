"""Transitions of one member of the ticket model: requests and uses of tickets, crashes and restarts."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.participant import GOES_OUT, Participant, SentRequest
from sabledyke.rollout.records import ACTIVE_STAGES, Member, MemberState
from sabledyke.rollout.state_changes import StateChange
from sabledyke.testbed.fleet_transitions import PLAN_NAME
from sabledyke.testbed.model_log import with_append, with_instance
from sabledyke.testbed.state_search import Transition
from sabledyke.testbed.state_updates import spend
from sabledyke.testbed.ticket_model.state import NO_REQUEST, Instance, Safeguards, TicketState

Transitions = Iterator[Transition[TicketState]]

REQUEST_VALIDITY_MS = 1.0
REQUESTED_AT_MS = 0.0
EXPIRED_AT_MS = 9.0
"""A time at which a request made at ``REQUESTED_AT_MS`` has expired."""


def member_transitions(
    safeguards: Safeguards, state: TicketState, index: int, view: FleetView
) -> Transitions:
    """Return the transitions of a member."""
    name = f"n{index}"
    instance = state.instances[index]
    if not instance.is_up:
        yield from _transitions_while_down(state, index, view)
        return
    if state.budget.deaths:
        died = with_instance(spend(state, "deaths"), index, instance._replace(is_up=False, pending=None))
        yield Transition(f"{name} crashes", died)
    if instance.pending is not None:
        action = f"{name} writes: {instance.pending.description}"
        yield Transition(action, _write(safeguards, state, index, instance.pending, view))
        return
    yield from _decisions(state, index, view, REQUESTED_AT_MS)
    if state.budget.expired_requests and instance.request_number:
        yield from _decisions(spend(state, "expired_requests"), index, view, EXPIRED_AT_MS)


def _transitions_while_down(state: TicketState, index: int, view: FleetView) -> Transitions:
    name = f"n{index}"
    instance = state.instances[index]
    restarted = Instance(instance.incarnation + 1)
    ready = Member(name, restarted.incarnation, state=MemberState.READY)
    yield Transition(f"{name} restarts", with_append(with_instance(state, index, restarted), (ready,)))
    registered = view.members[name]
    if registered.state is MemberState.READY and registered.incarnation == instance.incarnation:
        unresponsive = replace(registered, state=MemberState.UNRESPONSIVE)
        yield Transition(f"{name} is recorded as unresponsive", with_append(state, (unresponsive,)))


def _decisions(state: TicketState, index: int, view: FleetView, now_ms: float) -> Transitions:
    """Return the decision of the member at this time of its clock, if any."""
    name = f"n{index}"
    instance = state.instances[index]
    participant = _participant(name, instance)
    change = participant.step(view, now_ms)
    if change is None:
        return
    request = participant.last_request
    decided = instance._replace(
        request_number=request.request_number if request else NO_REQUEST,
        last_request_number=participant.last_request_number,
        pending=change,
    )
    if change.expected_offsets:
        yield Transition(f"{name} decides: {change.description}", with_instance(state, index, decided))
        return
    # A ticket request has no write conditions, so that the time of its write makes no difference.
    requested = with_instance(state, index, decided._replace(pending=None))
    yield Transition(f"{name} {change.description}", with_append(requested, change.records))


def _participant(name: str, instance: Instance) -> Participant:
    number = instance.request_number
    return Participant(
        name,
        instance.incarnation,
        REQUEST_VALIDITY_MS,
        SentRequest(PLAN_NAME, number, REQUESTED_AT_MS) if number else None,
        instance.last_request_number,
    )


def _write(
    safeguards: Safeguards, state: TicketState, index: int, change: StateChange, view: FleetView
) -> TicketState:
    instance = state.instances[index]._replace(pending=None)
    is_stale = any(view.offset_of(key) != offset for key, offset in change.expected_offsets)
    if is_stale and safeguards.checks_expected_offsets:
        return with_instance(state, index, instance)
    if change.description == GOES_OUT:
        violation = _departure_violation(state, index, view)
        instance = instance._replace(is_up=False, is_out_by_ticket=True)
        state = state._replace(violation=violation)
    return with_append(with_instance(state, index, instance), change.records, change.deleted_keys)


def _departure_violation(state: TicketState, index: int, view: FleetView) -> str:
    plan = view.plans[PLAN_NAME]
    out_by_ticket = sum(instance.is_out_by_ticket for instance in state.instances) + 1
    if out_by_ticket > plan.max_out:
        return f"{out_by_ticket} are out of service by ticket, more than the plan allows"
    if plan.stage not in ACTIVE_STAGES:
        return f"n{index} goes out while the plan is {plan.stage.value}"
    return ""
