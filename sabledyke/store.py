"""The store of record: which keyed writes were sent, where and when, for the time after a restart."""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass

from sabledyke import log
from sabledyke.config import ConfigError
from sabledyke.core import Work

KEPT = 3600 * 1000.0  # ms that a write is remembered, far longer than any client repeats it
_SCHEMA = """
CREATE TABLE IF NOT EXISTS writes (
    name TEXT PRIMARY KEY, at REAL NOT NULL, shard INTEGER NOT NULL, zone INTEGER NOT NULL,
    state TEXT NOT NULL
) WITHOUT ROWID
"""


@dataclass(slots=True, frozen=True)
class Sent:
    """A write's first send that may have run: when, in Unix milliseconds, and where."""

    at: float
    shard: int
    zone: int


def name(work: Work) -> str:
    """What a keyed write is recorded by; empty for other work."""
    return f"{work.class_}/{work.volume:x}/{work.token}" if work.write and work.token else ""


class StoreError(ConfigError):
    """The store cannot be opened; the text is the one line that says why."""


class Store:
    """A SQLite file, written in a thread of its own; what is remembered is read at the start."""

    def __init__(self, path: str) -> None:
        self.failed = False
        self._thread = ThreadPoolExecutor(1, "store")
        try:
            self._sent: dict[str, Sent] = self._thread.submit(self._open, path).result()
        except sqlite3.Error as fault:
            self._thread.shutdown()
            raise StoreError(f"store {path}: {fault}") from None

        self._ran = set(self._sent)  # those of which a send may have run

    def _open(self, path: str) -> dict[str, Sent]:
        self._db = sqlite3.connect(path, isolation_level=None)
        self._db.execute("PRAGMA journal_mode = WAL")
        self._db.execute("PRAGMA synchronous = FULL")
        self._db.execute(_SCHEMA)
        self._db.execute("DELETE FROM writes WHERE at < ?", (time.time() * 1000 - KEPT,))
        rows = self._db.execute("SELECT name, at, shard, zone FROM writes WHERE state != 'never'")
        return {name: Sent(at, shard, zone) for name, at, shard, zone in rows}

    def earlier(self, name: str) -> Sent | None:
        """The send of this write that may have run already."""
        return self._sent.get(name)

    def sending(self, name: str, sent: Sent, then: Callable[[bool], None]) -> None:
        """Record a send before it is made; ``then`` is told, in the store's thread, whether it is on disk."""
        if name in self._sent:  # the first send that may have run is what counts
            self._run("SELECT 1", (), then)  # ... and it must be on disk first, too
            return
        self._sent[name] = sent
        statement = "INSERT OR REPLACE INTO writes VALUES (?, ?, ?, ?, 'sent')"
        self._run(statement, (name, sent.at, sent.shard, sent.zone), then)

    def ended(self, name: str, state: str) -> None:
        """Record an outcome: ``served``, ``unknown``, or ``never`` where no send of it has run."""
        if state != "never":
            self._ran.add(name)
        elif name in self._ran:
            return  # an earlier send of it may have run: that stands, whatever became of a later one
        else:
            self._sent.pop(name, None)
        self._run("UPDATE writes SET state = ? WHERE name = ?", (state, name), lambda _: None)

    def forget(self, now: float) -> None:
        """Drop what was sent so long ago that nobody repeats it."""
        before = now - KEPT
        for name in [n for n, s in self._sent.items() if s.at < before]:
            del self._sent[name]
            self._ran.discard(name)
        self._run("DELETE FROM writes WHERE at < ?", (before,), lambda _: None)

    def close(self) -> None:
        """Finish what is to be written."""
        self._thread.submit(self._db.close)
        self._thread.shutdown()

    def _run(self, statement: str, values: tuple[object, ...], then: Callable[[bool], None]) -> None:
        def finished(future: Future[None]) -> None:
            fault = future.exception()
            if fault is not None:
                # Guards against keyed writes whose send nobody would remember: no new ones are taken.
                self.failed = True
                log.say("store", f"cannot be written, keyed writes are refused from now on: {fault}")
            then(fault is None)

        self._thread.submit(self._execute, statement, values).add_done_callback(finished)

    def _execute(self, statement: str, values: tuple[object, ...]) -> None:
        self._db.execute(statement, values).close()
