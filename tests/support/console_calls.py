"""Calls to the operators' console."""

from __future__ import annotations

import asyncio

from tests.standins import read_http


async def call(port: int | None, method: str, path: str) -> tuple[int, bytes, bytes]:
    """One call to the console: status, body, and what came after the answer before the end."""
    assert port is not None
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: console\r\n\r\n".encode())
    first, headers, body = await read_http(reader)
    rest = await reader.read()  # the console ends every connection after its answer
    writer.close()
    assert headers["connection"] == "close"
    return int(first.split()[1]), body, rest


def stats(body: bytes) -> dict[str, int]:
    """Figures by name, from their line form."""
    out = {}
    for line in body.decode().splitlines():
        name, _, rest = line.partition(":")
        value, _, kind = rest.partition("|")
        assert kind in ("c", "g"), line
        out[name] = int(value)
    return out
