"""Evaluation of experiments on shared limits, from the records of storage nodes and clients, without I/O.

The platform's rule defines a volume's limit by a token bucket: it fills at the limit up to its burst, each
served unit takes a token, and its level may be negative by the slack at most.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from sabledyke.testbed.scenario import Report
from sabledyke.testbed.shared_limits import Experiment

SLACK_FRACTION = 0.1
"""Slack as a fraction of the burst, by the platform's rule; at least ``LARGEST_REQUEST_UNITS``."""
LARGEST_REQUEST_UNITS = 4.0
RETURN_WINDOW_S = 0.5
RETURN_FRACTION = 0.5
"""Fraction of the limit, over ``RETURN_WINDOW_S``, from which a node counts as serving again."""
NEVER_S = 1e9


class Span(NamedTuple):
    """A time span on one clock."""

    began_s: float
    completed_s: float


@dataclass(slots=True, frozen=True)
class VolumeRecord:
    """The record of one volume.

    Attributes:
        name: The volume's name in the report.
        unit_times_s: The times at which storage nodes served its units.
        outcomes: The outcomes of its clients' requests.
        min_served_fraction: The smallest fraction of its limit that must be served.
    """

    name: str
    unit_times_s: Sequence[float]
    outcomes: Counter[str]
    min_served_fraction: float = 0.0


class NodeHang(NamedTuple):
    """The time span in which a storage node hung, and the arrival times of requests in it."""

    span: Span
    request_times_s: Sequence[float]


@dataclass(slots=True)
class Disturbances:
    """Disturbances of a run.

    Attributes:
        spans: Time spans that don't count for the served fraction.
        hangs: Hangs of storage nodes of the spread volume.
    """

    spans: list[Span] = field(default_factory=list)
    hangs: list[NodeHang] = field(default_factory=list)


def evaluate_volume(
    experiment: Experiment, volume: VolumeRecord, run: Span, disturbances: Disturbances, report: Report
) -> None:
    """Add to the report the fraction of its limit that a volume was served, and violations of the limit."""
    limit = experiment.limit
    slack = max(LARGEST_REQUEST_UNITS, SLACK_FRACTION * limit)
    min_level = min_bucket_level(volume.unit_times_s, limit)
    seconds = undisturbed_seconds(run, disturbances.spans)
    units = undisturbed_units(volume.unit_times_s, run, disturbances.spans)
    served = units / seconds / limit if seconds else 0.0
    outcomes = volume.outcomes
    report.lines += [
        f"{volume.name}: {served:.2f} of its limit served in {seconds:.0f} undisturbed seconds, "
        f"{len(volume.unit_times_s)} units in total; lowest bucket level {min_level:.1f} of {limit:.0f} "
        f"(at least {-slack:.0f} allowed)",
        f"  {outcomes.total()} requests: {dict(sorted(outcomes.items()))}",
    ]
    if min_level < -slack:
        report.violations.append(
            f"{volume.name}: the bucket level was {min_level:.1f}, below the limit of {-slack:.1f}"
        )
    if served < volume.min_served_fraction:
        report.violations.append(
            f"{volume.name}: {served:.2f} of its limit served, less than {volume.min_served_fraction:.2f}"
        )
    if outcomes["cut"] or outcomes["wrong"]:
        report.violations.append(
            f"{volume.name}: {outcomes['cut']} answers were cut off and {outcomes['wrong']} wrong"
        )


def evaluate_hang(
    experiment: Experiment, hang: NodeHang, unit_times_s: Sequence[float], report: Report
) -> None:
    """Add to the report the rate of requests to a hung node, and the time until it served its volume again.

    Args:
        experiment: The experiment with its limits.
        hang: The hang of the node; requests in its first half don't count.
        unit_times_s: The times at which units of the node's volume were served.
        report: The report.
    """
    began_s, completed_s = hang.span
    late_requests = sum(at_s > (began_s + completed_s) / 2 for at_s in hang.request_times_s)
    requests_per_s = late_requests / (completed_s - began_s) * 2
    return_s = time_to_return_s(unit_times_s, completed_s, experiment.limit)
    report.lines.append(
        f"a hung node got {requests_per_s:.1f} requests per second, and served again after {return_s:.2f} s"
    )
    if requests_per_s > experiment.most_tried or return_s > experiment.back_s:
        report.violations.append(
            f"a hung node exceeded its limits: {experiment.most_tried:g} requests per second, "
            f"or {experiment.back_s:g} s until it serves again"
        )


def min_bucket_level(unit_times_s: Iterable[float], limit: float) -> float:
    """Return the lowest level of a token bucket that starts full, and gives a token at each time."""
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


def undisturbed_units(unit_times_s: Iterable[float], run: Span, disturbed: Sequence[Span]) -> int:
    """Return how many units were served in the run outside of disturbances."""
    return sum(
        run.began_s <= at_s <= run.completed_s
        and not any(span.began_s <= at_s <= span.completed_s for span in disturbed)
        for at_s in unit_times_s
    )


def undisturbed_seconds(run: Span, disturbed: Iterable[Span]) -> float:
    """Return the duration of the run without its disturbances, in seconds."""
    undisturbed_s = 0.0
    undisturbed_since_s = run.began_s
    for span in sorted(disturbed):
        undisturbed_s += max(0.0, min(span.began_s, run.completed_s) - undisturbed_since_s)
        undisturbed_since_s = max(undisturbed_since_s, span.completed_s)
    return undisturbed_s + max(0.0, run.completed_s - undisturbed_since_s)


def time_to_return_s(unit_times_s: Iterable[float], completed_s: float, limit: float) -> float:
    """Return the time from the end of a fault until units are served at ``RETURN_FRACTION`` of the limit.

    ``NEVER_S`` stands for never.
    """
    enough_units = limit * RETURN_WINDOW_S * RETURN_FRACTION
    later = [at_s for at_s in unit_times_s if at_s > completed_s]
    for start_s in later:
        units = sum(start_s <= at_s < start_s + RETURN_WINDOW_S for at_s in later)
        if units >= enough_units:
            return start_s - completed_s
    return NEVER_S
