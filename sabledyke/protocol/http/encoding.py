"""Encoding of HTTP messages."""

from __future__ import annotations

from collections.abc import Iterable

REASON_PHRASES = {
    100: "Continue",
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


def encode_request(method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes) -> bytes:
    """Encode a request, with Content-Length if it has a body or its method usually has one."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    if body or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body)}")
    return _encode_head(lines) + body


def encode_response(
    status: int, headers: Iterable[tuple[str, str]] = (), body: bytes = b"", *, close: bool = False
) -> bytes:
    """Encode a response with Content-Length.

    Args:
        status: Status of the response.
        headers: Headers other than Content-Length and Connection.
        body: Body of the response.
        close: Whether the response announces the close of the connection.
    """
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Unknown')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if close:
        lines.append("Connection: close")
    return _encode_head(lines) + body


def encode_streamed_head(length_bytes: int | None, *, chunked: bool, close: bool) -> bytes:
    """Encode the head of a response with status 200 whose body follows in parts.

    Args:
        length_bytes: Length of the body; None if it is unknown.
        chunked: Whether a body of unknown length is sent in chunks; otherwise it ends with the connection.
        close: Whether the response announces the close of the connection.
    """
    lines = [f"HTTP/1.1 200 {REASON_PHRASES[200]}"]
    if length_bytes is not None:
        lines.append(f"Content-Length: {length_bytes}")
    elif chunked:
        lines.append("Transfer-Encoding: chunked")
    if close:
        lines.append("Connection: close")
    return _encode_head(lines)


def encode_chunk(data: bytes) -> bytes:
    """Encode a chunk of a body; empty data ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def _encode_head(lines: list[str]) -> bytes:
    return "\r\n".join([*lines, "", ""]).encode("latin-1")
