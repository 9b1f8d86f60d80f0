"""When discovery is asked again, given how large the fleet is and how calls end. Times are milliseconds.

One discovery serves all schedulers in turn, and works off also the calls that were given up meanwhile. Where
all start or fail at once, their calls must be spread over the time that it takes for all of them.
"""

from __future__ import annotations

# Shortest and longest time over which first calls are spread, and the part of it for each scheduler.
MIN_FIRST_CALL_SPREAD_MS = 500.0
MAX_FIRST_CALL_SPREAD_MS = 8000.0
SPREAD_PER_SCHEDULER_MS = 125.0
# The longest wait after a failed call: a change counts as notified 6 s after discovery can be reached, the
# drain grace leaves 2 s more, the next call may take 3 s (``protocol.watch_timeout``), and a scheduler be
# held up.
MAX_BACKOFF_MS = 4500.0
# Part of a wait that is certain; the rest is random, so that schedulers do not call in step.
MIN_BACKOFF_FRACTION = 0.5


class DiscoverySchedule:
    """When one scheduler calls discovery. Each ``draw`` is a random number from 0 to 1."""

    def __init__(self, scheduler_count: int) -> None:
        spread_ms = max(MIN_FIRST_CALL_SPREAD_MS, SPREAD_PER_SCHEDULER_MS * scheduler_count)
        self.first_call_spread_ms = min(spread_ms, MAX_FIRST_CALL_SPREAD_MS)
        self._backoff_ms = self._initial_backoff_ms()

    def first_call(self, draw: float) -> float:
        """Returns the time from the start to the first call."""
        return draw * self.first_call_spread_ms

    def call_failed(self, draw: float) -> float:
        """Returns the time from a failed call to the next one, which doubles up to its bound."""
        wait_ms = self._backoff_ms * (MIN_BACKOFF_FRACTION + (1 - MIN_BACKOFF_FRACTION) * draw)
        self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS)
        return wait_ms

    def call_answered(self) -> None:
        """Resets the backoff: a list came."""
        self._backoff_ms = self._initial_backoff_ms()

    def _initial_backoff_ms(self) -> float:
        return min(self.first_call_spread_ms, MAX_BACKOFF_MS)
