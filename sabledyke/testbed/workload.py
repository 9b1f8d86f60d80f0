"""Clients of a fleet of processes, and the outcomes of their requests.

A client keeps a connection to each member, sends reads and keyed writes to a member that accepts connections,
and waits for the end of each request. Clients are paced as an open loop: requests have due times, and the
number of requests does not drop if they begin late.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from hdrh.histogram import HdrHistogram

from sabledyke.testbed.deployment import DEADLINE_MS, SHARD_COUNT

ANSWER_TIMEOUT_S = DEADLINE_MS / 1000 + 0.5
MAX_LATENCY_US = 600_000_000
HISTOGRAM_DIGITS = 3
WRITE_FRACTION = 0.4
MAX_ATTEMPTS = 2  # the protocol allows one retry after a connection was closed between two requests
HEAD_END = b"\r\n\r\n"
REJECTIONS = ("429", "503")


class RequestOutcome(StrEnum):
    """Outcomes of requests; the values are printed."""

    SERVED = "served"
    WRONG_ANSWER = "wrong"
    REJECTED = "refused"
    FAILED = "failed"
    CUT_OFF = "cut"  # connection closed in the middle of the answer
    CONNECTION_CLOSED = "closed"  # connection closed before the answer
    TIMED_OUT = "silence"
    UNREACHABLE = "nobody"  # no member accepted a connection


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, HISTOGRAM_DIGITS)


@dataclass(slots=True)
class ClientMetrics:
    """Metrics of clients.

    Attributes:
        outcomes: The number of requests by outcome, under the outcome's value.
        latencies_us: The latencies of served requests since the last call of ``reset_latencies``.
        served_keys: The idempotency keys of writes that were served.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    latencies_us: HdrHistogram = field(default_factory=_new_histogram)
    served_keys: list[str] = field(default_factory=list)

    @property
    def request_count(self) -> int:
        """Number of requests that ended."""
        return self.outcomes.total()

    def on_end(self, outcome: RequestOutcome, key: str, latency_s: float) -> None:
        """Record the outcome of a request; ``key`` is "" for a read."""
        self.outcomes[outcome.value] += 1
        if outcome is not RequestOutcome.SERVED:
            return
        self.latencies_us.record_value(max(1, round(latency_s * 1e6)))
        if key:
            self.served_keys.append(key)

    def p99_s(self) -> float:
        """Return the 99th percentile of latencies in seconds; 0 if no request was served."""
        return float(self.latencies_us.get_value_at_percentile(99)) / 1e6

    def reset_latencies(self) -> None:
        """Start a new histogram of latencies."""
        self.latencies_us = _new_histogram()


@dataclass(slots=True)
class _Connection:
    port: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used: bool = False  # True if a request was sent on the connection


class Client:
    """One client of the fleet.

    Attributes:
        metrics: The metrics that record the client's requests.
    """

    def __init__(
        self,
        name: str,
        ports_of: Callable[[int], Sequence[int]],
        volumes: Sequence[int],
        mean_interval_s: float,
        metrics: ClientMetrics,
        tier: str = "base",
        scheduler_count: int = 1,
    ) -> None:
        """Create a client.

        Args:
            name: The client's name, which is the seed of its random choices.
            ports_of: Returns the ports of members for a volume, the preferred one first.
            volumes: The volumes that the client uses.
            mean_interval_s: The mean time between two requests.
            metrics: The metrics that record the client's requests.
            tier: The name of the plan in requests.
            scheduler_count: The number of schedulers in requests.
        """
        self.metrics = metrics
        self._name = name
        self._ports_of = ports_of
        self._volumes = volumes
        self._mean_interval_s = mean_interval_s
        self._tier = tier
        self._scheduler_count = scheduler_count
        self._random = Random(name)
        self._request_number = 0
        self._connections: dict[int, _Connection] = {}  # by port

    async def run(self) -> None:
        """Send requests until the task is cancelled; a request that has begun is still completed."""
        due = time.monotonic()
        while True:
            due += self._random.expovariate(1 / self._mean_interval_s)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            await asyncio.shield(self._request(self._random.choice(self._volumes)))

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.writer.transport.abort()

    async def _request(self, volume: int) -> None:
        """Send one request, and record its outcome."""
        self._request_number += 1
        is_write = self._random.random() < WRITE_FRACTION
        key = f"{self._name}-{self._request_number}" if is_write else ""
        started_at = time.monotonic()
        outcome = await self._send_until_answered(volume, key)
        self.metrics.on_end(outcome, key, time.monotonic() - started_at)

    async def _send_until_answered(self, volume: int, key: str) -> RequestOutcome:
        for attempt in range(MAX_ATTEMPTS):
            connection = await self._connect(volume)
            if connection is None:
                return RequestOutcome.UNREACHABLE
            was_used = connection.used
            connection.used = True
            outcome = await self._exchange(connection, volume, key, attempt)
            if outcome is not None:
                return outcome
            self._forget(connection)
            if not was_used:  # a new connection that was closed without an answer
                return RequestOutcome.CONNECTION_CLOSED
        return RequestOutcome.CONNECTION_CLOSED

    async def _connect(self, volume: int) -> _Connection | None:
        """Return a connection to the first member that accepts one, None if no member does."""
        for port in self._ports_of(volume):
            connection = self._connections.get(port)
            if connection is not None and not connection.reader.at_eof():
                return connection
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                continue
            self._connections[port] = _Connection(port, reader, writer)
            return self._connections[port]
        return None

    async def _exchange(
        self, connection: _Connection, volume: int, key: str, attempt: int
    ) -> RequestOutcome | None:
        """Send a request and read its answer; return None if the connection ended before the first byte."""
        path = f"/api/{volume:016x}/{self._request_number:016x}"
        head = b""
        try:
            connection.writer.write(self._request_head(path, volume, key, attempt))
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                head = await connection.reader.readuntil(HEAD_END)
                status, headers = _parse_head(head)
                body = await connection.reader.readexactly(int(headers.get("content-length", 0)))
        except TimeoutError:  # a late answer must not be read as the answer of the next request
            self._forget(connection)
            connection.writer.transport.abort()
            return RequestOutcome.TIMED_OUT
        except (asyncio.IncompleteReadError, OSError) as error:
            received = head or getattr(error, "partial", b"")
            return RequestOutcome.CUT_OFF if received else None
        if headers.get("connection") == "close":
            self._forget(connection)
            connection.writer.close()
        return _outcome_of(status, is_expected=body == path.encode())

    def _request_head(self, path: str, volume: int, key: str, attempt: int) -> bytes:
        lines = [
            f"{'PUT' if key else 'GET'} {path} HTTP/1.1",
            "Host: x",
            f"Req-Id: {self._name}-{self._request_number}-{attempt}",
            f"Req-Kind: {'write' if key else 'read'}",
            f"Tier: {self._tier}",
            f"Req-Deadline: {DEADLINE_MS / 1000:.3f}",
            f"IO-Info: units=1,shard={volume % SHARD_COUNT},hosts={self._scheduler_count}",
            "Content-Length: 0",
            *([f"Idempotency-Key: {key}"] if key else []),
            "",
            "",
        ]
        return "\r\n".join(lines).encode()

    def _forget(self, connection: _Connection) -> None:
        self._connections.pop(connection.port, None)


def _parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the status and the headers of an answer, with names in lower case."""
    status_line, *lines = head.decode().split("\r\n")
    fields = (line.partition(":") for line in lines)
    return status_line.split()[1], {name.lower(): value.strip() for name, _, value in fields}


def _outcome_of(status: str, *, is_expected: bool) -> RequestOutcome:
    if status == "200":
        return RequestOutcome.SERVED if is_expected else RequestOutcome.WRONG_ANSWER
    return RequestOutcome.REJECTED if status in REJECTIONS else RequestOutcome.FAILED
