"""Timeouts of list watches, and delays before the next request.

The same schedule applies to lists polled from discovery and lists pushed by an agent. It is notified of the
results of requests and takes a seed; it uses neither sockets nor a clock.

Source: the acceptance rules, 'One clock for silence': a request without a complete response has failed and
must be repeated; the changes that it missed count as known 6 s after it timed out, or 2 s after its wait
ended, whichever is later. PROTOCOL, 'Discovery': a watch continues if the next request arrives within 0.2 s
of the last response.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

_MAX_JITTER_FACTOR = 2


@dataclass(frozen=True, slots=True)
class Backoff:
    """An exponential backoff: the pause doubles from a minimum to a maximum.

    Attributes:
        min_s: The first pause, in seconds.
        max_s: The longest pause, in seconds.
    """

    min_s: float
    max_s: float

    def next_s(self, last_s: float) -> float:
        """Return the pause that follows a pause of ``last_s`` seconds; 0 stands for none."""
        return min(max(self.min_s, 2 * last_s), self.max_s)


@dataclass(frozen=True, slots=True)
class WatchTiming:
    """Timing of the requests of one kind of list watch.

    Attributes:
        wait_s: Longest time that discovery waits for a change before it responds, in seconds.
        response_margin_s: Time after ``wait_s`` until the complete response is due, in seconds.
        jitter_s: Range of the random delay after a timeout, in seconds, as the requests of all hosts may time
            out at the same time.
        backoff: Pauses after rejected or truncated requests.
    """

    wait_s: float
    response_margin_s: float
    jitter_s: float
    backoff: Backoff


_BACKOFF = Backoff(min_s=0.05, max_s=0.4)

POLLED_DISCOVERY = WatchTiming(wait_s=2.0, response_margin_s=1.0, jitter_s=1.0, backoff=_BACKOFF)
"""Timing for one discovery service that all hosts poll.

Missed changes count as known 2 s after the wait, which leaves 1 s for the response and 1 s for the jitter.
The policy schedules the next request after a rejected one.
"""
LOCAL_AGENT = WatchTiming(wait_s=0.5, response_margin_s=0.25, jitter_s=0.05, backoff=_BACKOFF)
"""Timing for an agent on this machine.

Requests to it are cheap. Its changes count as known immediately, also right after an outage in which it did
not respond; a drain leaves 2 s to notice it.
"""


class WatchTimeout:
    """Schedule of one list watch, with at most one outstanding request.

    Attributes:
        consecutive_timeouts: Number of requests that timed out since the last complete response.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._pause_s = 0.0
        self.consecutive_timeouts = 0

    def on_response(self) -> None:
        """Record a complete response."""
        self.consecutive_timeouts = 0
        self._pause_s = 0.0

    def on_timeout(self, timing: WatchTiming) -> float:
        """Return the delay in seconds before the request that follows a timeout.

        The range of the jitter is doubled from the second consecutive timeout on, and not increased further.
        Guards against 200 hosts sending requests at the same times to an unresponsive discovery, and against
        requests that come too late.
        """
        self.consecutive_timeouts += 1
        jitter_factor = min(self.consecutive_timeouts, _MAX_JITTER_FACTOR)
        return self._random.random() * timing.jitter_s * jitter_factor

    def on_failure(self, timing: WatchTiming) -> float:
        """Return the delay in seconds before the request that follows a rejected or truncated one."""
        self._pause_s = timing.backoff.next_s(self._pause_s)
        return self._pause_s
