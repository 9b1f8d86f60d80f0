"""Parsing of HTTP messages from a stream of bytes."""

from __future__ import annotations

import re

from sabledyke.protocol.http.chunked import ChunkedBody
from sabledyke.protocol.http.head import HeadBuilder
from sabledyke.protocol.http.input_buffer import InputBuffer
from sabledyke.protocol.http.message import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_RESPONSE_BODY_BYTES,
    HttpError,
    HttpMessage,
)

MAX_STEPS_PER_CALL = 256
"""Limit of the lines and chunks that one call of ``next_message`` parses."""

_LENGTH = re.compile(rb"[0-9]{1,9}")
_LINE_END = b"\r\n"
_STATUSES_WITHOUT_BODY = (0, 204, 304)  # 0 stands for a request


class HttpParser:
    """Splits a stream of bytes into messages, in time linear in the bytes.

    Feed it bytes in chunks of any size and call ``next_message`` until it returns None while ``paused`` is
    False. After an error the parser cannot be used any more.

    Attributes:
        paused: True if the last call of ``next_message`` ended before it had parsed all bytes. Guards against
            one peer's lines and chunks that keep others waiting: the caller lets others run between calls.
        steps: Number of lines and chunks that the last call of ``next_message`` parsed.
    """

    def __init__(
        self,
        *,
        responses: bool = False,
        header_names: frozenset[str] | None = None,
        max_body_bytes: int | None = None,
    ) -> None:
        """Create a parser.

        Args:
            responses: Whether the messages are responses.
            header_names: Lower-case names of the headers that messages contain, beside those of the framing;
                None for all headers.
            max_body_bytes: Limit of a body; None for the usual limit of requests or responses. The caller of
                a larger one takes the body in parts.
        """
        self.paused = False
        self.steps = 0
        self._responses = responses
        self._header_names = header_names
        usual_limit_bytes = MAX_RESPONSE_BODY_BYTES if responses else MAX_BODY_BYTES
        self._max_body_bytes = max_body_bytes or usual_limit_bytes
        self._buffer = InputBuffer()
        self._head: HeadBuilder | None = None  # head that is incomplete
        self._head_bytes = 0  # size of the lines of this head, and of the empty lines before it
        self._message: HttpMessage | None = None  # message whose body is incomplete
        self._body_bytes = 0  # length of a body that is neither chunked nor ended by the connection
        self._chunked_body: ChunkedBody | None = None
        self._body_ends_with_stream = False
        self._interim_bytes = 0  # size of the interim responses before this message

    @property
    def idle(self) -> bool:
        """True if no part of a message is buffered."""
        return not self._buffer and self._head is None and self._message is None

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that are buffered until their message is complete."""
        decoded_bytes = len(self._chunked_body.decoded) if self._chunked_body is not None else 0
        head_bytes = self._head.value_bytes if self._head is not None else 0
        return len(self._buffer) + head_bytes + decoded_bytes

    @property
    def receiving_body(self) -> bool:
        """True if the head of a message is complete and its body is not."""
        return self._message is not None

    @property
    def incomplete_message(self) -> HttpMessage | None:
        """The message whose head is complete and whose body is not, without its body; None without one."""
        return self._message

    @property
    def missing_body_bytes(self) -> int | None:
        """Length of the incomplete message's body, less the parts that were taken; None if not stated."""
        if self._message is None or self._chunked_body is not None or self._body_ends_with_stream:
            return None
        return self._body_bytes

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
        self._buffer.append(data)
        if len(self._buffer) > MAX_HEAD_BYTES + 2 * self._max_body_bytes:
            raise HttpError("buffered input exceeds the limit of one message")

    def next_message(self) -> HttpMessage | None:
        """Return the next complete message; None if more bytes are needed, or if the parser is paused.

        Raises:
            HttpError: The bytes are not a valid or supported message.
        """
        self.paused = False
        self.steps = 0
        while self._message is None or not self._is_body_complete():
            if self.steps == MAX_STEPS_PER_CALL:
                self.paused = True
                return None
            if not self._step():
                return None
            self.steps += 1
        return self._finish_message(self._message)

    def read_body_fragment(self) -> bytes:
        """Take the bytes of the incomplete message's body that have arrived; ``next_message`` omits them.

        They may not exceed the stated length; what follows the body belongs to the next message.
        """
        if self._chunked_body is not None:
            fragment = bytes(self._chunked_body.decoded)
            self._chunked_body.decoded.clear()
            return fragment
        if self._body_ends_with_stream:
            return self._buffer.read(len(self._buffer))
        fragment = self._buffer.read(min(len(self._buffer), self._body_bytes))
        self._body_bytes -= len(fragment)
        return fragment

    def on_end_of_stream(self) -> HttpMessage | None:
        """Return the response whose body ends with the connection, or None if there is none.

        Raises:
            HttpError: The connection ended within a message.
        """
        message = self._message
        if message is not None and self._body_ends_with_stream:
            self._body_ends_with_stream = False
            self._body_bytes = len(self._buffer)
            message.keep_alive = False
            return self._finish_message(message)
        if not self.idle:
            raise HttpError("connection ended within a message")
        return None

    def _step(self) -> bool:
        """Parse one line or chunk, and return False if more bytes are needed."""
        if self._message is None:
            return self._read_head_line()
        if self._chunked_body is not None:
            return self._chunked_body.step(self._buffer)
        return False

    def _read_head_line(self) -> bool:
        line = self._buffer.next_line()
        pending_bytes = len(self._buffer) if line is None else len(line) + len(_LINE_END)
        if self._head_bytes + pending_bytes > MAX_HEAD_BYTES:
            raise HttpError("head too large", 431)
        if line is None:
            return False
        self._head_bytes += pending_bytes
        if self._head is not None:
            if line:
                self._head.add_header(line)
            else:
                self._finish_head(self._head)
        elif line:  # empty lines may precede a message
            self._head = HeadBuilder(line, response=self._responses, header_names=self._header_names)
        return True

    def _finish_head(self, head: HeadBuilder) -> None:
        message = head.finish()
        if 100 <= message.status < 200:
            self._skip_interim_response()
        else:
            self._start_body(message, http_1_0=head.http_1_0)
            self._message = message
            self._interim_bytes = 0
        self._head = None
        self._head_bytes = 0

    def _skip_interim_response(self) -> None:
        """Skip an interim response, which has no body and precedes the final one."""
        self._interim_bytes += self._head_bytes
        if self._interim_bytes > MAX_HEAD_BYTES:
            raise HttpError("interim responses exceed the limit of a head")

    def _start_body(self, message: HttpMessage, *, http_1_0: bool) -> None:
        """Determine the end of the body from the headers and the status."""
        self._chunked_body = None
        self._body_ends_with_stream = False
        self._body_bytes = 0
        coding = message.headers.get("transfer-encoding")
        length = message.headers.get("content-length")
        if coding is not None:
            if length is not None or coding.lower() != "chunked" or http_1_0:
                raise HttpError("unsupported transfer coding")
            self._chunked_body = ChunkedBody(self._max_body_bytes)
        elif length is not None:
            self._body_bytes = self._parse_length(length)
        elif message.status not in _STATUSES_WITHOUT_BODY:
            self._body_ends_with_stream = True

    def _parse_length(self, text: str) -> int:
        if not _LENGTH.fullmatch(text.encode("latin-1")):
            raise HttpError("malformed content length")
        length_bytes = int(text)
        if length_bytes > self._max_body_bytes:
            raise HttpError("body too large", 413)
        return length_bytes

    def _is_body_complete(self) -> bool:
        if self._chunked_body is not None:
            return self._chunked_body.complete
        return not self._body_ends_with_stream and len(self._buffer) >= self._body_bytes

    def _finish_message(self, message: HttpMessage) -> HttpMessage:
        """Return the message with its body, which has arrived."""
        if self._chunked_body is not None:
            message.body = bytes(self._chunked_body.decoded)
            self._chunked_body = None
        else:
            message.body = self._buffer.read(self._body_bytes)
        self._message = None
        return message
