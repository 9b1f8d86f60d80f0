"""A PostgreSQL server for tests on loopback: the parts of protocol 3.0 that clients use, with faults.

It is implemented from chapter 55 of PostgreSQL's manual (messages), RFC 5802 and 7677 (SCRAM-SHA-256) and
appendix A (SQLSTATEs), independent of the code under test. It supports start-up, SCRAM, simple and extended
query, transactions, errors and cancel; it does not support COPY, cursors, notices and types other than text,
bigint, double precision and bytea. The data are in one SQLite file with one connection per session, so that
transactions are real: other sessions see the writes of a session after its COMMIT, and a ROLLBACK discards
them.

Simplifications: a writing transaction locks the whole database instead of rows, so that another writer waits
for it; the SQL dialect is SQLite's, after value casts and FOR UPDATE are removed; the types of result columns
are the declared types of CREATE TABLE.

Like the real server, it completes a received COMMIT even if the client has disconnected. Run as a program, it
serves measurements from a separate process and prints its port.
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
    """The server; its ``script`` injects faults: it raises ConnectionCutError or PostgresError, or sleeps.

    Attributes:
        path: Path of the SQLite file.
        user: Name of the only role.
        password: Password of the role.
        script: Called at each fault point of each session.
        sessions: Number of sessions that have sent a StartupMessage.
        message_counts: Number of received messages by session number.
        cancelled: Session numbers of the received CancelRequests.
        statements: All executed statements, in order.
        types: Column types by table and column name.
        port: The port on which it listens.
    """

    path: str
    user: str = "sabledyke"
    password: str = "secret"
    script: Script = no_fault
    sessions: int = 0
    message_counts: dict[int, int] = field(default_factory=dict)
    cancelled: list[int] = field(default_factory=list)
    statements: list[str] = field(default_factory=list)
    types: dict[tuple[str, str], int] = field(default_factory=dict)
    port: int = 0
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def connected(self) -> bool:
        """True if any client is connected."""
        return bool(self._writers)

    async def open(self, port: int = 0) -> None:
        """Listen on this port, or on a free one for 0."""
        self._server = await asyncio.start_server(self._on_client, "127.0.0.1", port)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def cut_connections(self) -> None:
        """Reset open connections; statements that were already received continue."""
        for writer in self._writers:
            writer.transport.abort()

    def die(self) -> None:
        """Reset open connections, and refuse new ones."""
        assert self._server is not None
        self._server.close()
        self.cut_connections()

    async def end(self) -> None:
        """Stop the server, cancel running transactions and wait for their tasks."""
        self.die()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def begin_session(self) -> int:
        """Count a session whose StartupMessage was received; return its number.

        Connections without a StartupMessage are not counted: they are a CancelRequest, or another program's
        attempt to reach a service that had this port before.
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


async def _serve_standalone(path: str) -> None:
    server = Postgres(path)
    await server.open()
    print(server.port, flush=True)
    await asyncio.sleep(PROGRAM_LIFETIME_S)


if __name__ == "__main__":
    asyncio.run(_serve_standalone(sys.argv[1]))
