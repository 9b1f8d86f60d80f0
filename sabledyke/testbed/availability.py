"""Availability of the members of a fleet, measured by probes of their listeners.

Probes don't consider tickets or plans: a member that does not answer is out of service.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

PROBE_INTERVAL_S = 0.025  # interval of one listener's probes in a fleet of up to MEMBERS_AT_FULL_RATE
MEMBERS_AT_FULL_RATE = 5
PROBE_TIMEOUT_S = 5.0  # all processes of a busy machine may stall for a second or two
ANSWER_BYTES = 64


@dataclass(slots=True)
class Availability:
    """Outages of one member, as its probes show them.

    Attributes:
        outages: Start and end of each outage, in order: from the first failed probe to the next answered one.
        outage_began_at: Start of the current outage; None if the member is available.
        has_answered: True if the member has answered a probe; failed probes before that are no outage.
    """

    outages: list[tuple[float, float]] = field(default_factory=list)
    outage_began_at: float | None = None
    has_answered: bool = False

    @property
    def outage_count(self) -> int:
        """Number of outages, including the current one."""
        return len(self.outages) + (self.outage_began_at is not None)

    def on_probe(self, started_at: float, *, answered: bool) -> None:
        """Record the result of a probe that was sent at ``started_at``."""
        if answered:
            self.end_outage(started_at)
            self.has_answered = True
        elif self.has_answered and self.outage_began_at is None:
            self.outage_began_at = started_at

    def end_outage(self, now: float) -> None:
        """Record the end of the current outage, if there is one."""
        if self.outage_began_at is not None:
            self.outages.append((self.outage_began_at, now))
            self.outage_began_at = None


def max_concurrent_outages(members: list[Availability], now: float) -> int:
    """Return the largest number of simultaneous outages; a current outage counts until ``now``."""
    changes: list[tuple[float, int]] = []
    for member in members:
        current = [(member.outage_began_at, now)] if member.outage_began_at is not None else []
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
    """Probe a listener and record its availability until ``is_over`` returns True."""
    interval_s = max(PROBE_INTERVAL_S, fleet_size * PROBE_INTERVAL_S / MEMBERS_AT_FULL_RATE)
    while not is_over():
        started_at = time.monotonic()
        answered = await _is_answering(port)
        availability.on_probe(started_at, answered=answered)
        await asyncio.sleep(interval_s)
    availability.end_outage(time.monotonic())


async def _is_answering(port: int) -> bool:
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
            answer = await reader.read(ANSWER_BYTES)
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in answer
