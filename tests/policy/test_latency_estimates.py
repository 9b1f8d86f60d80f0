"""Latency estimates of storage nodes, from their own answers and from other nodes of their kind."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sabledyke.policy.events import Outcome, TimerFired
from tests.support.nodes import node_entry
from tests.support.scheduler_rig import SchedulerRig, attempt_completed
from tests.support.settings import READ, WRITE

SCHEDULER_COUNT = 40


def test_a_stall_of_the_scheduler_itself_does_not_count_as_latency() -> None:
    rig = SchedulerRig()
    latency_before_ms = rig.node().latency_ms
    request_id = rig.submit()
    rig.now_ms += 800
    rig.handle(TimerFired(1), attempt_completed(request_id, Outcome.OK, 800, request_completed=True))
    assert rig.node().latency_ms < latency_before_ms + 20


def test_an_outdated_estimate_decays_towards_the_latency_of_other_nodes_of_the_kind() -> None:
    rig = SchedulerRig(node_entry(1), node_entry(2))
    rig.node(1).latency_ms = 180.0
    for _ in range(60):
        rig.advance(500)
        rig.complete(rig.submit(shard=2), elapsed_ms=30, node_number=2)
    rig.submit(shard=1)
    assert rig.node(1).latency_ms < 80


def test_a_node_that_has_not_answered_yet_is_estimated_by_its_kind() -> None:
    """Guards against rejections at idle nodes to which a scheduler has not sent any request yet."""
    rig = SchedulerRig(node_entry(1), node_entry(2), scheduler_count=SCHEDULER_COUNT)
    for _ in range(40):
        rig.complete(rig.submit(), elapsed_ms=20)
        rig.advance(50)
    kind = rig.scheduler.directory.kinds[0]
    unknown = rig.node(2)
    difference_before_ms = unknown.latency_ms - kind.latency_ms
    rig.submit(shard=2)
    # 2 s have passed; the half-life of a measured estimate is 10 s.
    assert unknown.latency_ms - kind.latency_ms < difference_before_ms / 3


@pytest.mark.parametrize("value", [3.0, 0.5])
def test_slow_answers_of_one_class_do_not_keep_another_from_an_idle_node_for_good(value: float) -> None:
    """Guards against a latency estimate that rejects the requests whose answers could correct it."""
    slow = replace(WRITE, latency_objective_ms=1500, deadline_ms=5000, value=3, writes=False)
    rig = SchedulerRig(classes=(replace(READ, value=value), slow))
    slow_requests = [rig.submit(class_index=1) for _ in range(5)]
    rig.advance(1400)
    for request_id in slow_requests:
        rig.complete(request_id, elapsed_ms=1400)
    rig.advance(10_000)
    requests = []
    for _ in range(20):
        requests.append(rig.submit())
        if rig.was_sent(requests[-1]):
            rig.advance(10)
            rig.complete(requests[-1], elapsed_ms=10)
        rig.advance(500)
    assert all(rig.was_sent(request_id) for request_id in requests)
