"""Turns of connections whose input takes long to parse, so that no peer keeps the event loop from others."""

from __future__ import annotations

import asyncio
from collections import deque

from sabledyke.protocol.http import HttpMessage, HttpParser

STEPS_PER_ITERATION = 2048  # lines, chunks and PDUs parsed in one iteration of the event loop without a turn


class FairQueue:
    """Connections that wait to parse further input; in each iteration of the event loop one has its slot.

    A parser pauses after a limited number of steps. Its connection then waits for a turn before the next
    ones. Connections with little input need no turn, up to a number of steps in each iteration.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._steps = 0  # steps in this iteration
        self._scheduled = False

    def count(self, steps: int) -> None:
        """Count steps of this iteration."""
        self._steps += steps
        self._schedule()

    async def begin(self) -> None:
        """Return at once while steps are left in this iteration; else wait for a slot."""
        if self._steps >= STEPS_PER_ITERATION:
            await self.wait()

    async def wait(self) -> None:
        """Wait for a turn, behind all connections that wait for one already."""
        slot: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(slot)
        self._schedule()
        await slot

    async def next_message(self, parser: HttpParser) -> HttpMessage | None:
        """Return the next message from the bytes that a parser was fed, in turns; None if it is incomplete.

        Raises:
            HttpError: The bytes are not a valid message.
        """
        await self.begin()
        message = self._parse(parser)
        while parser.paused:
            await self.wait()
            message = self._parse(parser)
        return message

    def _parse(self, parser: HttpParser) -> HttpMessage | None:
        try:
            return parser.next_message()
        finally:
            self.count(parser.steps)

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._next_iteration)

    def _next_iteration(self) -> None:
        """Begin an iteration of the event loop: the connection that has waited longest has its slot."""
        self._scheduled = False
        self._steps = 0
        while self._waiting:
            slot = self._waiting.popleft()
            if not slot.done():  # its connection may have been cancelled
                slot.set_result(None)
                break
        if self._waiting:
            self._schedule()
