"""Reads the records of the simulator's frames, field by field, within the bounds of their frame."""

from __future__ import annotations

import struct
from typing import Any

from sabledyke.errors import SabledykeError


class WireError(SabledykeError):
    """The input violates the simulator's wire format; the text describes the violation."""

    code = "wire"
    remedy = "none in service: only the simulator uses this format"


class RecordReader:
    """Reads the fields of a frame's records in sequence."""

    __slots__ = ("_data", "_offset")

    def __init__(self, data: bytes, offset: int) -> None:
        self._data = data
        self._offset = offset

    @property
    def remaining(self) -> int:
        """Number of bytes that have not been read."""
        return len(self._data) - self._offset

    def code(self) -> int:
        """Read the code at the start of a record."""
        if self._offset >= len(self._data):
            raise WireError("frame has fewer records than its header states")
        code = self._data[self._offset]
        self._offset += 1
        return code

    def unpack(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Read the fields of a struct layout."""
        fields = layout.unpack_from(self._data, self._offset)
        self._offset += layout.size
        return fields

    def read_bytes(self, size: int) -> bytes:
        """Read a field of ``size`` bytes."""
        if size > self.remaining:
            raise WireError(f"field of {size} bytes runs past the end of its frame")
        start = self._offset
        self._offset += size
        return self._data[start : self._offset]

    def floats(self, count: int) -> tuple[float, ...]:
        """Read ``count`` single-precision numbers."""
        return self.unpack(struct.Struct(f">{count}f"))
