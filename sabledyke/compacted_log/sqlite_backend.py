"""A shelf in SQLite: one row a cell, each commit one transaction. For processes on one machine or volume.

Versions come from one counter that only rises, so that a cell that was dropped and written anew never looks
as it did. The file is in WAL mode and synced at every commit (``store.session``).
"""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import TypeVar

from sabledyke.compacted_log.records import Cell
from sabledyke.errors import CompactedLogError, LogSchemaError
from sabledyke.store.database_errors import PASSING, StoreFault
from sabledyke.store.session import SqliteSession

SCHEMA = 1
TABLES = (
    "CREATE TABLE IF NOT EXISTS board (key TEXT PRIMARY KEY, version INTEGER NOT NULL, data BLOB NOT NULL)",
    "CREATE TABLE IF NOT EXISTS board_about"
    " (one INTEGER PRIMARY KEY CHECK (one = 1), schema INTEGER NOT NULL, version INTEGER NOT NULL)",
    f"INSERT INTO board_about VALUES (1, {SCHEMA}, 0) ON CONFLICT (one) DO NOTHING",
)
COUNT = "UPDATE board_about SET version = version + 1 RETURNING version"
ROOM = 500  # keys of one SELECT
T = TypeVar("T")


class TableShelf:
    """See ``terms.Shelf``; ``patience`` in seconds is for one call, locks of others included."""

    def __init__(self, path: str, patience: float = 2.0) -> None:
        self.path, self._patience = path, patience
        self._session: SqliteSession | None = None
        self._connecting = asyncio.Lock()

    async def open(self) -> None:
        """Make the tables where they are missing; BoardSchema where the file is none, or a newer version's, a
        BoardFault where it does not answer just now.
        """
        try:
            session = await self._connected()
            await session.script(TABLES)
            schema = await session.run(lambda db: db.execute("SELECT schema FROM board_about").fetchone()[0])
        except StoreFault as fault:
            await self.close()
            if fault.kind in PASSING:  # locked, or made by others at the same moment
                raise CompactedLogError(f"board {self.path}: {fault}") from None
            raise LogSchemaError(f"board {self.path}: {fault}") from None
        if schema > SCHEMA:
            raise LogSchemaError(f"board {self.path} has schema {schema}, and this version knows {SCHEMA}")

    async def get(self, keys: Sequence[str]) -> dict[str, Cell]:
        """See ``terms.Shelf``."""

        def look(db: sqlite3.Connection) -> dict[str, Cell]:
            found: dict[str, Cell] = {}
            several = len(keys) > ROOM  # one statement sees one moment by itself
            if several:
                db.execute("BEGIN")
            try:
                for i in range(0, len(keys), ROOM):
                    some = list(keys[i : i + ROOM])
                    marks = ", ".join("?" * len(some))
                    rows = db.execute(f"SELECT key, version, data FROM board WHERE key IN ({marks})", some)
                    found.update((key, Cell(version, data)) for key, version, data in rows)
            finally:
                if several:
                    db.execute("ROLLBACK")
            return found

        return await self._do(look)

    async def scan(self, first: str, end: str, most: int) -> list[tuple[str, Cell]]:
        """See ``terms.Shelf``."""
        sql = "SELECT key, version, data FROM board WHERE key >= ? AND key < ? ORDER BY key LIMIT ?"

        def look(db: sqlite3.Connection) -> list[tuple[str, Cell]]:
            rows = db.execute(sql, (first, end, most)).fetchall()
            return [(key, Cell(version, data)) for key, version, data in rows]

        return await self._do(look)

    async def commit(
        self, checks: Mapping[str, int], puts: Mapping[str, bytes], drops: Collection[str] = ()
    ) -> bool:
        """See ``terms.Shelf``."""

        def write(db: sqlite3.Connection) -> bool:
            db.execute("BEGIN IMMEDIATE")
            try:
                for key, version in checks.items():
                    row = db.execute("SELECT version FROM board WHERE key = ?", (key,)).fetchone()
                    if (row[0] if row else 0) != version:
                        return False
                (now,) = db.execute(
                    "UPDATE board_about SET version = version + 1 RETURNING version"
                ).fetchone()
                db.executemany("DELETE FROM board WHERE key = ?", [(key,) for key in drops])
                db.executemany(
                    "INSERT INTO board VALUES (?, ?, ?) ON CONFLICT (key) DO UPDATE"
                    " SET version = excluded.version, data = excluded.data",
                    [(key, now, data) for key, data in puts.items()],
                )
                db.execute("COMMIT")
                return True
            finally:
                if db.in_transaction:
                    db.execute("ROLLBACK")

        return await self._do(write)

    async def _do(self, what: Callable[[sqlite3.Connection], T]) -> T:
        """In the connection's thread; one that does not answer in time is given up, and not used again."""
        session: SqliteSession | None = None
        try:
            async with asyncio.timeout(self._patience):
                session = await self._connected()
                return await session.run(what)
        except TimeoutError:
            if session is not None:
                session.abort()
            self._session = None
            raise CompactedLogError(f"board {self.path}: no answer within {self._patience:.1f} s") from None
        except StoreFault as fault:
            raise CompactedLogError(f"board {self.path}: {fault}") from None

    async def _connected(self) -> SqliteSession:
        async with self._connecting:
            if self._session is None or self._session.closed:
                session = SqliteSession(self.path)
                await session.open()
                self._session = session
            return self._session

    async def close(self) -> None:
        """See ``terms.Shelf``."""
        if self._session is not None:
            await self._session.close()
            self._session = None
