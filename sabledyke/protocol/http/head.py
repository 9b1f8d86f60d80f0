"""Parsing of the head of an HTTP message: its first line and headers."""

from __future__ import annotations

import re

from sabledyke.protocol.http.message import HttpError, HttpMessage
from sabledyke.protocol.platform_names import REQUEST_ID

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(rb"[\x21-\x7e]+")
_STATUS = re.compile(rb"[1-5][0-9][0-9]")
_FORBIDDEN_IN_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_VERSIONS = (b"HTTP/1.1", b"HTTP/1.0")
_HTTP_1_0 = b"HTTP/1.0"
_NEVER_REPEATED = ("content-length", "transfer-encoding", REQUEST_ID)


def parse_head(lines: list[bytes], *, response: bool, http_1_0: bool) -> HttpMessage:
    """Parse the head of a message, and return the message without its body.

    Args:
        lines: The lines of the head, without the blank line that ends it.
        response: Whether the message is a response.
        http_1_0: Whether the first line states the version HTTP/1.0.

    Raises:
        HttpError: The head is malformed.
    """
    message = _parse_status_line(lines[0]) if response else _parse_request_line(lines[0])
    for line in lines[1:]:
        _add_header(message, line)
    message.keep_alive = _keeps_alive(message, http_1_0=http_1_0)
    return message


def is_http_1_0(first_line: bytes) -> bool:
    """Return whether the first line of a head states the version HTTP/1.0."""
    return _HTTP_1_0 in (first_line[:8], first_line[-8:])


def _parse_status_line(line: bytes) -> HttpMessage:
    words = line.split(b" ", 2)
    if len(words) < 2 or words[0] not in _VERSIONS:
        raise HttpError("malformed status line")
    if not _STATUS.fullmatch(words[1]):
        raise HttpError("malformed status")
    return HttpMessage(status=int(words[1]))


def _parse_request_line(line: bytes) -> HttpMessage:
    words = line.split(b" ", 2)
    if len(words) != 3 or words[2] not in _VERSIONS:
        raise HttpError("malformed request line")
    if not _TOKEN.fullmatch(words[0]) or not _TARGET.fullmatch(words[1]):
        raise HttpError("malformed method or target")
    return HttpMessage(method=words[0].decode(), target=words[1].decode())


def _add_header(message: HttpMessage, line: bytes) -> None:
    name, colon, value = line.partition(b":")
    if not colon or not _TOKEN.fullmatch(name) or _FORBIDDEN_IN_VALUE.search(value):
        raise HttpError("malformed header line")
    key = name.decode().lower()
    text = value.strip(b" \t").decode("latin-1")
    if key not in message.headers:
        message.headers[key] = text
        return
    if key in _NEVER_REPEATED:
        raise HttpError(f"more than one {key} header")
    message.headers[key] = f"{message.headers[key]}, {text}"


def _keeps_alive(message: HttpMessage, *, http_1_0: bool) -> bool:
    options = {option.strip() for option in message.headers.get("connection", "").lower().split(",")}
    if http_1_0:
        return "keep-alive" in options
    return "close" not in options
