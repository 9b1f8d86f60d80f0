"""Storage nodes and their discovery for a fleet of processes, with records of the requests received.

They use Tornado's server, and follow the published protocol only. Their load is bounded by the clients.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections import Counter
from typing import Any

import orjson
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from sabledyke.net import clock
from sabledyke.testbed.deployment import SHARD_COUNT
from sabledyke.testbed.traffic_checks import (
    ConnectionState,
    DeduplicationCheck,
    RepeatCheck,
    SlowStartCheck,
)

SERVICE_TIME_S = 0.005


class StorageNodes:
    """Storage nodes for ``SHARD_COUNT`` shards and their discovery, each on a port of its own.

    Attributes:
        deduplication: The check of repeated writes.
        repeats: The check of repeated requests.
        slow_start: The check of restarted nodes.
        request_count: The number of requests received.
        unit_times: The arrival times of units in seconds, by volume.
        draining: The numbers of the nodes that were removed as drained, and have not been replaced.
        requests_while_draining: The number of requests in flight at, or received by, nodes in ``draining``.
        discovery_port: The port of the discovery.
        list_version: The version of the discovery's list.
    """

    def __init__(self, nodes_per_shard: int = 1, warm_up_s: float = 0.5) -> None:
        self.deduplication = DeduplicationCheck()
        self.repeats = RepeatCheck(connection_state)
        self.slow_start = SlowStartCheck(warm_up_s)
        self.request_count = 0
        self.unit_times: dict[str, list[float]] = {}
        self.draining: set[int] = set()
        self.requests_while_draining = 0
        self.discovery_port = 0
        self.list_version = 1
        self._list_changed = asyncio.Event()
        self._size = nodes_per_shard * SHARD_COUNT
        self._servers: dict[int, HTTPServer] = {}
        self._discovery: HTTPServer | None = None
        self._ports: dict[int, int] = {}  # ports of the listed nodes, by node
        self._started_at_ms: Counter[int] = Counter()  # start times of replaced nodes, by node; 0 for others
        self._in_flight: Counter[int] = Counter()  # requests in flight, by node
        self._hung: dict[int, list[float]] = {}  # arrival times of requests to hung nodes, by node
        self._hang_over = asyncio.Event()

    def open(self) -> None:
        """Start the nodes and the discovery."""
        for number in range(self._size):
            self._start(number)
        self._discovery, self.discovery_port = _listen(_DiscoveryHandler, nodes=self)

    async def close(self) -> None:
        """Stop the nodes and the discovery, and close their connections."""
        servers = [*self._servers.values()]
        if self._discovery is not None:
            servers.append(self._discovery)
        for server in servers:
            server.stop()
            await server.close_all_connections()

    async def hang(self, number: int, duration_s: float) -> list[float]:
        """Have a node accept requests without answering them, and return their arrival times."""
        arrivals: list[float] = []
        self._hung[number] = arrivals
        await asyncio.sleep(duration_s)
        del self._hung[number]
        self._hang_over.set()
        self._hang_over = asyncio.Event()
        return arrivals

    async def replace(self, number: int, down_s: float) -> None:
        """Remove a node, and start it again at another port with a later start time."""
        self.remove(number)
        await asyncio.sleep(down_s)
        self._servers[number].stop()
        await self._servers[number].close_all_connections()
        self.draining.discard(number)
        self._started_at_ms[number] = int(clock.now())
        self.slow_start.on_restart(number, time.monotonic())
        self._start(number)
        self._publish_list()

    def remove(self, number: int) -> None:
        """Remove a drained node from the list; it stays removed unless ``replace`` starts it again."""
        self.draining.add(number)
        self.requests_while_draining += self._in_flight[number]
        del self._ports[number]
        self._publish_list()

    def endpoints(self) -> list[dict[str, Any]]:
        """Return the nodes in the format of the discovery's list."""
        return [
            {
                "host": f"box{number}",
                "dial": f"127.0.0.1:{port}",
                "block": number % SHARD_COUNT,
                "site": "z",
                "class": "m",
                "health": "ready",
                "share": 1.0,
                "born_ms": self._started_at_ms[number],
            }
            for number, port in self._ports.items()
        ]

    async def wait_for_list_change(self, timeout_s: float) -> None:
        """Wait until the list changes, for ``timeout_s`` at most."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._list_changed.wait(), timeout_s)

    async def handle(self, number: int, path: str, key: str, request_id: str) -> bool:
        """Handle a request to a node; return False if the node hung, so that the request gets no answer."""
        self.request_count += 1
        self.slow_start.on_request(number, time.monotonic())
        if number in self._hung:
            self._hung[number].append(time.monotonic())
            await self._hang_over.wait()
            return False
        volume = path.split("/")[2]
        self.unit_times.setdefault(volume, []).append(time.monotonic())
        if number in self.draining:
            self.requests_while_draining += 1
        self._in_flight[number] += 1
        await asyncio.sleep(SERVICE_TIME_S)
        self._in_flight[number] -= 1
        if key:
            self.deduplication.on_run(key, number % SHARD_COUNT, time.monotonic(), request_id)
        return True

    def _start(self, number: int) -> None:
        self._servers[number], self._ports[number] = _listen(_NodeHandler, nodes=self, number=number)

    def _publish_list(self) -> None:
        self.list_version += 1
        self._list_changed.set()
        self._list_changed = asyncio.Event()


class _NodeHandler(RequestHandler):
    """Serves the requests of one node; each takes ``SERVICE_TIME_S``."""

    def initialize(self, nodes: StorageNodes, number: int) -> None:
        self._nodes = nodes
        self._number = number

    async def get(self) -> None:
        key = self.request.headers.get("Idempotency-Key", "")
        request_id = self.request.headers.get("Req-Id", "")
        connection = self.request.connection
        assert isinstance(connection, HTTP1Connection)
        arrival = self._nodes.repeats.on_arrival(request_id, connection.stream, time.monotonic())
        answered = await self._nodes.handle(self._number, self.request.path, key, request_id)
        if answered:
            arrival.is_answered = connection_state(connection.stream) is ConnectionState.OPEN
            self.finish(self.request.path.encode())
        else:
            self.detach().close()

    put = get

    def log_exception(self, *_: Any) -> None:
        """Log nothing: a client may close its connection at any time."""


class _DiscoveryHandler(RequestHandler):
    """Serves the discovery: the complete list, or a watch that waits for a change until its timeout."""

    def initialize(self, nodes: StorageNodes) -> None:
        self._nodes = nodes

    async def get(self) -> None:
        since = self.get_argument("since", "")
        timeout_ms = float(self.get_argument("timeout_ms", "0"))
        if since == str(self._nodes.list_version):
            await self._nodes.wait_for_list_change(timeout_ms / 1000)
        changed = since != str(self._nodes.list_version)
        endpoints = self._nodes.endpoints() if changed else []
        self.finish(orjson.dumps({"seq": self._nodes.list_version, "whole": changed, "hosts": endpoints}))


def connection_state(stream: IOStream) -> ConnectionState:
    """Return the state of a connection at this end, including input that has not been read yet."""
    if stream.closed():
        was_reset = isinstance(stream.error, ConnectionResetError)
        return ConnectionState.RESET if was_reset else ConnectionState.CLOSED
    try:
        unread = stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return ConnectionState.OPEN
    except ConnectionResetError:
        return ConnectionState.RESET
    return ConnectionState.OPEN if unread else ConnectionState.CLOSED


def _listen(handler: type[RequestHandler], **arguments: Any) -> tuple[HTTPServer, int]:
    """Start a server for this handler on a free port, and return the server and the port."""
    application = Application([(".*", handler, arguments)], log_function=lambda _: None)
    server = HTTPServer(application)
    (listener,) = bind_sockets(0, "127.0.0.1")
    server.add_sockets([listener])
    return server, int(listener.getsockname()[1])
