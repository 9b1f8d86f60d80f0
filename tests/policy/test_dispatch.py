"""Queues of storage nodes: the requests that are sent next, kept waiting or rejected."""

from __future__ import annotations

import pytest

from sabledyke.policy.actions import Reject
from sabledyke.policy.events import Outcome
from tests.support.nodes import endpoint_change, node_entry
from tests.support.scheduler_rig import SchedulerRig, actions_of

RESERVED_PLAN = 1  # an index into SETTINGS.plans
WRITE_CLASS = 1  # an index into SETTINGS.classes


def test_requests_are_sent_at_once_while_there_is_capacity_then_queued_and_sent_by_due_time() -> None:
    rig = SchedulerRig()
    rig.node().window_units = 4.1
    rig.node().latency_ms = 0.1
    sent = [rig.submit(), rig.submit()]
    later_due = rig.submit(class_index=WRITE_CLASS)
    earlier_due = rig.submit(class_index=0)
    assert [rig.attempt_count(request_id) for request_id in (*sent, later_due, earlier_due)] == [1, 1, 0, 0]
    rig.complete(sent[0])
    assert rig.attempt_count(earlier_due) == 1
    assert rig.attempt_count(later_due) == 0
    rig.complete(sent[1])
    assert rig.attempt_count(later_due) == 1


def test_the_requests_of_least_value_are_rejected_first() -> None:
    rig = SchedulerRig()
    rig.node().window_units = 8.0
    rig.node().latency_ms = 75.0
    rig.submit(units=8)
    low_value = [rig.submit(volume=3, units=8) for _ in range(3)]
    high_value = [rig.submit(plan_index=RESERVED_PLAN, volume=2) for _ in range(2)]
    assert not any(rig.answers(request_id) for request_id in high_value)
    assert all(rig.answers(request_id) for request_id in low_value[1:])


def test_the_requests_of_least_value_are_rejected_before_clients_run_out_of_connections() -> None:
    rig = SchedulerRig(max_open_requests=10)
    rig.node().window_units = 0.5
    rig.node().latency_ms = 0.1
    first = rig.submit()
    low_value = [rig.submit(class_index=WRITE_CLASS) for _ in range(6)]
    assert rig.attempt_count(first) == 1
    assert not any(rig.answers(request_id) for request_id in low_value)
    high_value = rig.submit(plan_index=RESERVED_PLAN, class_index=0)
    rig.now_ms += 0.5
    last = rig.submit(class_index=WRITE_CLASS)
    assert not rig.answers(high_value)
    rejected = [request_id for request_id in (*low_value, last) if rig.answers(request_id)]
    assert len(rejected) == 2  # one for each open request above the bound
    assert last in rejected  # the request that is due last
    rig.complete(first)
    rig.advance(100)
    assert rig.attempt_count(high_value) == 1
    assert len([request_id for request_id in low_value if rig.answers(request_id)]) == 1


def test_requests_queued_at_a_restarted_node_are_sent_once() -> None:
    rig = SchedulerRig(hedging_allowed=False)
    rig.node().window_units = 2.1
    rig.node().latency_ms = 5.0
    first = rig.submit()
    second = rig.submit()
    assert rig.attempt_count(first) == 1
    assert rig.attempt_count(second) == 0
    rig.handle(endpoint_change(node_entry(1, started_ms=rig.now_ms)))
    assert rig.attempt_count(second) == 1
    rig.complete(first, Outcome.RESET)
    assert rig.attempt_count(second) == 1


def test_repeats_that_missed_the_objective_take_no_capacity_from_others() -> None:
    rig = SchedulerRig(clients_mark_retries=True)
    in_flight = rig.submit()
    assert rig.attempt_count(in_flight) == 1
    late = rig.submit(remaining_ms=300, repeated=True)  # 700 of 1000 ms have passed, the objective is 200
    assert rig.attempt_count(late) == 0
    first_try = rig.submit(remaining_ms=300)
    assert rig.attempt_count(first_try) == 1  # it overtakes the late retry
    rig.complete(in_flight)
    assert rig.attempt_count(late) == 0
    rig.complete(first_try)
    assert rig.attempt_count(late) == 1  # the node has no other requests


@pytest.mark.parametrize("marked", [False, True])
def test_requests_are_sent_at_once_for_any_stated_remaining_time_and_retry_mark(marked: bool) -> None:
    """Guards against taking short deadlines for retries after longer ones, and against rejection by marks."""
    rig = SchedulerRig(clients_mark_retries=marked)
    for remaining_ms in (1000, 300, 150, 1000, 300):
        request_id = rig.submit(remaining_ms=remaining_ms, repeated=marked)
        assert rig.attempt_count(request_id) == 1
        rig.complete(request_id)
        rig.advance(100)


def test_a_rejection_is_immediate_and_advises_a_retry_delay_if_clients_accept_one() -> None:
    rig = SchedulerRig(node_entry(1))
    actions_before = len(rig.actions)
    without_time = rig.submit(remaining_ms=5)
    without_node = rig.submit(shard=9, remaining_ms=5)
    rejections = {action.request_id: action for action in actions_of(rig.actions[actions_before:], Reject)}
    assert without_node in rejections
    max_retry_after_ms = rig.scheduler.context.settings.max_retry_after_ms
    assert rejections[without_node].retry_after_ms == max_retry_after_ms
    assert without_time in rejections
    shortest_ms = rig.scheduler.context.shortest_objective_ms / 4
    assert shortest_ms <= rejections[without_time].retry_after_ms <= 500
    without_advice = SchedulerRig(node_entry(1), max_retry_after_ms=0)
    without_advice.submit(shard=9, remaining_ms=5)
    assert [action.retry_after_ms for action in actions_of(without_advice.actions, Reject)] == [0]
