"""Base class of the client connections of all protocols: their state, their time-outs and their close."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from math import inf

from sabledyke.core import Answer, ClientRequest
from sabledyke.net import streams
from sabledyke.net.close_reason import CloseReason

REQUEST_TIMEOUT_S = 2.25  # time for the first request after connecting, and for each partly received request
CLOSE_DELAY_S = 0.25  # delay between half-close and close, for the client to read its last answer

Submit = Callable[[ClientRequest, Callable[[Answer], None]], int]


def _do_nothing() -> None:
    return


class ClientConnection(ABC):
    """One connection of a client.

    Attributes:
        stream: The connection's byte stream.
        never_requested: True until the client requests its first read or write; health checks do not count.
        last_activity_s: Event loop time at which the client connected, began a request or read its last
            answer.
        finished_at_s: Event loop time at which the last answer was sent and the connection half-closed;
            infinite before.
        last_input_s: Event loop time at which the client connected or last sent bytes.
        on_closed: Called when the connection is closed.
        close_reason: Why the connection is closed; the first reason that was set counts.
    """

    def __init__(self, stream: streams.Stream) -> None:
        self.stream = stream
        self.never_requested = True
        self.last_activity_s = asyncio.get_running_loop().time()
        self.finished_at_s = inf
        self.last_input_s = self.last_activity_s
        self.on_closed: Callable[[], None] = _do_nothing
        self.close_reason: CloseReason | None = None
        self._pending_read: asyncio.Future[bytes] | None = None  # the read that ``serve`` awaits
        self._awaits_slot = False  # input that was read waits until other connections had their turn

    @property
    @abstractmethod
    def idle(self) -> bool:
        """True if no request is being received or answered."""

    @property
    @abstractmethod
    def busy(self) -> bool:
        """True if a request is accepted and its answer is not yet written to the last byte."""

    @property
    def has_unread_input(self) -> bool:
        """True if bytes, or the end of the stream, have arrived that ``serve`` has not processed.

        Guards against closing a connection with a request that was read: the stream reads bytes from the
        kernel one iteration of the event loop before ``serve`` resumes, and a check of the kernel's buffer
        alone would find nothing in between.
        """
        return self.has_unprocessed_input or not streams.is_open_without_input(self.stream)

    @property
    def has_unprocessed_input(self) -> bool:
        """True if the stream has read bytes that ``serve`` has not processed."""
        return self._awaits_slot or (self._pending_read is not None and self._pending_read.done())

    @property
    def has_unread_request(self) -> bool:
        """True if bytes have arrived that ``serve`` has not processed; an end of the stream alone is none."""
        return self.has_unprocessed_input or streams.has_input(self.stream)

    @property
    def passes_on_answer(self) -> bool:
        """True while a long answer is passed on, which may take longer than its request's deadline."""
        return False

    @property
    def partial_bytes(self) -> int:
        """Buffered bytes of a partly received request that can be rejected; 0 if there is none."""
        return 0

    @property
    def closable(self) -> bool:
        """True if it is idle without unread input, so that closing it loses no request."""
        return self.idle and not self.has_unread_input

    @property
    def settled(self) -> bool:
        """True if every request that was read is answered, to the last byte."""
        return not self.busy and not self.has_unprocessed_input

    @abstractmethod
    async def serve(self) -> None:
        """Read and answer requests until the client closes or breaks the protocol."""

    @abstractmethod
    def timeout_s(self, idle_timeout_s: float) -> float:
        """Return how long the connection may stay in its current state, in seconds; ``inf`` for no limit.

        Args:
            idle_timeout_s: The time-out between requests, in seconds.
        """

    @abstractmethod
    def on_client_disconnected(self) -> None:
        """Cancel the connection's requests, as the client can no longer receive their answers."""

    @property
    def timeout_reason(self) -> CloseReason:
        """Reason for which the connection is closed if its present state takes too long."""
        if self.busy:
            return CloseReason.UNREAD_ANSWER
        return CloseReason.IDLE if self.idle else CloseReason.PARTIAL_REQUEST

    def set_close_reason(self, reason: CloseReason) -> None:
        """Set why the connection is about to be closed, unless a reason is already set."""
        self.close_reason = self.close_reason or reason

    def on_timeout(self) -> None:
        """Close the connection, after an error answer where a request was partly received."""
        self.close()

    def close_together(self) -> None:
        """Close the connection, and all others that its client cannot use without it."""
        self.close()

    @abstractmethod
    def stop_reading(self) -> None:
        """Stop reading from the connection; requests that were read are still answered."""

    def reject_partial_request(self) -> None:  # noqa: B027 - a protocol may have nothing to do here
        """Reject a partly received request, after reading has stopped."""

    def evict(self) -> None:
        """Close the connection for a new one, after an error answer where a request was partly received."""
        self.close_together()

    def reject_for_memory(self) -> None:  # noqa: B027 - only for connections with ``partial_bytes``
        """Reject a partly received request and release its memory."""

    def finish_sending(self) -> None:
        """Close a connection whose last answer is written.

        Guards against losing that answer: if the client has sent more, a close would reset the connection
        before the client reads the answer. The connection is therefore half-closed, and closed after
        ``CLOSE_DELAY_S``. Further input stays unread: a request that is read but not answered would be lost,
        whereas the client sends an unread one again.
        """
        self.set_close_reason(CloseReason.ANSWERED)
        self.stop_reading()
        if streams.is_open_without_input(self.stream) or not streams.half_close(self.stream):
            self.close()
            return
        loop = asyncio.get_running_loop()
        self.finished_at_s = loop.time()
        loop.call_later(CLOSE_DELAY_S, self.close)

    def close(self) -> None:
        """Close the connection and cancel its requests."""
        streams.abort(self.stream)
        on_closed, self.on_closed = self.on_closed, _do_nothing  # the callback refers to this connection
        on_closed()
        self.on_client_disconnected()

    async def await_slot(self, slot: Awaitable[None]) -> None:
        """Wait for a turn to process input that was read, which counts as unprocessed meanwhile."""
        self._awaits_slot = True
        try:
            await slot
        finally:
            self._awaits_slot = False

    async def receive(self) -> bytes:
        """Return the next bytes as soon as any arrive, after other connections had their turn.

        Raises:
            StreamClosedError: The stream is closed.
        """
        # No local variable refers to the future: its exception would refer to it through this frame, and keep
        # the connection in memory until the next garbage collection.
        self._pending_read = asyncio.ensure_future(
            self.stream.read_bytes(streams.READ_SIZE_BYTES, partial=True)
        )
        try:
            if self._pending_read.done():
                await asyncio.sleep(0)
            data = await self._pending_read
            self.last_input_s = asyncio.get_running_loop().time()
            return data
        finally:
            self._pending_read = None
