"""The budget of a node that is warming up, under random demand from few or many schedulers."""

from __future__ import annotations

import random
from dataclasses import dataclass
from math import sqrt

import pytest

from tests.support.nodes import endpoint_change, node_entry, node_id
from tests.support.scheduler_rig import SchedulerRig
from tests.support.settings import SETTINGS

UNITS = 2.0  # size of each request, equal to the mean
LATENCY_MS = 20.0
NEW_NODE = 1
WARM_NODE = 2


def budget(calls: float) -> float:
    """Return the calls that the acceptance rules allow a cold node if settings allow ``calls`` per window."""
    if calls >= 30:
        return calls + 2 * sqrt(calls) + 2
    return calls + 3 * sqrt(calls) + 3


@dataclass(slots=True, frozen=True)
class InFlight:
    """An attempt in flight, and the time of its answer."""

    answered_at_ms: float
    request_id: int
    node_number: int


class LoadedScheduler:
    """One of the schedulers, with its own random requests for both nodes.

    Attributes:
        rig: The scheduler's rig.
        sent_at_ms: Times at which the scheduler sent requests to the new node.
    """

    def __init__(self, seed: int, mean_interval_ms: float, **settings: float) -> None:
        self.rig = SchedulerRig(node_entry(NEW_NODE), node_entry(WARM_NODE), **settings)
        self.rig.scheduler.context.random.seed(seed)
        self.sent_at_ms: list[float] = []
        self._random = random.Random(seed)
        self._mean_interval_ms = mean_interval_ms
        self._noted_count = 0
        self._in_flight: list[InFlight] = []

    def run_until(self, end_ms: float) -> None:
        """Submit requests and report answers until the given time."""
        next_request_ms = self._next_request_ms()
        while True:
            next_event_ms = min([next_request_ms, *(sent.answered_at_ms for sent in self._in_flight)])
            if next_event_ms > end_ms:
                break
            self.rig.advance(max(0.0, next_event_ms - self.rig.now_ms))
            self._note_sent()
            self._report_answers()
            if next_request_ms <= self.rig.now_ms:
                shard = WARM_NODE if self._random.random() < 0.5 else NEW_NODE
                self.rig.submit(shard=shard, units=UNITS, volume=self._random.randrange(50))
                next_request_ms = self._next_request_ms()
            self._note_sent()
        self.rig.advance(end_ms - self.rig.now_ms)
        self._note_sent()

    def _next_request_ms(self) -> float:
        return self.rig.now_ms + self._random.expovariate(1 / self._mean_interval_ms)

    def _report_answers(self) -> None:
        for sent in [sent for sent in self._in_flight if sent.answered_at_ms <= self.rig.now_ms]:
            self._in_flight.remove(sent)
            self.rig.complete(sent.request_id, elapsed_ms=LATENCY_MS, node_number=sent.node_number)

    def _note_sent(self) -> None:
        for sent in self.rig.sent[self._noted_count :]:
            node_number = NEW_NODE if sent.node_id == node_id(NEW_NODE) else WARM_NODE
            self._in_flight.append(InFlight(sent.at_ms + LATENCY_MS, sent.request_id, node_number))
            if node_number == NEW_NODE:
                self.sent_at_ms.append(sent.at_ms)
        self._noted_count = len(self.rig.sent)


@pytest.mark.parametrize("overload_multiple", [2.0, 4.0])
@pytest.mark.parametrize("slow_start_units", [20, 120])
@pytest.mark.parametrize("scheduler_count", [3, 30, 100])
def test_schedulers_in_any_number_keep_a_new_node_inside_its_budget(
    scheduler_count: int, slow_start_units: int, overload_multiple: float
) -> None:
    """From the start of the node, the demand equals the capacity that it has once it is warm."""
    window_ms = SETTINGS.overload_window_ms
    cold_fraction = SETTINGS.slow_start_fraction
    first_calls = slow_start_units / UNITS  # calls that the settings allow right after the node's start
    demanded_calls = first_calls / cold_fraction / overload_multiple  # calls in a window
    # Half of the requests are for the warm node.
    mean_interval_ms = window_ms * scheduler_count / demanded_calls / 2
    sent_after_ms: list[float] = []  # times relative to the new node's start
    for seed in range(scheduler_count):
        loaded = LoadedScheduler(
            seed,
            mean_interval_ms,
            scheduler_count=scheduler_count,
            slow_start_units=slow_start_units,
            overload_multiple=overload_multiple,
        )
        start_ms = loaded.rig.now_ms + 3 * window_ms
        loaded.run_until(start_ms)
        loaded.sent_at_ms.clear()
        loaded.rig.handle(endpoint_change(node_entry(NEW_NODE, started_ms=start_ms)))
        loaded.run_until(start_ms + 3 * window_ms)
        sent_after_ms += [at_ms - start_ms for at_ms in loaded.sent_at_ms]
    assert sent_after_ms
    for begin_ms in sorted(sent_after_ms):
        calls = sum(begin_ms <= at_ms < begin_ms + window_ms for at_ms in sent_after_ms)
        fraction = min(1.0, cold_fraction + (1 - cold_fraction) * begin_ms / SETTINGS.warm_up_ms)
        allowed_calls = budget(first_calls * fraction / cold_fraction)
        assert calls <= allowed_calls, f"{calls} in the window from {begin_ms:.0f} ms on"
