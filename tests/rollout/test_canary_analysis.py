"""Comparison of released members' failure rate with that of the others."""

from __future__ import annotations

from random import Random

from sabledyke.rollout.canary_analysis import AnswerCount, AnswerTotal, Baseline, failing_plans, is_worse
from sabledyke.rollout.records import (
    Plan,
)


def test_noise_alone_halts_fewer_than_one_plan_in_a_hundred_and_a_bad_release_halts_soon() -> None:
    random, halts, seen_after = Random(5), 0, list[int]()
    for trial in range(400):
        rates, counts = (0.1, 0.3 if trial >= 300 else 0.1), [[0, 0], [0, 0]]
        for look in range(150):  # each look adds 20 answers of released members and 60 of the others
            for side, n in ((0, 60), (1, 20)):
                counts[side][0] += n
                counts[side][1] += sum(random.random() < rates[side] for _ in range(n))
            if is_worse(AnswerTotal(*counts[1]), AnswerTotal(*counts[0])):
                halts += trial < 300
                seen_after += [look] if trial >= 300 else []
                break
    assert halts < 3
    assert len(seen_after) == 100
    assert max(seen_after) < 60


def test_a_new_incarnation_counts_from_its_start_and_a_known_one_from_when_it_was_first_seen() -> None:
    base, p = Baseline(), Plan("p", ("n0", "n1"), released=("n0",))
    base.since_first_seen({"n0": AnswerCount(1, 5000, 5000), "n1": AnswerCount(1, 900, 900)})
    since = base.since_first_seen({"n0": AnswerCount(2, 1000, 500), "n1": AnswerCount(1, 1900, 900)})
    assert since == {"n0": (1000, 500), "n1": (1000, 0)}
    assert failing_plans([p], since) == ["p"]
