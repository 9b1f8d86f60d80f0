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
from tests.support.server_rig import GET, INFO, Rig, held_back


class Step(Enum):
    """How far a request has come."""

    CONNECTED = "the connection is accepted, nothing is read"
    HALF = "half of the request is read and looked at"
    ARRIVED = "the whole request is in the kernel, nothing is read"
    READ = "the stream has read the whole request, the program has not looked at it"
    IN_WORK = "a storage node holds it"
    ANSWERED = "its answer is written"


_numbers = itertools.count()


async def until(holds: Callable[[], object]) -> None:
    """Let the program run, one turn of the loop at a time, until it holds."""
    while not holds():
        await asyncio.sleep(0)


def request(number: object = 1) -> bytes:
    """A read, as a client sends it."""
    return GET.format(1, f"id-{number}", INFO).replace("\n", "\r\n").encode()


class Line:
    """A client's connection: its socket, and what the program has for it."""

    def __init__(self, rig: Rig, sock: socket.socket, client: ClientConnection) -> None:
        self.rig, self.socket, self.client = rig, sock, client
        self.number = next(_numbers)
        self.asked, self.go = held_back(rig)

    @classmethod
    async def open(cls, rig: Rig) -> Line:
        """Connect, and have one request answered: it is a connection that rests between requests."""
        front = rig.server.fronts[0]
        known = set(front.clients)
        sock = socket.create_connection(("127.0.0.1", rig.port))
        sock.setblocking(False)
        await until(lambda: set(front.clients) - known)
        line = cls(rig, sock, (set(front.clients) - known).pop())
        line.go.set()
        sock.sendall(request(f"{line.number}-first"))
        assert (await line.answer()).startswith(b"HTTP/1.1 200")
        await until(lambda: line.client.closable)
        line.asked, line.go = held_back(rig)
        return line

    async def reach(self, step: Step) -> None:
        """Send a request, and let the program run until it has come so far."""
        if step is Step.CONNECTED:
            return
        whole = request(f"{self.number}-second")
        self.socket.sendall(whole[:20] if step is Step.HALF else whole)
        if step is Step.HALF:
            await until(lambda: not self.client.idle)
        elif step is Step.READ:
            # The stream's read ends in the turn before ``serve`` goes on; this task is woken ahead of it.
            await until(lambda: self.client.has_unprocessed)
        elif step in (Step.IN_WORK, Step.ANSWERED):
            await self.asked.wait()
        if step is Step.ANSWERED:
            self.go.set()
            await until(lambda: not self.client.busy)

    async def answer(self) -> bytes:
        """What the client gets: an answer, or nothing where the connection ends before one."""
        loop, said = asyncio.get_running_loop(), b""
        while not said.endswith((b"\r\n\r\n", b"late")):
            try:
                data = await loop.sock_recv(self.socket, 65536)
            except ConnectionResetError:
                break
            if not data:
                break
            said += data
        return said

    def close(self) -> None:
        """The client goes."""
        self.socket.close()
