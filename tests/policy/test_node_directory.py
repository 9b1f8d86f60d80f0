"""The directory of storage nodes: replacement, removal, and eviction of records."""

from __future__ import annotations

from sabledyke.policy.scheduler import EVICTION_INTERVAL_MS
from tests.support.nodes import endpoint_change, endpoint_list, node_entry, node_id
from tests.support.scheduler_rig import SchedulerRig
from tests.support.settings import SETTINGS


def test_a_node_missing_from_a_complete_list_is_removed_and_its_replacement_serves_its_shard() -> None:
    rig = SchedulerRig(node_entry(1), node_entry(2))
    rig.handle(endpoint_list(node_entry(2)))
    request_id = rig.submit()
    assert not rig.was_sent(request_id)
    rig.handle(endpoint_change(node_entry(3, shard=1)))
    assert rig.attempt_count(request_id) == 1
    assert rig.sent[-1].node_id == node_id(3)


def test_records_of_removed_nodes_and_idle_volumes_are_evicted() -> None:
    rig = SchedulerRig()
    for number in range(2, 200):
        rig.handle(endpoint_list(node_entry(number)))
        request_id = rig.submit(shard=number, plan_index=number % 2, volume=number)
        rig.complete(request_id, node_number=number)
        rig.advance(500)
    longest_ms = 2 * EVICTION_INTERVAL_MS + SETTINGS.overload_window_ms
    assert len(rig.scheduler.nodes) <= longest_ms / 500
    assert len(rig.scheduler.quotas.volumes) <= longest_ms / 500
