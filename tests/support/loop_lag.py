"""Measurement of how long the event loop of a test was blocked."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass

MAX_LOOP_LAG_S = 0.15  # the delay of the event loop that the protocol requires a scheduler to tolerate
POLL_S = 0.01


@dataclass(slots=True)
class LoopLag:
    """The longest delay of the event loop so far.

    Attributes:
        longest_s: The delay, in seconds, by which the loop ran its most delayed timer.
    """

    longest_s: float = 0.0

    @property
    def is_within_limit(self) -> bool:
        """True if no delay exceeded the one that a scheduler has to tolerate."""
        return self.longest_s <= MAX_LOOP_LAG_S


@contextlib.asynccontextmanager
async def loop_lag() -> AsyncIterator[LoopLag]:
    """Measure delays of the running loop, which tests often share between clients and server."""
    lag = LoopLag()
    loop = asyncio.get_running_loop()

    async def watch() -> None:
        while True:
            due_s = loop.time() + POLL_S
            await asyncio.sleep(POLL_S)
            lag.longest_s = max(lag.longest_s, loop.time() - due_s)

    task = loop.create_task(watch())
    try:
        yield lag
    finally:
        task.cancel()
