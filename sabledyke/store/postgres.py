"""A connection to PostgreSQL, on asyncpg. Loaded only where a URL is set.

Decides nothing. One thing is kept exact here: an error is uncertain from the moment when COMMIT is handed to
the connection until its answer has been read.
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
_CONNECTION_LOST = (OSError, asyncpg.InterfaceError, asyncio.IncompleteReadError, EOFError)
_SESSION_ENDS = ("08", "57P")  # classes of SQLSTATEs with which a connection ends


@dataclass(slots=True, frozen=True)
class PostgresAddress:
    """How to reach a database. The password is never part of what is printed.

    Attributes:
        host: The server.
        port: Its port.
        database: The database.
        user: The role.
        password: Its password, empty for none.
        tls: As libpq's ``sslmode``.
        connect_timeout_s: For a connection to come up.
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
    """See ``session.Session``."""

    backend = "postgresql"

    def __init__(self, connection: asyncpg.Connection) -> None:
        self._connection = connection

    @classmethod
    async def open(cls, address: PostgresAddress) -> PostgresSession:
        """Connect.

        Raises:
            DatabaseError: Where that cannot be done in time.
        """
        try:
            return cls(await _connect(address))
        except asyncpg.PostgresError as error:
            raise database_errors.from_sqlstate(error.sqlstate or "", str(error)) from error
        except TimeoutError as error:
            text = f"no connection within {address.connect_timeout_s * 1000:.0f} ms"
            raise DatabaseError(DatabaseErrorKind.LOST, text) from error
        except (*_CONNECTION_LOST, ValueError) as error:
            raise _lost(error) from error

    async def transact(
        self, steps: Sequence[Step], committing: Callable[[], None] = lambda: None
    ) -> list[list[Row]]:
        """See ``session.Session``."""
        handed_over = False
        try:
            await self._connection.execute("BEGIN")
            results = [await self._run_step(step) for step in steps]
            handed_over = True
            committing()
            status = await self._connection.execute("COMMIT")
        except asyncio.CancelledError:
            self.abort()
            raise
        except asyncpg.PostgresError as error:
            failure = _from_server(error, committing=handed_over)
            if not handed_over and not self.closed:
                await self._roll_back()
            elif failure.uncertain:
                self.abort()
            raise failure from error
        except _CONNECTION_LOST as error:
            self.abort()
            raise _lost(error, uncertain=handed_over) from error
        if status != "COMMIT":  # a server answers ROLLBACK where the transaction had failed
            raise DatabaseError(DatabaseErrorKind.UNEXPECTED, f"COMMIT was answered with {status}")
        return results

    async def query(self, sql: str, *values: Value) -> list[Row]:
        """See ``session.Session``."""
        try:
            return _rows(await self._connection.fetch(sql, *values))
        except asyncpg.PostgresError as error:
            raise _from_server(error, committing=False) from error
        except _CONNECTION_LOST as error:
            self.abort()
            raise _lost(error) from error

    async def script(self, lines: Sequence[str]) -> None:
        """See ``session.Session``."""
        await self.transact([Step(line) for line in lines])

    @contextlib.asynccontextmanager
    async def snapshot(self) -> AsyncIterator[None]:
        """See ``session.Session``."""
        try:
            await self._connection.execute("BEGIN ISOLATION LEVEL REPEATABLE READ READ ONLY")
        except (asyncpg.PostgresError, *_CONNECTION_LOST) as error:
            raise DatabaseError(DatabaseErrorKind.LOST, str(error)) from error
        try:
            yield
        finally:
            await self._roll_back()

    @property
    def closed(self) -> bool:
        """See ``session.Session``."""
        return bool(self._connection.is_closed())

    def abort(self) -> None:
        """See ``session.Session``: at once, without a message to the server."""
        with contextlib.suppress(*_CONNECTION_LOST):
            self._connection.terminate()

    async def close(self) -> None:
        """See ``session.Session``."""
        with contextlib.suppress(asyncpg.PostgresError, TimeoutError, *_CONNECTION_LOST):
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
        except (asyncpg.PostgresError, *_CONNECTION_LOST):
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


def _lost(error: Exception, *, uncertain: bool = False) -> DatabaseError:
    text = str(error) or type(error).__name__
    return DatabaseError(DatabaseErrorKind.LOST, text, uncertain=uncertain)


def _from_server(error: asyncpg.PostgresError, *, committing: bool) -> DatabaseError:
    """Return the server's error; where the connection ends with it, a commit under way is uncertain."""
    sqlstate = error.sqlstate or ""
    failure = database_errors.from_sqlstate(sqlstate, str(error))
    if committing and (sqlstate.startswith(_SESSION_ENDS) or not sqlstate):
        return DatabaseError(failure.kind, str(error), uncertain=True)
    return failure
