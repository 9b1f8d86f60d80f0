"""Results of leader tasks, and the fence that rejects those of a former holder."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from sabledyke.errors import FencedError
from sabledyke.lease import leader_tasks
from sabledyke.lease.fencing import Fence
from sabledyke.lease.manager import HeldLease
from sabledyke.lease.section import LeaderTask
from sabledyke.store import maintenance, startup
from sabledyke.store.connect import connect
from sabledyke.store.section import Target
from tests.lease.support import TIMEOUT_S


class FixedToken:
    """Token source that always returns the given token, like a holder unaware that its lease has ended."""

    holder_id = "n0.life"

    def __init__(self, token: int) -> None:
        self._token = token

    def current_token(self) -> int:
        return self._token

    def current_lease(self) -> HeldLease:
        return HeldLease(self._token, confirmed_for_ms=0.0, remaining_ms=1000.0)


def test_a_fence_accepts_no_older_token_and_stays_bounded() -> None:
    fence = Fence(max_tasks=2)
    assert [fence.accepts("a", token) for token in (3, 3, 5, 4, 5)] == [True, True, True, False, True]
    assert all(fence.accepts(name, 1) for name in "bcd")
    assert fence.rejected == 1
    assert len(fence) == 2


def test_leader_tasks_on_a_record_are_fenced_and_leave_no_partial_results(tmp_path: Path) -> None:
    """Guards against effects of a former holder: after a later one has run, its backup leaves no file."""

    async def run() -> None:
        record = Target(path=str(tmp_path / "record.sqlite3"))
        session = await connect(record)
        await startup.migrate(session)
        await session.close()
        for kind in ("audit", "reconcile"):
            await leader_tasks.action_of(LeaderTask(kind, kind, 1000), record)(FixedToken(4))
        folder = tmp_path / "backups"
        backup = LeaderTask("nightly", "backup", 1000, str(folder), keep=2)
        back_up = leader_tasks.action_of(backup, record)
        for token in (4, 5, 7):
            await back_up(FixedToken(token))
        with pytest.raises(FencedError):
            await back_up(FixedToken(6))
        tokens = sorted(file.name.split(".")[1] for file in folder.iterdir())
        assert tokens == ["5", "7"]  # the two newest backups, and no unfinished one
        newest = Target(path=str(next(folder.glob("nightly.7.*"))))
        assert await maintenance.check(newest, lambda _: None)

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))
