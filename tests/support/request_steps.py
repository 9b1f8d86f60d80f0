"""A client connection that a test advances step by step, to act between two steps of a request.

The program runs in the test's own event loop, so it makes no progress while the test's code runs. Nothing
here waits for a fixed time; a step that is never reached fails by the timeout of ``play``.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable
from enum import Enum

from sabledyke.net.client_connection import ClientConnection
from tests.support.server_rig import GET, INFO, Rig, hold_answers

READ_SIZE = 65536
HALF_SIZE = 20  # bytes of an incomplete request


class Step(Enum):
    """A stage in the processing of a request."""

    CONNECTED = "the connection is accepted, nothing is read"
    HALF = "half of the request is read and parsed"
    ARRIVED = "the complete request is in the kernel, nothing is read"
    READ = "the stream has read the complete request, the program has not parsed it"
    IN_WORK = "a storage node has received it"
    ANSWERED = "its answer is written"


_numbers = itertools.count()


async def until(condition: Callable[[], object]) -> None:
    """Run the event loop, one iteration at a time, until the condition holds."""
    while not condition():
        await asyncio.sleep(0)


def request(number: object = 1) -> bytes:
    """Return the bytes of a client's read request."""
    return GET.format(1, f"id-{number}", INFO).replace("\n", "\r\n").encode()


class SteppedConnection:
    """A client connection to the server under test.

    Attributes:
        rig: The server under test.
        socket: The client's socket.
        client: The program's object for this connection.
        number: A unique number of the connection, used in request identifiers.
        arrived: Set once the storage node has received the request.
        release: Set by the test to have the storage node respond.
    """

    def __init__(self, rig: Rig, sock: socket.socket, client: ClientConnection) -> None:
        self.rig = rig
        self.socket = sock
        self.client = client
        self.number = next(_numbers)
        self.arrived, self.release = hold_answers(rig)

    @classmethod
    async def open(cls, rig: Rig) -> SteppedConnection:
        """Connect and complete one request, so that the connection is idle between requests."""
        clients = rig.server.frontends[0].clients
        known = set(clients)
        sock = socket.create_connection(("127.0.0.1", rig.port))
        sock.setblocking(False)
        await until(lambda: set(clients) - known)
        line = cls(rig, sock, (set(clients) - known).pop())
        line.release.set()
        sock.sendall(request(f"{line.number}-first"))
        assert (await line.answer()).startswith(b"HTTP/1.1 200")
        await until(lambda: line.client.closable)
        line.arrived, line.release = hold_answers(rig)
        return line

    async def reach(self, step: Step) -> None:
        """Send a request, and run the program until the request has reached this step."""
        if step is Step.CONNECTED:
            return
        data = request(f"{self.number}-second")
        self.socket.sendall(data[:HALF_SIZE] if step is Step.HALF else data)
        if step is Step.HALF:
            await until(lambda: not self.client.idle)
        elif step is Step.READ:
            # The stream's read completes one iteration before ``serve`` resumes; this task wakes in between.
            await until(lambda: self.client.has_unprocessed_input)
        elif step in (Step.IN_WORK, Step.ANSWERED):
            await self.arrived.wait()
        if step is Step.ANSWERED:
            self.release.set()
            await until(lambda: not self.client.busy)

    async def answer(self) -> bytes:
        """Return the bytes that the client receives; empty if the connection ends before an answer."""
        loop = asyncio.get_running_loop()
        received = b""
        while not received.endswith((b"\r\n\r\n", b"late")):
            try:
                data = await loop.sock_recv(self.socket, READ_SIZE)
            except ConnectionResetError:
                break
            if not data:
                break
            received += data
        return received

    def close(self) -> None:
        """Close the client's socket."""
        self.socket.close()
