"""A stand-in that listens on a port of its own."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TypeAlias

Reader: TypeAlias = asyncio.StreamReader
Writer: TypeAlias = asyncio.StreamWriter
FOREVER_S = 3600  # longer than any test takes


class Service:
    """Serves each connection with ``talk``."""

    def __init__(self) -> None:
        self._writers: set[Writer] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def talk(self, reader: Reader, writer: Writer) -> None:
        """Serve a connection until it ends."""
        raise NotImplementedError

    def die(self) -> None:
        """Reset open connections, and reject new ones."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _client(self, reader: Reader, writer: Writer) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
                await self.talk(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()
