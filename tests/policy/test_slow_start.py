"""Slow start at one scheduler: the requests that it sends to a node that is warming up."""

from __future__ import annotations

from tests.support.nodes import endpoint_change, node_entry
from tests.support.scheduler_rig import SchedulerRig


def test_a_node_that_is_warming_up_is_sent_no_more_than_this_schedulers_share() -> None:
    rig = SchedulerRig()
    rig.handle(endpoint_change(node_entry(1, started_ms=rig.now_ms)))
    start_ms = rig.now_ms
    for _ in range(100):
        request_id = rig.submit()
        if rig.was_sent(request_id):
            rig.complete(request_id, elapsed_ms=5)
        rig.advance(20)
    assert 0 < sum(2 for sent in rig.sent if sent.at_ms <= start_ms + 2000) <= 20 / 2


def test_requests_sent_just_before_a_nodes_restart_count_against_its_slow_start() -> None:
    rig = SchedulerRig()
    for _ in range(5):
        rig.complete(rig.submit())
    rig.handle(endpoint_change(node_entry(1, started_ms=rig.now_ms)))
    request_id = rig.submit()
    rig.advance(100)
    assert not rig.was_sent(request_id)
