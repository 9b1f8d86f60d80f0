"""When is discovery asked again? Told how large the fleet is and how calls end; knows no socket and no clock.

One discovery hears all schedulers in turn, and works off also the calls that were given up meanwhile. Where
all start or fail at once, their calls must come over the time that it takes for all of them. Times are
milliseconds.
"""

from __future__ import annotations

FIRST_CALL_SPREAD_MS = (500.0, 8000.0)  # shortest and longest time over which first calls are spread
SPREAD_PER_SCHEDULER_MS = 125.0  # of those, for each scheduler of a fleet
# The longest wait after a failed call. A change counts as told 6 s after discovery can be reached and a drain
# leaves 2 s more (STANDING); the next call may take 3 s (``protocol.silence``), and a scheduler be held up.
LONGEST_WAIT_MS = 4500.0
LEAST_PART = 0.5  # of a wait that is certain; the rest is drawn, so that schedulers do not call in step


class DiscoverySchedule:
    """When one scheduler calls discovery. ``draw`` is a random number from 0 to 1."""

    def __init__(self, schedulers: int) -> None:
        shortest, longest = FIRST_CALL_SPREAD_MS
        self.first_call_spread = min(max(shortest, SPREAD_PER_SCHEDULER_MS * schedulers), longest)
        self._wait = min(self.first_call_spread, LONGEST_WAIT_MS)

    def first_call(self, draw: float) -> float:
        """From the start to the first call."""
        return draw * self.first_call_spread

    def call_failed(self, draw: float) -> float:
        """From a call that failed to the next one; doubles up to its bound while calls fail."""
        wait = self._wait * (LEAST_PART + (1 - LEAST_PART) * draw)
        self._wait = min(2 * self._wait, LONGEST_WAIT_MS)
        return wait

    def call_answered(self) -> None:
        """A list came: the next failure begins anew."""
        self._wait = min(self.first_call_spread, LONGEST_WAIT_MS)
