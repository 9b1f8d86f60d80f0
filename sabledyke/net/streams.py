"""What all drivers need of Tornado's streams."""

from __future__ import annotations

import asyncio
import socket

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


__all__ = ["READ", "IOStream", "StreamClosedError", "abort", "connect", "quiet"]
