"""Stores the compacted log in SQLite, for processes that share a machine or a mounted volume.

Each cell is a row, and each commit a transaction. Versions come from one counter that only increases, so that
a cell that is deleted and written again never gets an earlier version. The file is in WAL mode and synced at
every commit (``store.session``).
"""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Callable, Collection, Iterator, Mapping, Sequence
from contextlib import contextmanager
from typing import TypeVar

from sabledyke.compacted_log.records import Cell
from sabledyke.errors import CompactedLogError, LogSchemaError
from sabledyke.store.database_errors import TRANSIENT_KINDS, DatabaseError
from sabledyke.store.session import SqliteSession

SCHEMA_VERSION = 1
CREATE_TABLES_SQL = (
    "CREATE TABLE IF NOT EXISTS board (key TEXT PRIMARY KEY, version INTEGER NOT NULL, data BLOB NOT NULL)",
    "CREATE TABLE IF NOT EXISTS board_about"
    " (one INTEGER PRIMARY KEY CHECK (one = 1), schema INTEGER NOT NULL, version INTEGER NOT NULL)",
    f"INSERT INTO board_about VALUES (1, {SCHEMA_VERSION}, 0) ON CONFLICT (one) DO NOTHING",
)
SCAN_SQL = "SELECT key, version, data FROM board WHERE key >= ? AND key < ? ORDER BY key LIMIT ?"
VERSION_SQL = "SELECT version FROM board WHERE key = ?"
NEXT_VERSION_SQL = "UPDATE board_about SET version = version + 1 RETURNING version"
DELETE_SQL = "DELETE FROM board WHERE key = ?"
PUT_SQL = (
    "INSERT INTO board VALUES (?, ?, ?) ON CONFLICT (key) DO UPDATE"
    " SET version = excluded.version, data = excluded.data"
)
MAX_KEYS_PER_SELECT = 500
DEFAULT_TIMEOUT_S = 2.0

ResultT = TypeVar("ResultT")


class SqliteBackend:
    """Implements ``records.Backend`` on a SQLite file."""

    def __init__(self, path: str, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        """Make a backend on this file; ``timeout_s`` limits each call, including its waits for locks."""
        self.path = path
        self._timeout_s = timeout_s
        self._session: SqliteSession | None = None
        self._connecting = asyncio.Lock()  # prevents concurrent calls from opening two connections

    async def open(self) -> None:
        """Create the tables if they are missing.

        Raises:
            LogSchemaError: The file is not a database, or a newer version wrote it.
            CompactedLogError: The file is locked, or another process is creating the tables; a later call
                may succeed.
        """
        try:
            session = await self._connected_session()
            await session.script(CREATE_TABLES_SQL)
            schema_version = await session.run(_read_schema_version)
        except DatabaseError as error:
            await self.close()
            if error.kind in TRANSIENT_KINDS:
                raise CompactedLogError(f"board {self.path}: {error}") from error
            raise LogSchemaError(f"board {self.path}: {error}") from error
        if schema_version > SCHEMA_VERSION:
            raise LogSchemaError(
                f"board {self.path} has schema {schema_version}; this version supports up to {SCHEMA_VERSION}"
            )

    async def get(self, keys: Sequence[str]) -> dict[str, Cell]:
        """Read the cells in one transaction."""
        return await self._run(lambda database: _select(database, keys))

    async def scan(self, first: str, end: str, limit: int) -> list[tuple[str, Cell]]:
        """Read a range of cells in one statement."""

        def select(database: sqlite3.Connection) -> list[tuple[str, Cell]]:
            rows = database.execute(SCAN_SQL, (first, end, limit)).fetchall()
            return [(key, Cell(version, data)) for key, version, data in rows]

        return await self._run(select)

    async def commit(
        self, checks: Mapping[str, int], puts: Mapping[str, bytes], deletes: Collection[str] = ()
    ) -> bool:
        """Check versions and write cells in one transaction."""
        return await self._run(lambda database: _commit(database, checks, puts, deletes))

    async def close(self) -> None:
        """Close the connection, if one is open."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _run(self, operation: Callable[[sqlite3.Connection], ResultT]) -> ResultT:
        """Run an operation in the connection's thread; a connection that times out is not used again."""
        session: SqliteSession | None = None
        try:
            async with asyncio.timeout(self._timeout_s):
                session = await self._connected_session()
                return await session.run(operation)
        except TimeoutError as error:
            if session is not None:
                session.abort()
            self._session = None
            raise CompactedLogError(f"board {self.path}: no answer within {self._timeout_s:.1f} s") from error
        except DatabaseError as error:
            raise CompactedLogError(f"board {self.path}: {error}") from error

    async def _connected_session(self) -> SqliteSession:
        async with self._connecting:
            if self._session is None or self._session.closed:
                session = SqliteSession(self.path)
                await session.open()
                self._session = session
            return self._session


def _read_schema_version(database: sqlite3.Connection) -> int:
    version: int = database.execute("SELECT schema FROM board_about").fetchone()[0]
    return version


def _select(database: sqlite3.Connection, keys: Sequence[str]) -> dict[str, Cell]:
    if len(keys) <= MAX_KEYS_PER_SELECT:  # a single statement reads a consistent snapshot
        return _select_batch(database, keys)
    cells: dict[str, Cell] = {}
    with _transaction(database, "BEGIN"):
        for start in range(0, len(keys), MAX_KEYS_PER_SELECT):
            cells |= _select_batch(database, keys[start : start + MAX_KEYS_PER_SELECT])
    return cells


def _select_batch(database: sqlite3.Connection, keys: Sequence[str]) -> dict[str, Cell]:
    if not keys:
        return {}
    parameters = ", ".join("?" * len(keys))
    rows = database.execute(f"SELECT key, version, data FROM board WHERE key IN ({parameters})", list(keys))
    return {key: Cell(version, data) for key, version, data in rows}


def _commit(
    database: sqlite3.Connection,
    checks: Mapping[str, int],
    puts: Mapping[str, bytes],
    deletes: Collection[str],
) -> bool:
    with _transaction(database, "BEGIN IMMEDIATE"):
        for key, expected_version in checks.items():
            row = database.execute(VERSION_SQL, (key,)).fetchone()
            if (row[0] if row else 0) != expected_version:
                return False
        (new_version,) = database.execute(NEXT_VERSION_SQL).fetchone()
        database.executemany(DELETE_SQL, [(key,) for key in deletes])
        database.executemany(PUT_SQL, [(key, new_version, data) for key, data in puts.items()])
        database.execute("COMMIT")
        return True


@contextmanager
def _transaction(database: sqlite3.Connection, begin_sql: str) -> Iterator[None]:
    """Begin a transaction, and roll it back unless the body of the ``with`` statement commits it."""
    database.execute(begin_sql)
    try:
        yield
    finally:
        if database.in_transaction:
            database.execute("ROLLBACK")
