"""Unresponsive storage nodes: their detection, probes, and return to normal use."""

from __future__ import annotations

from sabledyke.policy.actions import Log, StartAttempt
from sabledyke.policy.events import Outcome, TimerFired
from tests.support.nodes import node_entry, node_id
from tests.support.scheduler_rig import SchedulerRig, actions_of, attempt_completed, new_request


def test_an_unresponsive_node_is_probed_rarely_and_logged_once() -> None:
    rig = SchedulerRig()
    rig.submit()
    for _ in range(20):
        rig.submit(volume=2)
        rig.advance(100)
    assert len([sent for sent in rig.sent if sent.at_ms > 1500]) <= 5
    assert len(actions_of(rig.actions, Log)) == 1


def test_probes_of_an_unresponsive_node_become_less_frequent() -> None:
    rig = SchedulerRig()
    for volume in range(600):
        request_id = rig.submit(volume=volume)
        rig.advance(50)
        if rig.was_sent(request_id):
            rig.advance(150)
            rig.complete(request_id, Outcome.TIMEOUT, 200)
    assert 0 < len([sent for sent in rig.sent if sent.at_ms > rig.now_ms - 10000]) <= 5


def test_a_node_that_responds_again_is_not_in_slow_start() -> None:
    rig = SchedulerRig()
    request_id = rig.submit()
    rig.advance(900)
    rig.submit()
    rig.advance(5)
    rig.complete(request_id, elapsed_ms=900)
    assert rig.scheduler.slow_start.fraction(rig.node()) == 1


def test_a_late_batch_with_requests_first_and_answers_last_marks_no_node_unresponsive() -> None:
    rig = SchedulerRig()
    rig.node().window_units = 20.0
    first = rig.submit()
    second = rig.submit()
    rig.now_ms += 800
    answers = [
        attempt_completed(request_id, Outcome.OK, 800, request_completed=True)
        for request_id in (first, second)
    ]
    actions = rig.handle(TimerFired(1), new_request(90), *answers)
    assert not actions_of(actions, Log)
    assert [action.request_id for action in actions_of(actions, StartAttempt)] == [90]


def test_new_objects_queued_at_a_node_that_becomes_unresponsive_go_to_another() -> None:
    rig = SchedulerRig(node_entry(1), node_entry(2))
    unresponsive = rig.node(1)
    rig.node(2).latency_ms = 100.0
    queued = rig.submit(shard=-1)
    pending = rig.scheduler.requests.requests[queued]
    assert rig.sent[-1].node_id == node_id(1)
    pending.attempts_started = 0
    pending.open_attempts = {}
    unresponsive.queue.append(pending)
    rig.scheduler.outliers.mark_unresponsive(unresponsive)
    rig.handle()
    assert rig.sent[-1].request_id == queued
    assert rig.sent[-1].node_id == node_id(2)
