"""Answers: one for each request, in time, and none for a client that has disconnected."""

from __future__ import annotations

from collections import Counter

import pytest

from sabledyke.core import ANSWER_GUARD_MS, Answer, AnswerStatus, AttemptResult
from sabledyke.core.open_request import GUARD_POSTPONEMENT_MS
from sabledyke.policy.actions import Action, RejectReason
from sabledyke.policy.events import Event, Outcome
from tests.support.core_bench import START_MS, CoreBench, StartedAttempt, no_actions
from tests.support.nodes import node_id
from tests.support.settings import READ

SUCCESS = AttemptResult(Outcome.OK, may_have_run=True, body=b"body")


def test_an_answer_is_given_at_once_and_only_once() -> None:
    bench = CoreBench()
    request_id = bench.submit()
    timeout_ms = READ.latency_objective_ms  # a later answer earns little
    assert bench.started == [StartedAttempt(request_id, 0, node_id(1), timeout_ms)]
    bench.core.on_attempt_completed(bench.now_ms, request_id, 0, SUCCESS)
    assert bench.answers == [Answer(AnswerStatus.SERVED, b"body")]  # before the policy's next batch
    bench.advance(2000)
    assert len(bench.answers) == 1
    assert not bench.core.unanswered


def test_a_disconnected_client_gets_no_answer_and_its_attempt_is_cancelled() -> None:
    bench = CoreBench()
    request_id = bench.submit()
    bench.core.on_client_disconnected(request_id)
    bench.core.run_batch(bench.now_ms)
    assert bench.cancelled == [(request_id, 0)]
    assert not bench.answers
    bench.advance(2000)
    assert not bench.answers
    assert not bench.core.open_requests


def test_a_client_is_answered_although_the_policy_makes_no_decision(violations: Counter[str]) -> None:
    bench = CoreBench(no_actions)
    bench.submit(remaining_ms=500.0)
    with pytest.raises(AssertionError):  # under -O the violation is only counted
        bench.advance(500)
    assert bench.answers == [Answer(AnswerStatus.FAILED)]
    assert bench.core.metrics.rejections == {RejectReason.GUARD: 1}
    assert bench.now_ms == START_MS + 500 - ANSWER_GUARD_MS
    assert sum(violations.values()) == 1


@pytest.mark.parametrize("late_ms", [0.0, 5.0, 25.0])
def test_after_a_stall_the_outcome_of_an_attempt_reaches_the_policy_before_the_core_answers(
    late_ms: float,
) -> None:
    """Guards against a core that answers in place of the policy after a stall before the deadline."""
    bench = CoreBench()
    request_id = bench.submit()
    bench.now_ms += 1000 - ANSWER_GUARD_MS + late_ms
    bench.core.run_batch(bench.now_ms)
    assert not bench.answers
    timed_out = AttemptResult(Outcome.TIMEOUT, may_have_run=True)
    bench.core.on_attempt_completed(bench.now_ms, request_id, 0, timed_out)
    bench.core.run_batch(bench.now_ms)
    assert [answer.status for answer in bench.answers] == [AnswerStatus.REJECTED]


def test_a_client_is_answered_although_the_outcome_of_its_attempt_is_never_reported(
    violations: Counter[str],
) -> None:
    bench = CoreBench()
    bench.submit()
    bench.now_ms += 1000 - ANSWER_GUARD_MS
    bench.core.run_batch(bench.now_ms)
    with pytest.raises(AssertionError):  # under -O the violation is only counted
        bench.advance(GUARD_POSTPONEMENT_MS)
    assert bench.answers == [Answer(AnswerStatus.FAILED)]
    assert sum(violations.values()) == 1


def test_an_error_in_the_policy_does_not_end_the_process(violations: Counter[str]) -> None:
    def fail(_now_ms: float, _events: list[Event]) -> list[Action]:
        raise KeyError("a bug")

    with pytest.raises(AssertionError, match="without a fault"):
        CoreBench(fail)
    assert sum(violations.values()) == 1
