"""The schedule of a graceful shutdown, and the core's answers at its end."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sabledyke import invariants
from sabledyke.core import Answer, AnswerStatus
from sabledyke.policy.settings import RepeatSafety
from sabledyke.shutdown.graceful_shutdown import GracefulShutdown, ShutdownPhase, ShutdownTimes
from tests.support.core_bench import CoreBench, no_actions
from tests.support.generated_bytes import FIXED
from tests.support.scheduler_rig import SchedulerRig
from tests.support.settings import SETTINGS, WRITE


@FIXED
@given(longest=st.floats(0.05, 20), at=st.floats(0, 4), later=st.floats(0, 4), hastened=st.booleans())
def test_phases_only_go_forward_and_complete_before_the_kill(
    longest: float, at: float, later: float, *, hastened: bool
) -> None:
    plan, earliest_kill = GracefulShutdown(100.0, longest, 1), 100 + min(longest, 3) + 0.7
    if hastened:
        plan.hasten(100 + at)
        assert plan.completed_at <= max(100 + at + ShutdownTimes().hastened_s, earliest_kill)
    first, second = sorted((100 + at, 100 + at + later))
    assert plan.phase(first) <= plan.phase(second)
    assert plan.phase(earliest_kill - 0.1) is ShutdownPhase.COMPLETED
    assert plan.answer_by <= plan.completed_at < plan.available_again_at
    assert not any(plan.ends_connection(100 + k / 9) for k in range(5)) or hastened or longest < 0.6
    assert plan.ends_connection(plan.answer_by)
    assert plan.completed_at - plan.answer_by >= 0.09 or hastened or longest < 0.1


def test_answers_end_connections_with_a_growing_probability() -> None:
    plans = [GracefulShutdown(0.0, 3.0, seed) for seed in range(400)]
    draining_from = plans[0].answer_by - ShutdownTimes().draining_s
    ended = [
        sum(p.ends_connection(draining_from + k * ShutdownTimes().draining_s / 4) for p in plans) / 400
        for k in range(4)
    ]
    assert ended[0] == 0, ended
    assert all(abs(ended[k] - k / 4) < 0.08 for k in range(4)), ended


def test_a_planned_shutdown_closes_idle_connections_evenly_and_leaves_none_for_the_end() -> None:
    """Guards against rejecting requests at the end although other schedulers could serve them."""
    for planned, expected in ((False, [0, 0, 0, 400]), (True, [0, 133, 267, 400])):
        plan, open_count, closed = GracefulShutdown(0.0, 3.0, 7, planned=planned), 400, list[int]()
        for poll in range(400):
            now = poll / 100
            if now in (0.5, 1.5, 2.5, 3.5):  # the listener closes at 0.6, and the shutdown completes at 3.58
                closed.append(400 - open_count)
            open_count -= sum(plan.closes_idle(now, 0.01) for _ in range(open_count))
        assert all(abs(e - c) < 45 for e, c in zip(expected, closed, strict=True)), (planned, closed)


@pytest.mark.parametrize(
    ("changes", "sent", "status"),
    [
        ({}, True, AnswerStatus.REJECTED),  # a read that the client may repeat
        ({"class_index": 1, "write": True}, True, AnswerStatus.FAILED),  # a write that may have run
        ({"class_index": 1, "write": True}, False, AnswerStatus.REJECTED),  # a write that was never sent
    ],
)
def test_at_the_end_every_unanswered_request_gets_an_answer(
    changes: dict[str, object], *, sent: bool, status: AnswerStatus
) -> None:
    bench = CoreBench(None if sent else no_actions)
    at_most_once = replace(WRITE, repeat_safety=RepeatSafety.AT_MOST_ONCE)
    bench.core.settings = replace(SETTINGS, classes=(SETTINGS.classes[0], at_most_once))
    bench.submit(**changes)
    assert bool(bench.started) is sent
    bench.core.scheduler.handle = no_actions  # type: ignore[method-assign, assignment]
    bench.core.shut_down_by(bench.now_ms, bench.now_ms + 100, bench.now_ms + 1e6)
    bench.advance(99)
    assert not bench.answers
    bench.advance(1)
    assert bench.answers == [Answer(status, retry_after_ms=SETTINGS.max_retry_after_ms)]
    bench.submit(client_request_id="late")  # a request after the end is answered within 10 ms
    bench.advance(10)
    assert [a.status for a in bench.answers[1:]] == [AnswerStatus.REJECTED]
    assert not bench.core.unanswered
    assert not invariants.violations
    assert not sent or bench.core.open_requests[0].in_flight


def test_requests_that_cannot_finish_are_rejected_at_once_and_not_started() -> None:
    rig = SchedulerRig(scheduler_count=1)
    for _ in range(20):  # the scheduler learns a latency of 100 ms
        rig.complete(rig.submit(), elapsed_ms=100)
        rig.advance(100)
    submitted = [rig.submit() for _ in range(40)]
    rig.scheduler.shut_down_by(rig.now_ms, rig.now_ms + 150)
    rig.advance(20)
    answered_early = [r for r in submitted if rig.answers(r)]
    rig.advance(90)
    late_request = rig.submit()
    rig.advance(20)
    assert answered_early
    assert not rig.was_sent(late_request)
    assert rig.answers(late_request)
    assert all(
        request.full_value_until_ms <= rig.scheduler.context.shutdown_at_ms
        for request in rig.scheduler.requests.requests.values()
    )
