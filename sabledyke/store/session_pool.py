"""A bounded pool of sessions to one storage node that is a database."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from sabledyke.policy.settings import Settings
from sabledyke.store import statements
from sabledyke.store.connect import connect
from sabledyke.store.database_errors import DatabaseError
from sabledyke.store.section import SqlNode, Target
from sabledyke.store.session import Session

MAX_IDLE_S = 60.0  # idle time after which a session is closed instead of being used again


@dataclass(slots=True, frozen=True)
class _IdleSession:
    session: Session
    since_s: float  # start of the idle time, on the event loop's clock


class SessionPool:
    """The sessions to one node; each is used by one link at a time.

    Attributes:
        node: The node.
        target: The node's database, at the address from discovery.
        settings: The settings in force.
        permits: A semaphore that limits the number of sessions in use.
        closed: True if the node was removed from the endpoint list, or the program shuts down.
    """

    def __init__(self, node: SqlNode, target: Target, settings: Settings) -> None:
        self.node = node
        self.target = target
        self.settings = settings
        self.permits = asyncio.Semaphore(node.connections)
        self.closed = False
        self._writes = 0
        self._idle: list[_IdleSession] = []
        self._has_tables = False

    async def acquire(self) -> Session:
        """Return an idle session, or a new one.

        Raises:
            DatabaseError: No session can be opened.
        """
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            idle = self._idle.pop()
            if not idle.session.closed and now_s - idle.since_s < MAX_IDLE_S:
                return idle.session
            idle.session.abort()
        session = await connect(self.target, connect_s=self.settings.connect_timeout_ms / 1000)
        if not self._has_tables:
            await self._create_tables(session)
        return session

    def release(self, session: Session) -> None:
        """Return a session to the pool after its use."""
        if self.closed or session.closed:
            session.abort()
        else:
            self._idle.append(_IdleSession(session, asyncio.get_running_loop().time()))

    def count_write(self) -> int:
        """Count a write; return its number, from 1."""
        self._writes += 1
        return self._writes

    def close(self) -> None:
        """Close idle sessions; a session in use is closed when it is released."""
        self.closed = True
        while self._idle:
            self._idle.pop().session.abort()

    async def _create_tables(self, session: Session) -> None:
        try:
            await session.script(statements.NODE_TABLES)
        except DatabaseError:
            session.abort()
            raise
        self._has_tables = True
