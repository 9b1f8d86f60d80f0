"""Retries: only where a second execution is harmless, and only inside the retry budget."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sabledyke.policy.actions import Fail, Reject, RejectReason, StartAttempt
from sabledyke.policy.events import Outcome, PossibleExecution
from sabledyke.policy.retry import WRITE_DELAY_MS
from sabledyke.policy.settings import DeduplicationScope, RepeatSafety, RequestClass
from tests.support.nodes import node_entry
from tests.support.scheduler_rig import SchedulerRig, actions_of, attempt_completed, new_request
from tests.support.settings import READ, WRITE


def request_class(repeat_safety: RepeatSafety, scope: DeduplicationScope) -> RequestClass:
    """Return a class whose repeats nodes recognise for 100 ms."""
    return replace(
        READ,
        repeat_safety=repeat_safety,
        deduplication_scope=scope,
        deduplication_window_ms=100 + WRITE_DELAY_MS,
    )


def test_an_at_most_once_request_that_may_have_run_is_failed_and_not_retried() -> None:
    rig = SchedulerRig(classes=(request_class(RepeatSafety.AT_MOST_ONCE, DeduplicationScope.ALL),))
    request_id = rig.submit()
    rig.complete(request_id, Outcome.ERROR)
    assert rig.attempt_count(request_id) == 1
    assert isinstance(rig.answers(request_id)[0], Fail)


def test_an_at_most_once_request_that_never_ran_may_be_retried() -> None:
    rig = SchedulerRig(classes=(request_class(RepeatSafety.AT_MOST_ONCE, DeduplicationScope.ALL),))
    request_id = rig.submit()
    rig.node().latency_updated_ms = rig.now_ms
    rig.complete(request_id, Outcome.REJECTED, 2)
    rig.advance(30)
    assert rig.attempt_count(request_id) == 2


@pytest.mark.parametrize(
    ("scope", "elapsed_ms", "retried", "answer"),
    [
        (DeduplicationScope.ALL, 5, True, None),
        (DeduplicationScope.ALL, 150, False, Fail),
        (DeduplicationScope.CELL, 5, True, None),
        (DeduplicationScope.CELL, 150, False, Fail),
    ],
)
def test_a_deduplicated_request_is_retried_only_inside_its_scope_and_window(
    scope: DeduplicationScope, elapsed_ms: float, *, retried: bool, answer: type | None
) -> None:
    rig = SchedulerRig(classes=(request_class(RepeatSafety.DEDUPLICATED, scope),))
    request_id = rig.submit()
    rig.advance(elapsed_ms)
    rig.complete(request_id, Outcome.ERROR, elapsed_ms)
    rig.advance(120)
    assert (rig.attempt_count(request_id) == 2) is retried
    if answer:
        assert isinstance(rig.answers(request_id)[0], answer)


def test_a_deduplicated_new_object_stays_in_its_zone() -> None:
    deduplicated = request_class(RepeatSafety.DEDUPLICATED, DeduplicationScope.ZONE)
    rig = SchedulerRig(node_entry(1), node_entry(2, zone=1), classes=(deduplicated,))
    request_id = rig.submit(shard=-1)
    first_node_id = rig.sent[-1].node_id
    first_node = 1 if first_node_id == node_entry(1).node_id else 2
    rig.handle(attempt_completed(request_id, Outcome.ERROR, 5, first_node, request_completed=False))
    rig.advance(50)
    assert {sent.node_id for sent in rig.sent if sent.request_id == request_id} == {first_node_id}


def test_retries_stay_within_their_budget() -> None:
    rig = SchedulerRig(retry_budget_window_ms=5000, retry_budget_free=1, retry_budget_ratio=0.1)
    for _ in range(20):
        request_id = rig.submit()
        for _ in range(3):
            if rig.was_sent(request_id) and not rig.answers(request_id):
                rig.complete(request_id, Outcome.ERROR, 2)
        rig.advance(60)
    assert 0 < len(rig.sent) - len(rig.attempt_counts) <= 1 + 0.1 * 20


def test_an_attempt_times_out_at_the_latency_objective_and_its_request_is_rejected() -> None:
    rig = SchedulerRig()
    request_id = rig.submit()
    assert actions_of(rig.actions, StartAttempt)[-1].timeout_ms == 200
    rig.complete(request_id, Outcome.TIMEOUT, 200)
    assert isinstance(rig.answers(request_id)[0], Reject)


def test_a_write_sent_by_an_earlier_incarnation_runs_only_as_its_key_allows() -> None:
    deduplicated = replace(
        WRITE,
        repeat_safety=RepeatSafety.DEDUPLICATED,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window_ms=500,
    )
    for age_ms, shard, is_sent in ((100, 1, True), (500, 1, False), (100, 2, False)):
        rig = SchedulerRig(node_entry(1), node_entry(2), classes=(deduplicated,))
        execution = PossibleExecution(rig.now_ms - age_ms, node_entry(1))
        rig.handle(new_request(1, remaining_ms=2000, shard=shard, write=True, possible_execution=execution))
        assert rig.was_sent(1) is is_sent
        if age_ms == 500:  # the window has passed, so the request fails at once
            assert rig.answers(1) == [Fail(1, reason=RejectReason.NO_NODE)]
        rig.advance(3000)
        assert is_sent or rig.answers(1) == [Fail(1, reason=RejectReason.NO_NODE)]
