"""Parsing of the head of an HTTP message, one line at a time: its first line and headers."""

from __future__ import annotations

import re

from sabledyke.protocol.http.message import MAX_HEADER_LINES, HttpError, HttpMessage
from sabledyke.protocol.platform_names import REQUEST_ID

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(rb"[\x21-\x7e]+")
_STATUS = re.compile(rb"[1-5][0-9][0-9]")
_FORBIDDEN_IN_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_VERSIONS = (b"HTTP/1.1", b"HTTP/1.0")
_HTTP_1_0 = b"HTTP/1.0"
_NEVER_REPEATED = ("content-length", "transfer-encoding", REQUEST_ID)
_FRAMING = frozenset({"connection", "content-length", "expect", "transfer-encoding"})


class HeadBuilder:
    """Parses the lines of one head.

    Guards against heads of very many short fields: the values of headers that the program does not read are
    checked and dropped, as each would take many times the memory of its bytes.

    Attributes:
        http_1_0: True if the first line states the version HTTP/1.0.
        value_bytes: Size of the values that were kept.
    """

    def __init__(self, first_line: bytes, *, response: bool, header_names: frozenset[str] | None) -> None:
        """Parse the first line.

        Args:
            first_line: The line, without its line end.
            response: Whether the message is a response.
            header_names: Lower-case names of the headers to keep, beside those of the framing; None for all.

        Raises:
            HttpError: The line is malformed.
        """
        self.http_1_0 = _HTTP_1_0 in (first_line[:8], first_line[-8:])
        self.value_bytes = 0
        self._header_names = header_names
        self._message = _parse_status_line(first_line) if response else _parse_request_line(first_line)
        self._values: dict[str, bytearray] = {}
        self._line_count = 0  # header lines so far

    def add_header(self, line: bytes) -> None:
        """Parse a header line.

        Raises:
            HttpError: The line is malformed, repeats a header that must not be repeated, or is one too many.
        """
        self._line_count += 1
        if self._line_count > MAX_HEADER_LINES:
            raise HttpError("too many header lines", 431)
        name, colon, value = line.partition(b":")
        if not colon or not _TOKEN.fullmatch(name) or _FORBIDDEN_IN_VALUE.search(value):
            raise HttpError("malformed header line")
        key = name.decode().lower()
        if self._header_names is not None and key not in self._header_names and key not in _FRAMING:
            return
        text = value.strip(b" \t")
        self.value_bytes += len(text)
        if key not in self._values:
            self._values[key] = bytearray(text)
            return
        if key in _NEVER_REPEATED:
            raise HttpError(f"more than one {key} header")
        self._values[key] += b", " + text

    def finish(self) -> HttpMessage:
        """Return the message without its body, at the end of the head."""
        message = self._message
        message.headers = {key: value.decode("latin-1") for key, value in self._values.items()}
        message.http_1_0 = self.http_1_0
        message.keep_alive = _keeps_alive(message, http_1_0=self.http_1_0)
        return message


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


def _keeps_alive(message: HttpMessage, *, http_1_0: bool) -> bool:
    options = {option.strip() for option in message.headers.get("connection", "").lower().split(",")}
    if http_1_0:
        return "keep-alive" in options
    return "close" not in options
