"""Decoding of bodies in the chunked transfer coding."""

from __future__ import annotations

import re

from sabledyke.protocol.http.input_buffer import InputBuffer
from sabledyke.protocol.http.message import MAX_HEAD_BYTES, HttpError

_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}")
_LINE_END = b"\r\n"
_MAX_LINE_BYTES = 1024


class ChunkedBody:
    """Decodes the chunked body of one message, a part of a chunk or a line in each step.

    Attributes:
        decoded: The data that was read and not taken by the caller.
        complete: True once the body and its trailer were read.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self.decoded = bytearray()
        self.complete = False
        self._max_body_bytes = max_body_bytes
        self._body_bytes = 0  # sum of the sizes of all chunks so far
        self._missing_bytes = 0  # bytes of the present chunk that were not read yet
        self._in_chunk = False  # the size of the present chunk was read, and its line end was not
        self._in_trailer = False  # the last chunk was read
        self._trailer_bytes = 0

    def step(self, buffer: InputBuffer) -> bool:
        """Take the next part of a chunk, or line, from a buffer; return False if more bytes are needed.

        Raises:
            HttpError: The chunks are malformed, or the body is too large.
        """
        if self._missing_bytes:
            return self._read_data(buffer)
        if self._in_chunk:
            return self._read_end_of_chunk(buffer)
        line = buffer.next_line()
        if line is None:
            if len(buffer) > _MAX_LINE_BYTES:
                raise HttpError("chunk line too long")
            return False
        if self._in_trailer:
            self._on_trailer_line(line)
        else:
            self._on_size_line(line)
        return True

    def _on_size_line(self, line: bytes) -> None:
        digits = line.partition(b";")[0].rstrip(b" \t")
        if not _CHUNK_SIZE.fullmatch(digits):
            raise HttpError("malformed chunk size")
        self._missing_bytes = int(digits, 16)
        self._body_bytes += self._missing_bytes
        if self._body_bytes > self._max_body_bytes:
            raise HttpError("body too large", 413)
        self._in_chunk = self._missing_bytes > 0
        self._in_trailer = not self._in_chunk

    def _read_data(self, buffer: InputBuffer) -> bool:
        size_bytes = min(len(buffer), self._missing_bytes)
        if not size_bytes:
            return False
        buffer.move_to(self.decoded, size_bytes)
        self._missing_bytes -= size_bytes
        return True

    def _read_end_of_chunk(self, buffer: InputBuffer) -> bool:
        if len(buffer) < len(_LINE_END):
            return False
        if not buffer.starts_with(_LINE_END):
            raise HttpError("chunk does not end with CRLF after its stated size")
        buffer.skip(len(_LINE_END))
        self._in_chunk = False
        return True

    def _on_trailer_line(self, line: bytes) -> None:
        self._trailer_bytes += len(line) + len(_LINE_END)
        if self._trailer_bytes > MAX_HEAD_BYTES:
            raise HttpError("trailer too large")
        self.complete = not line
