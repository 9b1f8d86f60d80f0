"""State machine of one instance as holder of, or candidate for, one lease.

The functions here map a state and an input (a timer tick, a reply, an operation) to a new state and the
actions to carry out. Each input carries the time on this instance's clock and, where a wait follows, a random
number for its jitter. The functions use no socket, database or clock, so that the testbed's model checker
explores the same code that runs in production.

Safety: ``may_operate`` is true for at most ``LeaseTimes.operating_window_ms``, counted from before the
request for a grant or a renewal. A lease is released only while no operation is in flight under it. Otherwise
the holder begins no other operation and waits for the end of the current one; if its outcome remains unknown,
the lease is left to expire. Liveness: after a failure or a check, the next request is sent within
``LeaseTimes.renew_interval_ms``.
"""

from __future__ import annotations

from dataclasses import replace
from math import inf

from sabledyke.lease.holder_release import (
    is_operation_in_flight,
    leave_to_expire,
    release_after_operation,
    release_now,
    send,
    stop_holding,
)
from sabledyke.lease.holder_state import (
    HOLDING_PHASES,
    HolderEvent,
    HolderState,
    OperationStatus,
    Phase,
    Transition,
)
from sabledyke.lease.holder_watch import may_acquire, next_check_at_ms
from sabledyke.lease.types import (
    Acquire,
    Granted,
    Inspect,
    LeaseReply,
    LeaseRequest,
    LeaseStatus,
    LeaseTimes,
    Renew,
    Renewed,
)

FIRST_BACKOFF_RENEW_INTERVALS = 1 / 16  # doubled at each failure, up to one renew interval
MAX_COUNTED_FAILURES = 16


def may_operate(state: HolderState, now_ms: float) -> bool:
    """Return whether the holder may operate now.

    Callers check this before every step and never cache the result. While the holder waits to release its
    lease, it remains true for the steps of the operation in flight.
    """
    return state.phase in HOLDING_PHASES and now_ms < state.may_operate_until_ms


def may_begin_operation(state: HolderState, now_ms: float) -> bool:
    """Return whether an operation may begin: none is in flight, and the lease is not being released."""
    return (
        state.phase is Phase.HOLDING
        and may_operate(state, now_ms)
        and not is_operation_in_flight(state, now_ms)
    )


def next_tick_at_ms(state: HolderState, times: LeaseTimes) -> float:
    """Return the time of the next call of ``on_tick`` if no other input arrives before; inf for never."""
    if state.phase is Phase.STOPPED:
        return inf
    if state.pending_request is not None:
        next_action_at_ms = state.requested_at_ms + times.renew_interval_ms
    else:
        next_action_at_ms = state.next_request_at_ms
    if state.operation_status is OperationStatus.UNRESOLVED:
        next_action_at_ms = min(next_action_at_ms, state.operation_covered_until_ms)
    return min(next_action_at_ms, state.may_operate_until_ms) if state.operating else next_action_at_ms


def on_tick(state: HolderState, times: LeaseTimes, now_ms: float, jitter: float) -> Transition:
    """Stop operating at the end of the lease, time out a pending request, and send the next one when due.

    Args:
        state: State before the tick.
        times: Times of the lease.
        now_ms: Time on this instance's clock.
        jitter: Random number in [0, 1), which spreads the requests of all instances.
    """
    state, events = _expire(state, times, now_ms)
    if state.phase is Phase.STOPPED:
        return Transition(state, [], events)
    if state.pending_request is not None:
        if now_ms < state.requested_at_ms + times.renew_interval_ms:
            return Transition(state, [], events)
        state = _record_failure(state, times, now_ms, jitter)
    if now_ms < state.next_request_at_ms:
        return Transition(state, [], events)
    state, requests = send(state, _next_request(state, times, now_ms), now_ms)
    return Transition(state, requests, events)


def on_reply(
    state: HolderState, times: LeaseTimes, now_ms: float, number: int, reply: LeaseReply, jitter: float
) -> Transition:
    """Process the authority's reply to the request of this number.

    A late reply to a request that has timed out is ignored.
    """
    request = state.pending_request
    if request is None or number != state.request_number or state.phase is Phase.STOPPED:
        return Transition(state, [], [])
    state = replace(state, pending_request=None, consecutive_failures=0)
    match request, reply:
        case Acquire(), Granted(token):
            return _extend(replace(state, token=token), times, now_ms)
        case Renew(), Renewed(recalled):
            extended = _extend(state, times, now_ms)
            if not recalled or state.phase is not Phase.HOLDING:
                return extended
            return release_after_operation(extended.state, times, now_ms, HolderEvent.RECALLED)
        case _, LeaseStatus():
            return _on_status(state, times, now_ms, reply, jitter)
        case _:  # a reply that does not fit the request counts as a failure
            return Transition(_record_failure(state, times, now_ms, jitter), [], [])


def on_failure(
    state: HolderState, times: LeaseTimes, now_ms: float, number: int, jitter: float
) -> Transition:
    """Process the failure of the request of this number, which may have been executed nevertheless."""
    if state.pending_request is None or number != state.request_number:
        return Transition(state, [], [])
    return Transition(_record_failure(state, times, now_ms, jitter), [], [])


def on_operation_begun(state: HolderState, times: LeaseTimes) -> Transition:
    """Process the start of an operation; ``may_begin_operation`` must be true."""
    covered_until_ms = state.may_operate_until_ms + times.safety_margin_ms
    begun = replace(
        state, operation_status=OperationStatus.RUNNING, operation_covered_until_ms=covered_until_ms
    )
    return Transition(begun, [], [])


def on_operation_completed(
    state: HolderState, times: LeaseTimes, now_ms: float, token: int, *, is_completed: bool
) -> Transition:
    """Process the end of an operation, or of the wait for its answer.

    Args:
        state: State before the end of the operation.
        times: Times of the lease.
        now_ms: Time on this instance's clock.
        token: Token under which the operation began.
        is_completed: True if the operation has certainly ended. If its answer was lost or not awaited, the
            operation counts as running until the end of its lease.
    """
    if state.phase not in HOLDING_PHASES or state.token != token:
        return Transition(replace(state, operation_status=OperationStatus.COMPLETED), [], [])
    operation_status = OperationStatus.COMPLETED if is_completed else OperationStatus.UNRESOLVED
    state = replace(state, operation_status=operation_status)
    if state.phase is Phase.HOLDING:
        return Transition(state, [], [])
    if is_operation_in_flight(state, now_ms):
        return Transition(leave_to_expire(state, times, now_ms), [], [HolderEvent.ABANDONED])
    return release_now(state, times, now_ms, HolderEvent.RELEASED)


def on_stop(state: HolderState, times: LeaseTimes, now_ms: float) -> Transition:
    """Begin no further operation, and release a held lease as soon as no operation is in flight."""
    if state.phase not in HOLDING_PHASES:
        stopped = replace(
            state, phase=Phase.STOPPED, may_operate_until_ms=-inf, operating=False, pending_request=None
        )
        return Transition(stopped, [], [])
    return release_after_operation(replace(state, phase=Phase.STOPPING), times, now_ms, HolderEvent.RELEASED)


def on_fenced(state: HolderState, times: LeaseTimes, now_ms: float, token: int) -> Transition:
    """Process the rejection of this token by a resource that has seen a later one.

    The lease is released so that the next token is higher, also if the authority was restored to an earlier
    state.
    """
    if state.phase is not Phase.HOLDING or state.token != token:
        return Transition(state, [], [])
    return release_after_operation(state, times, now_ms, HolderEvent.FENCED)


def _expire(state: HolderState, times: LeaseTimes, now_ms: float) -> tuple[HolderState, list[HolderEvent]]:
    """Stop operating when the lease expires, and drop an unresolved operation at the end of its lease.

    A lease that is being released is left to expire at that point.
    """
    events: list[HolderEvent] = []
    if not is_operation_in_flight(state, now_ms):
        state = replace(state, operation_status=OperationStatus.COMPLETED)
    if may_operate(state, now_ms):
        return state, events
    if state.operating:
        state = replace(state, operating=False)
        events.append(HolderEvent.EXPIRED)
    if state.is_releasing:
        state = leave_to_expire(state, times, now_ms)
        events.append(HolderEvent.ABANDONED)
    return state, events


def _next_request(state: HolderState, times: LeaseTimes, now_ms: float) -> LeaseRequest:
    if state.phase in HOLDING_PHASES:
        if -inf < state.may_operate_until_ms <= now_ms:
            # Requests may arrive while their replies are lost. Renewals would then keep a lease alive that
            # no instance can use.
            return Inspect()
        return Renew(state.token)
    if state.seen_version is not None and may_acquire(state, times, now_ms):
        return Acquire(state.seen_version)
    return Inspect()


def _record_failure(state: HolderState, times: LeaseTimes, now_ms: float, jitter: float) -> HolderState:
    first_wait_ms = times.renew_interval_ms * FIRST_BACKOFF_RENEW_INTERVALS
    wait_ms = min(times.renew_interval_ms, first_wait_ms * 2**state.consecutive_failures)
    may_operate_until_ms = state.may_operate_until_ms
    if state.phase in HOLDING_PHASES and may_operate_until_ms == -inf:
        # The first renewal after ``_resume_holding`` got no reply: the next request is an inspection.
        may_operate_until_ms = state.requested_at_ms
    return replace(
        state,
        may_operate_until_ms=may_operate_until_ms,
        pending_request=None,
        consecutive_failures=min(state.consecutive_failures + 1, MAX_COUNTED_FAILURES),
        next_request_at_ms=now_ms + wait_ms * (0.5 + jitter / 2),
    )


def _extend(state: HolderState, times: LeaseTimes, now_ms: float) -> Transition:
    """Extend the lease, counted from the time of its request, as the reply may be delayed."""
    # A renewal after the lease had expired here is reported as a grant.
    event = HolderEvent.RENEWED if state.operating else HolderEvent.GRANTED
    may_operate_until_ms = state.requested_at_ms + times.operating_window_ms
    operating = now_ms < may_operate_until_ms
    if state.operation_status is OperationStatus.RUNNING:
        state = replace(state, operation_covered_until_ms=may_operate_until_ms + times.safety_margin_ms)
    state = replace(
        state,
        phase=state.phase if state.phase in HOLDING_PHASES else Phase.HOLDING,
        may_operate_until_ms=may_operate_until_ms,
        operating=operating,
        next_request_at_ms=max(
            now_ms, min(state.requested_at_ms + times.renew_interval_ms, may_operate_until_ms)
        ),
        seen_version=None,
    )
    return Transition(state, [], [event] if operating else [])


def _on_status(
    state: HolderState, times: LeaseTimes, now_ms: float, status: LeaseStatus, jitter: float
) -> Transition:
    is_mine = status.holder == state.holder_id and not status.is_free
    if is_mine and status.version.token != state.abandoned_token:
        return Transition(_resume_holding(state, now_ms, status), [], [])
    events = [HolderEvent.LOST] if state.phase in HOLDING_PHASES else []
    if state.phase is Phase.STOPPING:
        return Transition(stop_holding(state, times, now_ms), [], events)
    since_ms = state.unchanged_since_ms if status.version == state.seen_version else now_ms
    state = replace(
        state,
        phase=Phase.WATCHING,
        may_operate_until_ms=-inf,
        operating=False,
        seen_version=status.version,
        seen_free=status.is_free,
        unchanged_since_ms=since_ms,
        seen_ttl_ms=status.ttl_ms,
    )
    next_at_ms = next_check_at_ms(state, times, now_ms, jitter)
    return Transition(replace(state, next_request_at_ms=next_at_ms), [], events)


def _resume_holding(state: HolderState, now_ms: float, status: LeaseStatus) -> HolderState:
    """Hold a lease whose grant reply was lost; otherwise it would stay unused for its whole duration.

    No operation begins before a renewal, as the time of the grant is unknown.
    """
    return replace(
        state,
        phase=state.phase if state.phase in HOLDING_PHASES else Phase.HOLDING,
        token=status.version.token,
        may_operate_until_ms=-inf,
        operating=False,
        next_request_at_ms=now_ms,
        seen_version=None,
    )
