"""How long the event loop of a test stood still."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass

MAX_HELD_UP_S = 0.15  # for which the protocol has a scheduler allow
POLL_S = 0.01


@dataclass(slots=True)
class LoopLag:
    """The longest time by which the loop was late.

    Attributes:
        longest_s: That time.
    """

    longest_s: float = 0.0

    @property
    def allowed_for(self) -> bool:
        """Whether the loop was never held up for longer than a scheduler has to allow for."""
        return self.longest_s <= MAX_HELD_UP_S


@contextlib.asynccontextmanager
async def loop_lag() -> AsyncIterator[LoopLag]:
    """Watch the running loop; a client, a server and a busy machine share it in many tests."""
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
