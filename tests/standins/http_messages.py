"""HTTP/1.1 messages of clients and storage nodes."""

from __future__ import annotations

import asyncio

from tests.standins.service import Reader


async def read_http(reader: Reader) -> tuple[str, dict[str, str], bytes]:
    """Read a message whose body has a Content-Length; return its first line, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first_line, *lines = head.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, value = line.split(":", 1)
        headers[name.lower()] = value.strip()
    return first_line, headers, await reader.readexactly(int(headers.get("content-length", 0)))


def http(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return a response with a Content-Length and further header lines."""
    lines = [f"HTTP/1.1 {status} Whatever", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def send_request(port: int, text: str, body: bytes = b"") -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection; return status, headers and body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(text.replace("\n", "\r\n").encode() + body)
    first_line, headers, answer = await read_http(reader)
    writer.close()
    return int(first_line.split()[1]), headers, answer
