"""Parsing of HTTP messages from a stream of bytes."""

from __future__ import annotations

import re

from sabledyke.protocol.http.chunked import ChunkedBody
from sabledyke.protocol.http.head import is_http_1_0, parse_head
from sabledyke.protocol.http.message import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_RESPONSE_BODY_BYTES,
    HttpError,
    HttpMessage,
)

_LENGTH = re.compile(rb"[0-9]{1,9}")
_LINE_END = b"\r\n"
_HEAD_END = b"\r\n\r\n"
_STATUSES_WITHOUT_BODY = (0, 204, 304)  # 0 stands for a request


class HttpParser:
    """Splits a stream of bytes into messages.

    Feed it bytes in chunks of any size and call ``next_message`` until it returns None. After an error the
    parser cannot be used any more.
    """

    def __init__(self, *, responses: bool = False) -> None:
        self._responses = responses
        self._max_body_bytes = MAX_RESPONSE_BODY_BYTES if responses else MAX_BODY_BYTES
        self._data = bytearray()
        self._message: HttpMessage | None = None  # message whose body is incomplete
        self._body_bytes = 0  # length of a body that is neither chunked nor ended by the connection
        self._chunked_body: ChunkedBody | None = None
        self._body_ends_with_stream = False
        self._interim_bytes = 0  # size of the interim responses before this message

    @property
    def idle(self) -> bool:
        """True if no part of a message is buffered."""
        return not self._data and self._message is None

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that are buffered until their message is complete."""
        return len(self._data) + (len(self._message.body) if self._message is not None else 0)

    @property
    def receiving_body(self) -> bool:
        """True if the head of a message is complete and its body is not."""
        return self._message is not None

    @property
    def expects_continue(self) -> bool:
        """True if the sender of the body waits for an interim response with status 100."""
        message = self._message
        return message is not None and message.headers.get("expect", "").lower() == "100-continue"

    def feed(self, data: bytes) -> None:
        """Append received bytes.

        Raises:
            HttpError: The buffered bytes exceed the limit of one message.
        """
        self._data += data
        if len(self._data) > MAX_HEAD_BYTES + 2 * self._max_body_bytes:
            raise HttpError("buffered input exceeds the limit of one message")

    def next_message(self) -> HttpMessage | None:
        """Return the next complete message, or None if more bytes are needed.

        Raises:
            HttpError: The bytes are not a valid or supported message.
        """
        while self._message is None:
            if not self._read_head():
                return None
        message = self._message
        if not self._read_body(message):
            return None
        self._message = None
        return message

    def on_end_of_stream(self) -> HttpMessage | None:
        """Return the response whose body ends with the connection, or None if there is none.

        Raises:
            HttpError: The connection ended within a message.
        """
        message = self._message
        if message is not None and self._body_ends_with_stream:
            message.body = bytes(self._data)
            message.keep_alive = False
            self._data.clear()
            self._message = None
            self._body_ends_with_stream = False
            return message
        if not self.idle:
            raise HttpError("connection ended within a message")
        return None

    def _read_head(self) -> bool:
        """Parse one head, and return False if it is incomplete; an interim response is skipped."""
        self._skip_blank_lines()
        end = self._data.find(_HEAD_END, 0, MAX_HEAD_BYTES)
        if end < 0:
            if len(self._data) >= MAX_HEAD_BYTES:
                raise HttpError("head too large", 431)
            return False
        lines = bytes(self._data[:end]).split(_LINE_END)
        head_bytes = end + len(_HEAD_END)
        del self._data[:head_bytes]
        http_1_0 = is_http_1_0(lines[0])
        message = parse_head(lines, response=self._responses, http_1_0=http_1_0)
        if 100 <= message.status < 200:
            self._skip_interim_response(head_bytes)
            return True
        self._start_body(message, http_1_0=http_1_0)
        self._message = message
        self._interim_bytes = 0
        return True

    def _skip_blank_lines(self) -> None:
        while self._data[:2] == _LINE_END:
            del self._data[:2]

    def _skip_interim_response(self, head_bytes: int) -> None:
        """Skip an interim response, which has no body and precedes the final one."""
        self._interim_bytes += head_bytes
        if self._interim_bytes > MAX_HEAD_BYTES:
            raise HttpError("interim responses exceed the limit of a head")

    def _start_body(self, message: HttpMessage, *, http_1_0: bool) -> None:
        """Determine the end of the body from the headers and the status."""
        self._chunked_body = None
        self._body_ends_with_stream = False
        coding = message.headers.get("transfer-encoding")
        length = message.headers.get("content-length")
        if coding is not None:
            if length is not None or coding.lower() != "chunked" or http_1_0:
                raise HttpError("unsupported transfer coding")
            self._chunked_body = ChunkedBody(self._max_body_bytes)
        elif length is not None:
            self._body_bytes = self._parse_length(length)
        elif message.status in _STATUSES_WITHOUT_BODY:
            self._body_bytes = 0
        else:
            self._body_ends_with_stream = True

    def _parse_length(self, text: str) -> int:
        if not _LENGTH.fullmatch(text.encode("latin-1")):
            raise HttpError("malformed content length")
        length_bytes = int(text)
        if length_bytes > self._max_body_bytes:
            raise HttpError("body too large", 413)
        return length_bytes

    def _read_body(self, message: HttpMessage) -> bool:
        """Move the body to the message, and return whether it is complete."""
        if self._chunked_body is not None:
            return self._chunked_body.read(self._data, message)
        if self._body_ends_with_stream or len(self._data) < self._body_bytes:
            return False
        message.body = bytes(self._data[: self._body_bytes])
        del self._data[: self._body_bytes]
        return True
