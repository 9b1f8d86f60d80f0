"""What can go wrong with a database, in the store's few terms; SQLSTATEs and SQLite codes as published.

Told: a driver's error, by its code. Decides: its kind, and whether a transaction may have taken effect all
the same. PostgreSQL: appendix A of its manual; SQLite: its page of result codes.
"""

from __future__ import annotations

import sqlite3
from enum import Enum

from sabledyke.errors import SabledykeError
from sabledyke.errors import StoreError as StoreError


class Kind(Enum):
    """What a fault means to who runs the store."""

    STALL = "does not answer in time"
    LOST = "cannot be reached"
    FULL = "has no room left"
    READ_ONLY = "is read-only"
    CORRUPT = "is corrupt"
    SCHEMA = "has a schema that this version does not know"
    PASSWORD = "refuses the name or password"
    FENCED = "was taken over by a later start under this name"
    CONFLICT = "gave the transaction up for another"
    CROWDED = "has no connection left"
    ENDING = "is shutting down"
    BROKEN = "reports an error"


PASSING = (Kind.STALL, Kind.CONFLICT, Kind.CROWDED, Kind.ENDING)  # asked again a moment later it may do


class StoreFault(SabledykeError):
    """A transaction or query did not succeed.

    ``uncertain``: its COMMIT was under way and nothing tells whether it took effect.
    """

    code, remedy = "store", "look at the database; store check says whether it is sound"

    def __init__(self, kind: Kind, text: str = "", *, uncertain: bool = False) -> None:
        super().__init__(f"{kind.value}: {text}" if text else kind.value)
        self.kind, self.uncertain = kind, uncertain


_STATES = {
    "40001": Kind.CONFLICT,
    "40P01": Kind.CONFLICT,
    "53300": Kind.CROWDED,
    "53100": Kind.FULL,
    "53200": Kind.FULL,
    "57P01": Kind.ENDING,
    "57P02": Kind.ENDING,
    "57P03": Kind.ENDING,
    "57014": Kind.STALL,
    "55P03": Kind.STALL,
    "25006": Kind.READ_ONLY,
    "28P01": Kind.PASSWORD,
    "28000": Kind.PASSWORD,
    "XX001": Kind.CORRUPT,
    "XX002": Kind.CORRUPT,
    "23514": Kind.FENCED,
    "3D000": Kind.LOST,
    "42P01": Kind.SCHEMA,
    "42703": Kind.SCHEMA,
}
_CODES = {
    sqlite3.SQLITE_BUSY: Kind.STALL,
    sqlite3.SQLITE_LOCKED: Kind.STALL,
    sqlite3.SQLITE_INTERRUPT: Kind.STALL,
    sqlite3.SQLITE_READONLY: Kind.READ_ONLY,
    sqlite3.SQLITE_PERM: Kind.READ_ONLY,
    sqlite3.SQLITE_FULL: Kind.FULL,
    sqlite3.SQLITE_CORRUPT: Kind.CORRUPT,
    sqlite3.SQLITE_NOTADB: Kind.CORRUPT,
    sqlite3.SQLITE_CANTOPEN: Kind.LOST,
    sqlite3.SQLITE_IOERR: Kind.LOST,
}


def of_state(sqlstate: str, text: str) -> StoreFault:
    """A PostgreSQL server's word: whatever it reports has not taken effect.

    But for 08 and 57P: a connection that ends may end in the middle of a commit, which the caller knows.
    """
    kind = Kind.LOST if sqlstate.startswith("08") else _STATES.get(sqlstate, Kind.BROKEN)
    return StoreFault(kind, f"{text} ({sqlstate})")


def of_sqlite(fault: sqlite3.Error, *, committing: bool = False) -> StoreFault:
    """SQLite's word; only an I/O error while committing leaves it open whether it took effect."""
    code = getattr(fault, "sqlite_errorcode", 0) or 0
    if code == sqlite3.SQLITE_CONSTRAINT_CHECK:
        return StoreFault(Kind.FENCED, str(fault))
    kind = _CODES.get(code & 0xFF, Kind.BROKEN)
    if isinstance(fault, sqlite3.OperationalError) and "no such" in str(fault):
        kind = Kind.SCHEMA
    return StoreFault(kind, str(fault), uncertain=committing and code & 0xFF == sqlite3.SQLITE_IOERR)
