"""Buffer of received bytes, from which lines and bodies are taken in time linear in their bytes."""

from __future__ import annotations

_LINE_END = b"\r\n"


class InputBuffer:
    """Received bytes that are not parsed yet."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._start = 0  # bytes before it were taken
        self._searched = 0  # no line end begins between ``_start`` and this offset

    def __len__(self) -> int:
        """Return the number of bytes that were not taken."""
        return len(self._data) - self._start

    def append(self, data: bytes) -> None:
        """Append received bytes."""
        self._discard_consumed()
        self._data += data

    def next_line(self) -> bytes | None:
        """Take the next line, and return it without its line end; None if it is incomplete."""
        end = self._data.find(_LINE_END, max(self._start, self._searched))
        if end < 0:
            self._searched = max(self._start, len(self._data) - 1)  # its CR may have arrived
            return None
        line = bytes(self._data[self._start : end])
        self._advance(end + len(_LINE_END))
        return line

    def starts_with(self, expected: bytes) -> bool:
        """Return whether these bytes come next; as many must have arrived."""
        return self._data.startswith(expected, self._start)

    def read(self, size: int) -> bytes:
        """Take bytes that have arrived, and return them."""
        end = self._start + size
        with memoryview(self._data) as view, view[self._start : end] as consumed:
            data = bytes(consumed)
        self._advance(end)
        return data

    def move_to(self, target: bytearray, size: int) -> None:
        """Take bytes that have arrived, and append them to ``target``."""
        end = self._start + size
        with memoryview(self._data) as view, view[self._start : end] as consumed:
            target += consumed
        self._advance(end)

    def skip(self, size: int) -> None:
        """Drop bytes that have arrived."""
        self._advance(self._start + size)

    def _advance(self, start: int) -> None:
        """Take all bytes before an offset, and release their memory once they are half of all bytes."""
        self._start = self._searched = start
        if 2 * start >= len(self._data):
            self._discard_consumed()

    def _discard_consumed(self) -> None:
        del self._data[: self._start]
        self._searched = max(0, self._searched - self._start)
        self._start = 0
