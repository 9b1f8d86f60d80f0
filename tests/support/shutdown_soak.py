"""Soak test of shutdowns of the real program, with random signals, client load and node faults from a seed.

Clients use their connections until SIGKILL, which is sent at the earliest time that the protocol permits. A
request is lost if the program read it and never answered, answered it too late, or had not answered it at the
kill. From the root, ``python -m tests.support.shutdown_soak FIRST LAST`` runs a range of seeds manually.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from math import inf
from pathlib import Path
from random import Random

from tests.standins import Reader, Writer
from tests.standins.service import FOREVER_S
from tests.support.loop_lag import loop_lag
from tests.transcripts.support import Deployment, Respond, Response, request, response, settings

MAX_DEADLINE_S = 3.0
KILL_GRACE_S = 0.7  # from the longest deadline after the first SIGTERM to the earliest SIGKILL
DEADLINES_S = (0.6, 0.83, 1.5, MAX_DEADLINE_S)  # longest deadlines of deployments
LONG_ANSWER_SHARE = 0.2  # share of reads with long answers, in plans that have them
LONG_ANSWER_BYTES = (80_000, 400_000)
LONG_ANSWER_PIECE_BYTES = 16_384
LONG_PATH = "/api/1/f"
CROWD_COUNT = 640  # nearly as many as the descriptors allow
RESTART_PAUSE_S = 0.3  # service before the program is killed and started again
LATE_ANSWER_S = 0.5  # an answer later than this after its deadline counts as lost
SERVICE_BEFORE_SIGTERM_S = 0.5
CLIENT_COUNT = 12
MAX_CONNECTIONS_PER_CLIENT = 1000
MAX_REQUESTS_PER_CONNECTION = 10_000
RECONNECT_PAUSE_S = 0.01
IDLE_CONNECTION_COUNT = 300
IDLE_CONNECTIONS_SEED_STEP = 3  # every third seed opens idle connections
SOCKETS = 1024
CONCURRENT_PLAYS = 4
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)
HALF_REQUEST = b"GET /api/1/2 HTTP/1.1\r\nReq-Id: half"
RESET_TIMEOUT_S = 0.3
TCP_STATE_CLOSED = 7  # value of tcpi_state in TCP_INFO, see tcp(7)
CONTENT_LENGTH = re.compile(rb"(?i)content-length: *(\d+)")
SENT_REQUEST_ID = re.compile(rb"(?i)req-id: *(\S+)")


@dataclass(frozen=True, slots=True)
class TimedSignal:
    """A signal and the time in seconds between it and the previous signal."""

    gap_s: float
    number: signal.Signals


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The signals and faults of one run.

    Attributes:
        seed: The random seed of the plan.
        signals: The signals in order, including at least one SIGTERM.
        behaviors: The behavior of each storage node.
        has_idle_connections: True if idle connections are open, half of them with an incomplete request.
        longest_deadline_s: Longest deadline of the deployment, which determines the earliest SIGKILL.
        restarts: Number of times that the program gets SIGKILL and is started again before the signals.
        has_long_answers: True if some answers have over 64 KiB, and are given in pieces.
        idle_count: Number of idle connections.
    """

    seed: int
    signals: tuple[TimedSignal, ...]
    behaviors: tuple[str, ...]
    has_idle_connections: bool
    longest_deadline_s: float
    restarts: int
    has_long_answers: bool
    idle_count: int

    @property
    def kill_after_s(self) -> float:
        """Time from the first SIGTERM to the earliest SIGKILL."""
        return min(self.longest_deadline_s, MAX_DEADLINE_S) + KILL_GRACE_S


@dataclass(slots=True)
class SentRequest:
    """A request and its outcome; times are in seconds of the event loop's clock.

    Attributes:
        request_id: Identifier of the request.
        deadline_s: Deadline of the request, relative to its send.
        sent_s: Time of the send.
        outcome: ``answered``, ``closed``, ``reset`` or ``open``.
        status: HTTP status of the answer; 0 without an answer.
        completed_s: Time of the answer or of the connection's end.
        first_byte_s: Time at which the head of the answer was complete.
        long: True for a read with a long answer.
        unread: True if a connection reset shows that the program did not read the request.
    """

    request_id: str
    deadline_s: float
    sent_s: float
    outcome: str = "open"
    status: int = 0
    completed_s: float = 0.0
    unread: bool = False
    first_byte_s: float = inf
    long: bool = False


@dataclass(slots=True)
class SoakReport:
    """The result of one run.

    Attributes:
        plan: The plan of the run.
        requests: All requests of the run.
        lost: The requests that count as lost.
        started_s: Time of the last start of the program.
        killed_s: Time of the last SIGKILL; infinite if the program ended before.
        sigterm_s: Time of the first SIGTERM, in seconds of the event loop's clock.
        first_close_s: Time from the first SIGTERM to the first close of a connection, in seconds.
        exit_status: Exit status of the program; -9 after SIGKILL.
        log: The program's log, including the delays of its event loop.
        loop_lag_s: The longest delay of the event loop of clients and storage nodes.
    """

    plan: SoakPlan
    requests: list[SentRequest] = field(default_factory=list)
    lost: list[SentRequest] = field(default_factory=list)
    sigterm_s: float = inf
    first_close_s: float = inf
    killed_s: float = inf
    started_s: float = 0.0
    exit_status: int = 0
    log: str = ""
    loop_lag_s: float = 0.0

    def describe(self) -> str:
        """Return the seed, plan, lost requests and log, to analyze a loss."""
        lines = [f"seed {self.plan.seed}: {self.plan}", f"exit status {self.exit_status}"]
        lines.append(
            f"the event loop of clients and storage nodes was delayed by up to {self.loop_lag_s:.3f} s"
        )
        lines += [f"lost: {json.dumps(asdict(lost))}" for lost in self.lost]
        return "\n".join([*lines, self.log])


def draw_plan(seed: int) -> SoakPlan:
    """Return the plan for a seed."""
    random = Random(seed)
    before = [signal.SIGHUP] * random.randrange(3)
    after = random.choices([signal.SIGHUP, signal.SIGTERM], k=random.randrange(5))
    numbers = [*before, signal.SIGTERM, *after]
    signals = [TimedSignal(10 ** random.uniform(-6, -0.7), number) for number in numbers]
    if random.random() < 0.5:  # signals around the program's exit
        signals.append(TimedSignal(random.uniform(3.0, 3.4), signal.SIGTERM))
        signals += [TimedSignal(0.005, random.choice(HANDLED_SIGNALS)) for _ in range(60)]
    faults = random.choices(["serves", "slow", "hangs", "resets"], k=3)
    has_idle_connections = seed % IDLE_CONNECTIONS_SEED_STEP == 0
    extra = Random(f"deployment of {seed}")
    return SoakPlan(
        seed,
        tuple(signals),
        ("serves", *faults),
        has_idle_connections=has_idle_connections,
        longest_deadline_s=extra.choice(DEADLINES_S),
        restarts=extra.choice([0, 0, 1, 2]),
        has_long_answers=extra.random() < 0.5,
        idle_count=extra.choice([IDLE_CONNECTION_COUNT, CROWD_COUNT]) if has_idle_connections else 0,
    )


def node_behavior(kind: str, random: Random) -> Respond:
    """Return the response function of a storage node with this behavior."""

    async def respond(_number: int, sent: bytes) -> Response:
        if kind == "hangs":
            await asyncio.sleep(FOREVER_S)
        if kind == "resets" and random.random() < 0.5:
            return None
        await asyncio.sleep(random.uniform(0.2, 1.0) if kind == "slow" else random.uniform(0.001, 0.03))
        if sent.startswith(f"GET {LONG_PATH} ".encode()):
            return response(200, b"l" * random.randrange(*LONG_ANSWER_BYTES))
        return response(200, sent.partition(b"\r\n\r\n")[2])

    return respond


class SoakPlay:
    """One run of a plan."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._random = Random(plan.seed)
        self._report = SoakReport(plan)
        self._loop = asyncio.get_running_loop()

    async def run(self) -> SoakReport:
        """Execute the plan, and classify each request."""
        nodes = [node_behavior(kind, self._random) for kind in self._plan.behaviors]
        config = settings()
        for profile in config["profiles"]:
            longest_ms = 1000 * self._plan.longest_deadline_s
            profile |= {"aim": longest_ms * 2 / 3, "hard_limit": longest_ms}
        async with (
            loop_lag() as lag,
            Deployment(self._folder, *nodes, config=config, sockets=SOCKETS) as deployment,
        ):
            idle_writers = (
                await self._open_idle_connections(deployment.front) if self._plan.has_idle_connections else []
            )
            clients = [asyncio.create_task(self._client(deployment.front, n)) for n in range(CLIENT_COUNT)]
            for node in deployment.nodes:
                node.piece_bytes = LONG_ANSWER_PIECE_BYTES
            for _ in range(self._plan.restarts):
                await asyncio.sleep(RESTART_PAUSE_S)
                await deployment.restart()
                self._report.started_s = self._loop.time()
            await asyncio.sleep(SERVICE_BEFORE_SIGTERM_S)
            await self._send_signals(deployment.process)
            await self._await_end(deployment.process)
            await asyncio.gather(*clients)
            for writer in idle_writers:
                writer.transport.abort()
            seen = {match[1].decode() for node in deployment.nodes for match in _request_ids(node.requests)}
        self._report.loop_lag_s = lag.longest_s
        self._collect_lost(seen)
        self._report.log = (self._folder / "stderr.txt").read_text()
        return self._report

    async def _open_idle_connections(self, port: int) -> list[asyncio.StreamWriter]:
        writers = []
        for number in range(self._plan.idle_count):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            if number % 2:
                writer.write(HALF_REQUEST)
            writers.append(writer)
        return writers

    async def _send_signals(self, process: asyncio.subprocess.Process) -> None:
        for timed in self._plan.signals:
            await asyncio.sleep(timed.gap_s)
            if timed.number is signal.SIGTERM:
                self._report.sigterm_s = min(self._report.sigterm_s, self._loop.time())
            with contextlib.suppress(ProcessLookupError):
                # Process.send_signal would reap a process that has just ended and lose its exit status.
                os.kill(process.pid, timed.number)

    async def _await_end(self, process: asyncio.subprocess.Process) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self._report.sigterm_s + self._plan.kill_after_s):
                await process.wait()
        if process.returncode is None:
            self._report.killed_s = self._loop.time()
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGKILL)
        self._report.exit_status = await process.wait()

    async def _client(self, port: int, number: int) -> None:
        """Send requests on a connection until it ends, then reconnect until the listener is closed."""
        for connection_number in range(MAX_CONNECTIONS_PER_CLIENT):
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            except ConnectionError:
                if self._report.sigterm_s < inf:
                    return  # the listener is closed
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            await self._use_connection(reader, writer, f"c{number}-{connection_number}")
            writer.transport.abort()
            closed_s = self._loop.time() - self._report.sigterm_s
            if closed_s > 0:
                self._report.first_close_s = min(self._report.first_close_s, closed_s)
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _use_connection(self, reader: Reader, writer: Writer, name: str) -> None:
        """Send requests sequentially until the connection ends."""
        for count in range(MAX_REQUESTS_PER_CONNECTION):
            sent = self._new_request(f"{name}-{count}")
            writer.write(self._encode(sent))
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                sent.first_byte_s = self._loop.time()
                await reader.readexactly(int(CONTENT_LENGTH.findall(head)[0]))
            except asyncio.IncompleteReadError:
                sent.completed_s = self._loop.time()
                sent.outcome = "closed"
                sent.unread = await _was_reset(writer.get_extra_info("socket"))
                return
            except ConnectionError:
                sent.completed_s = self._loop.time()
                sent.outcome = "reset"
                sent.unread = True
                return
            sent.completed_s = self._loop.time()
            sent.outcome = "answered"
            sent.status = int(head.split()[1])
            if b"connection: close" in head.lower():
                return
            await asyncio.sleep(self._random.uniform(0.0, 0.05))

    def _new_request(self, request_id: str) -> SentRequest:
        sent = SentRequest(
            request_id, round(self._random.uniform(0.3, self._plan.longest_deadline_s), 3), self._loop.time()
        )
        self._report.requests.append(sent)
        return sent

    def _encode(self, sent: SentRequest) -> bytes:
        shard = self._random.randrange(len(self._plan.behaviors))
        if self._random.random() < 0.5:
            sent.long = self._plan.has_long_answers and self._random.random() < 2 * LONG_ANSWER_SHARE
            text = request(path=LONG_PATH if sent.long else "/api/1/2", ident=sent.request_id)
        else:
            text = request("PUT", "/api/1/2", f"Idempotency-Key: {sent.request_id}", ident=sent.request_id)
        text = text.replace(b"Deadline: 20.0", f"Deadline: {sent.deadline_s}".encode())
        return text.replace(b"shard=0", f"shard={shard}".encode())

    def _collect_lost(self, seen_by_nodes: set[str]) -> None:
        for sent in self._report.requests:
            answered = sent.outcome == "answered"
            if sent.sent_s < self._report.started_s and not answered:
                continue  # sent to a program that was killed
            timed_s = sent.first_byte_s if sent.long else sent.completed_s
            in_time = timed_s - sent.sent_s <= sent.deadline_s + LATE_ANSWER_S
            if sent.long and in_time and sent.completed_s >= self._report.killed_s:
                continue  # the kill came while the answer was passed on
            was_read = sent.request_id in seen_by_nodes or not sent.unread
            if (answered and not in_time) or (not answered and was_read):
                self._report.lost.append(sent)


def _request_ids(requests: Sequence[bytes]) -> list[re.Match[bytes]]:
    return [match for sent in requests if (match := SENT_REQUEST_ID.search(sent))]


async def _was_reset(sock: socket.socket) -> bool:
    """Return True if a reset follows the end of a connection: a request arrived too late or was not read."""
    loop = asyncio.get_running_loop()
    until = loop.time() + RESET_TIMEOUT_S
    while sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != TCP_STATE_CLOSED:
        if loop.time() > until:
            return False
        await asyncio.sleep(0.01)
    return True


async def play_all(seeds: Sequence[int], folder: Path) -> dict[int, SoakReport]:
    """Run the plans of these seeds, ``CONCURRENT_PLAYS`` at a time."""
    semaphore = asyncio.Semaphore(CONCURRENT_PLAYS)
    reports: dict[int, SoakReport] = {}

    async def play_one(seed: int) -> None:
        async with semaphore:
            own_folder = folder / f"seed-{seed}"
            own_folder.mkdir()
            reports[seed] = await SoakPlay(draw_plan(seed), own_folder).run()

    async with asyncio.TaskGroup() as group:
        for seed in seeds:
            group.create_task(play_one(seed))
    return reports


def main() -> int:
    """Run a range of seeds; return 1 if a request was lost, otherwise 0."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    with tempfile.TemporaryDirectory() as folder:
        reports = asyncio.run(play_all(range(first, last + 1), Path(folder)))
    for _, report in sorted(reports.items()):
        if report.lost:
            print(report.describe())
    after = Counter(
        sent.status
        for report in reports.values()
        for sent in report.requests
        if sent.completed_s > report.sigterm_s
    )
    lost = sum(len(report.lost) for report in reports.values())
    closes = min(report.first_close_s for report in reports.values())
    exits = Counter(report.exit_status for report in reports.values())
    sent = sum(len(report.requests) for report in reports.values())
    print(f"{len(reports)} seeds, {sent} requests, {lost} lost")
    print(f"statuses after SIGTERM {dict(after)}, first close {closes:.2f} s after it, exits {dict(exits)}")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())
