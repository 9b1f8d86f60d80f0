"""Compares the failure rate of released members with that of members not released yet. Pure.

The comparison is a one-sided two-proportion test. Its threshold is high because the test is repeated while a
release runs: noise alone halts fewer than one plan in a hundred, which a test verifies. In addition, the
difference must reach a minimum, and each side must have answered a minimum number of requests.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import sqrt
from typing import NamedTuple

from sabledyke.rollout.records import Plan

Z_THRESHOLD = 4.5
"""Standard deviations that the difference of the failure rates must exceed."""
MIN_RATE_DIFFERENCE = 0.02
"""Minimum difference of the failure rates, as a fraction of all answers."""
MIN_ANSWERS = 200
"""Minimum number of answers on each side."""


@dataclass(slots=True, frozen=True)
class AnswerCount:
    """Answers of one incarnation so far, and how many of them were rejections or failures."""

    incarnation: int
    answered: int
    failed: int


class AnswerTotal(NamedTuple):
    """Answers of several members over a period, and how many of them were rejections or failures."""

    answered: int
    failed: int

    @property
    def failure_rate(self) -> float:
        """Fraction of all answers that were rejections or failures."""
        return self.failed / self.answered


def total_of(totals: Iterable[AnswerTotal]) -> AnswerTotal:
    """Return the sum of several totals."""
    known = list(totals)
    return AnswerTotal(sum(total.answered for total in known), sum(total.failed for total in known))


def is_worse(released: AnswerTotal, others: AnswerTotal) -> bool:
    """Return whether the released members fail significantly more than the others."""
    if released.answered < MIN_ANSWERS or others.answered < MIN_ANSWERS:
        return False
    difference = released.failure_rate - others.failure_rate
    if difference < MIN_RATE_DIFFERENCE:
        return False
    mean = (released.failed + others.failed) / (released.answered + others.answered)
    deviation = sqrt(mean * (1 - mean) * (1 / released.answered + 1 / others.answered))
    return deviation > 0 and difference / deviation > Z_THRESHOLD


class Baseline:
    """Counts of each incarnation when it was first seen, so that earlier answers are not counted."""

    def __init__(self) -> None:
        """Create a baseline without counts."""
        self._first: dict[str, AnswerCount] = {}

    def since_first_seen(self, counts: Mapping[str, AnswerCount]) -> dict[str, AnswerTotal]:
        """Return the answers by member since it was first seen; a new incarnation counts from its start."""
        since = {}
        for name, count in counts.items():
            first = self._first_count(name, count)
            since[name] = AnswerTotal(count.answered - first.answered, count.failed - first.failed)
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


def failing_plans(plans: Iterable[Plan], since: Mapping[str, AnswerTotal]) -> list[str]:
    """Return the names of plans whose released members fail more than those that are yet to be released.

    Args:
        plans: Plans in progress.
        since: Answers by member, as returned by ``Baseline.since_first_seen``.
    """
    failing = []
    for plan in plans:
        counted = [name for name in plan.members if name in since]
        released = total_of(since[name] for name in counted if name in plan.released)
        others = total_of(since[name] for name in counted if name not in plan.released)
        if is_worse(released, others):
            failing.append(plan.name)
    return failing
