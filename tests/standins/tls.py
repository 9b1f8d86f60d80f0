"""Stand-ins for storage nodes that speak TLS or break it, on loopback and the standard library's TLS."""

from __future__ import annotations

import asyncio
import ssl
import tempfile
from pathlib import Path

from tests.standins import HttpBox, Reader, Service, Writer


def server_context(
    chain: bytes, key: bytes, roots: bytes = b"", version: ssl.TLSVersion = ssl.TLSVersion.TLSv1_3
) -> ssl.SSLContext:
    """Return a server's context; with roots it requires a certificate of its clients."""
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


class TlsBox(HttpBox):
    """An HTTP storage node behind TLS; it counts handshakes, and accepts a new context in service."""

    def __init__(self, context: ssl.SSLContext) -> None:
        super().__init__()
        self.context = context
        self.handshakes = 0
        self.resumed = 0

    async def open(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._client, "127.0.0.1", port, ssl=self.context)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def talk(self, reader: Reader, writer: Writer) -> None:
        self.handshakes += 1
        self.resumed += bool(writer.get_extra_info("ssl_object").session_reused)
        await super().talk(reader, writer)

    async def renew(self, context: ssl.SSLContext, *, reset: bool = False) -> None:
        """A new certificate, at the same port; open connections live on unless they are reset."""
        self._server.close()
        if reset:
            for writer in list(self._writers):
                writer.transport.abort()
        self.context = context
        await self.open(self.port)


class Saying(Service):
    """Reads what comes, sends some bytes, and then closes, stalls, or resets."""

    def __init__(self, data: bytes, then: str) -> None:
        super().__init__()
        self.data, self.then = data, then
        self.came = 0

    async def talk(self, reader: Reader, writer: Writer) -> None:
        self.came += 1
        await reader.read(65536)
        writer.write(self.data)
        await writer.drain()
        if self.then == "stall":
            await asyncio.sleep(3600)
        elif self.then == "reset":
            writer.transport.abort()


class Between(Service):
    """Forwards bytes to a storage node, and cuts off after so many of its bytes, or stalls there."""

    def __init__(self, port: int, after: int, how: str) -> None:
        super().__init__()
        self._port, self.after, self.how = port, after, how
        self.came = 0

    async def talk(self, reader: Reader, writer: Writer) -> None:
        self.came += 1
        there, back = await asyncio.open_connection("127.0.0.1", self._port)
        self._writers.add(back)

        async def forward() -> None:
            while data := await reader.read(65536):
                back.write(data)

        task = asyncio.create_task(forward())
        try:
            left = self.after
            while left > 0:
                data = await there.read(min(65536, left))
                if not data:
                    return
                left -= len(data)
                writer.write(data)
                await writer.drain()
            if self.how == "stall":
                await asyncio.sleep(3600)
            elif self.how == "reset":
                writer.transport.abort()
        finally:
            task.cancel()
            back.transport.abort()
            self._writers.discard(back)
