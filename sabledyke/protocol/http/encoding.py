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


def _encode_head(lines: list[str]) -> bytes:
    return "\r\n".join([*lines, "", ""]).encode("latin-1")
