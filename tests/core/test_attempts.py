"""Attempts that the core does not start although the policy requests them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sabledyke.core import ATTEMPT_GUARD_MS, AttemptResult
from sabledyke.policy.actions import Action, StartAttempt
from sabledyke.policy.events import Event, Outcome, Request
from sabledyke.policy.settings import DeduplicationScope, RepeatSafety
from tests.support.core_bench import CoreBench, no_actions
from tests.support.nodes import endpoint_list, node_entry, node_id
from tests.support.settings import SETTINGS, WRITE


def test_attempts_end_before_the_deadline_and_none_starts_after_it() -> None:
    def send(_now_ms: float, events: list[Event]) -> list[Action]:
        return [StartAttempt(event.id, node_id(1)) for event in events if isinstance(event, Request)]

    bench = CoreBench(send)
    bench.submit(remaining_ms=500.0)
    assert [started.timeout_ms for started in bench.started] == [500 - ATTEMPT_GUARD_MS]
    bench.submit(remaining_ms=ATTEMPT_GUARD_MS)
    assert len(bench.started) == 1


@pytest.mark.usefixtures("violations")
def test_a_write_that_the_policy_would_repeat_outside_its_scope_or_window_is_not_sent() -> None:
    bench = CoreBench(no_actions)
    deduplicated = replace(
        WRITE,
        repeat_safety=RepeatSafety.DEDUPLICATED,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window_ms=300,
    )
    bench.core.settings = replace(SETTINGS, classes=(deduplicated,))
    bench.core.on_endpoint_list(endpoint_list(node_entry(1), node_entry(2)))
    request_id = bench.submit(write=True)
    bench.now_ms = 1000
    bench.start_attempt(request_id, 1)
    result = AttemptResult(Outcome.RESET, may_have_run=True)
    bench.core.on_attempt_completed(1010, request_id, 0, result)
    bench.now_ms = 1100
    bench.start_attempt(request_id, 1)  # in the cell of the first attempt, inside its window
    for now_ms, node_number in ((1100, 2), (1300, 1)):
        bench.now_ms = now_ms
        with pytest.raises(AssertionError):
            bench.start_attempt(request_id, node_number)
    assert [started.number for started in bench.started] == [0, 1]


def test_attempts_beyond_the_maximum_are_not_sent() -> None:
    bench = CoreBench(no_actions)
    request_id = bench.submit()
    for number in range(SETTINGS.max_attempts + 2):
        bench.start_attempt(request_id)
        if number < SETTINGS.max_attempts:
            result = AttemptResult(Outcome.REJECTED, may_have_run=False)
            bench.core.on_attempt_completed(bench.now_ms, request_id, number, result)
    assert [started.number for started in bench.started] == list(range(SETTINGS.max_attempts))
