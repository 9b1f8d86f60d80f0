"""A connection to PostgreSQL through asyncpg; the module is loaded only if a URL is set.

This module only translates calls and errors. An error is uncertain exactly from the moment at which COMMIT is
handed to the connection until its answer has been read.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from typing import Literal

import asyncpg

from sabledyke.store import database_errors
from sabledyke.store.database_errors import DatabaseError, DatabaseErrorKind
from sabledyke.store.types import Row, Step, Value

CLOSE_TIMEOUT_S = 0.5
STATEMENT_CACHE_SIZE = 64
_CONNECTION_ERRORS = (OSError, asyncpg.InterfaceError, asyncio.IncompleteReadError, EOFError)
_SESSION_ENDING_CLASSES = ("08", "57P")  # SQLSTATE prefixes of errors that end the connection


@dataclass(slots=True, frozen=True)
class PostgresAddress:
    """Address and credentials of a database; the password is never printed.

    Attributes:
        host: Name or address of the server.
        port: Port of the server.
        database: Name of the database.
        user: Name of the role.
        password: Password of the role, empty for none.
        tls: TLS mode, as libpq's ``sslmode``.
        connect_timeout_s: Timeout of a connection, in seconds.
    """

    host: str
    port: int
    database: str
    user: str
    password: str = field(default="", repr=False)
    tls: Literal["disable", "require", "verify-ca", "verify-full"] = "disable"
    connect_timeout_s: float = 0.3

    def __str__(self) -> str:
        """Return the address as a URL, without the password."""
        return f"postgresql://{self.user}@{self.host}:{self.port}/{self.database}"


class PostgresSession:
    """A session with a PostgreSQL server."""

    backend = "postgresql"

    def __init__(self, connection: asyncpg.Connection) -> None:
        self._connection = connection

    @classmethod
    async def open(cls, address: PostgresAddress) -> PostgresSession:
        """Connect to a server.

        Raises:
            DatabaseError: The server rejects the connection or does not answer in time.
        """
        try:
            return cls(await _connect(address))
        except asyncpg.PostgresError as error:
            raise database_errors.from_sqlstate(error.sqlstate or "", str(error)) from error
        except TimeoutError as error:
            text = f"no connection within {address.connect_timeout_s * 1000:.0f} ms"
            raise DatabaseError(DatabaseErrorKind.LOST, text) from error
        except (*_CONNECTION_ERRORS, ValueError) as error:
            raise _connection_error(error) from error

    async def transact(
        self, steps: Sequence[Step], committing: Callable[[], None] = lambda: None
    ) -> list[list[Row]]:
        """Run all steps in one transaction; an error while COMMIT is unanswered is uncertain."""
        commit_begun = False
        try:
            await self._connection.execute("BEGIN")
            results = [await self._run_step(step) for step in steps]
            commit_begun = True
            committing()
            status = await self._connection.execute("COMMIT")
        except asyncio.CancelledError:
            self.abort()
            raise
        except asyncpg.PostgresError as error:
            failure = _server_error(error, committing=commit_begun)
            if not commit_begun and not self.closed:
                await self._roll_back()
            elif failure.uncertain:
                self.abort()
            raise failure from error
        except _CONNECTION_ERRORS as error:
            self.abort()
            raise _connection_error(error, uncertain=commit_begun) from error
        if status != "COMMIT":  # the server answers ROLLBACK if the transaction had failed
            raise DatabaseError(DatabaseErrorKind.UNEXPECTED, f"COMMIT was answered with {status}")
        return results

    async def query(self, sql: str, *values: Value) -> list[Row]:
        """Return the rows of one statement."""
        try:
            return _rows(await self._connection.fetch(sql, *values))
        except asyncpg.PostgresError as error:
            raise _server_error(error, committing=False) from error
        except _CONNECTION_ERRORS as error:
            self.abort()
            raise _connection_error(error) from error

    async def script(self, lines: Sequence[str]) -> None:
        """Run statements without values in one transaction."""
        await self.transact([Step(line) for line in lines])

    @contextlib.asynccontextmanager
    async def snapshot(self) -> AsyncIterator[None]:
        """Run the queries of the context in one read-only transaction."""
        try:
            await self._connection.execute("BEGIN ISOLATION LEVEL REPEATABLE READ READ ONLY")
        except (asyncpg.PostgresError, *_CONNECTION_ERRORS) as error:
            raise DatabaseError(DatabaseErrorKind.LOST, str(error)) from error
        try:
            yield
        finally:
            await self._roll_back()

    @property
    def closed(self) -> bool:
        """True if the connection can no longer be used."""
        return bool(self._connection.is_closed())

    def abort(self) -> None:
        """Close the connection at once, without a message to the server."""
        with contextlib.suppress(*_CONNECTION_ERRORS):
            self._connection.terminate()

    async def close(self) -> None:
        """Close the connection in good order, and abort it if that fails."""
        with contextlib.suppress(asyncpg.PostgresError, TimeoutError, *_CONNECTION_ERRORS):
            await self._connection.close(timeout=CLOSE_TIMEOUT_S)
        self.abort()

    async def _run_step(self, step: Step) -> list[Row]:
        if not step.rows or step.rows == ((),):
            return _rows(await self._connection.fetch(step.sql))
        if len(step.rows) == 1:
            return _rows(await self._connection.fetch(step.sql, *step.rows[0]))
        return _rows(await self._connection.fetchmany(step.sql, step.rows))

    async def _roll_back(self) -> None:
        try:
            await self._connection.execute("ROLLBACK")
        except (asyncpg.PostgresError, *_CONNECTION_ERRORS):
            self.abort()


async def _connect(address: PostgresAddress) -> asyncpg.Connection:
    return await asyncpg.connect(
        host=address.host,
        port=address.port,
        user=address.user,
        password=address.password or None,
        database=address.database,
        ssl=address.tls,
        timeout=address.connect_timeout_s,
        statement_cache_size=STATEMENT_CACHE_SIZE,
        server_settings={"application_name": "sabledyke"},
        passfile="/dev/null",
    )


def _rows(records: Sequence[asyncpg.Record]) -> list[Row]:
    return [tuple(record) for record in records]


def _connection_error(error: Exception, *, uncertain: bool = False) -> DatabaseError:
    text = str(error) or type(error).__name__
    return DatabaseError(DatabaseErrorKind.LOST, text, uncertain=uncertain)


def _server_error(error: asyncpg.PostgresError, *, committing: bool) -> DatabaseError:
    """Return the server's error; it is uncertain if it ends the connection while COMMIT is unanswered."""
    sqlstate = error.sqlstate or ""
    failure = database_errors.from_sqlstate(sqlstate, str(error))
    if committing and (sqlstate.startswith(_SESSION_ENDING_CLASSES) or not sqlstate):
        return DatabaseError(failure.kind, str(error), uncertain=True)
    return failure
