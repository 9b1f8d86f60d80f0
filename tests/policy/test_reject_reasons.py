"""Reasons of rejections and failures: each cause is reported with a reason of its own."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest

from sabledyke.policy.actions import Fail, Reject, RejectReason
from sabledyke.policy.events import Outcome
from tests.support.nodes import endpoint_change, node_entry
from tests.support.scheduler_rig import SchedulerRig, mark_strained, rig_with_small_budget

CAPPED_PLAN = 2  # indices into SETTINGS
WRITE_CLASS = 1


def rejected_by_limit() -> SchedulerRig:
    rig = SchedulerRig()
    for _ in range(20):
        rig.submit(plan_index=CAPPED_PLAN, units=8)
    return rig


def rejected_by_admission() -> SchedulerRig:
    rig = rig_with_small_budget(scheduler_count=3)
    for _ in range(6):
        rig.submit()
    mark_strained(rig, volume=99)
    rig.submit(volume=99)
    return rig


def rejected_as_too_late() -> SchedulerRig:
    rig = SchedulerRig()
    rig.submit(remaining_ms=5)
    return rig


def rejected_by_slow_start() -> SchedulerRig:
    rig = SchedulerRig(scheduler_count=200)
    rig.handle(endpoint_change(node_entry(1, started_ms=rig.now_ms)))
    rig.submit()
    return rig


def rejected_from_queue() -> SchedulerRig:
    rig = SchedulerRig()
    rig.node().window_units = 8.0
    rig.node().latency_ms = 75.0
    for _ in range(6):
        rig.submit(units=8)
    return rig


def rejected_in_a_crowd() -> SchedulerRig:
    rig = SchedulerRig(max_open_requests=10)
    rig.node().window_units = 0.5
    rig.node().latency_ms = 0.1
    for _ in range(10):
        rig.submit(class_index=WRITE_CLASS)
    return rig


def rejected_without_a_node() -> SchedulerRig:
    rig = SchedulerRig()
    rig.submit(shard=9, remaining_ms=5)
    return rig


def rejected_after_the_last_attempt() -> SchedulerRig:
    rig = SchedulerRig(max_attempts=1)
    rig.complete(rig.submit(), Outcome.ERROR)
    return rig


@pytest.mark.parametrize(
    ("run_scenario", "reason"),
    [
        (rejected_by_limit, RejectReason.LIMIT),
        (rejected_by_admission, RejectReason.ADMISSION),
        (rejected_as_too_late, RejectReason.TOO_LATE),
        (rejected_by_slow_start, RejectReason.SLOW_START),
        (rejected_from_queue, RejectReason.QUEUE),
        (rejected_in_a_crowd, RejectReason.CROWD),
        (rejected_without_a_node, RejectReason.NO_NODE),
        (rejected_after_the_last_attempt, RejectReason.ATTEMPTS),
    ],
)
def test_a_rejected_or_failed_request_names_its_reason(
    run_scenario: Callable[[], SchedulerRig], reason: RejectReason
) -> None:
    answers = [action for action in run_scenario().actions if isinstance(action, Reject | Fail)]
    assert Counter(action.reason for action in answers).keys() == {reason}
