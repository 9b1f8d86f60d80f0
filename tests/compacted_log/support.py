"""A compacted log on either backend, with injected failures of commits and a clock that the test advances."""

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


class ProcessCrashError(BaseException):
    """The process crashes at this call."""


@dataclass
class FaultyBackend:
    """A backend that can crash the process at a commit, or lose the answers of commits.

    Attributes:
        inner: The real backend.
        commits_before_crash: The number of commits that succeed before the one that crashes the process; -1
            for no crash.
        crash_commit_is_written: True if the commit that crashes the process is written.
        answers_to_lose: The number of commits that are written, but whose answers are lost.
    """

    inner: Backend
    commits_before_crash: int = -1
    crash_commit_is_written: bool = True
    answers_to_lose: int = 0

    async def open(self) -> None:
        await self.inner.open()

    async def get(self, keys: Sequence[str]) -> dict[str, Cell]:
        return await self.inner.get(keys)

    async def scan(self, first: str, end: str, limit: int) -> list[tuple[str, Cell]]:
        return await self.inner.scan(first, end, limit)

    async def commit(
        self, checks: Mapping[str, int], puts: Mapping[str, bytes], deletes: Collection[str] = ()
    ) -> bool:
        self.commits_before_crash -= 1
        crashes = self.commits_before_crash == -1
        if crashes and not self.crash_commit_is_written:
            raise ProcessCrashError
        written = await self.inner.commit(checks, puts, deletes)
        if crashes:
            raise ProcessCrashError
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise CompactedLogError("the answer was lost")
        return written

    async def close(self) -> None:
        await self.inner.close()


@dataclass
class Setup:
    """A log on one of the backends, and the state of its compactors.

    Attributes:
        backend: The backend, with injected failures.
        log: The log on it.
        path: The path of the SQLite backend's file.
        now_ms: The time on the compactor's clock.
        tokens: The tokens of all compactors so far, the latest one last.
    """

    backend: FaultyBackend
    log: CompactedLog
    path: str
    now_ms: float = 0.0
    tokens: list[int] = field(default_factory=lambda: [1])

    async def compact(self, token: int | None = None, policy: CompactionPolicy = POLICY) -> int:
        """Compact the topic ``t`` under this token, or under the latest one."""
        used_token = self.tokens[-1] if token is None else token
        return await self.log.compact("t", policy, lambda: used_token, lambda: self.now_ms)

    async def read_with_new_reader(self) -> dict[str, bytes | None]:
        """Read the values of the topic ``t`` with a new reader, and return them by key."""
        reader = LogReader()
        await self.log.catch_up("t", reader, 3)
        return {key: message.value for key, message in reader.latest.items()}


def run_on(backend: str, scenario: Callable[[Setup], Awaitable[None]]) -> None:
    """Run a scenario on a new log on this backend."""

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
