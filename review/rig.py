"""Small stand-ins for the cases 6 to 10: discovery, storage nodes, clients, and a scheduler as a process.

All of them live on loopback addresses. The scheduler is started with ``run`` of ``deploy/balancer.toml``.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import secrets
import shutil
import signal
import socket
import ssl
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
VOLUME = "00000003b4d60021"


class Record:
    """What was sent, answered and run, in the order of time; written to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._began = time.monotonic()
        self._lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        self._lines.append(f"{time.monotonic() - self._began:8.3f} {text}")

    def count(self, text: str) -> int:
        """Return the number of lines that contain a text."""
        return sum(text in line for line in self._lines)

    def write(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")


def free_port() -> int:
    """Return a port that nobody listens at."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@dataclass
class Message:
    """A request or an answer as it was read; ``first`` is its first line."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message that states its length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first, headers, body)


def answer(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return an answer as bytes."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as a proxy or a network does; the peer's next read fails with ECONNRESET."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


Handler = Callable[[Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Service:
    """A server on a free loopback port that passes each request of a connection to ``handle``."""

    def __init__(self, handle: Handler, ssl_context: ssl.SSLContext | None = None) -> None:
        self.handle = handle
        self.port = 0
        self._ssl_context = ssl_context
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 20, ssl=self._ssl_context
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self.handle(await read_message(reader), reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Discovery(Service):
    """Answers with the whole list, and watches with the changes since."""

    def __init__(self) -> None:
        super().__init__(self._answer)
        self.sequence = 1
        self.hosts: list[dict[str, Any]] = []
        self._changed = asyncio.Event()

    def add(self, name: str, port: int, shard: int, host: str = "127.0.0.1") -> None:
        """List a storage node."""
        entry = {"host": name, "dial": f"{host}:{port}", "site": "room-a", "class": "large", "block": shard}
        self.hosts.append(entry | {"health": "ready", "share": 1.0, "born_ms": 0})

    def listing(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"seq": self.sequence, "whole": True, "hosts": self.hosts}

    async def _answer(self, call: Message, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = call.first.split()[1]
        if "since=" in target:
            since = int(target.split("since=")[1].split("&")[0])
            wait_s = int(target.split("timeout_ms=")[1]) / 1000
            if since >= self.sequence:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), wait_s)
            if since >= self.sequence:
                nothing = {"seq": self.sequence, "whole": False, "hosts": []}
                writer.write(answer(200, json.dumps(nothing).encode()))
                return
        writer.write(answer(200, json.dumps(self.listing()).encode()))


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: a safe read class and a keyed write class of a cell."""
    example = json.loads((ROOT / "deploy" / "config.example.json").read_text(encoding="utf-8"))
    found: dict[str, Any] = copy.deepcopy(example["settings"])
    read, write = found["profiles"]
    read |= {"name": "lettura", "aim": 750.0, "hard_limit": 5000.0, "window": 5000.0}
    write |= {"name": "scontrino", "aim": 1000.0, "hard_limit": 6000.0, "window": 6000.0, "group": "cell"}
    found["grades"][0] |= {"usual_rate": 200.0, "floor_rate": 200.0}
    return found | changes


class Scheduler:
    """The real program in a process of its own; it keeps its addresses and files over restarts."""

    def __init__(
        self,
        record: Record,
        discovery: Discovery,
        found: dict[str, Any],
        operator: str = "",
        name: str = "n0",
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.name = name
        self.port = free_port()
        self.console = free_port()
        self.memory_mb = 192
        self.settings = found
        self.process: asyncio.subprocess.Process | None = None
        self._record = record
        self._discovery = discovery
        self._operator = self.folder / "operator.toml" if operator else None
        if self._operator is not None:
            self._operator.write_text(operator.replace("FOLDER", str(self.folder)), encoding="utf-8")

    def write_config(self) -> None:
        """Write the configuration, whole, with the settings as they are now."""
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self._discovery.port}",
            "console": f"127.0.0.1:{self.console}",
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": 1024},
            "known": self._discovery.listing(),
            "settings": self.settings,
        }
        new = self.folder / "config.new"
        new.write_text(json.dumps(config), encoding="utf-8")
        new.replace(self.folder / "config.json")

    async def start(self) -> None:
        """Start the program by the deploy file, and wait until it is healthy."""
        self.write_config()
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        command = deploy["run"] + (f" serve --operator {self._operator}" if self._operator else "")
        environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environment |= {"GW_CONFIG": str(self.folder / "config.json"), "GW_NAME": self.name}
        with (self.folder / "log.txt").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        until = time.monotonic() + 20
        while time.monotonic() < until:
            if self.process.returncode is not None:
                break
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                healthy = (await read_message(reader)).status == 200
                writer.close()
                if healthy:
                    self._record.add(f"scheduler {self.name} is ready, process {self.process.pid}")
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"the scheduler did not start: {self.log()[-500:]}")

    def send(self, which: signal.Signals) -> None:
        """Send a signal to the program."""
        assert self.process is not None
        self._record.add(f"{which.name} to the scheduler {self.name}")
        self.process.send_signal(which)

    async def wait(self, seconds: float) -> int | None:
        """Wait for the end of the program; None if it does not end in time."""
        assert self.process is not None
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.process.wait(), seconds)
        return self.process.returncode

    def log(self) -> str:
        """Return the program's log."""
        path = self.folder / "log.txt"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""

    async def end(self) -> None:
        """Kill the program if it runs, keep its log in the record, and remove its files."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for line in self.log().splitlines():
            self._record.add(f"log of {self.name}: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


@dataclass
class Sent:
    """A client's request and its fate: a status, or "closed" or "silent" without a whole answer."""

    ident: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    fate: str = ""
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


def request_bytes(
    ident: str, kind: str, shard: int, deadline_s: float, piece: int, body: bytes = b"", key: str = ""
) -> bytes:
    """Return a client's request as bytes."""
    method = "PUT" if body else "GET"
    lines = [
        f"{method} /api/{VOLUME}/{piece:016x} HTTP/1.1",
        "Host: service.internal",
        f"Req-Id: {ident}",
        f"Req-Kind: {kind}",
        "Tier: base",
        f"Req-Deadline: {deadline_s:.3f}",
        f"IO-Info: units=1,shard={shard},hosts=1",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Client:
    """A client's connection, which is kept as long as the scheduler keeps it."""

    def __init__(self, port: int, record: Record) -> None:
        self._port = port
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def connected(self) -> bool:
        """True while the scheduler has not ended the connection."""
        return self._reader is not None and not self._reader.at_eof()

    async def connect(self) -> None:
        """Open the connection."""
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port, limit=1 << 20)

    async def ask(self, ident: str, data: bytes, wait_s: float) -> Sent:
        """Send a request and wait for its fate."""
        assert self._reader is not None
        assert self._writer is not None
        sent = Sent(ident, sent_at=time.monotonic())
        try:
            self._writer.write(data)
            got = await asyncio.wait_for(read_message(self._reader), wait_s)
            sent.fate, sent.body, sent.headers = str(got.status), got.body, got.headers
        except TimeoutError:
            sent.fate = "silent"
        except (asyncio.IncompleteReadError, ConnectionError):
            sent.fate = "closed"
        sent.ended_at = time.monotonic()
        self._record.add(f"client {ident}: {sent.fate} after {sent.ended_at - sent.sent_at:.3f} s")
        if sent.fate in ("closed", "silent") or sent.headers.get("connection") == "close":
            self.close()
        return sent

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def serve_nodes(discovery: Discovery, handlers: list[Handler]) -> list[Service]:
    """Open discovery and a node for each handler; each node holds a shard of its own."""
    await discovery.open()
    nodes = [Service(handler) for handler in handlers]
    for shard, node in enumerate(nodes):
        await node.open()
        discovery.add(f"s-0000000{shard}", node.port, shard)
    return nodes


async def stop(tasks: list[asyncio.Task[None]]) -> None:
    """End tasks, and wait for them.

    They are cancelled until they end: ``wait_for`` of Python 3.11 may lose a cancellation.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=0.2)
    await asyncio.gather(*tasks, return_exceptions=True)


def run_case(folder: Path, case: Callable[[Record], Awaitable[int]], limit_s: float = 100.0) -> None:
    """Run a case and end the script with its verdict."""
    record = Record(folder)
    verdict = COULD_NOT_RUN
    try:
        verdict = asyncio.run(asyncio.wait_for(case(record), limit_s))
    except Exception as error:  # whatever it is, the rule was not judged
        record.add(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
    meaning = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "not judged"}[verdict]
    record.add(f"verdict: {meaning}")
    record.write()
    print(meaning)
    sys.exit(verdict)
