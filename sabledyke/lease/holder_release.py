"""Release of a lease: immediate if no operation is in flight, else after its end or by expiry.

Pure functions of the holder's state; ``holder`` decides when to call them.
"""

from __future__ import annotations

from dataclasses import replace
from math import inf

from sabledyke.lease.holder_state import (
    HolderEvent,
    HolderState,
    OperationStatus,
    Phase,
    SendRequest,
    Transition,
)
from sabledyke.lease.types import LeaseRequest, LeaseTimes, Release


def is_operation_in_flight(state: HolderState, now_ms: float) -> bool:
    """Return whether an operation counts as running now."""
    if state.operation_status is OperationStatus.UNRESOLVED:
        return now_ms < state.operation_covered_until_ms
    return state.operation_status is OperationStatus.RUNNING


def release_after_operation(
    state: HolderState, times: LeaseTimes, now_ms: float, reason: HolderEvent
) -> Transition:
    """Release the lease now, or allow no further operation and wait for the one in flight.

    An operation with an unknown outcome has no end to wait for: its lease is left to expire.
    """
    if not is_operation_in_flight(state, now_ms):
        return release_now(state, times, now_ms, reason)
    if state.operation_status is OperationStatus.UNRESOLVED:
        return Transition(leave_to_expire(state, times, now_ms), [], [HolderEvent.ABANDONED])
    if state.phase is Phase.HOLDING:
        state = replace(state, phase=Phase.RELEASING)
    return Transition(state, [], [HolderEvent.WAITING_FOR_OPERATION])


def release_now(state: HolderState, times: LeaseTimes, now_ms: float, reason: HolderEvent) -> Transition:
    """Stop operating and release the lease."""
    state, requests = send(stop_holding(state, times, now_ms), Release(state.token), now_ms)
    return Transition(state, requests, [reason])


def leave_to_expire(state: HolderState, times: LeaseTimes, now_ms: float) -> HolderState:
    """Stop operating and leave the lease to expire, as an operation may still run under it."""
    return replace(stop_holding(state, times, now_ms), pending_request=None, abandoned_token=state.token)


def stop_holding(state: HolderState, times: LeaseTimes, now_ms: float) -> HolderState:
    """Stop operating, and give the other instances one lease duration to acquire the lease."""
    is_stopping = state.phase is Phase.STOPPING
    return replace(
        state,
        phase=Phase.STOPPED if is_stopping else Phase.WATCHING,
        may_operate_until_ms=-inf,
        operating=False,
        seen_version=None,
        seen_free=False,
        next_request_at_ms=now_ms,
        acquire_not_before_ms=now_ms + times.ttl_ms,
    )


def send(state: HolderState, request: LeaseRequest, now_ms: float) -> tuple[HolderState, list[SendRequest]]:
    """Send a request under the next number; it replaces a pending one."""
    state = replace(
        state, pending_request=request, request_number=state.request_number + 1, requested_at_ms=now_ms
    )
    return state, [SendRequest(state.request_number, request)]
