"""What the client connections of all protocols have in common: their state, their time-outs and their end."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable

from sabledyke.core import Answer, ClientRequest
from sabledyke.net import streams

REQUEST_TIMEOUT_S = 2.25  # for the first request after connecting, and for each that has begun

Submit = Callable[[ClientRequest, Callable[[Answer], None]], int]


class ClientConnection(ABC):
    """One connection of a client.

    Attributes:
        stream: The connection's bytes.
        never_requested: No read or write was requested yet: the client is silent, or checks health alone.
        last_activity_s: When the client connected, began a request or read its last answer; the loop's time.
        on_closed: Called when the connection ends.
    """

    def __init__(self, stream: streams.Stream) -> None:
        self.stream = stream
        self.never_requested = True
        self.last_activity_s = asyncio.get_running_loop().time()
        self.on_closed: Callable[[], None] = lambda: None
        self._pending_read: asyncio.Future[bytes] | None = None  # what ``serve`` waits for

    @property
    @abstractmethod
    def idle(self) -> bool:
        """Whether no request is being sent or answered."""

    @property
    @abstractmethod
    def busy(self) -> bool:
        """Whether a request is accepted and not answered to its last byte."""

    @property
    def has_unread(self) -> bool:
        """Whether bytes, or the stream's end, have come that ``serve`` has not processed.

        Guards against a close over a request that was read: the stream takes bytes out of the kernel one
        iteration of the loop before ``serve`` goes on, and the kernel alone would show nothing in between.
        """
        return self.has_unprocessed or not streams.is_silent(self.stream)

    @property
    def has_unprocessed(self) -> bool:
        """Whether the stream has read bytes that ``serve`` has not processed."""
        return self._pending_read is not None and self._pending_read.done()

    @property
    def closable(self) -> bool:
        """Whether nothing is requested and nothing unread has come, so that it may be closed."""
        return self.idle and not self.has_unread

    @property
    def settled(self) -> bool:
        """Whether all that was read of it is answered, to the last byte."""
        return not self.busy and not self.has_unprocessed

    @abstractmethod
    async def serve(self) -> None:
        """Read and answer requests until the client closes or breaks the protocol."""

    @abstractmethod
    def timeout_s(self, idle_timeout_s: float) -> float:
        """Return for how long it may stay as it is, ``inf`` without a bound.

        Args:
            idle_timeout_s: The time-out between requests.
        """

    @abstractmethod
    def on_client_gone(self) -> None:
        """Give up the connection's requests: nobody is there for their answers."""

    def time_out(self) -> None:
        """Close after ``timeout_s``, and first answer where a request has begun."""
        self.close()

    def stop_reading(self) -> None:  # noqa: B027 - a protocol may have nothing to do here
        """Leave unread what comes from now on; what was read gets its answer."""

    def reject_partial_request(self) -> None:  # noqa: B027
        """Reject a request of which only a part was read, once nothing more is read."""

    def close(self) -> None:
        """End the connection."""
        streams.abort(self.stream)
        self.on_closed()
        self.on_client_gone()

    async def receive(self) -> bytes:
        """Return what comes next.

        Raises:
            StreamClosedError: The stream has ended.
        """
        read = self.stream.read_bytes(streams.READ_SIZE_BYTES, partial=True)
        self._pending_read = asyncio.ensure_future(read)
        try:
            return await self._pending_read
        finally:
            self._pending_read = None
