"""The thin driver of the operators' console: its own connections, one call each, answered and closed.

It reads a call, hands it to ``calls`` (the server's), writes what that returns and closes. It decides
nothing about the scheduler; its only bounds are on its own connections.
"""

from __future__ import annotations

import asyncio
import socket
from collections import OrderedDict
from collections.abc import Callable

from sabledyke import log
from sabledyke.net import streams
from sabledyke.net.frontend import accepted
from sabledyke.protocol.console import MAX_CALL_BYTES, ConsoleCall, encode_answer, route
from sabledyke.protocol.http import HttpError, HttpMessage, HttpParser

MOST = 32  # connections of the console at a time; at the bound the oldest makes room
PATIENCE = 2.0  # seconds for a call to come in whole and its answer to be taken


class Console:
    """All connections to the console."""

    def __init__(self, calls: Callable[[ConsoleCall], tuple[int, bytes]]) -> None:
        self._calls = calls
        self._open: OrderedDict[asyncio.Task[None], streams.IOStream] = OrderedDict()  # the oldest first
        self.told = 0  # log lines said about the bound: one, until it is no longer reached

    def accept(self, sock: socket.socket, _address: object = None) -> None:
        """Serve a call; the oldest connection makes room where there are too many.

        Guards against callers that connect and say nothing: they hold a place for 2 s at most, and a new
        caller never waits for them.
        """
        if len(self._open) >= MOST:
            if not self.told:
                log.emit("console", f"{MOST} console connections: the oldest is closed for each new one")
            self.told += 1
            task, stream = self._open.popitem(last=False)
            stream.close()
            task.cancel()
        elif len(self._open) < MOST // 2:
            self.told = 0
        stream = accepted(sock)
        task = asyncio.get_running_loop().create_task(self._serve(stream))
        self._open[task] = stream
        task.add_done_callback(lambda t: self._open.pop(t, None))

    async def _serve(self, stream: streams.IOStream) -> None:
        try:
            async with asyncio.timeout(PATIENCE):
                await stream.write(await self._answer(stream))
        except (TimeoutError, streams.StreamClosedError):
            pass
        finally:
            stream.close()

    async def _answer(self, stream: streams.IOStream) -> bytes:
        try:
            message = await _read(stream)
            call = route(message)
        except HttpError as fault:
            log.emit("console", f"a call was turned down: {fault}")
            return encode_answer(fault.status)
        status, body = self._calls(call)
        return encode_answer(status, body, head=message.method == "HEAD")

    def close(self) -> None:
        """End all connections."""
        for task, stream in list(self._open.items()):
            stream.close()
            task.cancel()


async def _read(stream: streams.IOStream) -> HttpMessage:
    """One whole call; an HttpError for what is wrong with it, a StreamClosedError where the caller leaves."""
    parser, held = HttpParser(), 0
    while True:
        data = await stream.read_bytes(MAX_CALL_BYTES, partial=True)
        held += len(data)
        if held > MAX_CALL_BYTES:
            raise HttpError("a call larger than any call")
        parser.feed(data)
        message = parser.next_message()
        if message is not None:
            return message
