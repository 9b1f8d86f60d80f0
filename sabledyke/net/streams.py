"""Streams of bytes: what drivers use of Tornado's, and what an encrypting one has to offer as well."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

READ_SIZE_BYTES = 64 * 1024  # requested of a stream at a time
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Stream(Protocol):
    """What links and clients need of a stream: Tornado's own, or one that encrypts."""

    @property
    def socket(self) -> socket.socket | None:
        """The socket underneath, None once closed."""

    def closed(self) -> bool:
        """Tell whether it cannot be used any more."""

    def close(self) -> None:
        """End it."""

    def write(self, data: bytes, /) -> asyncio.Future[None]:
        """Send; done once the kernel has accepted the last byte."""

    def read_bytes(self, num_bytes: int, *, partial: bool = ...) -> Awaitable[bytes]:
        """Return what comes, as it comes; a StreamClosedError at the end."""


async def connect(address: tuple[str, int], timeout_ms: float) -> IOStream:
    """Open a stream.

    Raises:
        StreamClosedError: The connection did not come up in time.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    stream = IOStream(socket.socket(family, socket.SOCK_STREAM), read_chunk_size=READ_SIZE_BYTES)
    timer = asyncio.get_running_loop().call_later(timeout_ms / 1000, stream.close)
    try:
        await stream.connect(address)
    except BaseException:
        stream.close()
        raise
    finally:
        timer.cancel()
    stream.set_nodelay(True)
    return stream


class ResponseMemory:
    """Memory for answers on their way, shared by all connections.

    Guards against many large answers at once, or clients that read them slowly, using up the memory.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    @property
    def full(self) -> bool:
        """Whether no more may be read."""
        return self.used_bytes > self.limit_bytes


class ReadAhead:
    """Reads a stream for a link, also while no answer is awaited.

    Guards against an unrequested answer, sent while the connection is idle: the stream would read it into its
    buffer unseen, and it would be taken for the answer to the next request.
    """

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._pending_read: asyncio.Future[bytes] | None = None
        self._on_activity: Callable[[], None] = lambda: None

    async def read(self) -> bytes:
        """Return what comes next."""
        pending = self._pending_read
        self._pending_read = None
        return await (pending or self._stream.read_bytes(READ_SIZE_BYTES, partial=True))

    def enter_idle(self, on_activity: Callable[[], None]) -> None:
        """Expect nothing; ``on_activity`` is called if something comes all the same, or the stream ends."""
        self._on_activity = on_activity
        try:
            self._pending_read = asyncio.ensure_future(self._stream.read_bytes(READ_SIZE_BYTES, partial=True))
            self._pending_read.add_done_callback(self._on_read)
        except StreamClosedError:
            asyncio.get_running_loop().call_soon(on_activity)

    def _on_read(self, read: asyncio.Future[bytes]) -> None:
        if not read.cancelled():
            read.exception()  # an end while it is idle is no fault
        self._on_activity()

    def leave_idle(self) -> bool:
        """Expect an answer, and tell whether the stream is fit for it."""
        self._on_activity = lambda: None
        return self._pending_read is not None and not self._pending_read.done() and is_silent(self._stream)


class StreamLink:
    """What links over one stream have in common; see ``link.Link``."""

    def __init__(self, stream: Stream, read_ahead: ReadAhead | None = None) -> None:
        self.stream = stream
        self.read_ahead = read_ahead or ReadAhead(stream)

    @property
    def closed(self) -> bool:
        """See ``link.Link``."""
        return bool(self.stream.closed())

    def close(self) -> None:
        """See ``link.Link``."""
        abort(self.stream)

    def enter_idle(self, on_activity: Callable[[], None]) -> None:
        """See ``link.Link``."""
        self.read_ahead.enter_idle(on_activity)

    def leave_idle(self) -> bool:
        """See ``link.Link``."""
        return self.read_ahead.leave_idle()


def is_silent(stream: Stream) -> bool:
    """Tell whether it is open, and the peer has neither sent nor ended anything that was not read.

    Guards against sending on a pooled connection whose end has arrived but was not processed: what is
    written there may have run for all that is known, and could not be sent again.
    """
    if stream.closed() or stream.socket is None:
        return False
    if not getattr(stream, "rested", True):  # what it has read already says otherwise
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def peer_closed(stream: Stream) -> bool:
    """Tell whether the peer has closed or reset its side, also behind bytes that were not read.

    Guards against forwarding a request whose client is gone while nobody reads from its connection.
    """
    if stream.closed() or stream.socket is None:
        return True
    poll = select.poll()
    poll.register(stream.socket, PEER_CLOSED_EVENTS)
    return any(events & PEER_CLOSED_EVENTS for _, events in poll.poll(0))


def stop_reading(stream: Stream) -> None:
    """Leave unread what comes on a stream, unless a write has to wait.

    A pending read ends only with the stream. Not for streams that encrypt, which read to write.
    """
    if isinstance(stream, IOStream) and not stream.closed():
        stream.io_loop.update_handler(stream.socket, IOLoop.WRITE if stream.writing() else 0)


def may_access_volume(stream: Stream, volume: int) -> bool:
    """Tell whether its peer may access a volume: each may, where nothing says who the peer is."""
    rights: frozenset[int] | None = getattr(stream, "rights", None)
    return rights is None or volume in rights


def half_close(stream: Stream) -> bool:
    """End sending but not reading; return False where the stream cannot, as one that encrypts."""
    if not isinstance(stream, IOStream) or stream.closed():
        return False
    try:
        stream.socket.shutdown(socket.SHUT_WR)
    except OSError:
        return False
    return True


def abort(stream: Stream) -> None:
    """Close a stream, whatever its state."""
    if not stream.closed():
        stream.close()


__all__ = [
    "READ_SIZE_BYTES",
    "IOStream",
    "ReadAhead",
    "ResponseMemory",
    "Stream",
    "StreamClosedError",
    "StreamLink",
    "abort",
    "connect",
    "half_close",
    "is_silent",
    "may_access_volume",
    "peer_closed",
    "stop_reading",
]
