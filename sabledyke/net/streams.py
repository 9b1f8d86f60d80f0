"""What all drivers need of Tornado's streams."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

READ_SIZE_BYTES = 64 * 1024  # bytes asked of a stream at a time
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Stream(Protocol):
    """What links and clients need of a stream: Tornado's own, or one that encrypts."""

    @property
    def socket(self) -> socket.socket | None:
        """The socket underneath, None once closed."""

    def closed(self) -> bool:
        """It cannot be used any more."""

    def close(self) -> None:
        """End it."""

    def write(self, data: bytes, /) -> asyncio.Future[None]:
        """Send; done once the kernel has taken the last byte."""

    def read_bytes(self, num_bytes: int, partial: bool = ...) -> Awaitable[bytes]:
        """What comes, as it comes; a StreamClosedError at the end."""


async def connect(address: tuple[str, int], timeout_ms: float) -> IOStream:
    """An open stream; a StreamClosedError where it does not come up in time."""
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

    Guards against many large answers at once, or clients that take them in slowly, using up the memory.
    """

    def __init__(self, size: int) -> None:
        self.limit_bytes, self.used_bytes = size, 0

    @property
    def full(self) -> bool:
        """No more may be taken in."""
        return self.used_bytes > self.limit_bytes


class ReadAhead:
    """Reads a stream for a link, also while no answer is awaited.

    Guards against an answer that was not asked for, sent while the connection rests: the stream would take
    it into its buffer, where it looks like nothing, and it would be read as the answer to the next request.
    """

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._pending_read: asyncio.Future[bytes] | None = None
        self._on_activity: Callable[[], None] = lambda: None

    async def read(self) -> bytes:
        """What comes next."""
        ahead, self._pending_read = self._pending_read, None
        return await (ahead or self._stream.read_bytes(READ_SIZE_BYTES, partial=True))

    def enter_idle(self, heard: Callable[[], None]) -> None:
        """Nothing is to come from now on; ``heard`` is called if it does, or if the stream ends."""
        self._on_activity = heard
        try:
            self._pending_read = asyncio.ensure_future(self._stream.read_bytes(READ_SIZE_BYTES, partial=True))
            self._pending_read.add_done_callback(self._on_read)
        except StreamClosedError:
            asyncio.get_running_loop().call_soon(heard)

    def _on_read(self, ahead: asyncio.Future[bytes]) -> None:
        if not ahead.cancelled():
            ahead.exception()  # an end while it rests is nobody's fault
        self._on_activity()

    def leave_idle(self) -> bool:
        """An answer is to come next; whether the stream is fit for it."""
        self._on_activity = lambda: None
        return self._pending_read is not None and not self._pending_read.done() and is_silent(self._stream)


class StreamLink:
    """What links that stand on one stream have in common; see ``pool.Link``."""

    def __init__(self, stream: Stream, inbox: ReadAhead | None = None) -> None:
        self.stream, self.read_ahead = stream, inbox or ReadAhead(stream)

    @property
    def closed(self) -> bool:
        """See ``pool.Link``."""
        return bool(self.stream.closed())

    def close(self) -> None:
        """See ``pool.Link``."""
        abort(self.stream)

    def enter_idle(self, heard: Callable[[], None]) -> None:
        """See ``pool.Link``."""
        self.read_ahead.enter_idle(heard)

    def leave_idle(self) -> bool:
        """See ``pool.Link``."""
        return self.read_ahead.leave_idle()


def is_silent(stream: Stream) -> bool:
    """Open, and the peer has neither said nor ended anything that was not read yet.

    Guards against sending on a pooled connection whose end has arrived but was not looked at: what is
    written there may have run for all we know, and could not be sent again.
    """
    if stream.closed() or stream.socket is None:
        return False
    if not getattr(stream, "rested", True):  # what it has taken in already says otherwise
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def peer_closed(stream: Stream) -> bool:
    """Whether the peer has closed or reset its side, also behind bytes that were not read yet.

    Guards against sending on a request whose client has gone while nobody looked at its connection.
    """
    if stream.closed() or stream.socket is None:
        return True
    poll = select.poll()
    poll.register(stream.socket, PEER_CLOSED_EVENTS)
    return any(events & PEER_CLOSED_EVENTS for _, events in poll.poll(0))


def stop_reading(stream: Stream) -> None:
    """Have the loop look no more at what comes on a stream: it stays unread, unless a write has to wait.

    A pending read ends only with the stream. Not for streams that encrypt, which read to write.
    """
    if isinstance(stream, IOStream) and not stream.closed():
        stream.io_loop.update_handler(stream.socket, IOLoop.WRITE if stream.writing() else 0)


def may_access_volume(stream: Stream, volume: int) -> bool:
    """Whether who speaks through it may touch a volume: all may, where nothing says who they are."""
    rights: frozenset[int] | None = getattr(stream, "rights", None)
    return rights is None or volume in rights


def half_close(stream: Stream) -> bool:
    """End sending but not reading; False where the stream cannot, as one that encrypts."""
    if not isinstance(stream, IOStream) or stream.closed():
        return False
    try:
        stream.socket.shutdown(socket.SHUT_WR)
    except OSError:
        return False
    return True


def abort(stream: Stream) -> None:
    """Close, whatever state it is in."""
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
