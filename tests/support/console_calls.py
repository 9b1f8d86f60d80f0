"""HTTP calls to the operators' console."""

from __future__ import annotations

import asyncio

from tests.standins import read_http


async def call(port: int | None, method: str, path: str) -> tuple[int, bytes, bytes]:
    """Call the console; return the status, the body and any bytes after the answer."""
    assert port is not None
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: console\r\n\r\n".encode())
    first_line, headers, body = await read_http(reader)
    trailing = await reader.read()  # until the console closes the connection, as it does after each answer
    writer.close()
    assert headers["connection"] == "close"
    return int(first_line.split()[1]), body, trailing


def stats(body: bytes) -> dict[str, int]:
    """Parse lines in StatsD format; return the values by metric name."""
    metrics = {}
    for line in body.decode().splitlines():
        name, _, value_and_kind = line.partition(":")
        value, _, kind = value_and_kind.partition("|")
        assert kind in ("c", "g"), line
        metrics[name] = int(value)
    return metrics
