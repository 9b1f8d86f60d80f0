"""Opens sessions to the databases that a section names; the PostgreSQL driver is loaded only for a URL."""

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
CONNECT_TIMEOUT_S = 0.3  # for a connection to a server to come up, in service
START_PATIENCE_S = 5.0  # that a start waits for a database which another holds up
FIRST_RETRY_WAIT_S = 0.02  # before the database is tried again, doubled up to ...
LONGEST_RETRY_WAIT_S = 0.5


async def connect(target: Target, *, create: bool = True, connect_s: float = CONNECT_TIMEOUT_S) -> Session:
    """Open a session.

    Args:
        target: The database.
        create: Whether to create a file that is missing.
        connect_s: Seconds for a connection to a server to come up.

    Raises:
        DatabaseError: Where it does not come up.
        StoreError: Where the driver is not installed.
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
    """Open a session with more patience.

    Raises:
        StoreError: Where it does not come up, in one plain line.
    """
    try:
        return await retry_while_transient(lambda: connect(target, create=create, connect_s=START_PATIENCE_S))
    except DatabaseError as error:
        raise StoreError(f"store {target}: {error}") from error


@asynccontextmanager
async def open_at_start(target: Target, *, create: bool = True) -> AsyncIterator[Session]:
    """Have a session as ``connect_at_start`` opens it, closed at the end."""
    session = await connect_at_start(target, create=create)
    try:
        yield session
    finally:
        await session.close()


async def retry_while_transient(function: Callable[[], Awaitable[ResultT]]) -> ResultT:
    """Call a function until what stands in its way is over: a lock, a server that starts or ends.

    Guards against a start that fails for good because a former process, or the one that it is to replace, is
    just closing the file or commits slowly.

    Raises:
        DatabaseError: One that is not transient, or the last after ``START_PATIENCE_S``.
    """
    deadline = time.monotonic() + START_PATIENCE_S
    wait_s = FIRST_RETRY_WAIT_S
    while True:
        try:
            return await function()
        except DatabaseError as error:
            if error.kind not in TRANSIENT_KINDS or time.monotonic() >= deadline:
                raise
        await asyncio.sleep(wait_s)
        wait_s = min(2 * wait_s, LONGEST_RETRY_WAIT_S)
