"""When a watch on the endpoint list has timed out, and when the next request follows.

One schedule for lists that are polled from discovery and lists that an agent pushes. It is notified of how
requests end and given a seed; it has neither a socket nor a clock.

Source: STANDING, 'One clock for silence': a request without its complete response is broken and has to be
made again; what it missed counts as known 6 s after it timed out, or 2 s after its wait is over, whichever is
later. PROTOCOL, 'Discovery': a watch continues where the next request comes within 0.2 s of the last
response.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

_MAX_JITTER_FACTOR = 2


@dataclass(frozen=True, slots=True)
class Backoff:
    """A pause that doubles from its minimum up to its maximum.

    Attributes:
        min_s: The first pause.
        max_s: The longest pause.
    """

    min_s: float
    max_s: float

    def next_s(self, last_s: float) -> float:
        """Return the pause after one of ``last_s``; 0 for no pause before."""
        return min(max(self.min_s, 2 * last_s), self.max_s)


@dataclass(frozen=True, slots=True)
class WatchTiming:
    """How one kind of list is requested.

    Attributes:
        wait_s: For how long discovery may wait for a change before it responds.
        response_margin_s: How much later than that its complete response may come.
        jitter_s: The range over which requests after a timeout are spread, as those of all hosts may time out
            at once.
        backoff: The pauses after rejected or broken requests.
    """

    wait_s: float
    response_margin_s: float
    jitter_s: float
    backoff: Backoff


_BACKOFF = Backoff(min_s=0.05, max_s=0.4)

POLLED_DISCOVERY = WatchTiming(wait_s=2.0, response_margin_s=1.0, jitter_s=1.0, backoff=_BACKOFF)
"""One discovery for all hosts.

What it missed counts as known 2 s after the wait, which leaves 1 s for the response and 1 s for the jitter.
The policy waits out rejected requests.
"""
LOCAL_AGENT = WatchTiming(wait_s=0.5, response_margin_s=0.25, jitter_s=0.05, backoff=_BACKOFF)
"""An agent on this machine.

Requests to it cost nothing, and what it has counts as known at once, also right after an outage in which it
did not respond; a drain leaves 2 s.
"""


class WatchTimeout:
    """Schedule of one sequence of requests, of which at most one is outstanding.

    Attributes:
        consecutive_timeouts: Number of requests in a row without their complete response.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._pause_s = 0.0
        self.consecutive_timeouts = 0

    def on_response(self) -> None:
        """Note that a request got its complete response."""
        self.consecutive_timeouts = 0
        self._pause_s = 0.0

    def on_timeout(self, timing: WatchTiming) -> float:
        """Return the seconds until the next request, after one that timed out.

        The range of the jitter doubles once, from the second timeout in a row on: guards against 200 hosts
        sending requests in step to a discovery that hangs, and against requesting too late.
        """
        self.consecutive_timeouts += 1
        jitter_factor = min(self.consecutive_timeouts, _MAX_JITTER_FACTOR)
        return self._random.random() * timing.jitter_s * jitter_factor

    def on_failure(self, timing: WatchTiming) -> float:
        """Return the seconds until the next request, after one that was rejected or cut off."""
        self._pause_s = timing.backoff.next_s(self._pause_s)
        return self._pause_s
