"""Tests of the lease manager with a scripted authority."""

from __future__ import annotations

import asyncio

import pytest

from sabledyke.errors import AuthorityError, LeaseLostError
from sabledyke.lease.manager import LeaseManager
from sabledyke.lease.types import (
    Granted,
    Inspect,
    LeaseReply,
    LeaseRequest,
    LeaseStatus,
    LeaseSummary,
    LeaseVersion,
    Release,
    Renew,
    Renewed,
)
from tests.lease.support import TIMEOUT_S, TIMES


class ScriptedAuthority:
    """Authority that returns the given replies in order, and raises AuthorityError for None or after them."""

    tracks_expiry = True

    def __init__(self, *replies: LeaseReply | None) -> None:
        self.replies = list(replies)
        self.requests: list[LeaseRequest] = []

    async def open(self) -> None:
        raise NotImplementedError

    async def request(self, _task_name: str, _holder_id: str, request: LeaseRequest) -> LeaseReply:
        self.requests.append(request)
        reply = self.replies.pop(0) if self.replies else None
        if reply is None:
            raise AuthorityError("scripted")
        return reply

    async def record_completion(self, task_name: str, token: int, at_unix_ms: int) -> bool:
        raise NotImplementedError

    async def last_completed_unix_ms(self, task_name: str) -> int:
        raise NotImplementedError

    async def list_leases(self) -> list[LeaseSummary]:
        raise NotImplementedError

    async def recall(self, task_name: str, *, at_once: bool) -> bool:
        raise NotImplementedError

    async def close(self) -> None:
        raise NotImplementedError


def test_a_delayed_grant_is_not_used_and_lease_time_counts_from_the_request() -> None:
    async def run() -> None:
        now_ms = [1000.0]
        free = LeaseStatus(LeaseVersion(0, 0), "", is_free=True)
        mine = LeaseStatus(LeaseVersion(7, 0), "me", is_free=False)
        script = ScriptedAuthority(free, Granted(7), mine, Renewed())
        manager = LeaseManager("d", "me", script, TIMES, 1, lambda: now_ms[0])
        task = asyncio.create_task(manager.run())
        while len(script.requests) < 2:
            now_ms[0] += 5
            await asyncio.sleep(0)
        now_ms[0] += 5000  # the process is paused before the reply reaches it
        while len(script.requests) < 4:
            with pytest.raises(LeaseLostError):
                manager.current_token()
            await asyncio.sleep(0)
        await manager.leading.wait()
        assert manager.current_token() == 7
        assert manager.state.may_operate_until_ms <= now_ms[0] + TIMES.operating_window_ms
        now_ms[0] += TIMES.operating_window_ms
        with pytest.raises(LeaseLostError):
            manager.current_token()
        await manager.stop()
        await task
        assert script.requests[2:4] == [Inspect(), Renew(7)]
        assert script.requests[-1] == Release(7)

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))
