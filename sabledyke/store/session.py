"""The protocol of database sessions that the store's drivers and commands use, and SQLite's implementation.

Every error of a database driver becomes a ``DatabaseError``. Each SQLite connection is used in a thread of
its own, so that a stalled disk or lock delays neither the event loop nor other connections.
"""

from __future__ import annotations

import contextlib
import sqlite3
import threading
from collections.abc import AsyncIterator, Callable, Sequence
from pathlib import Path
from typing import Protocol, TypeVar

from sabledyke.store import database_errors
from sabledyke.store.database_errors import DatabaseError, DatabaseErrorKind
from sabledyke.store.statements import to_sqlite
from sabledyke.store.types import Row, Step, Value
from sabledyke.store.worker_thread import WorkerThread

ResultT = TypeVar("ResultT")
CHECKPOINT_PAGES = 4000  # pages of the write-ahead log (16 MB) after which a commit runs a checkpoint
BUSY_TIMEOUT_S = 0.1  # time that SQLite waits for a lock; callers decide about longer waits


class Session(Protocol):
    """A database connection that runs one call at a time."""

    backend: str

    async def transact(
        self, steps: Sequence[Step], committing: Callable[[], None] = lambda: None
    ) -> list[list[Row]]:
        """Run all steps in one transaction.

        Args:
            steps: The statements.
            committing: Called just before COMMIT is handed to the connection. If it has not been called when
                ``abort`` returns, the transaction never takes effect.

        Returns:
            The rows of each step, [] for a step without rows.

        Raises:
            DatabaseError: The transaction failed; ``uncertain`` is set if it may have taken effect.
        """

    async def query(self, sql: str, *values: Value) -> list[Row]:
        """Return the rows of one statement."""

    async def script(self, lines: Sequence[str]) -> None:
        """Run statements without values, such as those of a schema, in one transaction."""

    def snapshot(self) -> contextlib.AbstractAsyncContextManager[None]:
        """Return a context whose queries all see one state of the database, despite concurrent commits."""

    @property
    def closed(self) -> bool:
        """True if the connection can no longer be used."""

    def abort(self) -> None:
        """Abandon the connection at once, even during a call."""

    async def close(self) -> None:
        """Close the connection in good order."""


class SqliteSession:
    """A session with a SQLite file.

    Attributes:
        path: The file.
        closed: True if the connection can no longer be used.
    """

    backend = "sqlite"

    def __init__(self, path: str, *, create: bool = True) -> None:
        self.path = path
        self.closed = False
        self._create = create
        self._thread = WorkerThread("store")
        self._connection: sqlite3.Connection | None = None
        self._commit_lock = threading.Lock()  # excludes abort() while a commit begins
        self._translated: dict[str, str] = {}  # SQLite's text of each statement, bounded by their number

    async def open(self) -> None:
        """Open the file.

        Raises:
            DatabaseError: The file cannot be opened, or is no database.
        """
        await self._thread.call(self._open)

    async def transact(
        self, steps: Sequence[Step], committing: Callable[[], None] = lambda: None
    ) -> list[list[Row]]:
        """Run all steps in one transaction, in the connection's thread."""
        return await self._thread.call(lambda: self._transact(steps, committing))

    async def query(self, sql: str, *values: Value) -> list[Row]:
        """Return the rows of one statement."""
        return await self.run(lambda connection: connection.execute(self._translate(sql), values).fetchall())

    async def script(self, lines: Sequence[str]) -> None:
        """Run statements without values in one transaction."""
        await self.transact([Step(line) for line in lines])

    @contextlib.asynccontextmanager
    async def snapshot(self) -> AsyncIterator[None]:
        """Run the queries of the context in one read transaction."""
        await self.query("BEGIN")
        try:
            yield
        finally:
            await self.query("ROLLBACK")

    async def run(self, function: Callable[[sqlite3.Connection], ResultT]) -> ResultT:
        """Call a function with the connection in its thread, for features that only SQLite has."""

        def call() -> ResultT:
            assert self._connection is not None
            try:
                return function(self._connection)
            except sqlite3.Error as error:
                raise database_errors.from_sqlite(error) from error

        return await self._thread.call(call)

    def abort(self) -> None:
        """Abandon the connection: a wait for a lock ends soon, but a wait for the disk cannot be stopped."""
        if self.closed:
            return
        with self._commit_lock:
            self.closed = True
        if self._connection is not None:
            self._connection.interrupt()
        self._end_thread()

    async def close(self) -> None:
        """Close the connection after the calls in progress, without waiting for them.

        The thread may hold the file a little longer than this call, so ``connect.retry_while_transient``
        retries the next start.
        """
        if not self.closed:
            self.closed = True
            self._end_thread()

    def _open(self) -> None:
        if not self._create and not Path(self.path).exists():
            raise DatabaseError(DatabaseErrorKind.LOST, "there is no such file")
        try:
            connection = sqlite3.connect(
                self.path, isolation_level=None, timeout=BUSY_TIMEOUT_S, check_same_thread=False
            )
            self._connection = connection
            connection.execute("PRAGMA journal_mode = WAL").close()
            connection.execute("PRAGMA synchronous = FULL").close()
            connection.execute(f"PRAGMA wal_autocheckpoint = {CHECKPOINT_PAGES}").close()
            connection.execute("SELECT count(*) FROM sqlite_master").close()  # fails if it is no database
        except sqlite3.Error as error:
            self.closed = True
            raise database_errors.from_sqlite(error) from error

    def _translate(self, sql: str) -> str:
        text = self._translated.get(sql)
        if text is None:
            text = to_sqlite(sql)
            self._translated[sql] = text
        return text

    def _transact(self, steps: Sequence[Step], committing: Callable[[], None]) -> list[list[Row]]:
        connection = self._connection
        assert connection is not None
        commit_begun = False
        try:
            connection.execute("BEGIN IMMEDIATE")
            results = [self._run_step(connection, step) for step in steps]
            with self._commit_lock:
                # Guards against a commit after abort() has returned, because its caller treats the write as
                # not run.
                if self.closed:
                    raise DatabaseError(DatabaseErrorKind.LOST, "connection was aborted before COMMIT")
                commit_begun = True
                committing()
            connection.execute("COMMIT")
        except sqlite3.Error as error:
            failure = database_errors.from_sqlite(error, committing=commit_begun)
            _roll_back(connection)
            raise failure from error
        except DatabaseError:
            _roll_back(connection)
            raise
        return results

    def _run_step(self, connection: sqlite3.Connection, step: Step) -> list[Row]:
        text = self._translate(step.sql)
        if " RETURNING " in text or text.startswith("SELECT"):
            rows: list[Row] = []
            for values in step.rows:
                rows += connection.execute(text, values).fetchall()
            return rows
        if len(step.rows) == 1:
            connection.execute(text, step.rows[0])
        else:
            connection.executemany(text, step.rows)
        return []

    def _end_thread(self) -> None:
        connection = self._connection
        self._thread.end(connection.close if connection is not None else lambda: None)


def _roll_back(connection: sqlite3.Connection) -> None:
    if connection.in_transaction:
        with contextlib.suppress(sqlite3.Error):
            connection.execute("ROLLBACK")
