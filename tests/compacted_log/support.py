"""A compacted log on either backend, whose commits can fail, and a clock that the test moves."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Awaitable, Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.compaction import CompactionPolicy
from sabledyke.compacted_log.etcd_backend import EtcdBackend
from sabledyke.compacted_log.reader import LogReader
from sabledyke.compacted_log.records import Backend, Cell
from sabledyke.compacted_log.sqlite_backend import SqliteBackend
from sabledyke.errors import CompactedLogError
from sabledyke.testbed.etcd_server import Etcd

POLICY = CompactionPolicy(
    min_lag_messages=6, tombstone_retention_ms=50, min_dirty_ratio=0.3, max_bytes_per_s=1e12
)
BACKENDS = ("table", "etcd")
TIMEOUT_S = 60


class ProcessDeathError(BaseException):
    """The process dies at this call."""


@dataclass
class FaultyBackend:
    """A backend whose commits can be the process's last, or lose their answers.

    Attributes:
        inner: The real backend.
        commits_to_death: How many further commits succeed before the one that the process dies at; never
            for -1.
        last_commit_written: Whether that one is written.
        lost_answers: The answers of so many commits get lost on the way, though they are written.
    """

    inner: Backend
    commits_to_death: int = -1
    last_commit_written: bool = True
    lost_answers: int = 0

    async def open(self) -> None:
        await self.inner.open()

    async def get(self, keys: Sequence[str]) -> dict[str, Cell]:
        return await self.inner.get(keys)

    async def scan(self, first: str, end: str, limit: int) -> list[tuple[str, Cell]]:
        return await self.inner.scan(first, end, limit)

    async def commit(
        self, checks: Mapping[str, int], puts: Mapping[str, bytes], drops: Collection[str] = ()
    ) -> bool:
        self.commits_to_death -= 1
        dies = self.commits_to_death == -1
        if dies and not self.last_commit_written:
            raise ProcessDeathError
        written = await self.inner.commit(checks, puts, drops)
        if dies:
            raise ProcessDeathError
        if self.lost_answers:
            self.lost_answers -= 1
            raise CompactedLogError("the answer got lost")
        return written

    async def close(self) -> None:
        await self.inner.close()


@dataclass
class Setup:
    """A log on one of the backends.

    Attributes:
        backend: The backend.
        log: The log on it.
        path: The file of the SQLite backend.
        now_ms: The time of the compactor.
        tokens: The tokens of the compactors so far.
    """

    backend: FaultyBackend
    log: CompactedLog
    path: str
    now_ms: float = 0.0
    tokens: list[int] = field(default_factory=lambda: [1])

    async def compact(self, token: int | None = None, policy: CompactionPolicy = POLICY) -> int:
        """Compact the topic ``t`` under this token, or the latest one."""
        given = self.tokens[-1] if token is None else token
        return await self.log.compact("t", policy, lambda: given, lambda: self.now_ms)

    async def read_as_new(self) -> dict[str, bytes | None]:
        """The values of the topic ``t`` as a reader that joins now has them."""
        reader = LogReader()
        await self.log.catch_up("t", reader, 3)
        return {key: message.value for key, message in reader.latest.items()}


def run_on(backend: str, scenario: Callable[[Setup], Awaitable[None]]) -> None:
    """Run a scenario on a log of its own, on this backend."""

    async def run() -> None:
        with tempfile.TemporaryDirectory() as folder:
            etcd = Etcd()
            await etcd.open()
            path = str(Path(folder) / "board.sqlite3")
            inner: Backend = SqliteBackend(path)
            if backend == "etcd":
                inner = EtcdBackend([f"127.0.0.1:{etcd.port}"], "x/")
            faulty = FaultyBackend(inner)
            await faulty.open()
            async with asyncio.timeout(TIMEOUT_S):
                await scenario(Setup(faulty, CompactedLog(faulty, 1), path))
            await faulty.close()
            await etcd.close()

    asyncio.run(run())
