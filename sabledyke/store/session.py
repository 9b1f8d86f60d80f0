"""A connection to a database, as the store's drivers and commands use it, and SQLite's.

Decides nothing: every error of a driver becomes a ``DatabaseError``. SQLite is used from one thread of its
own for each connection, so that a disk or a lock that stalls holds up nobody else.
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
CHECKPOINT_PAGES = 4000  # of the log, 16 MB, after which a commit also moves them into the file
BUSY_TIMEOUT_S = 0.1  # that SQLite waits for another's lock; longer waits are the caller's decision


class Session(Protocol):
    """One connection; one call at a time."""

    backend: str

    async def transact(
        self, steps: Sequence[Step], committing: Callable[[], None] = lambda: None
    ) -> list[list[Row]]:
        """Run all steps in one transaction.

        Args:
            steps: The statements.
            committing: Called just before COMMIT is handed over: if it was not called by the time that
                ``abort`` returns, the transaction never takes effect.

        Returns:
            The rows of each step, [] for one that returns none.

        Raises:
            DatabaseError: Where it did not succeed; it says whether it may have taken effect.
        """

    async def query(self, sql: str, *values: Value) -> list[Row]:
        """Return the rows of one statement."""

    async def script(self, lines: Sequence[str]) -> None:
        """Run statements without values in one transaction, for the schema."""

    def snapshot(self) -> contextlib.AbstractAsyncContextManager[None]:
        """Have the queries inside see one state of the database, whatever others commit meanwhile."""

    @property
    def closed(self) -> bool:
        """Whether it cannot be used any more."""

    def abort(self) -> None:
        """Give the connection up, whatever is under way on it."""

    async def close(self) -> None:
        """End the connection in good order."""


class SqliteSession:
    """A connection to a SQLite file; see ``Session``."""

    backend = "sqlite"

    def __init__(self, path: str, *, create: bool = True) -> None:
        self.path = path
        self.closed = False
        self._create = create
        self._thread = WorkerThread("store")
        self._connection: sqlite3.Connection | None = None
        self._commit_lock = threading.Lock()  # between a commit that is to begin and abort()
        self._translated: dict[str, str] = {}  # statements in SQLite's dialect: as many as the program has

    async def open(self) -> None:
        """Open the file.

        Raises:
            DatabaseError: Where that cannot be done.
        """
        await self._thread.call(self._open)

    async def transact(
        self, steps: Sequence[Step], committing: Callable[[], None] = lambda: None
    ) -> list[list[Row]]:
        """See ``Session``."""
        return await self._thread.call(lambda: self._transact(steps, committing))

    async def query(self, sql: str, *values: Value) -> list[Row]:
        """See ``Session``."""
        return await self.run(lambda connection: connection.execute(self._translate(sql), values).fetchall())

    async def script(self, lines: Sequence[str]) -> None:
        """See ``Session``."""
        await self.transact([Step(line) for line in lines])

    @contextlib.asynccontextmanager
    async def snapshot(self) -> AsyncIterator[None]:
        """See ``Session``."""
        await self.query("BEGIN")
        try:
            yield
        finally:
            await self.query("ROLLBACK")

    async def run(self, function: Callable[[sqlite3.Connection], ResultT]) -> ResultT:
        """Call a function with the connection in its thread, for what SQLite alone has."""

        def call() -> ResultT:
            assert self._connection is not None
            try:
                return function(self._connection)
            except sqlite3.Error as error:
                raise database_errors.from_sqlite(error) from error

        return await self._thread.call(call)

    def abort(self) -> None:
        """See ``Session``: a wait for a lock ends soon; a wait for the disk cannot be called off."""
        if self.closed:
            return
        with self._commit_lock:
            self.closed = True
        if self._connection is not None:
            self._connection.interrupt()
        self._end_thread()

    async def close(self) -> None:
        """See ``Session``.

        What is under way is done first, in its thread, and nobody waits for it here: the file may be held for
        a moment longer (``connect.retry_while_transient``).
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
            connection.execute("SELECT count(*) FROM sqlite_master").close()  # is it a database at all?
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
        handed_over = False
        try:
            connection.execute("BEGIN IMMEDIATE")
            results = [self._run_step(connection, step) for step in steps]
            with self._commit_lock:
                # Guards against a commit after abort() has returned: it would run though it counts as not
                # run.
                if self.closed:
                    raise DatabaseError(DatabaseErrorKind.LOST, "given up before its commit")
                handed_over = True
                committing()
            connection.execute("COMMIT")
        except sqlite3.Error as error:
            failure = database_errors.from_sqlite(error, committing=handed_over)
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
