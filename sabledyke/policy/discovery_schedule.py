"""Times of the calls to discovery, from the number of schedulers and from the outcomes of earlier calls.

One discovery service answers all schedulers, one call after the other, and also processes the calls that have
timed out meanwhile. If all schedulers start or fail at once, their calls must be spread over the time that
discovery needs for all of them. Times are milliseconds.
"""

from __future__ import annotations

# Bounds of the time over which first calls are spread, and the time added to it for each scheduler.
MIN_FIRST_CALL_SPREAD_MS = 500.0
MAX_FIRST_CALL_SPREAD_MS = 8000.0
SPREAD_PER_SCHEDULER_MS = 125.0
# Longest wait after a failed call. Schedulers count as notified of a change 6 s after discovery is reachable,
# and the drain grace adds 2 s. The next call may take 3 s of these (``protocol.watch_timeout``), and a stall
# of the scheduler a part of the rest.
MAX_BACKOFF_MS = 4500.0
# Fixed fraction of a wait; the rest is random, so that schedulers do not call at the same moments.
MIN_BACKOFF_FRACTION = 0.5


class DiscoverySchedule:
    """Schedule of one scheduler's calls to discovery. Each ``draw`` is a random number from 0 to 1."""

    def __init__(self, scheduler_count: int) -> None:
        spread_ms = max(MIN_FIRST_CALL_SPREAD_MS, SPREAD_PER_SCHEDULER_MS * scheduler_count)
        self.first_call_spread_ms = min(spread_ms, MAX_FIRST_CALL_SPREAD_MS)
        self._backoff_ms = self._initial_backoff_ms()

    def first_call(self, draw: float) -> float:
        """Returns the time from the start to the first call."""
        return draw * self.first_call_spread_ms

    def call_failed(self, draw: float) -> float:
        """Returns the time from a failed call to the next; each failure doubles it up to a maximum."""
        wait_ms = self._backoff_ms * (MIN_BACKOFF_FRACTION + (1 - MIN_BACKOFF_FRACTION) * draw)
        self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS)
        return wait_ms

    def call_answered(self) -> None:
        """Resets the backoff after a call that returned a list."""
        self._backoff_ms = self._initial_backoff_ms()

    def _initial_backoff_ms(self) -> float:
        return min(self.first_call_spread_ms, MAX_BACKOFF_MS)
