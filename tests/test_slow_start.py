"""Slow start over a whole fleet: what all schedulers together send to a node that has just come up."""

from __future__ import annotations

import random
from math import sqrt

import pytest

from sabledyke.policy.nodes import ListKind
from tests.helpers import SETTINGS, Rig, listing, node

UNITS = 2.0  # of each request: one of mean work
TOOK = 20.0  # ms for which a node has a request
YOUNG, WARM = node(1), node(2)


def budget(calls: float) -> float:
    """What a cold node stands in the settings' time, where these allow it ``calls`` (STANDING)."""
    return calls + 2 * sqrt(calls) + 2 if calls >= 30 else calls + 3 * sqrt(calls) + 3


class Member:
    """One scheduler of the fleet, with requests of its own for both nodes; answers come after ``TOOK``."""

    def __init__(self, seed: int, each: float, **settings: float) -> None:
        self.rig = Rig(YOUNG, WARM, **settings)
        self.rig.scheduler.context.random.seed(seed)
        self._random, self._each = random.Random(seed), each  # ms between requests, in the mean
        self._seen, self._out = 0, list[tuple[float, int, bytes]]()
        self.sent: list[float] = []  # when it sent to the young node

    def play(self, until: float) -> None:
        """Ask, and have answers come, until then."""
        rig, next_ask = self.rig, self.rig.now + self._random.expovariate(1 / self._each)
        while (at := min([next_ask, *(end for end, _, _ in self._out)])) <= until:
            rig.wait(max(0.0, at - rig.now))
            self._note()
            for over in [entry for entry in self._out if entry[0] <= rig.now]:
                self._out.remove(over)
                rig.end(over[1], took=TOOK, where=1 if over[2] == YOUNG.node_id else 2)
            if next_ask <= rig.now:
                rig.ask(1 + (self._random.random() < 0.5), units=UNITS, volume=self._random.randrange(50))
                next_ask = rig.now + self._random.expovariate(1 / self._each)
            self._note()
        rig.wait(until - rig.now)
        self._note()

    def _note(self) -> None:
        for at, request_id, where in self.rig.sent[self._seen :]:
            self._out.append((at + TOOK, request_id, where))
            self.sent += [at] if where == YOUNG.node_id else []
        self._seen = len(self.rig.sent)


@pytest.mark.parametrize("multiple", [2.0, 4.0])
@pytest.mark.parametrize("cold_units", [20, 120])
@pytest.mark.parametrize("hosts", [3, 30, 100])
def test_a_fleet_of_any_size_keeps_a_young_node_inside_its_budget(
    hosts: int, cold_units: int, multiple: float
) -> None:
    """The node is asked for all that it can do once it is warm, from its first moment on."""
    window, share, warm_up = SETTINGS.overload_window_ms, SETTINGS.slow_start_fraction, SETTINGS.warm_up_ms
    first = cold_units / UNITS  # calls that the settings allow it right after its start
    asked = first / share / multiple  # in a window: what it can do once it is warm
    each = window * hosts / asked / 2  # the same again is asked of the warm node
    young = list[float]()
    for seed in range(hosts):
        member = Member(
            seed, each, scheduler_count=hosts, slow_start_units=cold_units, overload_multiple=multiple
        )
        start = member.rig.now + 3 * window
        member.play(start)
        member.sent.clear()
        member.rig.do(listing(node(1, started=start), kind=ListKind.DELTA))
        member.play(start + 3 * window)
        young += [at - start for at in member.sent]
    young.sort()
    assert young
    for begins in young:
        calls = sum(begins <= at < begins + window for at in young)
        warmth = min(1.0, share + (1 - share) * begins / warm_up)
        assert calls <= budget(first * warmth / share), f"{calls} in the window from {begins:.0f} ms on"
