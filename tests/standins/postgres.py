"""A PostgreSQL server for tests, on loopback: protocol 3.0 as far as a client library uses it, and faults.

Written from chapter 55 of PostgreSQL's manual (messages), RFC 5802 and 7677 (SCRAM-SHA-256) and appendix A
(SQLSTATEs), with nothing of the code that it tests. Start-up, SCRAM, simple and extended query, transactions,
errors and cancel are spoken; COPY, cursors, notices and types beyond text, bigint, double precision and bytea
are not. Underneath is one SQLite file with a connection a session, so transactions are real: what a session
writes is seen by others after its COMMIT, and is gone with its ROLLBACK.

What is simpler than the real one: a writing transaction locks the whole database, not rows, so that another
writer waits for it; SQL is SQLite's, after value casts and FOR UPDATE are removed; types of result columns
are those that CREATE TABLE gave them.

As the real one, it goes on with a COMMIT that it has received although its client has gone. Run as a program,
it is a process of its own, for measurements, and prints its port.
"""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass, field

from tests.standins.postgres_faults import ConnectionCutError, Script, no_fault
from tests.standins.postgres_session import PostgresSession

PROGRAM_LIFETIME_S = 1800


@dataclass(slots=True)
class Postgres:
    """The server; a ``script`` raises ConnectionCutError or PostgresError, or sleeps.

    Attributes:
        path: Its file.
        user: The one role.
        password: Its password.
        script: Acts at each point of each session.
        sessions: How many sessions have sent a StartupMessage.
        sessions_messages: How many messages each has received.
        cancelled: Sessions for which a CancelRequest came.
        statements: All that was executed, in order.
        types: Types of columns, by table and name.
        port: Where it listens.
    """

    path: str
    user: str = "sabledyke"
    password: str = "secret"
    script: Script = no_fault
    sessions: int = 0
    sessions_messages: dict[int, int] = field(default_factory=dict)
    cancelled: list[int] = field(default_factory=list)
    statements: list[str] = field(default_factory=list)
    types: dict[tuple[str, str], int] = field(default_factory=dict)
    port: int = 0
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def connected(self) -> bool:
        """Whether any client is connected."""
        return bool(self._writers)

    async def open(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._on_client, "127.0.0.1", port)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def cut_connections(self) -> None:
        """Reset what is open; what was received goes on."""
        for writer in self._writers:
            writer.transport.abort()

    def die(self) -> None:
        """Reset what is open, and reject new connections."""
        assert self._server is not None
        self._server.close()
        self.cut_connections()

    async def end(self) -> None:
        """Die, and wait for transactions that still go on."""
        self.die()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def begin_session(self) -> int:
        """Return the number of a session whose StartupMessage has come.

        A connection without one is no session: a CancelRequest, or another program's attempt to reach
        a service that had this port before.
        """
        self.sessions += 1
        return self.sessions

    async def _on_client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        session = PostgresSession(self, reader, writer)
        try:
            await session.serve()
        except (asyncio.IncompleteReadError, ConnectionError, ConnectionCutError, asyncio.CancelledError):
            pass
        finally:
            session.end()
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.transport.abort()


async def _serve_alone(path: str) -> None:
    server = Postgres(path)
    await server.open()
    print(server.port, flush=True)
    await asyncio.sleep(PROGRAM_LIFETIME_S)


if __name__ == "__main__":
    asyncio.run(_serve_alone(sys.argv[1]))
