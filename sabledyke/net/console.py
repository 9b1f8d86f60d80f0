"""The operators' console: accepts connections, each of which carries one call and is then closed.

It reads a call, passes it to the server, writes the answer and closes the connection. It makes no decisions
for the scheduler; it only limits the number and duration of its own connections.
"""

from __future__ import annotations

import asyncio
import socket
from collections import OrderedDict
from collections.abc import Callable

from sabledyke import log
from sabledyke.net import streams
from sabledyke.net.fair_queue import FairQueue
from sabledyke.net.frontend import stream_from_socket
from sabledyke.protocol.console import MAX_CALL_BYTES, ConsoleCall, encode_answer, route
from sabledyke.protocol.http import HttpError, HttpMessage, HttpParser

MAX_CONNECTIONS = 32  # at this limit each new connection evicts the oldest
CALL_TIMEOUT_S = 2.0  # time to receive a call and send its answer


class Console:
    """All connections to the console.

    Args:
        handle_call: Carries out a call, and returns the status and body of its answer.

    Attributes:
        eviction_count: Connections closed at the limit since the count was last below half of it; only the
            first is logged.
    """

    def __init__(self, handle_call: Callable[[ConsoleCall], tuple[int, bytes]]) -> None:
        self.eviction_count = 0
        self._handle_call = handle_call
        self._fair_queue = FairQueue()
        # Streams by the task that serves each; the oldest first.
        self._connections: OrderedDict[asyncio.Task[None], streams.IOStream] = OrderedDict()

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def accept(self, sock: socket.socket, _address: object = None) -> None:
        """Serve one call on a new connection; at the limit, close the oldest connection first.

        Guards against callers that connect and send nothing: they hold a connection for ``CALL_TIMEOUT_S`` at
        most, and a new caller never waits for them.
        """
        if len(self._connections) >= MAX_CONNECTIONS:
            self._evict_oldest()
        elif len(self._connections) < MAX_CONNECTIONS // 2:
            self.eviction_count = 0
        stream = stream_from_socket(sock)
        task = asyncio.get_running_loop().create_task(self._serve(stream))
        self._connections[task] = stream
        task.add_done_callback(lambda done: self._connections.pop(done, None))

    def close(self) -> None:
        """Close all connections."""
        for task, stream in list(self._connections.items()):
            stream.close()
            task.cancel()

    def _evict_oldest(self) -> None:
        if not self.eviction_count:
            log.emit("console", f"{MAX_CONNECTIONS} console connections: each new one closes the oldest")
        self.eviction_count += 1
        task, stream = self._connections.popitem(last=False)
        stream.close()
        task.cancel()

    async def _serve(self, stream: streams.IOStream) -> None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await stream.write(await self._answer(stream))
        except (TimeoutError, streams.StreamClosedError):
            pass
        finally:
            stream.close()

    async def _answer(self, stream: streams.IOStream) -> bytes:
        try:
            message = await _read_call(stream, self._fair_queue)
            call = route(message)
        except HttpError as error:
            log.emit("console", f"a call was rejected: {error}")
            return encode_answer(error.status)
        status, body = self._handle_call(call)
        return encode_answer(status, body, head=message.method == "HEAD")


async def _read_call(stream: streams.IOStream, fair_queue: FairQueue) -> HttpMessage:
    """Return one complete call.

    Raises:
        HttpError: The call is larger than ``MAX_CALL_BYTES``, or not HTTP.
        StreamClosedError: The caller has closed the connection.
    """
    parser = HttpParser(header_names=frozenset())
    received_bytes = 0
    while True:
        data = await streams.receive(stream)
        received_bytes += len(data)
        if received_bytes > MAX_CALL_BYTES:
            raise HttpError("the call exceeds the size limit for console calls")
        parser.feed(data)
        message = await fair_queue.next_message(parser)
        if message is not None:
            return message
