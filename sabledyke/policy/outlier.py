"""Detection of unresponsive nodes and of overdue attempts.

An unresponsive node is sent single requests as probes, at growing intervals, until it responds. An attempt is
overdue if its answer takes too long and either a later attempt at the node was answered first or answers get
lost at a high rate. It no longer counts against the node's in-flight limit, and is repeated if the class of
its request allows that.
"""

from __future__ import annotations

from math import inf

from sabledyke.policy.actions import CancelAttempt
from sabledyke.policy.context import Context
from sabledyke.policy.events import PossibleExecution
from sabledyke.policy.nodes import node_name
from sabledyke.policy.requests import RequestTable
from sabledyke.policy.retry import RetryPolicy
from sabledyke.policy.state import NodeRecord, PendingRequest

# An attempt is overdue at the earliest after the longer of these two times: in shortest objectives, and in
# answer times of its node.
OVERDUE_OBJECTIVES = 0.4
OVERDUE_LATENCIES = 2.5
# Fraction of lost answers from which attempts are overdue even if no later attempt was answered before them.
LOSSY_FRACTION = 0.05
LOSS_SMOOTHING = 0.15
# A node is unresponsive after this many shortest objectives without a response.
RESPONSE_TIMEOUT_OBJECTIVES = 2.0
# Longest interval between probes of an unresponsive node, in shortest objectives.
MAX_PROBE_INTERVAL_OBJECTIVES = 4 / 3
# Fixed fraction of a probe interval; the rest is random.
MIN_PROBE_INTERVAL_FRACTION = 0.5


class OutlierDetector:
    """Monitors the attempts in flight at each node."""

    def __init__(self, context: Context, requests: RequestTable, retries: RetryPolicy) -> None:
        self._context = context
        self._requests = requests
        self._retries = retries
        self._loss_rate = 0.0

    @property
    def response_timeout_ms(self) -> float:
        """Time in milliseconds that a node with attempts in flight may take until its next response."""
        return RESPONSE_TIMEOUT_OBJECTIVES * self._context.shortest_objective_ms

    def on_response(self, node: NodeRecord) -> None:
        """Records a response of the node; an unresponsive node is available again."""
        node.last_response_ms = self._context.now_ms
        node.attempts_since_response = 0
        if node.unresponsive:
            unresponsive_ms = self._context.now_ms - node.unresponsive_since_ms
            self._context.log(f"node {node_name(node.entry.node_id)} back after {unresponsive_ms:.0f} ms")
            node.unresponsive_since_ms = inf

    def on_answer_received(self) -> None:
        """Updates the rate of lost answers with an answer that was received."""
        self._loss_rate -= LOSS_SMOOTHING * self._loss_rate

    def on_answer_lost(self) -> None:
        """Updates the rate of lost answers with an answer that was lost."""
        self._loss_rate += LOSS_SMOOTHING * (1 - self._loss_rate)

    def schedule_probe(self, node: NodeRecord) -> None:
        """Counts an attempt, and sets the time of the next probe in case the node does not respond."""
        node.attempts_since_response += 1
        interval_ms = min(
            self.response_timeout_ms * 2**node.attempts_since_response / 2,
            MAX_PROBE_INTERVAL_OBJECTIVES * self._context.shortest_objective_ms,
        )
        jitter = MIN_PROBE_INTERVAL_FRACTION + self._context.random.random()
        node.next_probe_ms = self._context.now_ms + interval_ms * jitter

    def check_overdue(self, node: NodeRecord) -> None:
        """Releases the node's overdue attempts, and marks the node as unresponsive if it does not respond."""
        while node.in_flight:
            (request_id, number), (sent_ms, units) = next(iter(node.in_flight.items()))
            if not self._is_overdue(node, sent_ms, units):
                break
            del node.in_flight[request_id, number]
            node.in_flight_units -= units
            self.on_answer_lost()
            pending = self._requests.requests[request_id]
            pending.possible_execution = pending.possible_execution or PossibleExecution(sent_ms, node.entry)
            self._repeat_overdue(pending, number, node)
        if node.in_flight:
            oldest_ms, _ = next(iter(node.in_flight.values()))
            if self._context.now_ms - max(oldest_ms, node.last_response_ms) > self.response_timeout_ms:
                self.mark_unresponsive(node)

    def mark_unresponsive(self, node: NodeRecord) -> None:
        """Limits the node to single probes, and moves queued requests that other nodes can serve."""
        if node.unresponsive:
            return
        now_ms = self._context.now_ms
        node.unresponsive_since_ms = now_ms
        node.attempts_since_response = 1
        node.next_probe_ms = now_ms + self.response_timeout_ms
        self._requests.unassigned += [pending for pending in node.queue if pending.request.shard < 0]
        node.queue = [pending for pending in node.queue if pending.request.shard >= 0]
        attempts = len(node.in_flight)
        self._context.log(f"node {node_name(node.entry.node_id)} silent, {attempts} attempts out")

    def _is_overdue(self, node: NodeRecord, sent_ms: float, units: float) -> bool:
        context = self._context
        overdue_after_ms = max(
            OVERDUE_OBJECTIVES * context.shortest_objective_ms,
            OVERDUE_LATENCIES * node.latency_ms * max(1.0, units / context.mean_units),
        )
        if context.now_ms - sent_ms <= overdue_after_ms:
            return False
        return sent_ms < node.overtaken_ms or self._loss_rate >= LOSSY_FRACTION

    def _repeat_overdue(self, pending: PendingRequest, number: int, node: NodeRecord) -> None:
        if pending.completed or pending.waiting or not self._retries.may_retry(pending, node):
            return
        settings = self._context.settings
        if settings.hedging_allowed:
            self._requests.request_selection(pending)
        elif settings.cancellation_allowed and self._retries.budget_allows():
            self._context.emit(CancelAttempt(pending.request.id, number))
