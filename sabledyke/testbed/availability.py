"""Which members of a fleet answer, by probes of their listeners alone.

A probe knows nothing of tickets or plans: a member that does not answer is out.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

PROBE_INTERVAL_S = 0.025  # of one listener, in a fleet of up to the next figure
MEMBERS_AT_FULL_RATE = 5
PROBE_TIMEOUT_S = 5.0  # on a busy machine all processes may stand still for a second or two
ANSWER_BYTES = 64


@dataclass(slots=True)
class Availability:
    """When one member answered, and when not.

    Attributes:
        outages: From the first failed probe to the next one that was answered, in order.
        out_since: When an outage began that is not over; None where there is none.
        was_up: Whether it has ever answered: before, it is not out yet.
    """

    outages: list[tuple[float, float]] = field(default_factory=list)
    out_since: float | None = None
    was_up: bool = False

    @property
    def outage_count(self) -> int:
        """How often it was out, an outage that is not over included."""
        return len(self.outages) + (self.out_since is not None)

    def on_probe(self, started_at: float, *, answered: bool) -> None:
        """Record a probe."""
        if answered:
            self.end_outage(started_at)
            self.was_up = True
        elif self.was_up and self.out_since is None:
            self.out_since = started_at

    def end_outage(self, now: float) -> None:
        """Record the end of an outage, if there is one."""
        if self.out_since is not None:
            self.outages.append((self.out_since, now))
            self.out_since = None


def max_out_at_once(members: list[Availability], now: float) -> int:
    """Return how many were out at the worst moment; an outage that is not over counts until ``now``."""
    changes: list[tuple[float, int]] = []
    for member in members:
        current = [(member.out_since, now)] if member.out_since is not None else []
        for begin, end in [*member.outages, *current]:
            changes += [(begin, 1), (end, -1)]
    max_out = 0
    out = 0
    for _, change in sorted(changes):
        out += change
        max_out = max(max_out, out)
    return max_out


async def probe_until(
    is_over: Callable[[], bool], port: int, availability: Availability, fleet_size: int
) -> None:
    """Probe a listener and record its availability, until it is over."""
    interval_s = max(PROBE_INTERVAL_S, fleet_size * PROBE_INTERVAL_S / MEMBERS_AT_FULL_RATE)
    while not is_over():
        started_at = time.monotonic()
        answered = await _answers(port)
        availability.on_probe(started_at, answered=answered)
        await asyncio.sleep(interval_s)
    availability.end_outage(time.monotonic())


async def _answers(port: int) -> bool:
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
            answer = await reader.read(ANSWER_BYTES)
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in answer
