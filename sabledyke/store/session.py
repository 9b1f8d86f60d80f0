"""A connection to a database, as the store's drivers and tools use it, and SQLite's.

Told: steps of a transaction, or a query. Decides nothing: every error becomes a ``StoreFault`` by ``faults``.
SQLite is used from one thread of its own for each connection, so that a disk or a lock that stalls holds up
nobody else; that thread never holds up the program's end.
"""

from __future__ import annotations

import asyncio
import contextlib
import sqlite3
import threading
from collections.abc import AsyncIterator, Callable, Sequence
from pathlib import Path
from queue import SimpleQueue
from typing import Any, Protocol, TypeVar

from sabledyke.store import database_errors
from sabledyke.store.database_errors import DatabaseErrorKind, DatabaseError
from sabledyke.store.statements import to_sqlite
from sabledyke.store.types import Row, Step, Value

T = TypeVar("T")
CHECKPOINT_PAGES = 4000  # pages of the log, 16 MB, after which a commit also moves them into the file
BUSY_TIMEOUT_S = 0.1  # seconds that SQLite waits for another's lock; longer waits are the caller's decision


class Session(Protocol):
    """One connection; one call at a time."""

    backend: str

    async def transact(
        self, steps: Sequence[Step], committing: Callable[[], None] = lambda: None
    ) -> list[list[Row]]:
        """All steps in one transaction: the rows of each, [] for one that returns none; or a StoreFault.

        ``committing`` is called just before COMMIT is handed over: if it was not called by the time that
        ``abort`` returns, the transaction never takes effect. A fault says whether it may have done so.
        """

    async def query(self, sql: str, *values: Value) -> list[Row]:
        """Rows of one statement."""

    async def script(self, lines: Sequence[str]) -> None:
        """Statements without values in one transaction, for the schema."""

    def snapshot(self) -> contextlib.AbstractAsyncContextManager[None]:
        """Queries inside see one state of the database, whatever others commit meanwhile."""

    @property
    def closed(self) -> bool:
        """It cannot be used any more."""

    def abort(self) -> None:
        """Give the connection up, whatever is under way on it."""

    async def close(self) -> None:
        """End it in good order."""


class _Thread:
    """Runs calls in turn in a daemon thread: unlike an executor's, it is not waited for at the end."""

    def __init__(self) -> None:
        self._calls: SimpleQueue[tuple[Callable[[], Any], asyncio.Future[Any]] | None] = SimpleQueue()
        self._loop = asyncio.get_running_loop()
        threading.Thread(target=self._run, name="store", daemon=True).start()

    async def call(self, what: Callable[[], T]) -> T:
        future: asyncio.Future[T] = self._loop.create_future()
        self._calls.put((what, future))
        return await future  # cancelled, it finds nobody: what it does is done all the same

    def end(self, last: Callable[[], None]) -> None:
        """Nothing follows this call."""
        self._calls.put((last, self._loop.create_future()))
        self._calls.put(None)

    def _run(self) -> None:
        while (call := self._calls.get()) is not None:
            what, future = call
            try:
                value, fault = what(), None
            except BaseException as raised:  # it goes to who waits for it
                value, fault = None, raised
            with contextlib.suppress(RuntimeError):  # the loop has ended meanwhile
                self._loop.call_soon_threadsafe(_settle, future, value, fault)


def _told(fault: sqlite3.Error | DatabaseError, committing: bool) -> DatabaseError:
    return fault if isinstance(fault, DatabaseError) else database_errors.from_sqlite(fault, committing=committing)


def _settle(future: asyncio.Future[Any], value: Any, fault: BaseException | None) -> None:
    if future.done():
        return
    if fault is None:
        future.set_result(value)
    else:
        future.set_exception(fault)
        future.exception()  # nobody may be waiting any more


class SqliteSession:
    """See ``Session``."""

    backend = "sqlite"

    def __init__(self, path: str, *, create: bool = True) -> None:
        self.path, self._create = path, create
        self._thread = _Thread()
        self._db: sqlite3.Connection | None = None
        self.closed = False
        self._lock = threading.Lock()  # between a commit that is to begin and abort()
        self._texts: dict[str, str] = {}  # statements as SQLite reads them: as many as the program has

    async def open(self) -> None:
        """Open the file; a StoreFault where that cannot be done."""
        await self._thread.call(self._open)

    def _open(self) -> None:
        if not self._create and not Path(self.path).exists():
            raise DatabaseError(DatabaseErrorKind.LOST, "there is no such file")
        try:
            db = sqlite3.connect(self.path, isolation_level=None, timeout=BUSY_TIMEOUT_S, check_same_thread=False)
            self._db = db
            db.execute("PRAGMA journal_mode = WAL").close()
            db.execute("PRAGMA synchronous = FULL").close()
            db.execute(f"PRAGMA wal_autocheckpoint = {CHECKPOINT_PAGES}").close()
            db.execute("SELECT count(*) FROM sqlite_master").close()  # is it a database at all?
        except sqlite3.Error as fault:
            self.closed = True
            raise database_errors.from_sqlite(fault) from None

    async def transact(
        self, steps: Sequence[Step], committing: Callable[[], None] = lambda: None
    ) -> list[list[Row]]:
        """See ``Session``."""
        return await self._thread.call(lambda: self._transact(steps, committing))

    async def query(self, sql: str, *values: Value) -> list[Row]:
        """See ``Session``."""
        return await self._thread.call(lambda: self._query(sql, values))

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

    async def run(self, what: Callable[[sqlite3.Connection], T]) -> T:
        """Something that SQLite alone has, in its thread."""

        def go() -> T:
            assert self._db is not None
            try:
                return what(self._db)
            except sqlite3.Error as fault:
                raise database_errors.from_sqlite(fault) from None

        return await self._thread.call(go)

    def _text(self, sql: str) -> str:
        text = self._texts.get(sql)
        if text is None:
            text = self._texts[sql] = to_sqlite(sql)
        return text

    def _transact(self, steps: Sequence[Step], tell: Callable[[], None]) -> list[list[Row]]:
        db, committing = self._db, False
        assert db is not None
        out: list[list[Row]] = []
        try:
            db.execute("BEGIN IMMEDIATE")
            for step in steps:
                text = self._text(step.sql)
                if " RETURNING " in text or text.startswith("SELECT"):
                    rows: list[Row] = []
                    for values in step.rows:
                        rows += db.execute(text, values).fetchall()
                    out.append(rows)
                elif len(step.rows) == 1:
                    db.execute(text, step.rows[0])
                    out.append([])
                else:
                    db.executemany(text, step.rows)
                    out.append([])
            with self._lock:
                # Guards against a commit after abort() has returned: it would run though it counts as not
                # run.
                if self.closed:
                    raise DatabaseError(DatabaseErrorKind.LOST, "given up before its commit")
                committing = True
                tell()
            db.execute("COMMIT")
        except (sqlite3.Error, DatabaseError) as fault:
            told = _told(fault, committing)
            if db.in_transaction:
                with contextlib.suppress(sqlite3.Error):
                    db.execute("ROLLBACK")
            raise told from None
        return out

    def _query(self, sql: str, values: Sequence[Value]) -> list[Row]:
        assert self._db is not None
        try:
            return self._db.execute(self._text(sql), values).fetchall()
        except sqlite3.Error as fault:
            raise database_errors.from_sqlite(fault) from None

    def abort(self) -> None:
        """See ``Session``: what waits for a lock ends soon; what waits for the disk cannot be called off."""
        if not self.closed:
            with self._lock:
                self.closed = True
            if self._db is not None:
                self._db.interrupt()
            self._finish()

    async def close(self) -> None:
        """See ``Session``: what is under way is done first, in its thread, and nobody waits for it here: the
        file may be held for a moment longer (``connect.patiently``).
        """
        if not self.closed:
            self.closed = True
            self._finish()

    def _finish(self) -> None:
        self._thread.end(self._db.close if self._db is not None else lambda: None)
