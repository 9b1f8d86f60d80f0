"""Reads of long answers that storage nodes give slowly, through the real program, all at the same time."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from tests.standins import Reader, Writer
from tests.transcripts.support import Deployment, Peer, request, settings

OBJECTIVE_MS = 386
LONGEST_DEADLINE_S = 2.5
LATE_ANSWER_S = 0.5  # an answer that begins later than this after its deadline counts as lost
READ_TIMEOUT_S = 20.0
SOCKETS = 1024
MEMORY_MB = 192

FRAMINGS = ("length", "chunked", "connection")
PACES = ("steady", "lumps", "late-body", "slow-start", "silent-within")
DEADLINES_S = (0.69, 0.83, 2.5)
SIZES_BYTES = {0.69: 159_121, 0.83: 70_000, 2.5: 400_000}


@dataclass(frozen=True, slots=True)
class PacedAnswer:
    """An answer of a storage node.

    Attributes:
        framing: How the end of the body is marked: one of ``FRAMINGS``.
        pace: How the node spreads the body over time: one of ``PACES``.
        deadline_s: Time that the client waits for the answer to begin.
        size_bytes: Size of the body.
    """

    framing: str
    pace: str
    deadline_s: float
    size_bytes: int

    @property
    def body(self) -> bytes:
        """The body."""
        return (bytes(range(251)) * (self.size_bytes // 251 + 1))[: self.size_bytes]


@dataclass(slots=True)
class ReadReport:
    """What a client saw of an answer; times are seconds since it sent its request.

    Attributes:
        status: Status of the answer; 0 without a complete head.
        first_byte_s: Time of the first byte; infinite without one.
        end: How the answer ended: ``whole``, ``different``, ``cut off`` or ``no answer``.
        end_s: Time of the end.
    """

    status: int = 0
    first_byte_s: float = float("inf")
    end: str = "no answer"
    end_s: float = 0.0


def all_answers() -> list[PacedAnswer]:
    """Return the answers that the tests play: each framing, pace and deadline."""
    return [
        PacedAnswer(framing, pace, deadline_s, SIZES_BYTES[deadline_s])
        for framing, pace, deadline_s in itertools.product(FRAMINGS, PACES, DEADLINES_S)
    ]


@dataclass(frozen=True, slots=True)
class Pace:
    """How a node spreads a body over time.

    Attributes:
        first_delays_s: Delays before the first pieces.
        delay_s: Delay before each further piece.
        piece_bytes: Size of a piece; 0 for a share of the body.
        body_share: Size of a piece as a share of the body.
    """

    first_delays_s: tuple[float, ...]
    delay_s: float
    piece_bytes: int = 0
    body_share: float = 0.0


PACE_OF_NAME = {
    "steady": Pace((), 0.05, 3_200),  # 64 kB a second, the slowest pace that the platform names
    "lumps": Pace((0.01,), 0.5, body_share=0.26),
    "late-body": Pace((0.8,), 0.05, 16_384),
    "slow-start": Pace((0.1,) * 10, 0.01, 4_096),
    "silent-within": Pace((0.01, 4.0), 0.01, body_share=0.5),  # longer than any client's deadline
}


async def paced_pieces(pace: Pace, body: bytes) -> AsyncIterator[bytes]:
    """Give the pieces of a body at the times of its pace."""
    delays_s = itertools.chain(pace.first_delays_s, itertools.repeat(pace.delay_s))
    size_bytes = pace.piece_bytes or int(pace.body_share * len(body)) + 1
    for offset in range(0, len(body), size_bytes):
        await asyncio.sleep(next(delays_s))
        yield body[offset : offset + size_bytes]


class PacedNode(Peer):
    """A storage node that gives one and the same answer to each request."""

    def __init__(self, name: str, answer: PacedAnswer) -> None:
        super().__init__(name, _unused)
        self._answer = answer

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await self._give(writer)
                if self._answer.framing == "connection":
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _give(self, writer: Writer) -> None:
        answer = self._answer
        fields = {
            "length": b"Content-Length: %d\r\n" % answer.size_bytes,
            "chunked": b"Transfer-Encoding: chunked\r\n",
            "connection": b"",
        }
        writer.write(b"HTTP/1.1 200 OK\r\n" + fields[answer.framing] + b"\r\n")
        chunked = answer.framing == "chunked"
        async for piece in paced_pieces(PACE_OF_NAME[answer.pace], answer.body):
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece) if chunked else piece)
            await writer.drain()
        if chunked:
            writer.write(b"0\r\n\r\n")


async def _unused(_number: int, _request: bytes) -> bytes | None:
    raise AssertionError("a paced node answers by itself")


async def read_answer(port: int, number: int, answer: PacedAnswer) -> ReadReport:
    """Send a read to the node of this number, and report what came back."""
    report = ReadReport()
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    text = request(ident=f"paced{number}").replace(b"Deadline: 20.0", b"Deadline: %.3f" % answer.deadline_s)
    sent_s = loop.time()
    writer.write(text.replace(b"shard=0", b"shard=%d" % number))
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            head = await reader.readuntil(b"\r\n\r\n")
            report.first_byte_s = loop.time() - sent_s
            report.status = int(head.split()[1])
            report.end = "whole" if await _read_body(reader, head) == answer.body else "different"
    except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
        report.end = "cut off" if report.status else "no answer"
    report.end_s = loop.time() - sent_s
    writer.transport.abort()
    return report


async def _read_body(reader: Reader, head: bytes) -> bytes:
    if b"Content-Length" in head:
        return await reader.readexactly(int(head.partition(b"Content-Length: ")[2].split()[0]))
    body = bytearray()
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return bytes(body)


async def play_answers(answers: Sequence[PacedAnswer], folder: Path) -> dict[PacedAnswer, ReadReport]:
    """Read all answers at the same time through one scheduler, each from a node of its own."""
    config = settings(try_limit=4, second_copies=True, cancel=True)
    for profile in config["profiles"]:
        profile |= {"aim": OBJECTIVE_MS, "hard_limit": 1000 * LONGEST_DEADLINE_S}
    deployment = Deployment(folder, config=config, sockets=SOCKETS, memory_mb=MEMORY_MB)
    deployment.nodes = [PacedNode(f"node{number}", answer) for number, answer in enumerate(answers)]
    async with deployment:
        reads = [read_answer(deployment.front, number, answer) for number, answer in enumerate(answers)]
        reports = await asyncio.gather(*reads)
    return dict(zip(answers, reports, strict=True))
