"""A fault proxy on loopback: bytes between two processes, delayed, held back one way or both, or cut.

Told by the experiment when which fault begins and ends. Draws nothing by itself but jitter, from the seed
that is passed in. Bounded: at most ``MOST`` connections, and ``ROOM`` bytes a read.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

MOST, ROOM = 256, 65536


@dataclass(slots=True)
class Way:
    """What happens to bytes that go one way."""

    delay: float = 0.0  # ms, and up to ``jitter`` more
    jitter: float = 0.0
    held: int = 0  # reads that wait for that, now
    cut: int = -1  # the connection is reset after so many more bytes; -1 for never
    passes: asyncio.Event = field(default_factory=asyncio.Event)  # held back while it is not set

    def __post_init__(self) -> None:
        self.passes.set()


class Proxy:
    """Listens on a port of its own, for one process on its way to one other."""

    def __init__(self, port: int, seed: int) -> None:
        self._port, self._random = port, Random(seed)
        self.to, self.back = Way(), Way()
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def open(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def part(self, to: bool = True, back: bool = True) -> None:
        """Hold back what goes to the far side, what comes from it, or both; nothing is lost until ``cut``."""
        for way, held in ((self.to, to), (self.back, back)):
            if held:
                way.passes.clear()

    def heal(self) -> None:
        """Let all pass, late bytes first, without delay or cut."""
        for way in (self.to, self.back):
            way.delay, way.jitter, way.cut = 0.0, 0.0, -1
            way.passes.set()

    def cut(self) -> None:
        """Reset what is open; what was held back on it is lost."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening, and reset what is open."""
        self._server.close()
        self.cut()

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._writers) >= 2 * MOST:
            writer.transport.abort()
            return
        self._writers.add(writer)
        far: asyncio.StreamWriter | None = None
        try:
            answers, far = await asyncio.open_connection("127.0.0.1", self._port)
            self._writers.add(far)
            async with asyncio.TaskGroup() as both:
                both.create_task(self._carry(reader, far, self.to))
                both.create_task(self._carry(answers, writer, self.back))
        except* (ConnectionError, OSError):
            pass
        finally:
            for end in (writer, far):
                if end is not None:
                    self._writers.discard(end)
                    end.transport.abort()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Way) -> None:
        while data := await reader.read(ROOM):
            if way.delay or way.jitter:
                await asyncio.sleep((way.delay + self._random.random() * way.jitter) / 1000)
            way.held += 1
            await way.passes.wait()
            way.held -= 1
            if 0 <= way.cut < len(data):
                writer.write(data[: way.cut])
                await writer.drain()
                way.cut = -1
                raise ConnectionResetError("cut in the middle of a message")
            way.cut -= len(data) if way.cut >= 0 else 0
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
