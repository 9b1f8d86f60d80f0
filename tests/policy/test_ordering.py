"""Ordered classes: requests with the same data key run one after the other."""

from __future__ import annotations

from dataclasses import replace

from sabledyke.policy.events import ClientDisconnected, Outcome
from tests.support.scheduler_rig import SchedulerRig
from tests.support.settings import WRITE

ORDERED = replace(WRITE, ordered=True)


def test_ordered_requests_run_one_at_a_time_with_a_pause_after_a_reset() -> None:
    rig = SchedulerRig(classes=(ORDERED,), order_settle_ms=200)
    first = rig.submit(data_key=9)
    second = rig.submit(data_key=9)
    other = rig.submit(data_key=8)
    assert rig.attempt_count(first) == 1
    assert rig.attempt_count(second) == 0
    assert rig.attempt_count(other) == 1
    rig.complete(first, Outcome.RESET, request_completed=True)
    rig.advance(180)
    assert rig.attempt_count(second) == 0
    rig.advance(40)
    assert rig.attempt_count(second) == 1


def test_an_ordered_request_waits_for_the_attempt_of_an_earlier_one_whose_client_disconnected() -> None:
    rig = SchedulerRig(classes=(ORDERED,))
    first = rig.submit(data_key=9)
    second = rig.submit(data_key=9)
    rig.handle(ClientDisconnected(first))
    rig.advance(50)
    assert rig.attempt_count(second) == 0
    rig.complete(first, request_completed=True)
    rig.advance(20)
    assert rig.attempt_count(second) == 1


def test_what_is_remembered_of_data_keys_stays_bounded() -> None:
    rig = SchedulerRig(classes=(ORDERED,), order_settle_ms=200)
    for data_key in range(1, 21):
        rig.complete(rig.submit(data_key=data_key), Outcome.RESET, request_completed=True)
        rig.advance(1000)
    assert len(rig.scheduler.requests._order_settled_ms) <= 11  # evicted every 10 s
