"""Runs the program as a process, between scripted peers on loopback that record the bytes they receive.

This module imports no part of the program, so that renames in the program cannot change the transcripts. Each
transcript is compared with its file in ``approved/``. To approve a change of bytes, run the tests with
``APPROVE_TRANSCRIPTS=1`` and review the difference before committing it.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import sys
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any, TypeAlias

ROOT = Path(__file__).parent.parent.parent
APPROVED = Path(__file__).parent / "approved"
PIECE_INTERVAL_S = 0.05
TEST_TIMEOUT_S = 60.0  # limit of a whole test; reached only on a fault
Response: TypeAlias = bytes | None  # None: the connection is cut off without an answer
Respond: TypeAlias = Callable[[int, bytes], Awaitable[Response]]


def check_approved(name: str, text: str) -> None:
    """Compare a transcript with its approved file."""
    path = APPROVED / name
    if os.environ.get("APPROVE_TRANSCRIPTS") == "1":
        path.write_text(text)
    assert text == path.read_text(), f"{name} differs from its approved transcript"


def escape(data: bytes) -> str:
    """Return bytes as text without loss: a line feed ends a line, other control bytes are escaped."""
    text = data.decode("latin-1").encode("unicode_escape").decode().replace("\\n", "\\n\n")
    return text if not text or text.endswith("\n") else text + "\n"


def settings(**ceilings: Any) -> dict[str, Any]:
    """Return the platform's settings of a small deployment, with deadlines that a busy machine meets."""
    loaded: dict[str, Any] = json.loads((APPROVED.parent / "settings.json").read_text())
    loaded["ceilings"].update(ceilings)
    return loaded


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return a peer's response, with its Content-Length header."""
    lines = [f"HTTP/1.1 {status} Whatever", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Peer:
    """A scripted HTTP peer: records the bytes of each request, and answers with the result of ``respond``."""

    def __init__(self, name: str, respond: Respond) -> None:
        self.name, self.respond, self.port = name, respond, 0
        self.piece_bytes = 0  # size of the pieces in which answers are written; 0 to write them at once
        self.requests: list[bytes] = []
        self.arrived = asyncio.Condition()
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: *(\d+)", head)
                request = head + await reader.readexactly(int(length[1]) if length else 0)
                async with self.arrived:
                    self.requests.append(request)
                    number = len(self.requests) - 1
                    self.arrived.notify_all()
                answer = await self.respond(number, request)
                if answer is None:
                    break
                await self._write(writer, answer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _write(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        piece_bytes = self.piece_bytes or len(answer)
        for offset in range(0, len(answer), piece_bytes):
            if offset:
                await asyncio.sleep(PIECE_INTERVAL_S)
            writer.write(answer[offset : offset + piece_bytes])
            await writer.drain()

    async def wait_for(self, count: int) -> None:
        """Wait until ``count`` requests have arrived."""
        async with self.arrived:
            await self.arrived.wait_for(lambda: len(self.requests) >= count)

    def close(self) -> None:
        """Stop listening, and abort the open connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


def reserved_port() -> tuple[socket.socket, int]:
    """Return a port that is reserved for the program as long as the returned socket is open."""
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    reservation.bind(("127.0.0.1", 0))
    return reservation, int(reservation.getsockname()[1])


async def echo(_number: int, request: bytes) -> Response:
    """Answer a request with the request's body."""
    return response(200, request.partition(b"\r\n\r\n")[2])


class Deployment:
    """One scheduler process, with scripted discovery and storage nodes; node N holds shard N."""

    def __init__(
        self,
        folder: Path,
        *nodes: Respond,
        known: bool = True,
        discovery: Respond | None = None,
        config: dict[str, Any] | None = None,
        sockets: int = 256,
        memory_mb: int = 64,
        program: tuple[str, ...] = ("-m", "sabledyke"),
    ) -> None:
        self.folder, self._known, self._settings = folder, known, config or settings()
        self._sockets, self._program = sockets, program
        self._memory_mb = memory_mb
        self.nodes = [Peer(f"node{number}", respond) for number, respond in enumerate(nodes or (echo,))]
        self.discovery = Peer("discovery", discovery or self._listing_once)
        self.front = self.console = 0
        self._reservations: list[socket.socket] = []

    def listing(self, sequence: int = 1) -> dict[str, Any]:
        """Return the complete endpoint list in discovery's format."""
        common = {"site": "a", "class": "m", "health": "ready", "share": 1.0, "born_ms": 0}
        hosts = [
            {"host": node.name, "dial": f"127.0.0.1:{node.port}", "block": number, **common}
            for number, node in enumerate(self.nodes)
        ]
        return {"seq": sequence, "whole": True, "hosts": hosts}

    def listing_response(self, sequence: int = 1) -> bytes:
        """Return discovery's response with the complete endpoint list."""
        return response(200, json.dumps(self.listing(sequence)).encode())

    async def _listing_once(self, number: int, _request: bytes) -> Response:
        if number:
            await asyncio.Event().wait()
        return self.listing_response()

    async def __aenter__(self) -> Deployment:
        for peer in (*self.nodes, self.discovery):
            await peer.open()
        (first, self.front), (second, self.console) = reserved_port(), reserved_port()
        self._reservations = [first, second]
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.front}",
            "console": f"127.0.0.1:{self.console}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "1",
            "limits": {"cores": 1, "memory_mb": self._memory_mb, "sockets": self._sockets},
            "settings": self._settings,
            "known": self.listing() if self._known else None,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        self._config_path = path
        self._log = (self.folder / "stderr.txt").open("w+")
        await self._start()
        return self

    async def restart(self) -> None:
        """Kill the program with SIGKILL and start it again with the same configuration."""
        self.process.kill()
        await self.process.wait()
        await self._start()

    async def _start(self) -> None:
        environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self._program,
            cwd=ROOT,
            stderr=self._log,
            env=environment | {"GW_CONFIG": str(self._config_path)},
        )
        try:
            await self._wait_until_open(self.console)
        except BaseException:
            await self.__aexit__()
            raise

    async def _wait_until_open(self, port: int) -> None:
        while self.process.returncode is None:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
            except ConnectionError:
                await asyncio.sleep(0.01)  # it has not opened its listeners yet
                continue
            writer.close()
            return
        raise AssertionError((self.folder / "stderr.txt").read_text())

    def terminate(self) -> None:
        """Send SIGTERM to the program."""
        self.process.send_signal(signal.SIGTERM)

    async def __aexit__(self, *_: object) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        for peer in (*self.nodes, self.discovery):
            peer.close()
        for reservation in self._reservations:
            reservation.close()
        self._log.close()

    def normalised(self, data: bytes) -> bytes:
        """Replace the ports of peers, and the numbers of seconds in headers, which vary between runs."""
        for peer in (*self.nodes, self.discovery):
            data = data.replace(f"127.0.0.1:{peer.port}".encode(), f"<{peer.name}>".encode())
        return re.sub(rb"(Req-Deadline|Retry-After): \d+\.\d{3}\r", rb"\1: <seconds>\r", data)

    def transcript(self, *parts: tuple[str, bytes]) -> str:
        """Return a transcript of titles, each followed by the bytes that were sent or received."""
        return "".join(f"== {title}\n{escape(self.normalised(data))}" for title, data in parts)


async def exchange(port: int, *sent: bytes) -> bytes:
    """Send bytes on one connection, and return the bytes received until the program closes it."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.writelines(sent)
    received = await reader.read()
    writer.close()
    return received


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario, with a timeout that a busy machine meets."""

    async def bounded() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await scenario

    asyncio.run(bounded())


def request(
    method: str = "GET",
    path: str = "/api/1/2",
    *extra: str,
    ident: str = "id-1",
    body: bytes = b"",
    close: bool = False,
) -> bytes:
    """Return a client's request in the platform's format: a PUT is a write, any other method a read."""
    kind = "write" if method == "PUT" else "read"
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: front",
        f"Req-Id: {ident}",
        f"Req-Kind: {kind}",
        "Tier: gold",
    ]
    lines += ["Req-Deadline: 20.0", "IO-Info: units=1,shard=0,hosts=1", *extra]
    lines += [f"Content-Length: {len(body)}"] if body else []
    lines += ["Connection: close"] if close else []
    return "\r\n".join([*lines, "", ""]).encode() + body
