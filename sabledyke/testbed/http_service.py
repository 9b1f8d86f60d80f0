"""Base class of simulated HTTP services, on aiohttp's server with persistent connections."""

from __future__ import annotations

import asyncio
import socket

from aiohttp import web

from sabledyke.testbed.ports import hold_port

HOST = "127.0.0.1"


class Service:
    """An HTTP service on a loopback port, which stays reserved while the service is closed.

    Attributes:
        port: The port; 0 before the first call of ``open``.
    """

    def __init__(self) -> None:
        self.port = 0
        self._port_reservation: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._handlers: web.Server | None = None  # created by ``open``: it belongs to the running event loop

    async def open(self) -> None:
        """Start the listener; each call uses the same port."""
        if self._port_reservation is None:
            self._port_reservation = hold_port()
            self.port = int(self._port_reservation.getsockname()[1])
        self._handlers = web.Server(self._handle, access_log=None)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._handlers, HOST, self.port, reuse_port=True)

    async def answer(self, path: str, headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
        """Answer a request; subclasses implement it.

        Args:
            path: The request's path.
            headers: The request's headers, by names in lower case.
            body: The request's body.

        Returns:
            The status and the body of the response.
        """
        raise NotImplementedError

    async def close(self) -> None:
        """Reject new connections and reset open ones, like the death of a process."""
        if self._server is not None:
            self._server.close()
        if self._handlers is None:
            return
        for connection in self._handlers.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await self._handlers.shutdown(0)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        headers = {name.lower(): value for name, value in request.headers.items()}
        status, body = await self.answer(request.path, headers, await request.read())
        return web.Response(status=status, body=body)
