"""Conversions of the PostgreSQL stand-in: types, binary values, SQL statements and errors."""

from __future__ import annotations

import re
import sqlite3
import struct
from typing import Any

from tests.standins.postgres_faults import PostgresError

TEXT = 25  # TEXT, BIGINT, FLOAT and BYTEA are type OIDs of PostgreSQL
BIGINT = 20
FLOAT = 701
BYTEA = 17
OIDS = {"text": TEXT, "bigint": BIGINT, "double precision": FLOAT, "bytea": BYTEA}
VALUE = re.compile(r"\$(\d+)(::(double precision|[a-z]+))?")
COLUMN = re.compile(r"(\w+) (TEXT|BIGINT|DOUBLE PRECISION|BYTEA)")
TABLE = re.compile(r"\b(?:FROM|INTO|UPDATE|TABLE(?: IF NOT EXISTS)?) (\w+)")
UNKNOWN_ERROR = "XX000"
SQLSTATES = {  # SQLSTATE by a fragment of SQLite's error message
    "no such table": "42P01",
    "no such column": "42703",
    "UNIQUE": "23505",
    "CHECK": "23514",
    "already exists": "42P07",
    "duplicate column": "42701",
    "readonly": "25006",
}


def to_sqlite(sql: str) -> str:
    """Translate a statement to SQLite's dialect."""
    if "pg_catalog.pg_tables" in sql:
        return "SELECT name AS tablename FROM sqlite_master WHERE type = 'table'"
    return VALUE.sub(r":\1", sql).removesuffix(" FOR UPDATE")


def from_sqlite(error: sqlite3.Error) -> PostgresError:
    """Convert an SQLite error to a PostgresError with the SQLSTATE that a real server would send."""
    text = str(error)
    for fragment, sqlstate in SQLSTATES.items():
        if fragment in text:
            return PostgresError(sqlstate, text)
    return PostgresError(UNKNOWN_ERROR, text)


def parameter_types(sql: str) -> list[int]:
    """Return the type OIDs of a statement's parameters; each parameter must have a cast.

    Raises:
        PostgresError: If a parameter has no cast.
    """
    oids = {int(number): OIDS[cast] for number, _, cast in VALUE.findall(sql) if cast}
    if set(oids) != set(range(1, len(oids) + 1)):
        raise PostgresError("42P18", f"could not determine data type of parameter: {sql}")
    return [oids[number] for number in range(1, len(oids) + 1)]


def decode(raw: bytes, oid: int) -> Any:
    """Decode a value in binary format."""
    if oid == BIGINT:
        return struct.unpack("!q", raw)[0]
    if oid == FLOAT:
        return struct.unpack("!d", raw)[0]
    return raw.decode() if oid == TEXT else raw


def encode(value: Any, oid: int) -> bytes:
    """Encode a value in binary format, preceded by its length."""
    if value is None:
        return struct.pack("!i", -1)
    if oid == BIGINT:
        raw = struct.pack("!q", value)
    elif oid == FLOAT:
        raw = struct.pack("!d", value)
    else:
        raw = value.encode() if isinstance(value, str) else bytes(value)
    return struct.pack("!i", len(raw)) + raw
