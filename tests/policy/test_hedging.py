"""Hedging: a second attempt where the first was probably lost, and none where it is only slow."""

from __future__ import annotations

from sabledyke.policy.actions import CancelAttempt, Log
from sabledyke.policy.events import Outcome
from tests.support.scheduler_rig import SchedulerRig, actions_of


def test_an_attempt_overtaken_by_a_later_one_is_repeated_within_its_objective() -> None:
    for hedging_allowed in (True, False):
        rig = SchedulerRig(hedging_allowed=hedging_allowed)
        rig.node().window_units = 20.0
        rig.node().latency_ms = 20.0
        lost = rig.submit()
        rig.advance(5)
        rig.complete(rig.submit(volume=2), elapsed_ms=20)
        rig.advance(100)
        if not hedging_allowed:
            assert [action.request_id for action in actions_of(rig.actions, CancelAttempt)] == [lost]
            rig.complete(lost, Outcome.CANCELLED, 100, request_completed=False)
        assert rig.attempt_count(lost) == 2
        assert not actions_of(rig.actions, Log)


def test_a_slow_attempt_alone_is_not_repeated() -> None:
    rig = SchedulerRig()
    rig.node().window_units = 20.0
    rig.node().latency_ms = 20.0
    slow = rig.submit()
    rig.advance(190)
    assert rig.attempt_count(slow) == 1


def test_a_large_request_is_given_more_time_before_it_is_repeated() -> None:
    rig = SchedulerRig(hedging_allowed=True)
    rig.node().window_units = 40.0
    rig.node().latency_ms = 20.0
    large = rig.submit(units=8)
    rig.advance(5)
    rig.complete(rig.submit(volume=2), elapsed_ms=20)
    rig.advance(100)
    assert rig.attempt_count(large) == 1
