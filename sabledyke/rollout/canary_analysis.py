"""Whether released members fail more than those that are not released yet. Pure.

A one-sided two-proportion test, whose threshold is far out because it is repeated while a release runs:
noise alone halts fewer than one plan in a hundred (a test counts it). A difference must also matter, and
either side must have answered enough requests.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import sqrt

from sabledyke.rollout.records import Plan

Z_THRESHOLD = 4.5
"""Standard deviations that the difference of the failure rates must exceed."""
MIN_RATE_DIFFERENCE = 0.02
"""Difference of the failure rates, as a fraction of all answers, below which nothing is concluded."""
MIN_ANSWERS = 200
"""Answers of either side below which nothing is concluded."""


@dataclass(slots=True, frozen=True)
class AnswerCount:
    """Answers of one incarnation so far, and how many of them were rejections or failures."""

    incarnation: int
    answered: int
    failed: int


def is_worse(released: tuple[int, int], others: tuple[int, int]) -> bool:
    """Return whether the released side fails more than the others; each side is (answered, failed)."""
    answered, failed = released
    others_answered, others_failed = others
    if answered < MIN_ANSWERS or others_answered < MIN_ANSWERS:
        return False
    difference = failed / answered - others_failed / others_answered
    if difference < MIN_RATE_DIFFERENCE:
        return False
    mean = (failed + others_failed) / (answered + others_answered)
    deviation = sqrt(mean * (1 - mean) * (1 / answered + 1 / others_answered))
    return deviation > 0 and difference / deviation > Z_THRESHOLD


class Baseline:
    """Counts of each incarnation when it was first seen: what came before a plan is held against nobody."""

    def __init__(self) -> None:
        self._first: dict[str, AnswerCount] = {}

    def since_first_seen(self, counts: Mapping[str, AnswerCount]) -> dict[str, tuple[int, int]]:
        """Return (answered, failed) by member since then; a new incarnation counts from its start."""
        since = {}
        for name, count in counts.items():
            first = self._first_count(name, count)
            since[name] = (count.answered - first.answered, count.failed - first.failed)
        self._first = {name: first for name, first in self._first.items() if name in counts}
        return since

    def _first_count(self, name: str, count: AnswerCount) -> AnswerCount:
        first = self._first.get(name)
        if first is None:
            first = count
        elif first.incarnation != count.incarnation:
            first = AnswerCount(count.incarnation, 0, 0)
        self._first[name] = first
        return first


def failing_plans(plans: Iterable[Plan], since: Mapping[str, tuple[int, int]]) -> list[str]:
    """Return the names of plans whose released members fail more than those that are yet to be released.

    Args:
        plans: Plans that are under way.
        since: (answered, failed) by member, see ``Baseline``.
    """
    failing = []
    for plan in plans:
        released = _total(since, (name for name in plan.members if name in plan.released))
        others = _total(since, (name for name in plan.members if name not in plan.released))
        if is_worse(released, others):
            failing.append(plan.name)
    return failing


def _total(since: Mapping[str, tuple[int, int]], names: Iterable[str]) -> tuple[int, int]:
    counts = [since[name] for name in names if name in since]
    return sum(answered for answered, _ in counts), sum(failed for _, failed in counts)
