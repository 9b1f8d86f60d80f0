"""Opens sessions to what a section names; the PostgreSQL driver is loaded only for a URL."""

from __future__ import annotations

from dataclasses import replace

from sabledyke.store.faults import StoreError, StoreFault
from sabledyke.store.section import Target
from sabledyke.store.session import Session, SqliteSession


async def connect(target: Target, *, create: bool = True, connect_s: float = 0.3) -> Session:
    """A session; a StoreFault where it does not come up."""
    if target.path:
        session = SqliteSession(target.path, create=create)
        await session.open()
        return session
    try:
        from sabledyke.store.postgres import PostgresSession, Where
    except ImportError:
        missing = "asyncpg is not installed: pip install 'sabledyke[store]'"
        raise StoreError(f"store {target}: {missing}") from None
    where = Where(target.host, target.port, target.database, target.user, target.password, target.tls)
    return await PostgresSession.open(replace(where, connect=connect_s))


async def at_start(target: Target, *, create: bool = True) -> Session:
    """The same, with more patience, and a StoreError in one plain line."""
    try:
        return await connect(target, create=create, connect_s=5.0)
    except StoreFault as fault:
        raise StoreError(f"store {target}: {fault}") from None
