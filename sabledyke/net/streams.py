"""Byte streams: the interface that Tornado's streams and encrypting streams share, and helpers for both."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Protocol

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

READ_SIZE_BYTES = 16 * 1024  # maximum size of one read; all connections may have one that is not counted yet
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Stream(Protocol):
    """Interface of the streams of links and client connections: ``IOStream`` or an encrypting stream."""

    @property
    def socket(self) -> socket.socket | None:
        """The underlying socket; None once closed."""

    @property
    def error(self) -> BaseException | None:
        """The error that ended the stream; None without one."""

    def closed(self) -> bool:
        """Return whether the stream is closed."""

    def close(self) -> None:
        """Close the stream and its socket."""

    def write(self, data: bytes, /) -> asyncio.Future[None]:
        """Send data; the future is done once the kernel has accepted the last byte."""

    def read_bytes(self, num_bytes: int, *, partial: bool = ...) -> Awaitable[bytes]:
        """Return bytes as they arrive.

        Raises:
            StreamClosedError: The stream has ended; without a ``real_error`` if the peer ended it in order,
                or if it was closed locally.
        """


async def connect(address: tuple[str, int], timeout_ms: float) -> IOStream:
    """Open a stream to an address.

    Raises:
        StreamClosedError: The connection was not established within ``timeout_ms``.
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


async def receive(stream: Stream) -> bytes:
    """Return the next bytes of a stream as soon as any arrive.

    Guards against a peer that sends at full speed: bytes that have already arrived are returned only after
    others had their turn in the event loop.

    Raises:
        StreamClosedError: The stream has ended.
    """
    read = asyncio.ensure_future(stream.read_bytes(READ_SIZE_BYTES, partial=True))
    try:
        if read.done():
            await asyncio.sleep(0)
        return await read
    finally:
        del read  # breaks a reference cycle: the exception, its traceback, this frame and the future


def _do_nothing() -> None:
    return


class ReadInterruptedError(Exception):
    """A read was interrupted before any bytes arrived; the next read continues it."""


class ReadAhead:
    """Reads a stream for a link, also while the connection is idle.

    Guards against an unrequested answer that arrives on an idle connection: the stream would buffer it
    unnoticed, and it would be served as the answer to the next request.
    """

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._pending_read: asyncio.Future[bytes] | None = None
        self._waiter: asyncio.Future[bool] | None = None  # done when the read is (True) or is interrupted
        self._on_activity: Callable[[], None] = _do_nothing

    async def read(self) -> bytes:
        """Return the next bytes as soon as any arrive, after others had their turn in the event loop.

        Raises:
            StreamClosedError: The stream has ended.
            ReadInterruptedError: ``interrupt`` was called; the read of the stream continues.
        """
        if self._pending_read is None:
            self._pending_read = asyncio.ensure_future(self._stream.read_bytes(READ_SIZE_BYTES, partial=True))
            if self._pending_read.done():
                await asyncio.sleep(0)
        pending = self._pending_read
        try:
            if not pending.done() and not await self._wait_for(pending):
                raise ReadInterruptedError
            self._pending_read = None
            return pending.result()
        finally:
            del pending  # breaks a reference cycle: the exception, its traceback, this frame and the future

    def interrupt(self) -> None:
        """End a waiting ``read`` without bytes."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(False)

    async def _wait_for(self, pending: asyncio.Future[bytes]) -> bool:
        """Return True once the pending read is done, and False if it is interrupted."""
        self._waiter = asyncio.get_running_loop().create_future()
        pending.add_done_callback(self._wake)
        try:
            return await self._waiter
        finally:
            self._waiter = None
            pending.remove_done_callback(self._wake)

    def _wake(self, _: asyncio.Future[bytes]) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(True)

    def enter_idle(self, on_activity: Callable[[], None]) -> None:
        """Enter the idle state; ``on_activity`` is called if bytes arrive in it, or the stream ends."""
        self._on_activity = on_activity
        if self._pending_read is not None:  # the idle state was left, and nothing was read
            if self._pending_read.done():
                asyncio.get_running_loop().call_soon(on_activity)
            return
        try:
            self._pending_read = asyncio.ensure_future(self._stream.read_bytes(READ_SIZE_BYTES, partial=True))
            self._pending_read.add_done_callback(self._on_read)
        except StreamClosedError:
            asyncio.get_running_loop().call_soon(on_activity)

    def _on_read(self, read: asyncio.Future[bytes]) -> None:
        if not read.cancelled():
            read.exception()  # the end of an idle stream is not an error
        self._on_activity()

    def stop_reporting(self) -> None:
        """Call ``on_activity`` no more."""
        self._on_activity = _do_nothing

    def leave_idle(self) -> bool:
        """Leave the idle state for an exchange; return whether the stream can be used."""
        self.stop_reporting()
        return (
            self._pending_read is not None
            and not self._pending_read.done()
            and is_open_without_input(self._stream)
        )


class StreamLink:
    """Base class of links over one stream; implements the idle and closed states of ``link.Link``.

    Attributes:
        stream: The connection's byte stream.
        read_ahead: Reads the stream.
        closed_locally: True once ``close`` was called, after which the end of the stream is not the peer's.
    """

    def __init__(self, stream: Stream, read_ahead: ReadAhead | None = None) -> None:
        self.stream = stream
        self.closed_locally = False
        self.read_ahead = read_ahead or ReadAhead(stream)

    @property
    def closed(self) -> bool:
        """True if the stream is closed."""
        return bool(self.stream.closed())

    @property
    def begun_answer_bytes(self) -> int | None:
        """Bytes received of an answer that has begun; None, as most protocols do not tell."""
        return None

    def pass_on_begun_answer(self) -> bool:
        """Return False, as most protocols give an answer as a whole."""
        return False

    def close(self) -> None:
        """Close the stream, even during an exchange."""
        self.closed_locally = True
        self.read_ahead.stop_reporting()  # its callback refers to the owner of this link
        abort(self.stream)

    def enter_idle(self, on_activity: Callable[[], None]) -> None:
        """Enter the idle state; ``on_activity`` is called if the peer sends bytes or closes in it."""
        self.read_ahead.enter_idle(on_activity)

    def leave_idle(self) -> bool:
        """Leave the idle state for an exchange; return whether the stream can be used."""
        return self.read_ahead.leave_idle()


def is_open_without_input(stream: Stream) -> bool:
    """Return whether the stream is open and neither bytes nor an end of stream from the peer are unread.

    Guards against sending on a pooled connection whose end has arrived but is not yet processed: a request
    that is written there has an unknown outcome, so it could not be sent again.
    """
    if stream.closed() or stream.socket is None:
        return False
    if not getattr(stream, "rested", True):  # the stream itself has buffered input or an end of stream
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def has_input(stream: Stream) -> bool:
    """Return whether bytes from the peer are unread; the end of the stream or an error alone are none."""
    if stream.closed() or stream.socket is None:
        return False
    if not getattr(stream, "rested", True):
        return True
    try:
        return bool(stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def peer_closed(stream: Stream) -> bool:
    """Return whether the peer has closed or reset its side, also behind bytes that were not read.

    Guards against forwarding a request whose client has disconnected while its connection is not being read.
    """
    if stream.closed() or stream.socket is None:
        return True
    poll = select.poll()
    poll.register(stream.socket, PEER_CLOSED_EVENTS)
    return any(events & PEER_CLOSED_EVENTS for _, events in poll.poll(0))


def stop_reading(stream: Stream) -> None:
    """Stop reading from a stream; a write that has to wait resumes reading.

    A pending read ends only with the stream. This has no effect on encrypting streams, which have to read in
    order to write.
    """
    if isinstance(stream, IOStream) and not stream.closed():
        stream.io_loop.update_handler(stream.socket, IOLoop.WRITE if stream.writing() else 0)


def may_access_volume(stream: Stream, volume: int) -> bool:
    """Return whether the peer may access a volume; without configured rights every peer may."""
    rights: frozenset[int] | None = getattr(stream, "rights", None)
    return rights is None or volume in rights


def half_close(stream: Stream) -> bool:
    """Shut down the sending side only; return False if the stream does not support it or is closed."""
    if not isinstance(stream, IOStream) or stream.closed():
        return False
    try:
        stream.socket.shutdown(socket.SHUT_WR)
    except OSError:
        return False
    return True


def reset_on_close(stream: Stream) -> None:
    """Have the close of a stream reset its connection, so that its end is no end in order."""
    prevent_orderly_end: Callable[[], None] = getattr(stream, "prevent_orderly_end", _do_nothing)
    prevent_orderly_end()
    if stream.socket is not None:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def abort(stream: Stream) -> None:
    """Close a stream if it is not closed yet, and let its memory be freed.

    The traceback of the error that ended a stream refers to the stream, which refers to the error.
    """
    if not stream.closed():
        stream.close()
    if stream.error is not None:
        stream.error.__traceback__ = None


__all__ = [
    "READ_SIZE_BYTES",
    "IOStream",
    "ReadAhead",
    "ReadInterruptedError",
    "Stream",
    "StreamClosedError",
    "StreamLink",
    "abort",
    "connect",
    "half_close",
    "has_input",
    "is_open_without_input",
    "may_access_volume",
    "peer_closed",
    "receive",
    "reset_on_close",
    "stop_reading",
]
