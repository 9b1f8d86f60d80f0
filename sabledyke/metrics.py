"""The one place where the scheduler's figures are counted, and their line form.

Told by the core of each final answer and of each attempt whose last byte was written, and by the server of
each configuration taken or turned down; gauges are read from what is given when the figures are asked for.
It knows no socket, clock or wire. Counts start at 0 when the process starts and only grow.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from sabledyke.policy.events import Outcome
from sabledyke.policy.nodes import NodeEntry, NodeState
from sabledyke.policy.state import NodeRecord

# What a final answer's verdict is counted as (see ``core.Verdict``).
ANSWER_METRICS = {"served": "success", "refused": "overload", "failed": "error"}
# Attempts whose last byte certainly never reached the box, or that were never sent at all.
UNSENT_OUTCOMES = (Outcome.NO_CONNECTION, Outcome.EXPIRED)


class Metrics:
    """Counts of one process's life; class names as the request came with them."""

    def __init__(self) -> None:
        self.answers: Counter[tuple[str, str]] = Counter()  # (verdict's figure, class) -> requests
        self.dispatches = 0  # attempts written whole to boxes
        self.reloads: Counter[str] = Counter()  # "success" or "failure" -> files on SIGHUP

    def count_answer(self, verdict: str, class_name: str) -> None:
        """A request's one final answer; ``verdict`` is a ``Verdict`` value."""
        self.answers[ANSWER_METRICS[verdict], class_name] += 1

    def count_attempt(self, outcome: Outcome, may_have_run: bool) -> None:
        """An attempt's one outcome: counted where its last byte was written."""
        if outcome not in UNSENT_OUTCOMES and (outcome is not Outcome.CANCELLED or may_have_run):
            self.dispatches += 1

    def count_reload(self, taken: bool) -> None:
        """A file read on SIGHUP was taken, or turned down whole."""
        self.reloads["success" if taken else "failure"] += 1

    @property
    def answer_totals(self) -> tuple[int, int]:
        """Final answers, and how many of them were refusals or failures."""
        good = sum(n for (what, _), n in self.answers.items() if what == ANSWER_METRICS["served"])
        return self.answers.total(), self.answers.total() - good

    def format_lines(
        self, classes: Iterable[str], concurrent: int, listed: Iterable[NodeEntry], unresponsive_nodes: int
    ) -> list[str]:
        """All figures as ``svc.NAME:VALUE|c`` (counts) and ``|g`` (gauges), one a line.

        ``classes`` are those in force, each shown from 0; a class no longer in force stays shown while it
        has counts. ``unresponsive_nodes`` counts ready nodes that do not respond.
        """
        names = dict.fromkeys([*classes, *(c for _, c in self.answers)])
        out = [f"svc.{what}.{c}:{self.answers[what, c]}|c" for c in names for what in ANSWER_METRICS.values()]
        entries = list(listed)
        disabled = sum(e.state is not NodeState.READY for e in entries) + unresponsive_nodes
        out += [
            f"svc.dispatches:{self.dispatches}|c",
            f"svc.concurrent:{concurrent}|g",
            f"svc.targets:{len(entries)}|g",
            f"svc.targets_disabled:{min(disabled, len(entries))}|g",
            f"svc.reload_success:{self.reloads['success']}|c",
            f"svc.reload_failure:{self.reloads['failure']}|c",
        ]
        return out


def unresponsive_count(nodes: Iterable[NodeRecord]) -> int:
    """Counts the ready nodes that do not respond, which the scheduler sends single probes only."""
    return sum(node.ready and node.unresponsive for node in nodes)
