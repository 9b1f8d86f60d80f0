"""The server's side of message framing in PostgreSQL's protocol 3.0."""

from __future__ import annotations

import asyncio
import struct

SSL_REQUEST = 80877103
CANCEL_REQUEST = 80877102


class MessageStream:
    """A connection whose outgoing messages are buffered until they are flushed."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._output = b""

    def _send(self, kind: bytes, body: bytes = b"") -> None:
        self._output += kind + struct.pack("!I", len(body) + 4) + body

    async def _flush(self) -> None:
        data = self._output
        self._output = b""
        self._writer.write(data)
        await self._writer.drain()

    async def _receive(self) -> tuple[bytes, bytes]:
        """Read a message; return its type and its body."""
        kind = await self._reader.readexactly(1)
        return kind, await self._receive_body()

    async def _receive_startup(self) -> tuple[int, bytes]:
        """Read the first message after rejecting SSLRequests; return its code and the rest of its body."""
        while True:
            body = await self._receive_body()
            (code,) = struct.unpack_from("!I", body)
            if code != SSL_REQUEST:
                return code, body[4:]
            self._writer.write(b"N")

    async def _receive_body(self) -> bytes:
        (size,) = struct.unpack("!I", await self._reader.readexactly(4))
        return await self._reader.readexactly(size - 4)
