"""A storage node with TLS whose answers have no length: their end is the end of the connection."""

from __future__ import annotations

import asyncio
import ssl
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig  # noqa: E402

PIECES = 20
PIECE = b"0123456789abcdef" * 64
PIECE_S = 0.025


async def handle(_: rig.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer one request piece by piece, then end the connection in good order, with close_notify."""
    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
    for number in range(PIECES):
        writer.write(b"%04d" % number + PIECE)
        await writer.drain()
        await asyncio.sleep(PIECE_S)
    writer.close()
    await reader.read()
    raise ConnectionResetError  # no further request on this connection


def whole() -> bytes:
    """Return the body of each answer."""
    return b"".join(b"%04d" % number + PIECE for number in range(PIECES))


async def serve(pair: str) -> None:
    """Print the port, and serve until the process is ended."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(pair)
    service = rig.Service(handle, ssl_context=context)
    await service.open()
    print(service.port, flush=True)
    await asyncio.sleep(120)


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1]))
