"""Files of experiments, and what judges their runs."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from sabledyke.errors import OperatorError
from sabledyke.testbed import scenario
from sabledyke.testbed.fleet_release import Seen, most_out
from sabledyke.testbed.workload import CAPACITY, COLD, FALL, TIP, YOUNG, Boxes


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({}, ""),
        ({"instances": 65}, "file.instances must be a whole number <= 64, not 65"),
        ({"step": [{"what": "melt"}]}, r"file.step\[0\].what must be one of kill, .*, not 'melt'"),
        ({"step": [{"what": "kill", "who": "me"}]}, "who must be one of coordinator, other"),
        ({"plan": {"members": ["n0"], "boxes": ["b0"]}}, "a plan that drains boxes"),
        ({"times": {"soon_ms": 3}}, "times.soon_ms is not known"),
    ],
)
def test_an_experiments_file_is_read_whole_or_not_at_all(change: dict[str, Any], said: str) -> None:
    data = {"name": "x", "instances": 3, "plan": {"to": "2", "before": "1"}, "step": [{"what": "halt"}]}
    if said:
        with pytest.raises(OperatorError, match=said):
            scenario.read(data | change)
        return
    assert scenario.read(data).plan.members == ("n0", "n1", "n2")
    files = [
        file for file in Path(__file__).parents[2].glob("experiments/*.toml") if "[plan]" in file.read_text()
    ]
    assert len(files) >= 5
    assert all(scenario.load(str(file)).steps for file in files)


def test_the_judge_counts_who_does_not_answer_at_the_same_time() -> None:
    seen = [Seen([(1, 2), (5, 6)]), Seen([(2.5, 5.5)]), Seen([], 9.0, True), Seen([(9.5, 9.6)])]
    assert most_out(seen[:1], 10) == 1
    assert most_out(seen[:2], 10) == 2
    assert most_out(seen, 10) == 2


def test_the_judge_finds_a_cold_box_that_is_pushed_over() -> None:
    async def story() -> float:
        made = Boxes(2, warm=60.0)
        made.open()
        await made.replace(3, 0.0)
        for n in [2] * 99 + [3] * (YOUNG + 10):  # a warm one bears more; COLD of CAPACITY is 30 in FALL
            made.came(n)
        await made.close()
        return made.pressed

    assert asyncio.run(story()) == pytest.approx((YOUNG + 10) / (TIP * CAPACITY * FALL * COLD), rel=0.1)
