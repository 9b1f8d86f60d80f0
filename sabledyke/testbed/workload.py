"""Boxes, discovery and clients round a fleet of processes, and what they count: a judge of service.

Boxes and discovery stand on Tornado's own server and know PROTOCOL's pages alone. Clients keep a connection
each, come to a member that answers, and follow their requests to the end: served, refused, failed, crossed
by a close between requests (sent once more, as PROTOCOL says), or lost. Reads and keyed writes; a box counts
how often each key ran. Open loop: a client begins its next request when its time has come, late ones are
counted. Bounded by the clients.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import orjson
from hdrh.histogram import HdrHistogram
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from sabledyke.net import clock

SHARDS, AIM, DEADLINE, WINDOW = 4, 300, 1000, 2000  # of the deployment; times in ms
GIVES_UP = DEADLINE / 1000 + 0.5  # seconds that a client waits for an answer
LONGEST = 600_000_000  # microseconds that a histogram holds, to three figures
YOUNG, TIP, COLD, FALL = 20, 2.0, 0.25, 2.0  # PROTOCOL's rule on cold boxes; seconds
CAPACITY = 30.0  # units a second that a warm box is taken to bear, where that rule is judged
SETTINGS: dict[str, Any] = {  # what a fleet with traffic needs beside the cluster's own
    "kinds": ["m"],
    "zones": ["z"],
    "ceilings": {"try_limit": 3, "retry_after": True, "max_retry_after": 300, "cancel": True},
    "family_info": {
        "usual_units": 1,
        "units_top": 4,
        "fair_worth": 0.3,
        "spare_worth": 0.1,
        "young_limit": 20,
        "changes_data": [False, True],
    },
    "profiles": [
        {"name": "read", "aim": AIM, "hard_limit": DEADLINE, "credit": 2, "semantics": "idempotent"},
        {
            "name": "write",
            "aim": AIM,
            "hard_limit": DEADLINE,
            "credit": 2,
            "semantics": "deduplicated",
            "group": "cell",
            "window": WINDOW,
        },
    ],
}


class _Serves(RequestHandler):
    """A box: every request takes a few milliseconds; a key's second run is dropped, and counted."""

    def initialize(self, boxes: Boxes, number: int) -> None:
        self._boxes, self._number = boxes, number

    async def _do(self) -> None:
        boxes, token = self._boxes, self.request.headers.get("Idempotency-Key", "")
        boxes.asked += 1
        boxes.came(self._number)
        if self._number in boxes.hung:
            boxes.hung[self._number].append(time.monotonic())
            await boxes.changed_hung.wait()
            return self.detach().close()
        boxes.units.setdefault(self.request.path.split("/")[2], []).append(time.monotonic())
        boxes.late += self._number in boxes.drained
        boxes.busy[self._number] += 1
        await asyncio.sleep(boxes.takes)
        boxes.busy[self._number] -= 1
        if token:
            boxes.run(token, self._number % SHARDS)
        self.finish(self.request.path.encode())

    get = put = _do

    def log_exception(self, *_: Any) -> None:
        """A client that is gone is nobody's fault here."""


class _Tells(RequestHandler):
    """Discovery: the whole list, and a watch that waits for the next one, or its time out."""

    def initialize(self, boxes: Boxes) -> None:
        self._boxes = boxes

    async def get(self) -> None:
        since, wait = self.get_argument("since", ""), float(self.get_argument("timeout_ms", "0"))
        boxes = self._boxes
        if since == str(boxes.version):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(boxes.changed.wait(), wait / 1000)
        whole = since != str(boxes.version)
        hosts = boxes.hosts() if whole else []
        self.finish(orjson.dumps({"seq": boxes.version, "whole": whole, "hosts": hosts}))


class Boxes:
    """``copies`` boxes for each of ``SHARDS`` shards and their discovery, each on a port of its own."""

    def __init__(self, copies: int = 1, takes: float = 0.005, warm: float = 0.5) -> None:
        self.takes, self.asked, self._warm = takes, 0, warm  # seconds until a new start is warm
        self.units: dict[str, list[float]] = {}  # by volume: when each unit came
        self.hung: dict[int, list[float]] = {}  # boxes that answer nobody: when each request came
        self.changed_hung = asyncio.Event()  # set for those that wait at a box which answers again
        self.pressed = 0.0  # the most that a cold box was sent, over what has it fall
        self._young: dict[int, tuple[float, deque[float]]] = {}  # of later starts: when, and what came lately
        self.ran: Counter[str] = Counter()  # by key
        self.beyond = 0  # keys that came again at another shard, or after their window
        self.drained: set[int] = set()  # said to be drained, and not back yet
        self.late = 0  # requests that came to one of them
        self.busy: Counter[int] = Counter()  # requests in work, by box
        self.version, self.changed = 1, asyncio.Event()
        self.discovery = 0
        self._size = copies * SHARDS
        self._first: dict[str, tuple[float, int]] = {}  # by key: when it first ran, and at which shard
        self._servers: dict[int, HTTPServer] = {}
        self._ports: dict[int, int] = {}  # of those that are listed
        self._born: Counter[int] = Counter()

    def open(self) -> None:
        """Begin to serve."""
        for i in range(self._size):
            self._servers[i], self._ports[i] = self._serve(_Serves, number=i)
        self._servers[-1], self.discovery = self._serve(_Tells)

    def _serve(self, handler: type[RequestHandler], **more: int) -> tuple[HTTPServer, int]:
        app = Application([(".*", handler, {"boxes": self, **more})], log_function=lambda _: None)
        server, (sock,) = HTTPServer(app), bind_sockets(0, "127.0.0.1")
        server.add_sockets([sock])
        return server, int(sock.getsockname()[1])

    def hosts(self) -> list[dict[str, Any]]:
        """As discovery lists them."""
        about = {"site": "z", "class": "m", "health": "ready", "share": 1.0}
        return [
            {"host": f"box{i}", "dial": f"127.0.0.1:{p}", "block": i % SHARDS, **about}
            | {"born_ms": self._born[i]}
            for i, p in self._ports.items()
        ]

    def run(self, token: str, shard: int) -> None:
        """A key runs; its shard's boxes drop a repeat in its window together."""
        now = time.monotonic()
        first, where = self._first.setdefault(token, (now, shard))
        self.ran[token] += 1
        self.beyond += where != shard or now > first + WINDOW / 1000

    def came(self, number: int) -> None:
        """A request came; a cold box falls when it gets too many within ``FALL`` for its warmth then."""
        if number not in self._young:
            return
        now, (since, lately) = time.monotonic(), self._young[number]
        lately.append(now)
        while lately[0] < now - FALL:
            lately.popleft()
        warmth = min(1.0, COLD + (1 - COLD) * (lately[0] - since) / self._warm)
        self.pressed = max(self.pressed, len(lately) / max(YOUNG, TIP * CAPACITY * FALL * warmth))
        if now > since + self._warm + FALL:
            del self._young[number]

    async def hang(self, number: int, lasts: float) -> list[float]:
        """It takes what comes and answers nobody for so many seconds; when each request came."""
        came = self.hung[number] = list[float]()
        await asyncio.sleep(lasts)
        del self.hung[number]
        self.changed_hung.set()
        self.changed_hung = asyncio.Event()
        return came

    async def replace(self, number: int, away: float) -> None:
        """Take a box away, and bring it back at another port as a later start."""
        self.drained.add(number)
        self.late += self.busy[number]
        del self._ports[number]
        self._tell()
        await asyncio.sleep(away)
        self._servers[number].stop()
        await self._servers[number].close_all_connections()
        self.drained.discard(number)
        self._born[number], self._young[number] = int(clock.now()), (time.monotonic(), deque())
        self._servers[number], self._ports[number] = self._serve(_Serves, number=number)
        self._tell()

    async def remove(self, number: int) -> None:
        """Take a box away for good."""
        self.drained.add(number)
        self.late += self.busy[number]
        del self._ports[number]
        self._tell()

    def _tell(self) -> None:
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def close(self) -> None:
        """Stop."""
        for server in self._servers.values():
            server.stop()
            await server.close_all_connections()


@dataclass(slots=True)
class Count:
    """What clients saw; ``took`` in microseconds, of those served since the histogram was last taken."""

    ends: Counter[str] = field(default_factory=Counter)
    took: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, LONGEST, 3))
    keys: list[str] = field(default_factory=list)  # of writes that were served

    @property
    def asked(self) -> int:
        """All requests that came to an end."""
        return self.ends.total()

    def share(self) -> float:
        """Served of those asked."""
        return self.ends["served"] / max(1, self.asked)

    def p99(self) -> float:
        """Seconds; 0 where nothing was served."""
        return float(self.took.get_value_at_percentile(99)) / 1e6

    def begin(self) -> None:
        """Forget how long those served took so far."""
        self.took = HdrHistogram(1, LONGEST, 3)


class Client:
    """One client, which asks ``every`` seconds on the average; ``doors`` are ports, the best first for a
    volume.
    """

    def __init__(
        self,
        name: str,
        doors: Callable[[int], Sequence[int]],
        volumes: Sequence[int],
        every: float,
        count: Count,
        tier: str = "base",
        hosts: int = 1,
    ) -> None:
        self._tier, self._hosts = tier, hosts
        self._name, self._doors, self._volumes, self._every, self.count = name, doors, volumes, every, count
        self._random, self._number = Random(name), 0
        self._open: dict[int, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}  # by port

    async def run(self) -> None:
        """Until it is cancelled; a request that has begun is followed to its end first."""
        due = time.monotonic()
        while True:
            due += self._random.expovariate(1 / self._every)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            await asyncio.shield(self.ask(self._random.choice(self._volumes)))

    async def ask(self, volume: int) -> None:
        """One request, to its end."""
        self._number += 1
        write = self._random.random() < 0.4
        token = f"{self._name}-{self._number}" if write else ""
        began = time.monotonic()
        end = await self._end(volume, token)
        self.count.ends[end] += 1
        if end == "served":
            self.count.took.record_value(max(1, round((time.monotonic() - began) * 1e6)))
            self.count.keys += [token] * write

    async def _end(self, volume: int, token: str) -> str:
        for tries in range(2):
            line, fresh, port = await self._line(volume)
            if line is None:
                return "nobody"
            said = await self._exchange(line, volume, token, tries)
            if said != "crossed":
                return said
            self._open.pop(port, None)
            if fresh:  # a new connection that was closed with no answer
                return "closed"
        return "closed"

    async def _line(
        self, volume: int
    ) -> tuple[tuple[asyncio.StreamReader, asyncio.StreamWriter] | None, bool, int]:
        for port in self._doors(volume):
            if port in self._open and not self._open[port][0].at_eof():
                return self._open[port], False, port
            try:
                self._open[port] = await asyncio.open_connection("127.0.0.1", port)
                return self._open[port], True, port
            except OSError:
                continue
        return None, False, 0

    async def _exchange(
        self, line: tuple[asyncio.StreamReader, asyncio.StreamWriter], volume: int, token: str, tries: int
    ) -> str:
        """How it ended; ``crossed`` where the connection ended before a byte of the answer."""
        (reader, writer), got = line, b""
        path, ident = f"/api/{volume:016x}/{self._number:016x}", f"{self._name}-{self._number}-{tries}"
        lines = [
            f"{'PUT' if token else 'GET'} {path} HTTP/1.1",
            "Host: x",
            f"Req-Id: {ident}",
            f"Req-Kind: {'write' if token else 'read'}",
            f"Tier: {self._tier}",
            f"Req-Deadline: {DEADLINE / 1000:.3f}",
            f"IO-Info: units=1,shard={volume % SHARDS},hosts={self._hosts}",
            "Content-Length: 0",
            *([f"Idempotency-Key: {token}"] if token else []),
            "",
            "",
        ]
        try:
            writer.write("\r\n".join(lines).encode())
            async with asyncio.timeout(GIVES_UP):
                got = await reader.readuntil(b"\r\n\r\n")
                status, *headers = got.decode().split("\r\n")
                about = {n.lower(): v.strip() for n, _, v in (h.partition(":") for h in headers)}
                body = await reader.readexactly(int(about.get("content-length", 0)))
        except TimeoutError:  # what came too late must not be taken for the next one's answer
            self._drop(writer)
            writer.transport.abort()
            return "silence"
        except (asyncio.IncompleteReadError, OSError) as fault:
            partial = got or getattr(fault, "partial", b"")
            return "cut" if partial else "crossed"
        if about.get("connection") == "close":
            self._drop(writer)
            writer.close()
        code = status.split()[1]
        if code == "200":
            return "served" if body == path.encode() else "wrong"
        return "refused" if code in ("429", "503") else "failed"

    def _drop(self, writer: asyncio.StreamWriter) -> None:
        self._open = {port: line for port, line in self._open.items() if line[1] is not writer}

    def close(self) -> None:
        """Leave."""
        for _, writer in self._open.values():
            writer.transport.abort()
