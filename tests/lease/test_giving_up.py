"""A holder that gives up its lease while an act is out: by SIGTERM, by a recall, by new settings."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random

import pytest

from sabledyke.lease import section
from sabledyke.lease.extension import LeaseExtension, create_authority
from sabledyke.lease.section import LeaseSection
from sabledyke.operator_config import OperatorConfig
from sabledyke.testbed.fenced_resource import FencedResource, Operation, evaluate
from tests.lease.support import TIMEOUT_S

POLL_S = 0.002
ACTS_AFTERWARDS = 2
ACT_DURATIONS_MS = (300, 600, 900)
SEEDS = (1, 2)
TASK = "sweep"


class Play:
    """Two candidates for one lease, a service that takes a while for an act, and one act that is out."""

    def __init__(self, folder: Path, operation_duration_ms: float, seed: int) -> None:
        self.resource = FencedResource(operation_duration_ms)
        self._path = folder / "leases.sqlite3"
        self._seed = seed
        self._random = Random(seed)
        self._extensions: list[LeaseExtension] = []

    async def run(self, give_up: Callable[[Play], Awaitable[None]]) -> list[Operation]:
        """Have the holder give up its lease in the middle of an act; return the acts up to a few later."""
        async with AsyncExitStack() as stack:
            await self.resource.open()
            stack.push_async_callback(self.resource.close)
            for number in range(2):
                extension = LeaseExtension(f"n{number}", self._seed + number, self.section(), None)
                await extension.open()
                stack.push_async_callback(extension.close)
                self._extensions.append(extension)
            while not (self.resource.operations and self._has_act_out()):
                await asyncio.sleep(POLL_S)
            await asyncio.sleep(self._random.random() * self.resource.operation_duration_s / 2)
            while not self._has_act_out():
                await asyncio.sleep(POLL_S)
            begun_before = self.resource.begun_count
            await give_up(self)
            while len(self.resource.operations) < begun_before + ACTS_AFTERWARDS:
                await asyncio.sleep(POLL_S)
        return self.resource.operations

    def section(self, renew_ms: float = 250) -> LeaseSection:
        """Return the settings, which differ by the renew interval."""
        duty = {
            "name": TASK,
            "kind": "call",
            "url": f"http://127.0.0.1:{self.resource.port}/",
            "every_s": 0.02,
        }
        times = {"ttl_ms": 1500, "renew_ms": renew_ms, "margin_ms": 300}
        settings = section.read({"path": str(self._path), "duty": [duty], **times}, None)
        assert settings is not None
        return settings

    async def close_holder(self) -> None:
        """Close the holder as the program does after SIGTERM."""
        await self._holder().close()

    async def recall(self) -> None:
        """Have an operator recall the lease."""
        authority = create_authority(self.section())
        await authority.open()
        await authority.recall(TASK, at_once=False)
        await authority.close()

    async def change_settings(self) -> None:
        """Give the holder new settings as SIGHUP does."""
        self._holder().apply_operator_config(OperatorConfig(lease=self.section(renew_ms=200)))

    def _has_act_out(self) -> bool:
        return self.resource.begun_count > len(self.resource.operations)

    def _holder(self) -> LeaseExtension:
        number = int(self.resource.last_holder.partition(".")[0].removeprefix("n"))
        return self._extensions[number]


WAYS = {"stop": Play.close_holder, "recall": Play.recall, "settings": Play.change_settings}
CASES = [(way, duration, seed) for way in WAYS for duration in ACT_DURATIONS_MS for seed in SEEDS]


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> dict[tuple[str, int, int], list[Operation]]:
    """All cases at once: most of it is waiting."""

    async def run_all() -> list[list[Operation]]:
        plays = [
            Play(tmp_path_factory.mktemp("play"), duration, seed).run(WAYS[way])
            for way, duration, seed in CASES
        ]
        return await asyncio.wait_for(asyncio.gather(*plays), TIMEOUT_S)

    return dict(zip(CASES, asyncio.run(run_all()), strict=True))


@pytest.mark.parametrize(("way", "duration_ms", "seed"), CASES)
def test_no_act_begins_while_one_is_out_under_a_lease_that_was_given_up(
    played: dict[tuple[str, int, int], list[Operation]], way: str, duration_ms: int, seed: int
) -> None:
    """Guards against a lease that is released while the service still works on an act under it."""
    acts = played[way, duration_ms, seed]
    evaluation = evaluate(acts)
    assert evaluation.overlap_count == 0, acts
    assert evaluation.stale_count == 0, acts
    assert len({act.token for act in acts}) >= 2, acts
