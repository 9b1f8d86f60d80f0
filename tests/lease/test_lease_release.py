"""Release of a lease with an operation in flight, after SIGTERM, a recall or new settings."""

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
OPERATIONS_AFTERWARDS = 2
OPERATION_DURATIONS_MS = (300, 600, 900)
SEEDS = (1, 2)
TASK = "sweep"


class ReleaseScenario:
    """Two candidates for one lease, and a service whose operations take ``act_duration_ms``."""

    def __init__(self, folder: Path, operation_duration_ms: float, seed: int) -> None:
        self.resource = FencedResource(operation_duration_ms)
        self._path = folder / "leases.sqlite3"
        self._seed = seed
        self._random = Random(seed)
        self._extensions: list[LeaseExtension] = []

    async def run(self, begin_release: Callable[[ReleaseScenario], Awaitable[None]]) -> list[Operation]:
        """Trigger a release during an operation; return all operations, including a few later ones."""
        async with AsyncExitStack() as stack:
            await self.resource.open()
            stack.push_async_callback(self.resource.close)
            for number in range(2):
                extension = LeaseExtension(f"n{number}", self._seed + number, self.section(), None)
                await extension.open()
                stack.push_async_callback(extension.close)
                self._extensions.append(extension)
            while not (self.resource.operations and self._has_operation_in_flight()):
                await asyncio.sleep(POLL_S)
            await asyncio.sleep(self._random.random() * self.resource.operation_duration_s / 2)
            while not self._has_operation_in_flight():
                await asyncio.sleep(POLL_S)
            begun_before = self.resource.begun_count
            await begin_release(self)
            while len(self.resource.operations) < begun_before + OPERATIONS_AFTERWARDS:
                await asyncio.sleep(POLL_S)
        return self.resource.operations

    def section(self, renew_ms: float = 250) -> LeaseSection:
        """Return the settings with this renew interval."""
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
        """Close the holder's extension, as the program does after SIGTERM."""
        await self._holder().close()

    async def recall(self) -> None:
        """Recall the lease, as an operator does."""
        authority = create_authority(self.section())
        await authority.open()
        await authority.recall(TASK, at_once=False)
        await authority.close()

    async def change_settings(self) -> None:
        """Apply new settings to the holder, as SIGHUP does."""
        self._holder().apply_operator_config(OperatorConfig(lease=self.section(renew_ms=200)))

    def _has_operation_in_flight(self) -> bool:
        return self.resource.begun_count > len(self.resource.operations)

    def _holder(self) -> LeaseExtension:
        number = int(self.resource.last_holder.partition(".")[0].removeprefix("n"))
        return self._extensions[number]


RELEASE_TRIGGERS = {
    "stop": ReleaseScenario.close_holder,
    "recall": ReleaseScenario.recall,
    "settings": ReleaseScenario.change_settings,
}
CASES = [
    (way, duration, seed) for way in RELEASE_TRIGGERS for duration in OPERATION_DURATIONS_MS for seed in SEEDS
]


@pytest.fixture(scope="module")
def completed_acts(tmp_path_factory: pytest.TempPathFactory) -> dict[tuple[str, int, int], list[Operation]]:
    """Operations of all cases, which run concurrently, as they mostly wait."""

    async def run_all() -> list[list[Operation]]:
        runs = [
            ReleaseScenario(tmp_path_factory.mktemp("play"), duration, seed).run(RELEASE_TRIGGERS[way])
            for way, duration, seed in CASES
        ]
        return await asyncio.wait_for(asyncio.gather(*runs), TIMEOUT_S)

    return dict(zip(CASES, asyncio.run(run_all()), strict=True))


@pytest.mark.parametrize(("way", "duration_ms", "seed"), CASES)
def test_no_operation_begins_while_one_is_in_flight_under_a_lease_that_is_released(
    completed_acts: dict[tuple[str, int, int], list[Operation]], way: str, duration_ms: int, seed: int
) -> None:
    """Guards against the release of a lease while the service still works on an operation under it."""
    acts = completed_acts[way, duration_ms, seed]
    evaluation = evaluate(acts)
    assert evaluation.overlap_count == 0, acts
    assert evaluation.stale_count == 0, acts
    assert len({act.token for act in acts}) >= 2, acts
