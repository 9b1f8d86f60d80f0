"""What can go wrong with a database, in the store's few terms; SQLSTATEs and SQLite codes as published.

Told: a driver's error, by its code. Decides: its kind, and whether a transaction may have taken effect all
the same. PostgreSQL: appendix A of its manual; SQLite: its page of result codes.
"""

from __future__ import annotations

import sqlite3
from enum import Enum

from sabledyke.errors import Fault
from sabledyke.errors import StoreError as StoreError


class DatabaseErrorKind(Enum):
    """What a fault means to who runs the store."""

    STALL = "does not answer in time"
    LOST = "cannot be reached"
    FULL = "has no room left"
    READ_ONLY = "is read-only"
    CORRUPT = "is corrupt"
    SCHEMA = "has a schema that this version does not know"
    AUTHENTICATION = "refuses the name or password"
    FENCED = "was taken over by a later start under this name"
    CONFLICT = "gave the transaction up for another"
    TOO_MANY_CONNECTIONS = "has no connection left"
    SHUTTING_DOWN = "is shutting down"
    UNEXPECTED = "reports an error"


TRANSIENT_KINDS = (DatabaseErrorKind.STALL, DatabaseErrorKind.CONFLICT, DatabaseErrorKind.TOO_MANY_CONNECTIONS, DatabaseErrorKind.SHUTTING_DOWN)  # asked again a moment later it may do


class DatabaseError(Fault):
    """A transaction or query did not succeed.

    ``uncertain``: its COMMIT was under way and nothing tells whether it took effect.
    """

    code, remedy = "store", "look at the database; store check says whether it is sound"

    def __init__(self, kind: DatabaseErrorKind, text: str = "", *, uncertain: bool = False) -> None:
        super().__init__(f"{kind.value}: {text}" if text else kind.value)
        self.kind, self.uncertain = kind, uncertain


_STATES = {
    "40001": DatabaseErrorKind.CONFLICT,
    "40P01": DatabaseErrorKind.CONFLICT,
    "53300": DatabaseErrorKind.TOO_MANY_CONNECTIONS,
    "53100": DatabaseErrorKind.FULL,
    "53200": DatabaseErrorKind.FULL,
    "57P01": DatabaseErrorKind.SHUTTING_DOWN,
    "57P02": DatabaseErrorKind.SHUTTING_DOWN,
    "57P03": DatabaseErrorKind.SHUTTING_DOWN,
    "57014": DatabaseErrorKind.STALL,
    "55P03": DatabaseErrorKind.STALL,
    "25006": DatabaseErrorKind.READ_ONLY,
    "28P01": DatabaseErrorKind.AUTHENTICATION,
    "28000": DatabaseErrorKind.AUTHENTICATION,
    "XX001": DatabaseErrorKind.CORRUPT,
    "XX002": DatabaseErrorKind.CORRUPT,
    "23514": DatabaseErrorKind.FENCED,
    "3D000": DatabaseErrorKind.LOST,
    "42P01": DatabaseErrorKind.SCHEMA,
    "42703": DatabaseErrorKind.SCHEMA,
}
_CODES = {
    sqlite3.SQLITE_BUSY: DatabaseErrorKind.STALL,
    sqlite3.SQLITE_LOCKED: DatabaseErrorKind.STALL,
    sqlite3.SQLITE_INTERRUPT: DatabaseErrorKind.STALL,
    sqlite3.SQLITE_READONLY: DatabaseErrorKind.READ_ONLY,
    sqlite3.SQLITE_PERM: DatabaseErrorKind.READ_ONLY,
    sqlite3.SQLITE_FULL: DatabaseErrorKind.FULL,
    sqlite3.SQLITE_CORRUPT: DatabaseErrorKind.CORRUPT,
    sqlite3.SQLITE_NOTADB: DatabaseErrorKind.CORRUPT,
    sqlite3.SQLITE_CANTOPEN: DatabaseErrorKind.LOST,
    sqlite3.SQLITE_IOERR: DatabaseErrorKind.LOST,
}


def from_sqlstate(sqlstate: str, text: str) -> DatabaseError:
    """A PostgreSQL server's word: whatever it reports has not taken effect.

    But for 08 and 57P: a connection that ends may end in the middle of a commit, which the caller knows.
    """
    kind = DatabaseErrorKind.LOST if sqlstate.startswith("08") else _STATES.get(sqlstate, DatabaseErrorKind.UNEXPECTED)
    return DatabaseError(kind, f"{text} ({sqlstate})")


def from_sqlite(fault: sqlite3.Error, *, committing: bool = False) -> DatabaseError:
    """SQLite's word; only an I/O error while committing leaves it open whether it took effect."""
    code = getattr(fault, "sqlite_errorcode", 0) or 0
    if code == sqlite3.SQLITE_CONSTRAINT_CHECK:
        return DatabaseError(DatabaseErrorKind.FENCED, str(fault))
    kind = _CODES.get(code & 0xFF, DatabaseErrorKind.UNEXPECTED)
    if isinstance(fault, sqlite3.OperationalError) and "no such" in str(fault):
        kind = DatabaseErrorKind.SCHEMA
    return DatabaseError(kind, str(fault), uncertain=committing and code & 0xFF == sqlite3.SQLITE_IOERR)
