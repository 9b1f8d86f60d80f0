"""Slow start: requests that many schedulers, each with its own seed, send to a node that is warming up."""

from __future__ import annotations

import random

from sabledyke.policy.actions import Reject
from tests.support.nodes import endpoint_change, endpoint_list, node_entry
from tests.support.scheduler_rig import SchedulerRig, actions_of
from tests.support.settings import SETTINGS

SCHEDULER_COUNT = 40
INTERVAL_MS = 400.0  # between a scheduler's requests for the observed shard
WARM_UP_MS = 17000.0
UNITS = 2  # size of each request


def warm_rigs() -> list[SchedulerRig]:
    """Return schedulers whose requests have been served by warm nodes."""
    rigs = [
        SchedulerRig(
            node_entry(1),
            node_entry(2),
            scheduler_count=SCHEDULER_COUNT,
            slow_start_units=3.0,
            overload_multiple=2.0,
            warm_up_ms=WARM_UP_MS,
        )
        for _ in range(SCHEDULER_COUNT)
    ]
    for index, rig in enumerate(rigs):
        rig.scheduler.context.random.seed(index)
        rig.advance(index * INTERVAL_MS / SCHEDULER_COUNT)
        for number in range(30):
            node_number = 1 + number % 2
            rig.complete(rig.submit(shard=node_number), elapsed_ms=20, node_number=node_number)
            rig.advance(INTERVAL_MS / 2)
    return rigs


class ScriptedRandom(random.Random):
    """Random numbers that begin with the given ones."""

    def __init__(self, *first: float) -> None:
        super().__init__(7)
        self._first = list(first)

    def random(self) -> float:
        return self._first.pop(0) if self._first else super().random()


def test_a_new_node_gets_what_its_kind_can_serve_and_no_more() -> None:
    """Guards against idle new nodes: the least that any node can serve was 0.04 requests per scheduler."""
    rigs = warm_rigs()
    start_ms = max(rig.now_ms for rig in rigs)
    for rig in rigs:
        rig.advance(start_ms - rig.now_ms)
        rig.handle(endpoint_list(node_entry(3, shard=1, started_ms=start_ms), node_entry(2)))
    sent_after_ms: list[float] = []  # times of requests to the new node, relative to its start
    for step in range(int(WARM_UP_MS / INTERVAL_MS)):
        for rig in rigs:
            request_id = rig.submit(shard=1)
            if rig.was_sent(request_id):
                sent_after_ms.append(step * INTERVAL_MS)
                rig.complete(request_id, elapsed_ms=60, node_number=3)
            rig.advance(INTERVAL_MS)
    window_ms = SETTINGS.overload_window_ms
    # Units that a warm node served to all schedulers in a window.
    warm_units = UNITS / INTERVAL_MS * SCHEDULER_COUNT * window_ms
    cold_fraction = SETTINGS.slow_start_fraction
    for begin_ms in range(0, 15000, 1000):
        fraction = cold_fraction + (1 - cold_fraction) * begin_ms / WARM_UP_MS
        units = UNITS * sum(begin_ms <= at_ms < begin_ms + window_ms for at_ms in sent_after_ms)
        # The rule allows 2 times; 1.5 times leaves some slack for randomness.
        assert units <= 1.5 * fraction * warm_units, begin_ms
    # The node is half warm by then. When it was limited to the least that any node can serve, it got 0.015.
    late_units = UNITS * sum(8000 <= at_ms < 10000 for at_ms in sent_after_ms)
    assert late_units >= 0.2 * warm_units


def test_a_request_that_loses_the_admission_draw_does_not_block_one_that_wins_it() -> None:
    """Guards against a request of high value that delays all others until its objective is missed."""
    rig = warm_rigs()[0]
    rig.handle(endpoint_list(node_entry(3, shard=1, started_ms=rig.now_ms - 9000), node_entry(2)))
    rig.advance(SETTINGS.overload_window_ms)
    rig.scheduler.context.random = ScriptedRandom(0.99, 0.5, 0.0)  # admission, choice of a node, admission
    loser = rig.submit()
    winner = rig.submit()
    assert not rig.was_sent(loser)
    assert actions_of(rig.answers(loser), Reject)[0].retry_after_ms > 0
    assert rig.attempt_count(winner) == 1


def test_several_hundred_schedulers_keep_a_node_that_warms_up_within_its_safe_units() -> None:
    scheduler_count = 300
    rigs = [
        SchedulerRig(node_entry(1), node_entry(2), scheduler_count=scheduler_count)
        for _ in range(scheduler_count)
    ]
    for index, rig in enumerate(rigs):
        rig.scheduler.context.random.seed(index)
        for _ in range(12):  # usual demand at the other node
            rig.advance(500)
            rig.complete(rig.submit(shard=2), elapsed_ms=20, node_number=2)
        rig.handle(endpoint_change(node_entry(1, started_ms=rig.now_ms)))
    start_ms = rigs[0].now_ms
    sent_at_ms: list[float] = []
    for index, rig in enumerate(rigs):
        rig.advance(index % 50 * 10)
        for number in range(10):
            node_number = 1 + number % 2
            request_id = rig.submit(shard=node_number)
            if rig.was_sent(request_id):
                rig.complete(request_id, elapsed_ms=20, node_number=node_number)
                if node_number == 1:
                    sent_at_ms.append(rig.now_ms)
            rig.advance(500)
    window_ms = SETTINGS.overload_window_ms
    for begin_ms in sent_at_ms:
        if begin_ms >= start_ms + 2 * window_ms:
            continue
        units = sum(UNITS for at_ms in sent_at_ms if begin_ms <= at_ms < begin_ms + window_ms)
        allowed_units = SETTINGS.slow_start_units
        if begin_ms >= start_ms + window_ms:  # in the second window safe units have grown with age
            growth = (1 / SETTINGS.slow_start_fraction - 1) / SETTINGS.warm_up_ms
            allowed_units *= 1 + growth * (begin_ms - start_ms)
        assert units <= 1.5 * allowed_units  # 1.5 times leaves little slack for randomness
    assert min(sent_at_ms) < start_ms + 2 * window_ms
