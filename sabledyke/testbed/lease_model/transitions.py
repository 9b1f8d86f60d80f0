"""Transitions of the lease model: clock ticks, deliveries and losses of messages, and failures."""

from __future__ import annotations

from collections.abc import Iterator
from math import inf

from sabledyke.lease import holder
from sabledyke.lease.holder_state import HOLDING_PHASES, HolderState, Phase, SendRequest
from sabledyke.lease.types import (
    Acquire,
    Granted,
    Inspect,
    LeaseReply,
    LeaseStatus,
    LeaseVersion,
    Release,
    Renew,
    Renewed,
)
from sabledyke.testbed.lease_model import operations
from sabledyke.testbed.lease_model.canonical import TIME_HORIZON_MS, canonical
from sabledyke.testbed.lease_model.state import RESTART_MARK, Instance, Message, ModelConfig, ModelState
from sabledyke.testbed.state_search import Transition
from sabledyke.testbed.state_updates import replaced_at, spend

MAX_INCARNATIONS = 9

Transitions = Iterator[Transition[ModelState]]


def successors(config: ModelConfig, state: ModelState) -> Transitions:
    """Return the transitions that a state allows, each successor in its canonical form."""
    for action, successor in _transitions(config, state):
        yield Transition(action, canonical(successor))


def _transitions(config: ModelConfig, state: ModelState) -> Transitions:
    yield Transition("a tick", _tick(config, state))
    for position in range(len(state.in_flight)):
        yield from _message_transitions(config, state, position)
    for number in range(len(state.instances)):
        yield from _instance_transitions(config, state, number)
    if state.budget.restarts and config.authority_tracks_expiry:
        # etcd, as documented: a new leader extends every lease to its full TTL.
        restarted = spend(state, "restarts")._replace(expires_in=config.times.ttl_ms)
        yield Transition("the authority restarts", restarted)
    if state.budget.recalls and state.holder_id:
        yield Transition("the lease is recalled", spend(state, "recalls")._replace(is_recalled=True))


def _message_transitions(config: ModelConfig, state: ModelState, position: int) -> Transitions:
    message = state.in_flight[position]
    remaining = state.in_flight[:position] + state.in_flight[position + 1 :]
    removed = state._replace(in_flight=remaining)
    if isinstance(message.payload, Inspect | Acquire | Renew | Release):
        action = f"{message.instance}'s {message.payload} arrives"
        yield Transition(action, _serve(config, removed, message))
    elif not state.instances[message.instance].is_paused:
        action = f"{message.instance} hears {message.payload}"
        yield Transition(action, _receive_reply(config, removed, message))
    if state.budget.losses:
        yield Transition(f"{message.instance}'s {message.payload} is lost", spend(removed, "losses"))


def _instance_transitions(config: ModelConfig, state: ModelState, number: int) -> Transitions:
    instance = state.instances[number]
    if instance.is_paused:
        resumed = _with_instance(state, number, instance._replace(is_paused=False))
        yield Transition(f"{number} resumes", _run_timers(config, resumed, number))
    elif state.budget.pauses:
        paused = _with_instance(state, number, instance._replace(is_paused=True))
        yield Transition(f"{number} is paused", spend(paused, "pauses"))
    if state.budget.deaths:
        yield Transition(f"{number} crashes and restarts", _restart(spend(state, "deaths"), number))
    if state.budget.returns and instance.holder.phase is Phase.STOPPED:
        yield Transition(f"{number} restarts", _restart(spend(state, "returns"), number))
    if instance.is_paused:
        return
    for step in operations.steps(config, instance, state.budget):
        yield Transition(f"{number} {step.action}", _take_step(state, number, step))
    if state.budget.stops and instance.holder.phase in (Phase.WATCHING, *HOLDING_PHASES):
        stopped = holder.on_stop(instance.holder, config.times, 0.0)
        stopping = _send(spend(state, "stops"), number, stopped.state, stopped.requests)
        yield Transition(f"{number} is requested to stop", stopping)


def _take_step(state: ModelState, number: int, step: operations.OperationStep) -> ModelState:
    if step.cost:
        state = spend(state, step.cost)
    state = _with_instance(state, number, state.instances[number]._replace(operation=step.operation))
    if step.holder_transition is None:
        return state
    return _send(state, number, step.holder_transition.state, step.holder_transition.requests)


def _tick(config: ModelConfig, state: ModelState) -> ModelState:
    """Advance all clocks, also of paused instances, and run the timers of those that are not paused."""
    instances = tuple(
        operations.after_tick(instance._replace(holder=_advanced(instance.holder, instance.clock_rate)))
        for instance in state.instances
    )
    state = _expire(config, state._replace(instances=instances))
    for number, instance in enumerate(instances):
        if not instance.is_paused:
            state = _run_timers(config, state, number)
    return state


def _expire(config: ModelConfig, state: ModelState) -> ModelState:
    """Advance the authority's clock, and free the lease if it expires."""
    if not config.authority_tracks_expiry or not state.holder_id:
        return state._replace(expires_in=0.0)
    expires_in = state.expires_in - config.authority_clock_rate
    if expires_in > 0:
        return state._replace(expires_in=expires_in)
    return state._replace(holder_id="", version=_next_beat(state.version), expires_in=0.0, is_recalled=False)


def _run_timers(config: ModelConfig, state: ModelState, number: int) -> ModelState:
    timeout = operations.timeout_step(config, state.instances[number])
    if timeout is not None:
        state = _take_step(state, number, timeout)
    new_holder, requests, _ = holder.on_tick(state.instances[number].holder, config.times, 0.0, 0.0)
    return _send(state, number, new_holder, requests)


def _receive_reply(config: ModelConfig, state: ModelState, message: Message) -> ModelState:
    reply = message.payload
    assert isinstance(reply, LeaseStatus | Granted | Renewed)
    current_holder = state.instances[message.instance].holder
    new_holder, requests, _ = holder.on_reply(
        current_holder, config.times, 0.0, current_holder.request_number, reply, 0.0
    )
    state = _send(state, message.instance, new_holder, requests)
    return _run_timers(config, state, message.instance)


def _send(state: ModelState, number: int, new_holder: HolderState, requests: list[SendRequest]) -> ModelState:
    """Set the instance's holder and put its requests in flight.

    A message for which the instance no longer waits is late if the budget allows, otherwise it is dropped.
    """
    is_waiting = new_holder.pending_request is not None
    if not is_waiting or requests:
        state = _stop_waiting_for_reply(state, number)
    sent = [Message(number, new_holder.holder_id, is_waiting, send.request) for send in requests]
    instance = state.instances[number]._replace(holder=new_holder)
    return state._replace(
        in_flight=(*state.in_flight, *sent), instances=replaced_at(state.instances, number, instance)
    )


def _stop_waiting_for_reply(state: ModelState, number: int) -> ModelState:
    if not any(message.instance == number and message.is_awaited for message in state.in_flight):
        return state
    if state.budget.late:
        return spend(_without_awaited_messages(state, number), "late")
    in_flight = (m for m in state.in_flight if m.instance != number or not m.is_awaited)
    return state._replace(in_flight=tuple(in_flight))


def _without_awaited_messages(state: ModelState, number: int) -> ModelState:
    in_flight = (m._replace(is_awaited=m.is_awaited and m.instance != number) for m in state.in_flight)
    return state._replace(in_flight=tuple(in_flight))


def _serve(config: ModelConfig, state: ModelState, message: Message) -> ModelState:
    """Process a request at the authority, and put the reply in flight if the instance still waits for it."""
    state, reply = _authority_reply(config, state, message)
    if not message.is_awaited:
        return state
    return state._replace(in_flight=(*state.in_flight, message._replace(payload=reply)))


def _authority_reply(
    config: ModelConfig, state: ModelState, message: Message
) -> tuple[ModelState, LeaseReply]:
    tracks_expiry = config.authority_tracks_expiry
    version = state.version
    token = version[0]
    is_holder = state.holder_id == message.incarnation
    match message.payload:
        case Acquire(seen) if seen == version and (not tracks_expiry or not state.holder_id):
            granted = LeaseVersion(token + 1, 0)
            state = state._replace(
                version=granted,
                holder_id=message.incarnation,
                expires_in=config.times.ttl_ms,
                is_recalled=False,
            )
            return state, Granted(granted[0])
        case Renew(number) if is_holder and number == token:
            # An authority that tracks expiry does not change the version of a lease at renewals.
            renewed = version if tracks_expiry else _next_beat(version)
            recalled = state.is_recalled
            return state._replace(version=renewed, expires_in=config.times.ttl_ms), Renewed(recalled)
        case Release(number) if is_holder and number == token:
            state = state._replace(
                version=_next_beat(version), holder_id="", expires_in=0.0, is_recalled=False
            )
            return state, LeaseStatus(state.version, "", is_free=True)
    return state, LeaseStatus(version, state.holder_id, not state.holder_id)


def _next_beat(version: LeaseVersion) -> LeaseVersion:
    token, beat = version
    return LeaseVersion(token, beat + 1)


def _restart(state: ModelState, number: int) -> ModelState:
    """Restart an instance at once as a new incarnation; its earlier messages remain in flight."""
    used = {instance.holder.holder_id for instance in state.instances}
    used |= {message.incarnation for message in state.in_flight}
    used.add(state.holder_id)
    names = (f"{number}{RESTART_MARK * count}" for count in range(1, MAX_INCARNATIONS))
    new_name = next(name for name in names if name not in used)
    old = state.instances[number]
    operation = old.operation._replace(is_awaited=False) if old.operation is not None else None
    restarted_instance = Instance(HolderState(new_name), old.clock_rate, operation=operation)
    return _with_instance(_without_awaited_messages(state, number), number, restarted_instance)


def _with_instance(state: ModelState, number: int, instance: Instance) -> ModelState:
    return state._replace(instances=replaced_at(state.instances, number, instance))


def _advanced(state: HolderState, elapsed: float) -> HolderState:
    """Return the holder's state after this time, with times relative to the new current time."""

    def shifted(at_ms: float) -> float:
        return max(at_ms - elapsed, -TIME_HORIZON_MS)

    return HolderState(
        holder_id=state.holder_id,
        phase=state.phase,
        token=state.token,
        may_operate_until_ms=shifted(state.may_operate_until_ms)
        if state.may_operate_until_ms > -inf
        else -inf,
        operating=state.operating,
        operation_status=state.operation_status,
        operation_covered_until_ms=shifted(state.operation_covered_until_ms),
        abandoned_token=state.abandoned_token,
        seen_version=state.seen_version,
        seen_free=state.seen_free,
        unchanged_since_ms=shifted(state.unchanged_since_ms),
        seen_ttl_ms=state.seen_ttl_ms,
        pending_request=state.pending_request,
        request_number=state.request_number,
        requested_at_ms=shifted(state.requested_at_ms),
        next_request_at_ms=shifted(state.next_request_at_ms) if state.next_request_at_ms > -inf else -inf,
        acquire_not_before_ms=state.acquire_not_before_ms,
        consecutive_failures=state.consecutive_failures,
    )
