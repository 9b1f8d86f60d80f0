"""Do released members fail more than those not released? Pure: told counts, says yes or no.

A one-sided two-proportion test at ``Z``, far out because it is asked again and again while a release runs:
noise alone halts fewer than one plan in a hundred (a test counts it). A difference must also matter:
``LEAST`` of all answers, and ``ENOUGH`` answers on either side.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import sqrt

from sabledyke.rollout.records import Plan

Z, LEAST, ENOUGH = 4.5, 0.02, 200


@dataclass(slots=True, frozen=True)
class AnswerCount:
    """Answers of one life so far, and how many of them were refusals or failures."""

    incarnation: int
    answered: int
    failed: int


def is_worse(released: tuple[int, int], others: tuple[int, int]) -> bool:
    """(answered, bad) of each side."""
    (n, x), (m, y) = released, others
    if n < ENOUGH or m < ENOUGH or x / n - y / m < LEAST:
        return False
    mean = (x + y) / (n + m)
    spread = sqrt(mean * (1 - mean) * (1 / n + 1 / m))
    return spread > 0 and (x / n - y / m) / spread > Z


class Baseline:
    """Counts of each life when it was first seen: what came before a plan is not held against anybody."""

    def __init__(self) -> None:
        self._first: dict[str, AnswerCount] = {}

    def since_first_seen(self, counts: Mapping[str, AnswerCount]) -> dict[str, tuple[int, int]]:
        """Answered and bad of each member since then; a new life counts from its start."""
        out = {}
        for name, count in counts.items():
            first = self._first.get(name)
            if first is None:
                self._first[name] = first = count
            elif first.incarnation != count.incarnation:
                self._first[name] = first = AnswerCount(count.incarnation, 0, 0)
            out[name] = count.answered - first.answered, count.failed - first.failed
        self._first = {name: first for name, first in self._first.items() if name in counts}
        return out


def failing_plans(plans: Iterable[Plan], since: Mapping[str, tuple[int, int]]) -> list[str]:
    """Names of plans whose released members do worse than the members that they have yet to release."""
    bad = []
    for plan in plans:
        sides = [(0, 0), (0, 0)]
        for name in plan.members:
            n, x = since.get(name, (0, 0))
            side = name not in plan.released
            sides[side] = sides[side][0] + n, sides[side][1] + x
        if is_worse(sides[0], sides[1]):
            bad.append(plan.name)
    return bad
