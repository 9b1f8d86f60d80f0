"""Selection of a storage node for new objects, which any node may store."""

from __future__ import annotations

from collections import Counter

from sabledyke.policy.events import Outcome
from tests.support.nodes import endpoint_list, node_entry, node_id
from tests.support.scheduler_rig import SchedulerRig

SCHEDULER_COUNT = 40


def test_new_objects_avoid_a_node_that_answers_with_errors() -> None:
    """Guards against sending all new objects to a node that fails at once and therefore appears fast."""
    rig = SchedulerRig(node_entry(1), node_entry(2), scheduler_count=SCHEDULER_COUNT)
    for number, outcome, elapsed_ms in ((1, Outcome.ERROR, 2), (2, Outcome.OK, 40)):
        request_id = rig.submit(shard=number)
        rig.complete(request_id, outcome, elapsed_ms, number, request_completed=True)
    rig.node(1).latency_ms = rig.node(2).latency_ms / 2
    for _ in range(5):
        rig.advance(400)
        request_id = rig.submit(shard=-1)
        assert rig.sent[-1].node_id == node_id(2)
        rig.complete(request_id, elapsed_ms=40, node_number=2)


def test_schedulers_spread_new_objects_over_nodes_without_latency_estimates() -> None:
    """Guards against all schedulers choosing the node that started slightly earlier, which overloads it."""
    chosen = Counter[bytes]()
    numbers = range(1, 9)
    for index in range(SCHEDULER_COUNT):
        rig = SchedulerRig(
            *(node_entry(number, started_ms=1000.0 + number) for number in numbers),
            scheduler_count=SCHEDULER_COUNT,
            scheduler_index=index,
        )
        rig.scheduler.context.random.seed(index)
        restarted = [node_entry(number, started_ms=1100.0 + number) for number in numbers]
        rig.handle(endpoint_list(*restarted))  # all of them warm up
        rig.advance(9000)
        rig.submit(shard=-1)
        chosen.update(sent.node_id for sent in rig.sent)
    assert chosen.total() > SCHEDULER_COUNT / 2, chosen
    assert len(chosen) >= 5, chosen
    assert max(chosen.values()) <= chosen.total() / 2, chosen
