"""What all drivers need of Tornado's streams."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

READ = 64 * 1024  # bytes asked of a stream at a time


async def connect(address: tuple[str, int], timeout_ms: float) -> IOStream:
    """An open stream; a StreamClosedError where it does not come up in time."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    stream = IOStream(socket.socket(family, socket.SOCK_STREAM), read_chunk_size=READ)
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


class Room:
    """Memory for answers on their way, shared by all connections.

    Guards against many large answers at once, or clients that take them in slowly, using up the memory.
    """

    def __init__(self, size: int) -> None:
        self.size, self.used = size, 0

    @property
    def full(self) -> bool:
        """No more may be taken in."""
        return self.used > self.size


class Inbox:
    """Reads a stream for a link, also while no answer is awaited.

    Guards against an answer that was not asked for, sent while the connection rests: the stream would take
    it into its buffer, where it looks like nothing, and it would be read as the answer to the next request.
    """

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._ahead: asyncio.Future[bytes] | None = None
        self._heard: Callable[[], None] = lambda: None

    async def read(self) -> bytes:
        """What comes next."""
        ahead, self._ahead = self._ahead, None
        return await (ahead or self._stream.read_bytes(READ, partial=True))

    def rest(self, heard: Callable[[], None]) -> None:
        """Nothing is to come from now on; ``heard`` is called if it does, or if the stream ends."""
        self._heard = heard
        try:
            self._ahead = asyncio.ensure_future(self._stream.read_bytes(READ, partial=True))
            self._ahead.add_done_callback(lambda _: self._heard())
        except StreamClosedError:
            asyncio.get_running_loop().call_soon(heard)

    def wake(self) -> bool:
        """An answer is to come next; whether the stream is fit for it."""
        self._heard = lambda: None
        return self._ahead is not None and not self._ahead.done() and quiet(self._stream)


class StreamLink:
    """What links that stand on one stream have in common; see ``pool.Link``."""

    def __init__(self, stream: IOStream, inbox: Inbox | None = None) -> None:
        self.stream, self.inbox = stream, inbox or Inbox(stream)

    @property
    def closed(self) -> bool:
        """See ``pool.Link``."""
        return bool(self.stream.closed())

    def close(self) -> None:
        """See ``pool.Link``."""
        abort(self.stream)

    def rest(self, heard: Callable[[], None]) -> None:
        """See ``pool.Link``."""
        self.inbox.rest(heard)

    def wake(self) -> bool:
        """See ``pool.Link``."""
        return self.inbox.wake()


def quiet(stream: IOStream) -> bool:
    """Open, and the peer has neither said nor ended anything that was not read yet.

    Guards against sending on a pooled connection whose end has arrived but was not looked at: what is
    written there may have run for all we know, and could not be sent again.
    """
    if stream.closed() or stream.socket is None:
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def abort(stream: IOStream) -> None:
    """Close, whatever state it is in."""
    if not stream.closed():
        stream.close()


__all__ = [
    "READ", "IOStream", "Inbox", "Room", "StreamClosedError", "StreamLink", "abort", "connect", "quiet",
]  # fmt: skip
