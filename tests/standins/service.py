"""The base class of stand-ins that listen on a TCP port."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TypeAlias

Reader: TypeAlias = asyncio.StreamReader
Writer: TypeAlias = asyncio.StreamWriter
FOREVER_S = 3600  # longer than any test runs


class Service:
    """A TCP server on loopback that handles each connection with ``serve_connection``."""

    def __init__(self) -> None:
        self._writers: set[Writer] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def serve_connection(self, reader: Reader, writer: Writer) -> None:
        """Handle a connection until it ends; subclasses implement this."""
        raise NotImplementedError

    def die(self) -> None:
        """Reset open connections, and refuse new ones."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _client(self, reader: Reader, writer: Writer) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
                await self.serve_connection(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()
