"""Requests: each gets one answer in time, and none is sent for a client that has disconnected."""

from __future__ import annotations

from sabledyke.policy.events import ClientDisconnected, Outcome, TimerFired
from tests.support.scheduler_rig import SchedulerRig


def test_every_request_ends_once_before_its_deadline() -> None:
    rig = SchedulerRig()
    start_ms = rig.now_ms
    request_ids = [rig.submit() for _ in range(60)]
    rig.advance(980)
    for request_id in request_ids:
        if not rig.was_sent(request_id):
            assert len(rig.answers(request_id)) == 1
    rig.now_ms = start_ms + 1000
    for request_id in request_ids:
        if rig.was_sent(request_id):
            rig.complete(request_id, Outcome.TIMEOUT, 1000)
    assert all(len(rig.answers(request_id)) == 1 for request_id in request_ids)


def test_queued_requests_are_not_sent_after_their_clients_disconnected() -> None:
    rig = SchedulerRig()
    request_ids = [rig.submit() for _ in range(8)]
    queued = [
        request_id
        for request_id in request_ids
        if not rig.was_sent(request_id) and not rig.answers(request_id)
    ]
    assert queued
    rig.handle(*[ClientDisconnected(request_id) for request_id in queued])
    for request_id in request_ids:
        if rig.was_sent(request_id):
            rig.complete(request_id)
    assert not any(rig.was_sent(request_id) for request_id in queued)


def test_events_of_completed_requests_and_unknown_timers_are_ignored() -> None:
    rig = SchedulerRig()
    request_id = rig.submit()
    rig.complete(request_id)
    action_count = len(rig.actions)
    rig.complete(request_id)
    rig.handle(ClientDisconnected(request_id), TimerFired(77))
    assert len(rig.actions) == action_count
