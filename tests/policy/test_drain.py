"""Draining and removed storage nodes: the requests that they may still be sent, and until when."""

from __future__ import annotations

import pytest

from sabledyke.policy.actions import StartAttempt
from sabledyke.policy.events import Outcome
from sabledyke.policy.node_directory import DRAIN_SEND_FRACTION
from sabledyke.policy.nodes import NodeState
from tests.support.nodes import endpoint_change, endpoint_list, node_entry
from tests.support.scheduler_rig import SchedulerRig, actions_of, new_request

DRAINING = endpoint_change(node_entry(1, state=NodeState.DRAINING))


@pytest.mark.parametrize("state", [NodeState.DRAINING, NodeState.GONE])
def test_a_drain_without_grace_stops_queued_requests_at_once(state: NodeState) -> None:
    rig = SchedulerRig()
    request_ids = [rig.submit() for _ in range(8)]
    sent_before = len(rig.sent)
    rig.handle(endpoint_change(node_entry(1, state=state)))
    for request_id in request_ids:
        if rig.was_sent(request_id):
            rig.complete(request_id)
    rig.submit()
    rig.advance(500)
    assert len(rig.sent) == sent_before


def test_a_drain_that_comes_last_in_a_batch_stops_the_sends_of_the_batch() -> None:
    rig = SchedulerRig()
    assert not actions_of(rig.handle(new_request(90), DRAINING), StartAttempt)


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.REJECTED])
def test_a_draining_node_serves_its_shard_until_another_does_or_it_rejects_requests(outcome: Outcome) -> None:
    rig = SchedulerRig(drain_grace_ms=2000)
    rig.handle(DRAINING)
    first = rig.submit()
    assert rig.attempt_count(first) == 1
    assert not rig.was_sent(rig.submit(shard=-1))  # a new object waits for another node
    rig.complete(first, outcome)
    rig.advance(50)
    assert rig.attempt_count(rig.submit()) == int(outcome is Outcome.OK)
    rig.advance(DRAIN_SEND_FRACTION * 2000)
    rig.handle(DRAINING)  # a repeated listing does not extend the grace
    late = rig.submit()
    assert not rig.was_sent(late)
    rig.handle(endpoint_change(node_entry(1)))
    assert rig.attempt_count(late) == 1
    rig.handle(endpoint_list(node_entry(2)))  # node 1 is not listed, and so is removed
    rig.handle(DRAINING)  # an outdated update starts no new grace
    rig.complete(late)
    assert not rig.was_sent(rig.submit())


def test_requests_queued_at_a_draining_node_are_not_sent_after_its_grace() -> None:
    rig = SchedulerRig(drain_grace_ms=200)
    rig.handle(DRAINING)
    rig.node().window_units = 2.0
    first = rig.submit()
    queued = rig.submit(class_index=1)
    assert rig.attempt_count(first) == 1
    assert not rig.was_sent(queued)
    rig.advance(DRAIN_SEND_FRACTION * 200 + 1)
    rig.complete(first)
    assert not rig.was_sent(queued)
