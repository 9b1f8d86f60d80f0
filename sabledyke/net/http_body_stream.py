"""The body of a long HTTP response of a storage node, which is read in parts while it is passed on."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from sabledyke.errors import AnswerBrokenError
from sabledyke.net.fair_queue import FairQueue
from sabledyke.net.http_responses import complete_at_end
from sabledyke.net.memory_budget import MemoryUse
from sabledyke.net.streams import StreamClosedError
from sabledyke.protocol.http import HttpError, HttpParser

STALL_TIMEOUT_S = 5.0  # time without a byte after which the answer counts as broken
UNUSED_TIMEOUT_S = 10.0  # time within which the first fragment must be read


def _ignore_end(_reusable: bool) -> None:
    return


class HttpBodyStream:
    """Reads the rest of a response; implements ``core.BodyStream``.

    The node's next bytes are read only when the reader asks for them, so that a slow reader slows the node
    down, and at most one read is held in memory.

    Attributes:
        length_bytes: Length of the whole body; None if the node did not state it.
        on_end: Called once, with whether the connection can carry another request.
    """

    def __init__(
        self,
        parser: HttpParser,
        read: Callable[[], Awaitable[bytes]],
        fair_queue: FairQueue,
        use: MemoryUse,
        is_closed_locally: Callable[[], bool],
    ) -> None:
        """Take over a response whose head is complete.

        Args:
            parser: The parser that received the response so far.
            read: Reads the next bytes of the connection.
            fair_queue: Turns of the connections to process their input.
            use: The memory that the response uses.
            is_closed_locally: Returns whether this process has closed the connection.
        """
        self.length_bytes = parser.missing_body_bytes
        self.on_end: Callable[[bool], None] = _ignore_end
        self._parser = parser
        self._read = read
        self._fair_queue = fair_queue
        self._use = use
        self._is_closed_locally = is_closed_locally
        self._finished = False
        self._closed = False  # ``close`` was called before the end of the body
        self._unused_timer = asyncio.get_running_loop().call_later(UNUSED_TIMEOUT_S, self.close)

    async def read(self) -> bytes:
        """Return the next fragment as soon as it arrives, and empty bytes at the end of the body.

        Raises:
            AnswerBrokenError: The node broke off its answer, violated HTTP, or gave nothing for
                ``STALL_TIMEOUT_S``; or the answer was closed before its end.
        """
        self._unused_timer.cancel()
        try:
            while not self._finished:
                fragment = await self._parse_available() or await self._receive()
                if fragment:
                    return fragment
        except (StreamClosedError, HttpError, TimeoutError) as error:
            self.close()
            reason = repr(getattr(error, "real_error", None) or error)
            raise AnswerBrokenError(f"a long answer was broken off: {reason}") from None
        if self._closed:
            raise AnswerBrokenError("a long answer was broken off: it was closed")
        return b""

    def close(self) -> None:
        """Stop the answer and close its connection; after its end this has no effect."""
        self._closed = self._closed or not self._finished
        self._finish(reusable=False)

    async def _parse_available(self) -> bytes:
        """Return what has arrived of the body; empty bytes if more has to be received."""
        message = await self._fair_queue.next_message(self._parser)
        if message is not None:
            self._finish(reusable=message.keep_alive and self._parser.idle)
            return message.body
        fragment = self._parser.read_body_fragment()
        self._use.set(self._parser.buffered_bytes + len(fragment))
        return fragment

    async def _receive(self) -> bytes:
        """Feed the parser with the next bytes; return the rest of a body that the end of the stream ends."""
        if self._finished:
            return b""
        try:
            async with asyncio.timeout(STALL_TIMEOUT_S):
                data = await self._read()
        except StreamClosedError as end:
            message = complete_at_end(self._parser, end, closed_locally=self._is_closed_locally())
            self._finish(reusable=False)
            return message.body
        self._parser.feed(data)
        return b""

    def _finish(self, *, reusable: bool) -> None:
        if self._finished:
            return
        self._finished = True
        self._unused_timer.cancel()
        self._use.set(0)
        on_end, self.on_end = self.on_end, _ignore_end
        on_end(reusable)
