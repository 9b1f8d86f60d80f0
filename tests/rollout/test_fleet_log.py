"""The fleet's topic as the tasks of one process read it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass, field
from typing import Any

import pytest

from sabledyke.compacted_log.client import CompactedLog, LogWriter
from sabledyke.compacted_log.records import Cell
from sabledyke.rollout.commands import append_change
from sabledyke.rollout.fleet_log import FleetLog
from sabledyke.rollout.records import FLEET_TOPIC, Member, MemberState
from sabledyke.rollout.state_changes import StateChange
from tests.compacted_log.support import BACKENDS, FaultyBackend, Setup, run_on

MAX_KEYS = 100
OTHERS_TURN_S = 0.2  # time for a task that does not wait for another one to end, or to be held


@dataclass
class HeldBackend(FaultyBackend):
    """A backend that holds tasks between reading a page and reading the head that follows.

    Attributes:
        releases: Events that held tasks wait for, by task name.
    """

    releases: dict[str, asyncio.Event] = field(default_factory=dict)
    _with_page: set[str] = field(default_factory=set)

    def start(self, name: str, read: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a read that is held until its event is set."""
        self.releases[name] = asyncio.Event()
        return asyncio.get_running_loop().create_task(read, name=name)

    async def scan(self, first: str, end: str, limit: int) -> list[tuple[str, Cell]]:
        page = await super().scan(first, end, limit)
        self._with_page.add(_task_name())
        return page

    async def get(self, keys: Sequence[str]) -> dict[str, Cell]:
        name = _task_name()
        if name in self._with_page and name in self.releases:
            await self.releases[name].wait()
        return await super().get(keys)


def _task_name() -> str:
    task = asyncio.current_task()
    assert task is not None
    return task.get_name()


async def write(writer: LogWriter, member: str, state: MemberState) -> None:
    await append_change(writer, StateChange("", (Member(member, 1, "1", "s0", state),)))


@pytest.mark.parametrize("backend_name", BACKENDS)
def test_tasks_that_read_at_once_miss_nothing(backend_name: str) -> None:
    """Guards against a member that misses its own change to unresponsive, and stays out permanently."""

    async def scenario(setup: Setup) -> None:
        backend = HeldBackend(setup.backend.inner)
        fleet_log = FleetLog(CompactedLog(backend, 1), MAX_KEYS, lambda _: None)
        writer = await setup.log.claim_writer(FLEET_TOPIC, "n1")
        await write(writer, "n1", MemberState.WARMING)
        await fleet_log.read()
        await write(writer, "n1", MemberState.READY)
        slow = backend.start("slow", fleet_log.read())
        await asyncio.sleep(OTHERS_TURN_S)
        await write(writer, "n1", MemberState.UNRESPONSIVE)
        fast = asyncio.create_task(fleet_log.read())
        await asyncio.sleep(OTHERS_TURN_S)
        await write(writer, "n2", MemberState.READY)
        last = backend.start("last", fleet_log.read())
        await asyncio.sleep(OTHERS_TURN_S)
        backend.releases["slow"].set()
        await slow
        backend.releases["last"].set()
        await asyncio.gather(fast, last)
        members = (await fleet_log.read()).members
        assert [members[name].state for name in ("n1", "n2")] == [MemberState.UNRESPONSIVE, MemberState.READY]

    run_on(backend_name, scenario)
