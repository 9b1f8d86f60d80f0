"""Prepared statements and portals of a PostgreSQL stand-in session."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import Any

from tests.standins.postgres_backend import Backend, Row
from tests.standins.postgres_values import (
    BIGINT,
    FLOAT,
    TABLE,
    TEXT,
    decode,
    encode,
    parameter_types,
    to_sqlite,
)

FIXED_SIZES = {BIGINT: 8, FLOAT: 8}
VARIABLE_SIZE = -1
BINARY = 1
Message = tuple[bytes, bytes]


@dataclass(slots=True, frozen=True)
class Prepared:
    """A prepared statement.

    Attributes:
        sql: The text of the statement.
        oids: Type OIDs of its parameters.
        columns: Names and type OIDs of its result columns.
    """

    sql: str
    oids: list[int]
    columns: list[tuple[str, int]]


@dataclass(slots=True, frozen=True)
class Portal:
    """A prepared statement with its bound values."""

    prepared: Prepared
    values: list[Any]


class Statements:
    """The prepared statements and portals of one session.

    Attributes:
        portals: Portals by name.
    """

    def __init__(self, backend: Backend) -> None:
        self._backend = backend
        self._prepared: dict[str, Prepared] = {}
        self.portals: dict[str, Portal] = {}

    def prepare(self, name: str, sql: str) -> None:
        """Prepare a statement under this name."""
        oids = parameter_types(sql)
        table = TABLE.search(sql)
        table_name = table.group(1) if table else ""
        columns: list[tuple[str, int]] = []
        for column in self._backend.column_names(to_sqlite(sql), len(oids)):
            default = BIGINT if "(" in column else TEXT
            columns.append((column, self._backend.column_type(table_name, column, default)))
        self._prepared[name] = Prepared(sql, oids, columns)

    def describe(self, body: bytes) -> list[Message]:
        """Return the types and bodies of the messages that answer a Describe message."""
        is_statement = body[:1] == b"S"
        name = body[1:-1].decode()
        prepared = self._prepared[name] if is_statement else self.portals[name].prepared
        messages: list[Message] = []
        if is_statement:
            count = len(prepared.oids)
            messages.append((b"t", struct.pack(f"!H{count}I", count, *prepared.oids)))
        messages.append(row_description(prepared))
        return messages

    def bind(self, body: bytes) -> None:
        """Bind the values of a Bind message to a portal."""
        portal, name, values = body.split(b"\0", 2)
        prepared = self._prepared[name.decode()]
        self.portals[portal.decode()] = Portal(prepared, BoundValues(values).read(prepared))

    def close(self, name: str) -> None:
        """Remove a prepared statement, if it exists."""
        self._prepared.pop(name, None)


class BoundValues:
    """Decoder for the formats and values of a Bind message."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._offset = 0

    def read(self, prepared: Prepared) -> list[Any]:
        """Return the decoded parameter values for a statement."""
        formats = [self._unpack("!H") for _ in range(self._unpack("!H"))]
        values: list[Any] = []
        for index in range(self._unpack("!H")):
            size = self._unpack("!i")
            if size < 0:
                values.append(None)
                continue
            raw = self._data[self._offset : self._offset + size]
            self._offset += size
            is_binary = formats and formats[index if len(formats) > 1 else 0] == BINARY
            oid = prepared.oids[index]
            assert is_binary or oid == TEXT, "values other than text must be in binary format"
            values.append(decode(raw, oid))
        return values

    def _unpack(self, form: str) -> int:
        (value,) = struct.unpack_from(form, self._data, self._offset)
        self._offset += struct.calcsize(form)
        return int(value)


def row_description(prepared: Prepared) -> Message:
    """Return a RowDescription message, or NoData for a statement without columns."""
    if not prepared.columns:
        return b"n", b""
    description = struct.pack("!H", len(prepared.columns))
    for column, oid in prepared.columns:
        size = FIXED_SIZES.get(oid, VARIABLE_SIZE)
        description += column.encode() + b"\0" + struct.pack("!IHIhiH", 0, 0, oid, size, -1, BINARY)
    return b"T", description


def data_row(row: Row, prepared: Prepared) -> Message:
    """Return a DataRow message with the values in binary format."""
    cells = [encode(value, oid) for value, (_, oid) in zip(row, prepared.columns, strict=True)]
    return b"D", struct.pack("!H", len(cells)) + b"".join(cells)
