"""Experiment files, and the checks on their runs."""

from __future__ import annotations

import asyncio
import time
from enum import StrEnum
from pathlib import Path
from typing import Any, get_args, get_type_hints

import pytest

from sabledyke.errors import OperatorError
from sabledyke.testbed import experiment, scenario
from sabledyke.testbed.availability import Availability, max_concurrent_outages
from sabledyke.testbed.deployment import (
    NODE_CAPACITY_UNITS_PER_S,
    OVERLOAD_MULTIPLE,
    SLOW_START_FRACTION,
    SLOW_START_MIN_REQUESTS,
    SLOW_START_WINDOW_S,
)
from sabledyke.testbed.storage_nodes import StorageNodes
from sabledyke.toml_tables import Table


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({}, ""),
        ({"instances": 65}, "file.instances must be a whole number <= 64, not 65"),
        ({"step": [{"what": "melt"}]}, r"file.step\[0\].what must be one of kill, .*, not 'melt'"),
        ({"step": [{"what": "kill", "who": "me"}]}, "who must be one of coordinator, other"),
        ({"plan": {"members": ["n0"], "boxes": ["b0"]}}, "a plan that drains boxes"),
        ({"times": {"soon_ms": 3}}, "times.soon_ms is not known"),
    ],
)
def test_an_experiments_file_is_read_completely_or_not_at_all(change: dict[str, Any], message: str) -> None:
    data = {"name": "x", "instances": 3, "plan": {"to": "2", "before": "1"}, "step": [{"what": "halt"}]}
    if message:
        with pytest.raises(OperatorError, match=message):
            scenario.read(data | change)
        return
    assert scenario.read(data).plan.members == ("n0", "n1", "n2")
    files = [
        file for file in Path(__file__).parents[2].glob("experiments/*.toml") if "[plan]" in file.read_text()
    ]
    assert len(files) >= 5
    assert all(scenario.load(str(file)).steps for file in files)


@pytest.mark.parametrize(
    ("row", "kinds"),
    [(experiment.FaultRow, experiment.FaultKind), (scenario.StepRow, scenario.StepKind)],
)
def test_files_may_name_exactly_the_kinds_that_can_be_played(row: type[Table], kinds: type[StrEnum]) -> None:
    assert get_args(get_type_hints(row)["what"]) == tuple(kinds)


def test_members_out_of_service_at_the_same_time_are_counted() -> None:
    members = [
        Availability([(1, 2), (5, 6)]),
        Availability([(2.5, 5.5)]),
        Availability([], outage_began_at=9.0, has_answered=True),
        Availability([(9.5, 9.6)]),
    ]
    assert max_concurrent_outages(members[:1], 10) == 1
    assert max_concurrent_outages(members[:2], 10) == 2
    assert max_concurrent_outages(members, 10) == 2


def test_an_overload_of_a_node_in_slow_start_is_detected() -> None:
    requests = SLOW_START_MIN_REQUESTS + 10

    async def max_load() -> float:
        nodes = StorageNodes(2, warm_up_s=60.0)
        nodes.open()
        await nodes.replace(3, 0.0)
        for number in [2] * 99 + [3] * requests:  # a warm node has more capacity
            nodes.slow_start.on_request(number, time.monotonic())
        await nodes.close()
        return nodes.slow_start.max_load

    capacity = NODE_CAPACITY_UNITS_PER_S * SLOW_START_WINDOW_S * SLOW_START_FRACTION
    assert asyncio.run(max_load()) == pytest.approx(requests / (OVERLOAD_MULTIPLE * capacity), rel=0.1)
