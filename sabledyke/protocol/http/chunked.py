"""Decoding of bodies in the chunked transfer coding."""

from __future__ import annotations

import re

from sabledyke.protocol.http.message import MAX_HEAD_BYTES, HttpError, HttpMessage

_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}")
_LINE_END = b"\r\n"
_MAX_LINE_BYTES = 1024


class ChunkedBody:
    """Decodes the chunked body of one message from a buffer of received bytes."""

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._in_trailer = False  # the last chunk was read
        self._trailer_bytes = 0

    def read(self, buffer: bytearray, message: HttpMessage) -> bool:
        """Move all complete chunks from the buffer to the message.

        Args:
            buffer: Received bytes; decoded bytes are removed.
            message: The message that the decoded body is added to.

        Returns:
            Whether the body and its trailer are complete.

        Raises:
            HttpError: The chunks are malformed, or the body is too large.
        """
        while (line := _next_line(buffer)) is not None:
            if self._in_trailer:
                self._skip_trailer_line(line, buffer)
                if not line:
                    return True
            elif not self._read_chunk(line, buffer, message):
                return False
        return False

    def _skip_trailer_line(self, line: bytes, buffer: bytearray) -> None:
        line_bytes = len(line) + len(_LINE_END)
        self._trailer_bytes += line_bytes
        if self._trailer_bytes > MAX_HEAD_BYTES:
            raise HttpError("trailer too large")
        del buffer[:line_bytes]

    def _read_chunk(self, line: bytes, buffer: bytearray, message: HttpMessage) -> bool:
        """Move the chunk with the given size line, and return True unless it is incomplete."""
        size_digits = line.partition(b";")[0].rstrip(b" \t")
        if not _CHUNK_SIZE.fullmatch(size_digits):
            raise HttpError("malformed chunk size")
        size_bytes = int(size_digits, 16)
        if len(message.body) + size_bytes > self._max_body_bytes:
            raise HttpError("body too large", 413)
        start = len(line) + len(_LINE_END)
        if size_bytes == 0:
            self._in_trailer = True
            del buffer[:start]
            return True
        end = start + size_bytes
        if len(buffer) < end + len(_LINE_END):
            return False
        if buffer[end : end + len(_LINE_END)] != _LINE_END:
            raise HttpError("chunk does not end with CRLF after its stated size")
        message.body += bytes(buffer[start:end])
        del buffer[: end + len(_LINE_END)]
        return True


def _next_line(buffer: bytearray) -> bytes | None:
    """Return the buffer's first line without its line end, or None if it is incomplete."""
    end = buffer.find(_LINE_END)
    if end >= 0:
        return bytes(buffer[:end])
    if len(buffer) > _MAX_LINE_BYTES:
        raise HttpError("chunk line too long")
    return None
