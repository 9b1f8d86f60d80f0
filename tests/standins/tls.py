"""Stand-ins for storage nodes with TLS, and for peers that violate TLS, on the standard library's TLS."""

from __future__ import annotations

import asyncio
import ssl
import tempfile
from pathlib import Path

from tests.standins.http_node import HttpNode
from tests.standins.service import FOREVER_S, Reader, Service, Writer

READ_SIZE = 65536


def server_context(
    chain: bytes, key: bytes, roots: bytes = b"", version: ssl.TLSVersion = ssl.TLSVersion.TLSv1_3
) -> ssl.SSLContext:
    """Return a server context; with ``roots`` it requires client certificates signed by them."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = min(version, ssl.TLSVersion.TLSv1_2)
    context.maximum_version = version
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "pair.pem"
        path.touch(0o600)
        path.write_bytes(key + b"\n" + chain)
        context.load_cert_chain(path)
    if roots:
        context.load_verify_locations(cadata=roots.decode())
        context.verify_mode = ssl.CERT_REQUIRED
    return context


class TlsNode(HttpNode):
    """An HTTP storage node with TLS, which counts handshakes and can change its certificate while running."""

    def __init__(self, context: ssl.SSLContext) -> None:
        super().__init__()
        self.context = context
        self.handshakes = 0
        self.resumed = 0

    async def open(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._client, "127.0.0.1", port, ssl=self.context)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def serve_connection(self, reader: Reader, writer: Writer) -> None:
        self.handshakes += 1
        self.resumed += bool(writer.get_extra_info("ssl_object").session_reused)
        await super().serve_connection(reader, writer)

    async def renew(self, context: ssl.SSLContext, *, reset: bool = False) -> None:
        """Replace the certificate on the same port; open connections remain unless ``reset`` is True."""
        self._server.close()
        if reset:
            for writer in list(self._writers):
                writer.transport.abort()
        self.context = context
        await self.open(self.port)


class FixedResponseNode(Service):
    """Reads once, sends fixed bytes, and then closes, stalls or resets the connection.

    Attributes:
        data: The bytes that the node sends.
        ending: ``stall``, ``reset``, or any other text to close the connection.
        connections: Number of accepted connections.
    """

    def __init__(self, data: bytes, ending: str) -> None:
        super().__init__()
        self.data = data
        self.ending = ending
        self.connections = 0

    async def serve_connection(self, reader: Reader, writer: Writer) -> None:
        self.connections += 1
        await reader.read(READ_SIZE)
        writer.write(self.data)
        await writer.drain()
        if self.ending == "stall":
            await asyncio.sleep(FOREVER_S)
        elif self.ending == "reset":
            writer.transport.abort()


class CuttingProxy(Service):
    """A proxy to a storage node that interrupts the responses after a number of bytes.

    Attributes:
        max_response_bytes: Number of response bytes that are forwarded.
        ending: ``stall``, ``reset``, or any other text to close the connection.
        connections: Number of accepted connections.
    """

    def __init__(self, port: int, max_response_bytes: int, ending: str) -> None:
        super().__init__()
        self._port = port
        self.max_response_bytes = max_response_bytes
        self.ending = ending
        self.connections = 0

    async def serve_connection(self, reader: Reader, writer: Writer) -> None:
        self.connections += 1
        node_reader, node_writer = await asyncio.open_connection("127.0.0.1", self._port)
        self._writers.add(node_writer)
        task = asyncio.create_task(self._forward(reader, node_writer))
        try:
            await self._forward_responses(node_reader, writer)
        finally:
            task.cancel()
            node_writer.transport.abort()
            self._writers.discard(node_writer)

    async def _forward(self, reader: Reader, node_writer: Writer) -> None:
        while True:
            data = await reader.read(READ_SIZE)
            if not data:
                return
            node_writer.write(data)

    async def _forward_responses(self, node_reader: Reader, writer: Writer) -> None:
        remaining = self.max_response_bytes
        while remaining > 0:
            data = await node_reader.read(min(READ_SIZE, remaining))
            if not data:
                return
            remaining -= len(data)
            writer.write(data)
            await writer.drain()
        if self.ending == "stall":
            await asyncio.sleep(FOREVER_S)
        elif self.ending == "reset":
            writer.transport.abort()
