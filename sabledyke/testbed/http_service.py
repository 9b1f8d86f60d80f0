"""What stand-ins of HTTP services share, on aiohttp's server.

One JSON (or empty) body in, one out, and connections that stay open.
"""

from __future__ import annotations

import asyncio
import socket

from aiohttp import web

from sabledyke.testbed.ports import hold_port


class Service:
    """Listens on loopback; ``answer`` is called for each request with path, headers and body."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._held: socket.socket | None = None  # keeps the port between two lives
        self._protocols = web.Server(self._handle, access_log=None)
        self.port = 0

    async def open(self) -> None:
        """Begin to listen, on the port that it had before if it had one."""
        if self._held is None:
            self._held = hold_port()
            self.port = int(self._held.getsockname()[1])
        self._protocols = web.Server(self._handle, access_log=None)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._protocols, "127.0.0.1", self.port, reuse_port=True)

    async def answer(self, path: str, headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
        """Status and body."""
        raise NotImplementedError

    async def close(self) -> None:
        """Refuse what comes and reset what is open, as a process that dies does."""
        if self._server is not None:
            self._server.close()
        for protocol in self._protocols.connections:
            if protocol.transport is not None:
                protocol.transport.abort()
        await self._protocols.shutdown(0)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        headers = {name.lower(): value for name, value in request.headers.items()}
        status, said = await self.answer(request.path, headers, await request.read())
        return web.Response(status=status, body=said)
