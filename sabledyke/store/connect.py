"""Opens sessions to what a section names; the PostgreSQL driver is loaded only for a URL."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TypeVar

from sabledyke.store.database_errors import TRANSIENT_KINDS, StoreError, DatabaseError
from sabledyke.store.section import Target
from sabledyke.store.session import Session, SqliteSession

T = TypeVar("T")
CONNECT_TIMEOUT_S = 0.3  # seconds for a connection to a server to come up, in service
START_PATIENCE_S = 5.0  # seconds that a start waits for a database which another holds up
WAITS = 0.02, 0.5  # seconds before it is asked again: the first wait, doubled up to the last


async def connect(target: Target, *, create: bool = True, connect_s: float = CONNECT_TIMEOUT_S) -> Session:
    """A session; a StoreFault where it does not come up."""
    if target.path:
        session = SqliteSession(target.path, create=create)
        await session.open()
        return session
    try:
        from sabledyke.store.postgres import PostgresSession, PostgresAddress
    except ImportError:
        missing = "asyncpg is not installed: pip install 'sabledyke[store]'"
        raise StoreError(f"store {target}: {missing}") from None
    where = PostgresAddress(target.host, target.port, target.database, target.user, target.password, target.tls)
    return await PostgresSession.open(replace(where, connect_timeout_s=connect_s))


async def connect_at_start(target: Target, *, create: bool = True) -> Session:
    """The same, with more patience, and a StoreError in one plain line."""
    try:
        return await retry_while_transient(lambda: connect(target, create=create, connect_s=START_PATIENCE_S))
    except DatabaseError as fault:
        raise StoreError(f"store {target}: {fault}") from None


async def retry_while_transient(what: Callable[[], Awaitable[T]]) -> T:
    """What stands in the way for a moment is waited for: a lock, a server that starts or ends.

    Guards against a start that fails for good because a former process, or the one that it is to take over
    from, is just closing the file or commits slowly.
    """
    ends, wait = time.monotonic() + START_PATIENCE_S, WAITS[0]
    while True:
        try:
            return await what()
        except DatabaseError as fault:
            if fault.kind not in TRANSIENT_KINDS or time.monotonic() >= ends:
                raise
        await asyncio.sleep(wait)
        wait = min(2 * wait, WAITS[1])
