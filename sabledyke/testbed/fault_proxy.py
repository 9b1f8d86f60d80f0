"""A fault proxy on loopback: delays, holds back or cuts off the bytes between two processes.

The experiment begins and ends the faults; the proxy's only random choice is jitter, from its seed. It is
bounded by ``MAX_CONNECTIONS`` connections and ``READ_BYTES`` bytes per read.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

MAX_CONNECTIONS = 256
READ_BYTES = 65536


@dataclass(slots=True)
class Direction:
    """Faults of the bytes that go in one direction.

    Attributes:
        delay_ms: The delay of each read.
        jitter_ms: The largest random addition to the delay.
        pending_reads: The number of reads that are held back now.
        bytes_until_reset: The number of further bytes after which the connection is reset; None for no reset.
        passing: Cleared while bytes are held back.
    """

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    pending_reads: int = 0
    bytes_until_reset: int | None = None
    passing: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.passing.set()

    def heal(self) -> None:
        """End all faults of this direction."""
        self.delay_ms = 0.0
        self.jitter_ms = 0.0
        self.bytes_until_reset = None
        self.passing.set()


class Proxy:
    """Listens on a port of its own, between one process and one server.

    Attributes:
        to_server: Faults of the bytes from the process to the server.
        to_client: Faults of the bytes from the server to the process.
        port: The port of the listener; 0 until it is open.
    """

    def __init__(self, server_port: int, seed: int) -> None:
        self.to_server = Direction()
        self.to_client = Direction()
        self.port = 0
        self._server_port = server_port
        self._random = Random(seed)
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Start the listener."""
        self._listener = await asyncio.start_server(self._on_connection, "127.0.0.1", 0)
        self.port = int(self._listener.sockets[0].getsockname()[1])

    def partition(self, *, to_server: bool = True, to_client: bool = True) -> None:
        """Hold back the bytes of one direction or both; none are lost unless the connection is reset."""
        if to_server:
            self.to_server.passing.clear()
        if to_client:
            self.to_client.passing.clear()

    def heal(self) -> None:
        """End all faults; bytes that were held back pass first."""
        self.to_server.heal()
        self.to_client.heal()

    def reset_connections(self) -> None:
        """Reset all open connections; bytes that were held back on them are lost."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening, and reset all open connections."""
        if self._listener is not None:
            self._listener.close()
        self.reset_connections()

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._writers) >= 2 * MAX_CONNECTIONS:
            writer.transport.abort()
            return
        self._writers.add(writer)
        server_writer: asyncio.StreamWriter | None = None
        try:
            server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self._server_port)
            self._writers.add(server_writer)
            async with asyncio.TaskGroup() as both:
                both.create_task(self._forward(reader, server_writer, self.to_server))
                both.create_task(self._forward(server_reader, writer, self.to_client))
        except* (ConnectionError, OSError):
            pass
        finally:
            for end in (writer, server_writer):
                if end is not None:
                    self._writers.discard(end)
                    end.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        while data := await reader.read(READ_BYTES):
            await self._hold_back(direction)
            await _write(data, writer, direction)
        if writer.can_write_eof():
            writer.write_eof()

    async def _hold_back(self, direction: Direction) -> None:
        """Wait for the direction's delay, and until its bytes are no longer held back."""
        if direction.delay_ms or direction.jitter_ms:
            jitter_ms = self._random.random() * direction.jitter_ms
            await asyncio.sleep((direction.delay_ms + jitter_ms) / 1000)
        direction.pending_reads += 1
        await direction.passing.wait()
        direction.pending_reads -= 1


async def _write(data: bytes, writer: asyncio.StreamWriter, direction: Direction) -> None:
    """Write the data, or the part of it that precedes the connection's reset.

    Raises:
        ConnectionResetError: The connection must be reset now.
    """
    remaining = direction.bytes_until_reset
    if remaining is not None and remaining < len(data):
        writer.write(data[:remaining])
        await writer.drain()
        direction.bytes_until_reset = None
        raise ConnectionResetError("fault proxy resets the connection in the middle of a message")
    if remaining is not None:
        direction.bytes_until_reset = remaining - len(data)
    writer.write(data)
    await writer.drain()
