"""The scheduler's metrics: all counters, and their text format.

The core reports each final answer and each completed attempt, and the server reports each reload; gauges are
passed in when the metrics are requested. This module uses no socket, clock or wire format. Counters start at
0 with the process and only increase.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from sabledyke.policy.actions import RejectReason
from sabledyke.policy.events import Outcome
from sabledyke.policy.nodes import NodeEntry, NodeState
from sabledyke.policy.state import NodeRecord

METRIC_OF_STATUS = {"served": "success", "refused": "overload", "failed": "error"}
"""Metric that counts final answers of a status (a value of ``core.AnswerStatus``)."""

UNSENT_OUTCOMES = (Outcome.NO_CONNECTION, Outcome.EXPIRED)
"""Outcomes of attempts that were not sent, or whose last byte certainly did not reach the node."""


class Metrics:
    """Counters of one process.

    Attributes:
        answers: Final answers by metric (a value of ``METRIC_OF_STATUS``) and name of the request class.
        rejections: Requests that were rejected or failed, by reason.
        dispatches: Attempts that were written completely to storage nodes.
        successful_reloads: Reloads of the configuration that took effect.
        failed_reloads: Reloads of the configuration that were rejected.
    """

    def __init__(self) -> None:
        self.answers: Counter[tuple[str, str]] = Counter()
        self.rejections: Counter[RejectReason] = Counter()
        self.dispatches = 0
        self.successful_reloads = 0
        self.failed_reloads = 0

    def count_answer(self, status: str, class_name: str) -> None:
        """Count a request's one final answer; ``status`` is a value of ``core.AnswerStatus``."""
        self.answers[METRIC_OF_STATUS[status], class_name] += 1

    def count_attempt(self, outcome: Outcome, *, may_have_run: bool) -> None:
        """Count a completed attempt as a dispatch if its last byte was written."""
        if outcome in UNSENT_OUTCOMES:
            return
        if outcome is Outcome.CANCELLED and not may_have_run:
            return
        self.dispatches += 1

    def count_successful_reload(self) -> None:
        """Count a reload of the configuration that took effect."""
        self.successful_reloads += 1

    def count_failed_reload(self) -> None:
        """Count a reload of the configuration that was rejected as a whole."""
        self.failed_reloads += 1

    @property
    def answer_totals(self) -> tuple[int, int]:
        """Number of final answers, and the number of rejections and failures among them."""
        total = self.answers.total()
        served = sum(
            count for (metric, _), count in self.answers.items() if metric == METRIC_OF_STATUS["served"]
        )
        return total, total - served

    def format_lines(
        self,
        classes: Iterable[str],
        concurrent: int,
        nodes: Iterable[NodeEntry],
        unresponsive_nodes: int,
    ) -> list[str]:
        """Return all metrics as lines: ``svc.NAME:VALUE|c`` for a counter, ``svc.NAME:VALUE|g`` for a gauge.

        Args:
            classes: Names of the request classes in force, which are shown even with counts of 0. A retired
                class is shown if it has counts.
            concurrent: Number of requests without a final answer.
            nodes: The nodes of the endpoint list.
            unresponsive_nodes: Number of ready nodes that are unresponsive.
        """
        nodes_on_list = list(nodes)
        not_ready = sum(node.state is not NodeState.READY for node in nodes_on_list)
        disabled = min(not_ready + unresponsive_nodes, len(nodes_on_list))
        return [
            *self._answer_lines(classes),
            f"svc.dispatches:{self.dispatches}|c",
            f"svc.concurrent:{concurrent}|g",
            f"svc.targets:{len(nodes_on_list)}|g",
            f"svc.targets_disabled:{disabled}|g",
            f"svc.reload_success:{self.successful_reloads}|c",
            f"svc.reload_failure:{self.failed_reloads}|c",
            *self._rejection_lines(),
        ]

    def _rejection_lines(self) -> list[str]:
        """Return a line for each reason that has occurred, in the order of their definition."""
        return reason_lines("rejections", {reason.value: self.rejections[reason] for reason in RejectReason})

    def _answer_lines(self, classes: Iterable[str]) -> list[str]:
        counted_classes = (class_name for _, class_name in self.answers)
        class_names = dict.fromkeys([*classes, *counted_classes])
        return [
            f"svc.{metric}.{class_name}:{self.answers[metric, class_name]}|c"
            for class_name in class_names
            for metric in METRIC_OF_STATUS.values()
        ]


def gauge_line(name: str, value: int) -> str:
    """Return the line of a gauge."""
    return f"svc.{name}:{value}|g"


def reason_lines(name: str, counts: Mapping[str, int]) -> list[str]:
    """Return the lines of a counter by reason, without reasons that have not occurred."""
    return [f"svc.{name}.{reason}:{count}|c" for reason, count in counts.items() if count]


def unresponsive_count(nodes: Iterable[NodeRecord]) -> int:
    """Count the ready nodes that are unresponsive, to which the scheduler sends only single probes."""
    return sum(node.ready and node.unresponsive for node in nodes)
