"""A connection to PostgreSQL, on asyncpg. Loaded only where a URL is set.

Told: steps of a transaction, or a query. Decides nothing. One thing is kept exact here: a fault is uncertain
from the moment when COMMIT is handed to the connection until its answer has been read.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from typing import Literal

import asyncpg

from sabledyke.store import database_errors
from sabledyke.store.database_errors import DatabaseErrorKind, DatabaseError
from sabledyke.store.types import Row, Step, Value

_LOST = (OSError, asyncpg.InterfaceError, asyncio.IncompleteReadError, EOFError)


@dataclass(slots=True, frozen=True)
class PostgresAddress:
    """How to reach a database. The password is never part of what is printed."""

    host: str
    port: int
    database: str
    user: str
    password: str = field(default="", repr=False)
    tls: Literal["disable", "require", "verify-ca", "verify-full"] = "disable"  # libpq's sslmode
    connect_timeout_s: float = 0.3  # seconds for a connection to come up

    def __str__(self) -> str:
        return f"postgresql://{self.user}@{self.host}:{self.port}/{self.database}"


class PostgresSession:
    """See ``session.Session``."""

    backend = "postgresql"

    def __init__(self, connection: asyncpg.Connection) -> None:
        self._connection = connection

    @classmethod
    async def open(cls, where: PostgresAddress) -> PostgresSession:
        """Connect; a StoreFault where that cannot be done in time."""
        try:
            connection = await asyncpg.connect(
                host=where.host,
                port=where.port,
                user=where.user,
                password=where.password or None,
                database=where.database,
                ssl=where.tls,
                timeout=where.connect_timeout_s,
                statement_cache_size=64,
                server_settings={"application_name": "sabledyke"},
                passfile="/dev/null",
            )
        except asyncpg.PostgresError as fault:
            raise database_errors.from_sqlstate(fault.sqlstate or "", str(fault)) from None
        except TimeoutError:
            raise DatabaseError(DatabaseErrorKind.LOST, f"no connection within {where.connect_timeout_s * 1000:.0f} ms") from None
        except (*_LOST, ValueError) as fault:
            raise DatabaseError(DatabaseErrorKind.LOST, str(fault) or type(fault).__name__) from None
        return cls(connection)

    async def transact(
        self, steps: Sequence[Step], committing: Callable[[], None] = lambda: None
    ) -> list[list[Row]]:
        """See ``session.Session``."""
        handed_over = False
        out: list[list[Row]] = []
        try:
            await self._connection.execute("BEGIN")
            for step in steps:
                if not step.rows or step.rows == ((),):
                    out.append(_rows(await self._connection.fetch(step.sql)))
                elif len(step.rows) == 1:
                    out.append(_rows(await self._connection.fetch(step.sql, *step.rows[0])))
                else:
                    out.append(_rows(await self._connection.fetchmany(step.sql, step.rows)))
            handed_over = True
            committing()
            status = await self._connection.execute("COMMIT")
        except asyncio.CancelledError:
            self.abort()
            raise
        except asyncpg.PostgresError as fault:
            told = _told(fault, handed_over)
            if not handed_over and not self.closed:
                await self._roll_back()
            elif told.uncertain:
                self.abort()
            raise told from None
        except _LOST as fault:
            self.abort()
            text = str(fault) or type(fault).__name__
            raise DatabaseError(DatabaseErrorKind.LOST, text, uncertain=handed_over) from None
        if status != "COMMIT":  # a server says ROLLBACK where the transaction had failed
            raise DatabaseError(DatabaseErrorKind.UNEXPECTED, f"COMMIT was answered with {status}")
        return out

    async def _roll_back(self) -> None:
        try:
            await self._connection.execute("ROLLBACK")
        except (asyncpg.PostgresError, *_LOST):
            self.abort()

    async def query(self, sql: str, *values: Value) -> list[Row]:
        """See ``session.Session``."""
        try:
            return _rows(await self._connection.fetch(sql, *values))
        except asyncpg.PostgresError as fault:
            raise _told(fault, False) from None
        except _LOST as fault:
            self.abort()
            raise DatabaseError(DatabaseErrorKind.LOST, str(fault) or type(fault).__name__) from None

    async def script(self, lines: Sequence[str]) -> None:
        """See ``session.Session``."""
        await self.transact([Step(line) for line in lines])

    @contextlib.asynccontextmanager
    async def snapshot(self) -> AsyncIterator[None]:
        """See ``session.Session``."""
        try:
            await self._connection.execute("BEGIN ISOLATION LEVEL REPEATABLE READ READ ONLY")
        except (asyncpg.PostgresError, *_LOST) as fault:
            raise DatabaseError(DatabaseErrorKind.LOST, str(fault)) from None
        try:
            yield
        finally:
            await self._roll_back()

    @property
    def closed(self) -> bool:
        """See ``session.Session``."""
        return bool(self._connection.is_closed())

    def abort(self) -> None:
        """See ``session.Session``: at once, without a word to the server."""
        with contextlib.suppress(*_LOST):
            self._connection.terminate()

    async def close(self) -> None:
        """See ``session.Session``."""
        with contextlib.suppress(asyncpg.PostgresError, TimeoutError, *_LOST):
            await self._connection.close(timeout=0.5)
        self.abort()


def _rows(records: Sequence[asyncpg.Record]) -> list[Row]:
    return [tuple(r) for r in records]


def _told(fault: asyncpg.PostgresError, committing: bool) -> DatabaseError:
    """The server's word. Where the connection ends with it, a commit under way is uncertain."""
    state = fault.sqlstate or ""
    told = database_errors.from_sqlstate(state, str(fault))
    if committing and (state.startswith(("08", "57P")) or not state):
        return DatabaseError(told.kind, str(fault), uncertain=True)
    return told
