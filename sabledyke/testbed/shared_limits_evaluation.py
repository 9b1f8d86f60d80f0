"""The evaluation of an experiment on shared limits, by what storage nodes and clients saw. Pure.

A volume's limit is kept by a token bucket, as the platform's rule says: it fills at the limit up to its
burst, each unit that was served takes a token, and it may not go below the slack.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from sabledyke.testbed.scenario import Report
from sabledyke.testbed.shared_limits import Experiment

SLACK_FRACTION = 0.1
"""Fraction of the burst below which the bucket may not go: the platform's, or ``LARGEST_REQUEST_UNITS``."""
LARGEST_REQUEST_UNITS = 4.0
RETURN_WINDOW_S = 0.5
RETURN_FRACTION = 0.5
"""Fraction of the limit, over ``RETURN_WINDOW_S``, at which the work of a node counts as back."""
NEVER_S = 1e9


class Span(NamedTuple):
    """A time from and to, on one clock."""

    began_s: float
    completed_s: float


@dataclass(slots=True, frozen=True)
class VolumeRecord:
    """What was seen of one volume.

    Attributes:
        name: The volume's name, for people.
        unit_times_s: When storage nodes served each unit.
        outcomes: How its clients' requests ended.
        min_served_fraction: Fraction of its limit that must be served.
    """

    name: str
    unit_times_s: Sequence[float]
    outcomes: Counter[str]
    min_served_fraction: float = 0.0


class NodeHang(NamedTuple):
    """When a storage node hung, and when requests came to it."""

    span: Span
    request_times_s: Sequence[float]


@dataclass(slots=True)
class Disturbances:
    """What happened during a run.

    Attributes:
        spans: Times in which what is served does not count.
        hangs: Storage nodes that hung; each holds the spread volume.
    """

    spans: list[Span] = field(default_factory=list)
    hangs: list[NodeHang] = field(default_factory=list)


def evaluate_volume(
    experiment: Experiment, volume: VolumeRecord, run: Span, disturbances: Disturbances, report: Report
) -> None:
    """Add to the report how much of its limit a volume was served, and whether it was exceeded."""
    limit = experiment.limit
    slack = max(LARGEST_REQUEST_UNITS, SLACK_FRACTION * limit)
    min_level = min_bucket_level(volume.unit_times_s, limit)
    seconds = calm_seconds(run, disturbances.spans)
    units = calm_units(volume.unit_times_s, run, disturbances.spans)
    served = units / seconds / limit if seconds else 0.0
    outcomes = volume.outcomes
    report.lines += [
        f"{volume.name}: {served:.2f} of its limit served in {seconds:.0f} calm seconds, "
        f"{len(volume.unit_times_s)} units in all; its store never under {min_level:.1f} of {limit:.0f} "
        f"(may be {-slack:.0f})",
        f"  asked {outcomes.total()}: {dict(sorted(outcomes.items()))}",
    ]
    if min_level < -slack:
        report.wrong.append(
            f"{volume.name}: the limit's store was at {min_level:.1f}, and may be at {-slack:.1f}"
        )
    if served < volume.min_served_fraction:
        report.wrong.append(
            f"{volume.name}: {served:.2f} of its limit served, of {volume.min_served_fraction:.2f}"
        )
    if outcomes["cut"] or outcomes["wrong"]:
        report.wrong.append(
            f"{volume.name}: {outcomes['cut']} answers were cut off and {outcomes['wrong']} wrong"
        )


def evaluate_hang(
    experiment: Experiment, hang: NodeHang, unit_times_s: Sequence[float], report: Report
) -> None:
    """Add to the report how often a hung node was tried, and how soon its work came back.

    Args:
        experiment: What is demanded.
        hang: When the node hung, and was tried; its first half does not count.
        unit_times_s: When units of the volume that it holds were served.
        report: What is added to.
    """
    began_s, completed_s = hang.span
    late_requests = sum(at_s > (began_s + completed_s) / 2 for at_s in hang.request_times_s)
    requests_per_s = late_requests / (completed_s - began_s) * 2
    return_s = time_to_return_s(unit_times_s, completed_s, experiment.limit)
    report.lines.append(
        f"a hung box was tried {requests_per_s:.1f} times a second, work back in {return_s:.2f} s"
    )
    if requests_per_s > experiment.most_tried or return_s > experiment.back_s:
        report.wrong.append(
            f"it may be tried {experiment.most_tried:g} times, and want {experiment.back_s:g} s"
        )


def min_bucket_level(unit_times_s: Iterable[float], limit: float) -> float:
    """Return the lowest level of a token bucket of the limit, full at first, where each time took a token."""
    level = limit
    min_level = limit
    previous_s: float | None = None
    for now_s in sorted(unit_times_s):
        if previous_s is not None:
            level = min(limit, level + (now_s - previous_s) * limit)
        level -= 1
        min_level = min(min_level, level)
        previous_s = now_s
    return min_level


def calm_units(unit_times_s: Iterable[float], run: Span, disturbed: Sequence[Span]) -> int:
    """Return how many units were served in the run while nothing disturbed it."""
    return sum(
        run.began_s <= at_s <= run.completed_s
        and not any(span.began_s <= at_s <= span.completed_s for span in disturbed)
        for at_s in unit_times_s
    )


def calm_seconds(run: Span, disturbed: Iterable[Span]) -> float:
    """Return for how long nothing disturbed the run."""
    calm_s = 0.0
    calm_since_s = run.began_s
    for span in sorted(disturbed):
        calm_s += max(0.0, min(span.began_s, run.completed_s) - calm_since_s)
        calm_since_s = max(calm_since_s, span.completed_s)
    return calm_s + max(0.0, run.completed_s - calm_since_s)


def time_to_return_s(unit_times_s: Iterable[float], completed_s: float, limit: float) -> float:
    """Return how long after a fault enough units were served in a short time, ``NEVER_S`` for never."""
    enough_units = limit * RETURN_WINDOW_S * RETURN_FRACTION
    later = [at_s for at_s in unit_times_s if at_s > completed_s]
    for start_s in later:
        units = sum(start_s <= at_s < start_s + RETURN_WINDOW_S for at_s in later)
        if units >= enough_units:
            return start_s - completed_s
    return NEVER_S
