"""A client's connection, moved on step by step, so that a test can act between two of them.

The program runs in the test's own event loop: between two of the test's iterations it stands still. Nothing
here waits for a time; what is not reached fails by the limit of ``play``.
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
HALF_SIZE = 20  # bytes of a request


class Step(Enum):
    """How far a request has come."""

    CONNECTED = "the connection is accepted, nothing is read"
    HALF = "half of the request is read and parsed"
    ARRIVED = "the complete request is in the kernel, nothing is read"
    READ = "the stream has read the complete request, the program has not parsed it"
    IN_WORK = "a storage node has received it"
    ANSWERED = "its answer is written"


_numbers = itertools.count()


async def until(holds: Callable[[], object]) -> None:
    """Let the program run, one iteration of the loop at a time, until it holds."""
    while not holds():
        await asyncio.sleep(0)


def request(number: object = 1) -> bytes:
    """Return a read as a client sends it."""
    return GET.format(1, f"id-{number}", INFO).replace("\n", "\r\n").encode()


class Line:
    """A client's connection.

    Attributes:
        rig: The server.
        socket: The client's socket.
        client: What the program has for the connection.
        number: The connection's own number, for request identifiers.
        asked: Set once the storage node has the request.
        go: To be set to have the storage node answer.
    """

    def __init__(self, rig: Rig, sock: socket.socket, client: ClientConnection) -> None:
        self.rig = rig
        self.socket = sock
        self.client = client
        self.number = next(_numbers)
        self.arrived, self.release = hold_answers(rig)

    @classmethod
    async def open(cls, rig: Rig) -> Line:
        """Connect, and have one request answered, so that the connection is idle between requests."""
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
        """Send a request, and let the program run until it has come so far."""
        if step is Step.CONNECTED:
            return
        data = request(f"{self.number}-second")
        self.socket.sendall(data[:HALF_SIZE] if step is Step.HALF else data)
        if step is Step.HALF:
            await until(lambda: not self.client.idle)
        elif step is Step.READ:
            # The stream's read ends in the iteration before ``serve`` goes on; this task wakes ahead of it.
            await until(lambda: self.client.has_unprocessed_input)
        elif step in (Step.IN_WORK, Step.ANSWERED):
            await self.arrived.wait()
        if step is Step.ANSWERED:
            self.release.set()
            await until(lambda: not self.client.busy)

    async def answer(self) -> bytes:
        """Return what the client gets: an answer, or nothing where the connection ends before one."""
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
