"""The backend of a PostgreSQL stand-in session, which executes statements and transactions on SQLite."""

from __future__ import annotations

import asyncio
import sqlite3
from typing import TYPE_CHECKING, Any

from tests.standins.postgres_faults import PostgresError
from tests.standins.postgres_values import COLUMN, OIDS, TABLE, from_sqlite, to_sqlite

if TYPE_CHECKING:
    from tests.standins.postgres import Postgres

LOCK_RETRY_S = 0.002
IDLE = "I"  # IDLE, IN_TRANSACTION and FAILED are the transaction states of ReadyForQuery
IN_TRANSACTION = "T"
FAILED = "E"
Row = tuple[Any, ...]


class Backend:
    """One session's connection to the SQLite database.

    Attributes:
        status: The transaction state, one of ``IDLE``, ``IN_TRANSACTION`` and ``FAILED``.
    """

    def __init__(self, server: Postgres) -> None:
        self._server = server
        self._database = sqlite3.connect(server.path, isolation_level=None, timeout=0)
        self._database.execute("PRAGMA journal_mode = WAL")
        # Commits need not survive a crash, and a slow sync of the disk would look like a stall of the server.
        self._database.execute("PRAGMA synchronous = OFF")
        self.status = IDLE

    async def run(self, sql: str, values: list[Any]) -> tuple[list[Row], str]:
        """Execute a statement; return its rows and its command tag."""
        command = sql.split(None, 1)[0].rstrip(";").upper()
        self._server.statements.append(sql)
        if command == "BEGIN":
            self._begin(sql)
            return [], command
        if command in ("COMMIT", "ROLLBACK"):
            return [], self._end_transaction(command)
        if self.status == FAILED:
            raise PostgresError("25P02", "current transaction is aborted")
        writes = command != "SELECT" or sql.endswith("FOR UPDATE")
        cursor, rows = await self._run_locked(sql, values, writes=writes)
        if command in ("CREATE", "ALTER"):
            self._record_types(sql)
        count = len(rows) if rows or command == "SELECT" else max(0, cursor.rowcount)
        return rows, f"INSERT 0 {count}" if command == "INSERT" else f"{command} {count}"

    def column_names(self, text: str, parameter_count: int) -> list[str]:
        """Return the names of a statement's result columns; ``text`` is the statement in SQLite's dialect."""
        if " RETURNING " in text:
            names = text.rpartition(" RETURNING ")[2].split(",")
            return [name.strip().rpartition(".")[2] for name in names]
        if not text.startswith("SELECT"):
            return []
        values = {str(number): None for number in range(1, parameter_count + 1)}
        try:
            cursor = self._database.execute(f"SELECT * FROM ({text}) LIMIT 0", values)
        except sqlite3.Error as error:
            raise from_sqlite(error) from error
        return [column[0] for column in cursor.description]

    def column_type(self, table: str, column: str, default: int) -> int:
        """Return the type that CREATE TABLE declared for a column, or ``default``."""
        return self._server.types.get((table, column), default)

    def fail_transaction(self) -> None:
        """Mark an open transaction as failed, so that it can only be rolled back."""
        if self.status == IN_TRANSACTION:
            self.status = FAILED

    def close(self) -> None:
        """Close the connection, which discards uncommitted changes."""
        self._database.close()

    def _begin(self, sql: str) -> None:
        self.status = IN_TRANSACTION
        if "REPEATABLE READ" in sql:
            self._database.execute("BEGIN")

    def _end_transaction(self, command: str) -> str:
        rolls_back = self.status == FAILED or command == "ROLLBACK"
        self.status = IDLE
        tag = "ROLLBACK" if rolls_back else "COMMIT"
        if self._database.in_transaction:
            self._database.execute(tag)
        return tag

    async def _run_locked(
        self, sql: str, values: list[Any], *, writes: bool
    ) -> tuple[sqlite3.Cursor, list[Row]]:
        """Execute a statement, retrying while the database is locked."""
        while True:
            try:
                return self._run_once(sql, values, writes=writes)
            except sqlite3.OperationalError as error:
                if error.sqlite_errorcode & 0xFF != sqlite3.SQLITE_BUSY:
                    raise from_sqlite(error) from error
                await asyncio.sleep(LOCK_RETRY_S)
            except sqlite3.Error as error:
                raise from_sqlite(error) from error

    def _run_once(self, sql: str, values: list[Any], *, writes: bool) -> tuple[sqlite3.Cursor, list[Row]]:
        if self.status == IN_TRANSACTION and writes and not self._database.in_transaction:
            self._database.execute("BEGIN IMMEDIATE")
        named = {str(number): value for number, value in enumerate(values, 1)}
        cursor = self._database.execute(to_sqlite(sql), named)
        return cursor, cursor.fetchall()

    def _record_types(self, sql: str) -> None:
        table = TABLE.search(sql)
        if table is None:
            return
        for column, kind in COLUMN.findall(sql):
            self._server.types[table.group(1), column] = OIDS[kind.lower()]
