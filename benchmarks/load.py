"""Load generator for the program: requests at a steady rate, or as many as it can serve."""

from __future__ import annotations

import asyncio
import random
import re
import secrets
import statistics
import time
from typing import NamedTuple

from benchmarks.deployment import NODE_COUNT, PLAN_NAME
from benchmarks.program import Program

STEADY_RATE = 100.0  # requests/s
HIGH_RATE = 400.0  # requests/s
KEYED_WRITE_FRACTION = 0.35
CONCURRENT_CLIENTS = 24
VOLUME_COUNT = 50
BODY_BYTES = 64
DEADLINE_S = 5
CONNECTION_LOST = 0  # returned instead of an HTTP status
OK = 200
P99 = 98  # index of the 99th percentile in the result of statistics.quantiles(n=100)

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Client:
    """A client with persistent connections, each with at most one request in flight.

    Args:
        port: The port on which the program listens.
        seed: Random seed for the selection of data keys.
    """

    def __init__(self, port: int, seed: int) -> None:
        self._port = port
        self._random = random.Random(seed)
        self._name = secrets.token_hex(6)  # makes idempotency keys unique across runs
        self._idle: list[Connection] = []
        self._request_count = 0

    async def request(self, *, write: bool) -> int:
        """Send one request and return its status, or ``CONNECTION_LOST``."""
        message = self._message(write=write)
        connection = self._idle.pop() if self._idle else await self._connect()
        reader, writer = connection
        try:
            writer.write(message)
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = re.search(rb"content-length: (\d+)", head)
            await reader.readexactly(int(length.group(1)) if length else 0)
        except (asyncio.IncompleteReadError, ConnectionError):
            return CONNECTION_LOST
        if b"connection: close" in head:
            writer.close()
        else:
            self._idle.append(connection)
        return int(head.split()[1])

    def close(self) -> None:
        """Close all idle connections."""
        for _, writer in self._idle:
            writer.close()

    async def _connect(self) -> Connection:
        return await asyncio.open_connection("127.0.0.1", self._port)

    def _message(self, *, write: bool) -> bytes:
        self._request_count += 1
        request_id = f"{self._name}-{self._request_count}"
        data_key = self._random.randrange(1 << 40)
        lines = [
            f"{'PUT' if write else 'GET'} /api/{data_key % VOLUME_COUNT:x}/{data_key:x} HTTP/1.1",
            f"Req-Id: {request_id}",
            f"Req-Kind: {'write' if write else 'read'}",
            f"Tier: {PLAN_NAME}",
            f"Req-Deadline: {DEADLINE_S}",
            f"IO-Info: units=1,shard={data_key % NODE_COUNT},hosts=1",
        ]
        body = ""
        if write:
            lines += [f"Idempotency-Key: {request_id}", f"Content-Length: {BODY_BYTES}"]
            body = "x" * BODY_BYTES
        return "\r\n".join([*lines, "", body]).encode()


class SteadyResult(NamedTuple):
    """CPU and latency of requests at a steady rate."""

    cpu_us_per_request: float
    median_ms: float
    p99_ms: float


async def run_steady(program: Program, seconds: float, rate: float = STEADY_RATE) -> SteadyResult:
    """Send requests at a steady mean rate, independent of answers to earlier ones (open loop).

    Args:
        program: The program under measurement.
        seconds: Duration of the load.
        rate: Mean number of requests per second.
    """
    chance = random.Random(1)
    client = Client(program.port, 2)
    loop = asyncio.get_running_loop()
    latencies_s: list[float] = []

    async def send(due_s: float, *, write: bool) -> None:
        await client.request(write=write)
        latencies_s.append(loop.time() - due_s)

    tasks = []
    begin_s = loop.time() + 0.1
    cpu_before_s = program.cpu_s()
    elapsed_s = 0.0
    while elapsed_s < seconds:
        elapsed_s += chance.expovariate(rate)
        due_s = begin_s + elapsed_s
        await asyncio.sleep(max(0.0, due_s - loop.time()))
        tasks.append(asyncio.create_task(send(due_s, write=is_keyed_write(chance))))
    await asyncio.gather(*tasks)
    cpu_s = program.cpu_s() - cpu_before_s
    client.close()
    p99_s = statistics.quantiles(latencies_s, n=100)[P99]
    return SteadyResult(cpu_s / len(tasks) * 1e6, statistics.median(latencies_s) * 1000, p99_s * 1000)


async def run_flat_out(program: Program, seconds: float) -> float:
    """Return the requests per second that concurrent clients are served in a closed loop without pauses."""
    client = Client(program.port, 3)
    chance = random.Random(4)
    until_s = time.monotonic() + seconds
    served = 0

    async def run_client() -> None:
        nonlocal served
        while time.monotonic() < until_s:
            status = await client.request(write=is_keyed_write(chance))
            served += status == OK

    await asyncio.gather(*(run_client() for _ in range(CONCURRENT_CLIENTS)))
    client.close()
    return served / seconds


def is_keyed_write(chance: random.Random) -> bool:
    """Draw the kind of the next request: True for a keyed write, False for a read."""
    return chance.random() < KEYED_WRITE_FRACTION
