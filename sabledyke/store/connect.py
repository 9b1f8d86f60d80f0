"""Opens sessions to configured databases; the PostgreSQL driver is loaded only if a URL is set."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import TypeVar

from sabledyke.store.database_errors import TRANSIENT_KINDS, DatabaseError, StoreError
from sabledyke.store.section import Target
from sabledyke.store.session import Session, SqliteSession

ResultT = TypeVar("ResultT")
CONNECT_TIMEOUT_S = 0.3  # timeout of a connection to a server, except during a start
START_TIMEOUT_S = 5.0  # time that a start waits for a database that is locked or not ready
MIN_RETRY_DELAY_S = 0.02  # first delay between tries; it doubles up to the longest delay
MAX_RETRY_DELAY_S = 0.5


async def connect(target: Target, *, create: bool = True, connect_s: float = CONNECT_TIMEOUT_S) -> Session:
    """Open a session.

    Args:
        target: The database.
        create: True to create a missing file.
        connect_s: Timeout of a connection to a server, in seconds.

    Raises:
        DatabaseError: The database cannot be opened.
        StoreError: The driver is not installed.
    """
    if target.path:
        session = SqliteSession(target.path, create=create)
        await session.open()
        return session
    try:
        from sabledyke.store.postgres import PostgresAddress, PostgresSession
    except ImportError as error:
        missing = "asyncpg is not installed: pip install 'sabledyke[store]'"
        raise StoreError(f"store {target}: {missing}") from error
    address = PostgresAddress(
        host=target.host,
        port=target.port,
        database=target.database,
        user=target.user,
        password=target.password,
        tls=target.tls,
        connect_timeout_s=connect_s,
    )
    return await PostgresSession.open(address)


async def connect_at_start(target: Target, *, create: bool = True) -> Session:
    """Open a session during a start or for a command, and retry while the database is locked or not ready.

    Raises:
        StoreError: The database cannot be opened; the message is a single line.
    """
    try:
        return await retry_while_transient(lambda: connect(target, create=create, connect_s=START_TIMEOUT_S))
    except DatabaseError as error:
        raise StoreError(f"store {target}: {error}") from error


@asynccontextmanager
async def open_at_start(target: Target, *, create: bool = True) -> AsyncIterator[Session]:
    """Open a session with ``connect_at_start``, and close it at the end of the context."""
    session = await connect_at_start(target, create=create)
    try:
        yield session
    finally:
        await session.close()


async def retry_while_transient(function: Callable[[], Awaitable[ResultT]]) -> ResultT:
    """Call a function again while it fails because of a lock or a server that is starting or shutting down.

    Guards against a start that fails permanently because a former process, or the process to be replaced, is
    still closing the file or committing slowly.

    Raises:
        DatabaseError: An error that is not transient, or the last one after ``START_TIMEOUT_S``.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    delay_s = MIN_RETRY_DELAY_S
    while True:
        try:
            return await function()
        except DatabaseError as error:
            if error.kind not in TRANSIENT_KINDS or time.monotonic() >= deadline:
                raise
        await asyncio.sleep(delay_s)
        delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
