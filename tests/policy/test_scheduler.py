"""The scheduler as a library: misuse by callers, determinism, and the size of its modules."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.scheduler_rig import SchedulerRig

ROOT = Path(__file__).parent.parent.parent
MAX_MODULE_LINES = 500
MAX_LINE_LENGTH = 110
SAME_EVENTS = """
from tests.support.nodes import node_entry
from tests.support.scheduler_rig import SchedulerRig

rig = SchedulerRig(node_entry(1), node_entry(2), node_entry(3))
for number in range(60):
    rig.submit(shard=(-1, 1, 2, 3)[number % 4], volume=number % 7, plan_index=number % 3)
    rig.advance(3)
print(rig.actions)
"""


def test_misuse_raises_a_value_error_that_names_it() -> None:
    rig = SchedulerRig()
    request_id = rig.submit()
    rig.last_request_id -= 1
    with pytest.raises(ValueError, match=f"request {request_id} was given twice"):
        rig.submit()
    with pytest.raises(ValueError, match="time went back"):
        rig.scheduler.handle(rig.now_ms - 1, [])


def actions_with_hash_seed(hash_seed: str) -> str:
    """Return the actions for the same events, in a process with this hash seed."""
    completed = subprocess.run(
        [sys.executable, "-c", SAME_EVENTS],
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        capture_output=True,
        text=True,
        check=True,
    )
    return completed.stdout


def test_the_same_events_give_the_same_actions_under_any_hash_seed() -> None:
    actions = actions_with_hash_seed("1")
    assert actions == actions_with_hash_seed("2")
    assert "StartAttempt" in actions


def test_the_modules_of_the_policy_stay_small_enough_to_read() -> None:
    paths = list((ROOT / "sabledyke" / "policy").glob("*.py"))
    assert len(paths) >= 6
    for path in paths:
        lines = path.read_text().splitlines()
        assert sum(1 for line in lines if line.strip()) <= MAX_MODULE_LINES
        assert max(map(len, lines)) <= MAX_LINE_LENGTH
