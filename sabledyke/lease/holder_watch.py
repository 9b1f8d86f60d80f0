"""Timing of the checks of an instance that watches a lease, and the condition to acquire it.

Pure functions of the holder's state; ``holder`` sends the requests.
"""

from __future__ import annotations

from sabledyke.lease.holder_state import HolderState
from sabledyke.lease.types import LeaseTimes

ACQUIRE_JITTER_RENEW_INTERVALS = 1 / 8


def may_acquire(state: HolderState, times: LeaseTimes, now_ms: float) -> bool:
    """Return whether a watcher may acquire the lease.

    The lease must be free. If the authority does not track its expiry, it may also have been seen unchanged
    for its whole duration.
    """
    if now_ms < state.acquire_not_before_ms:
        return False
    if state.seen_free:
        return True
    unchanged_ms = now_ms - state.unchanged_since_ms
    return not times.authority_tracks_expiry and unchanged_ms >= _expiry_wait_ms(state, times)


def next_check_at_ms(state: HolderState, times: LeaseTimes, now_ms: float, jitter: float) -> float:
    """Return the time of a watcher's next request, after it has seen the lease at ``now_ms``."""
    if state.seen_free and now_ms >= state.acquire_not_before_ms:
        return now_ms + jitter * times.renew_interval_ms * ACQUIRE_JITTER_RENEW_INTERVALS
    next_at_ms = now_ms + times.renew_interval_ms * (0.5 + jitter / 2)
    if times.authority_tracks_expiry:
        return next_at_ms
    expires_at_ms = state.unchanged_since_ms + _expiry_wait_ms(state, times)
    return max(now_ms, min(next_at_ms, expires_at_ms))


def _expiry_wait_ms(state: HolderState, times: LeaseTimes) -> float:
    """Return the time after which an unchanged lease counts as expired.

    The holder's own TTL applies where it is longer: new settings reach the instances one by one.
    """
    return max(times.ttl_ms, state.seen_ttl_ms)
