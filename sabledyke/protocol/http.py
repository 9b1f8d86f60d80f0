"""HTTP/1.1 as state machines that are fed bytes: requests on one side, responses on the other."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

from sabledyke.errors import SabledykeError

MAX_HEAD, MAX_BODY = 16 * 1024, 64 * 1024
MAX_ANSWER = 1024 * 1024  # bytes in an answer's body: boxes were seen to send 350 KB
MAX_INPUT = MAX_HEAD + 2 * MAX_BODY  # what may wait unparsed: a head and a body in small chunks
_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(rb"[\x21-\x7e]+")
_DIGITS, _HEX = re.compile(rb"[0-9]{1,9}"), re.compile(rb"[0-9A-Fa-f]{1,8}")
_BAD_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class HttpError(SabledykeError):
    """The bytes are not a message of this protocol, or it is larger than allowed; what to answer a client."""

    code, remedy = "http", "tell whoever runs that peer"

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """A whole request (method, target) or response (status); header names are in lower case."""

    method: str = ""
    target: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True


class Parser:
    """Feed it bytes in any cuts, take whole messages from ``next``; one that raised is of no more use."""

    def __init__(self, *, responses: bool = False) -> None:
        self._responses = responses
        self._most = MAX_ANSWER if responses else MAX_BODY
        self._data = bytearray()
        self._message: Message | None = None  # its head is read, its body is not
        self._length = 0  # bytes of body to come, where they do not come in chunks
        self._chunked = False
        self._trailer = -1  # bytes of trailer lines so far, once the last chunk is read
        self._interim = 0  # bytes of interim answers before this one
        self._to_close = False  # an answer that states no length: its body ends with the connection

    def feed(self, data: bytes) -> None:
        """Take some bytes."""
        self._data += data
        if len(self._data) > MAX_HEAD + 2 * self._most:
            raise HttpError("more input than one message may have")

    @property
    def held(self) -> int:
        """Bytes that wait for the rest of their message."""
        return len(self._data) + (len(self._message.body) if self._message is not None else 0)

    @property
    def in_body(self) -> bool:
        """A message's head is read and its body is coming."""
        return self._message is not None

    @property
    def expects(self) -> bool:
        """The message whose body is coming waits for an interim 100 before it sends it."""
        message = self._message
        return message is not None and message.headers.get("expect", "").lower() == "100-continue"

    def end(self) -> Message | None:
        """The connection ended in order: the answer whose body ends with it, or None where none does.

        An HttpError where a message was cut off: half a head, or less of a body than it said.
        """
        message = self._message
        if message is not None and self._to_close:
            message.body, message.keep_alive = bytes(self._data), False
            self._data.clear()
            self._message, self._to_close = None, False
            return message
        if not self.idle:
            raise HttpError("a message cut off by the end of its connection")
        return None

    @property
    def idle(self) -> bool:
        """Nothing of a message has come in."""
        return not self._data and self._message is None

    def next(self) -> Message | None:
        """The next whole message, or None until more bytes come."""
        while self._message is None:
            if not self._head():
                return None
        message = self._message
        assert message is not None
        if self._chunked:
            if not self._chunks(message):
                return None
        elif self._to_close or len(self._data) < self._length:
            return None
        else:
            message.body = bytes(self._data[: self._length])
            del self._data[: self._length]
        self._message = None
        return message

    def _head(self) -> bool:
        """Read one head, if it is whole; that of an interim answer is passed over."""
        while self._data[:2] == b"\r\n":  # blank lines before a message are passed over
            del self._data[:2]
        end = self._data.find(b"\r\n\r\n", 0, MAX_HEAD)
        if end < 0:
            if len(self._data) >= MAX_HEAD:
                raise HttpError("head too large", 431)
            return False
        first, *lines = bytes(self._data[:end]).split(b"\r\n")
        del self._data[: end + 4]
        message = self._first_line(first)
        for line in lines:
            name, colon, value = line.partition(b":")
            if not colon or not _TOKEN.fullmatch(name) or _BAD_VALUE.search(value):
                raise HttpError("malformed header line")
            key, text = name.decode().lower(), value.strip(b" \t").decode("latin-1")
            if key in message.headers:
                if key in ("content-length", "transfer-encoding", "req-id"):
                    raise HttpError(f"more than one {key}")
                text = f"{message.headers[key]}, {text}"
            message.headers[key] = text
        options = {t.strip() for t in message.headers.get("connection", "").lower().split(",")}
        if b"HTTP/1.0" in (first[:8], first[-8:]):
            message.keep_alive = "keep-alive" in options
        else:
            message.keep_alive = "close" not in options
        if 100 <= message.status < 200:  # an interim answer has no body; the real one follows
            self._interim += end + 4
            if self._interim > MAX_HEAD:
                raise HttpError("interim answers without end")
            return True
        self._framing(message, b"HTTP/1.0" in (first[:8], first[-8:]))
        self._message, self._interim = message, 0
        return True

    def _first_line(self, line: bytes) -> Message:
        parts = line.split(b" ", 2)
        if self._responses:
            if len(parts) < 2 or parts[0] not in (b"HTTP/1.1", b"HTTP/1.0"):
                raise HttpError("malformed status line")
            if not re.fullmatch(rb"[1-5][0-9][0-9]", parts[1]):
                raise HttpError("malformed status")
            return Message(status=int(parts[1]))
        if len(parts) != 3 or parts[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise HttpError("malformed request line")
        if not _TOKEN.fullmatch(parts[0]) or not _TARGET.fullmatch(parts[1]):
            raise HttpError("malformed method or target")
        return Message(method=parts[0].decode(), target=parts[1].decode())

    def _framing(self, message: Message, old: bool) -> None:
        coding, length = message.headers.get("transfer-encoding"), message.headers.get("content-length")
        self._chunked, self._trailer, self._to_close = False, -1, False
        if coding is not None:
            if length is not None or coding.lower() != "chunked" or old:
                raise HttpError("unsupported transfer coding")
            self._chunked = True
        elif length is not None:
            if not _DIGITS.fullmatch(length.encode("latin-1")):
                raise HttpError("malformed content length")
            self._length = int(length)
            if self._length > self._most:
                raise HttpError("body too large", 413)
        elif message.status in (0, 204, 304):
            self._length = 0
        else:  # ends with its connection; ``end`` tells an orderly end from one that broke it off
            self._to_close = True

    def _chunks(self, message: Message) -> bool:
        while True:
            end = self._data.find(b"\r\n")
            if end < 0:
                if len(self._data) > 1024:
                    raise HttpError("chunk line too long")
                return False
            line = bytes(self._data[:end])
            if self._trailer >= 0:
                self._trailer += end + 2
                if self._trailer > MAX_HEAD:
                    raise HttpError("trailer too large")
                del self._data[: end + 2]
                if not line:
                    return True
                continue
            digits = line.partition(b";")[0].rstrip(b" \t")
            if not _HEX.fullmatch(digits):
                raise HttpError("malformed chunk size")
            size = int(digits, 16)
            if len(message.body) + size > self._most:
                raise HttpError("body too large", 413)
            if size == 0:
                self._trailer = 0
                del self._data[: end + 2]
                continue
            stop = end + 2 + size
            if len(self._data) < stop + 2:
                return False
            if self._data[stop : stop + 2] != b"\r\n":
                raise HttpError("chunk does not end where it says")
            message.body += bytes(self._data[end + 2 : stop])
            del self._data[: stop + 2]


REASONS = {
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
    """A request; its length is stated wherever it has a body or its method usually brings one."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    if body or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def encode_response(
    status: int, headers: Iterable[tuple[str, str]] = (), body: bytes = b"", *, close: bool = False
) -> bytes:
    """A response with its length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += ["Connection: close"] if close else []
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
