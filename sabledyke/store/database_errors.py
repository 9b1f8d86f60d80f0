"""Database errors, classified by kind for both backends.

SQLSTATEs follow appendix A of PostgreSQL's manual, SQLite's codes its page of result codes. Decides the kind
of a driver's error, and whether its transaction may still have taken effect.
"""

from __future__ import annotations

import sqlite3
from enum import Enum

from sabledyke.errors import SabledykeError
from sabledyke.errors import StoreError as StoreError


class DatabaseErrorKind(Enum):
    """The kinds of database errors; the values are the texts shown to operators."""

    STALL = "does not answer in time"
    LOST = "cannot be reached"
    FULL = "has no room left"
    READ_ONLY = "is read-only"
    CORRUPT = "is corrupt"
    SCHEMA = "has a schema that this version does not support"
    AUTHENTICATION = "rejects the user name or password"
    FENCED = "was taken over by a later start under this name"
    CONFLICT = "rolled the transaction back because of a conflict"
    TOO_MANY_CONNECTIONS = "has no connection left"
    SHUTTING_DOWN = "is shutting down"
    UNEXPECTED = "reports an error"


# Kinds of errors after which the same request may soon succeed.
TRANSIENT_KINDS = (
    DatabaseErrorKind.STALL,
    DatabaseErrorKind.CONFLICT,
    DatabaseErrorKind.TOO_MANY_CONNECTIONS,
    DatabaseErrorKind.SHUTTING_DOWN,
)


class DatabaseError(SabledykeError):
    """A transaction or query did not succeed.

    Attributes:
        kind: The kind of the error.
        uncertain: True if COMMIT was in progress, so that the transaction may have taken effect.
    """

    code = "store"
    remedy = "run store check on the database"

    def __init__(self, kind: DatabaseErrorKind, text: str = "", *, uncertain: bool = False) -> None:
        super().__init__(f"{kind.value}: {text}" if text else kind.value)
        self.kind = kind
        self.uncertain = uncertain


_KIND_BY_SQLSTATE = {
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
_KIND_BY_SQLITE_CODE = {
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


_CONNECTION_EXCEPTION = "08"  # SQLSTATE class of connection exceptions
_PRIMARY_CODE_MASK = 0xFF  # bits of the primary code in SQLite's extended result codes


def from_sqlstate(sqlstate: str, text: str) -> DatabaseError:
    """Return the error for a PostgreSQL server's SQLSTATE; a transaction that it reports did not commit.

    Classes 08 and 57P are exceptions: the connection may have ended during a commit, and the caller sets
    ``uncertain``.
    """
    if sqlstate.startswith(_CONNECTION_EXCEPTION):
        kind = DatabaseErrorKind.LOST
    else:
        kind = _KIND_BY_SQLSTATE.get(sqlstate, DatabaseErrorKind.UNEXPECTED)
    return DatabaseError(kind, f"{text} ({sqlstate})")


def from_sqlite(error: sqlite3.Error, *, committing: bool = False) -> DatabaseError:
    """Return the error for a SQLite exception; only an I/O error during COMMIT makes it uncertain."""
    code = getattr(error, "sqlite_errorcode", 0) or 0
    if code == sqlite3.SQLITE_CONSTRAINT_CHECK:
        return DatabaseError(DatabaseErrorKind.FENCED, str(error))
    primary_code = code & _PRIMARY_CODE_MASK
    kind = _KIND_BY_SQLITE_CODE.get(primary_code, DatabaseErrorKind.UNEXPECTED)
    if isinstance(error, sqlite3.OperationalError) and "no such" in str(error):
        kind = DatabaseErrorKind.SCHEMA
    uncertain = committing and primary_code == sqlite3.SQLITE_IOERR
    return DatabaseError(kind, str(error), uncertain=uncertain)
