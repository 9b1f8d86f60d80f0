"""Selection of the storage node at which a request is queued."""

from __future__ import annotations

from sabledyke.policy.actions import RejectReason
from sabledyke.policy.admission import AdmissionControl
from sabledyke.policy.collaborators import Collaborators
from sabledyke.policy.context import TICK_MS
from sabledyke.policy.state import NodeRecord, PendingRequest

# Fraction of the full capacity below which a warming node is selected only if there is no better one.
MIN_PREFERRED_WARM_UP = 0.6
# Keeps the expected wait finite at a node that answers with errors only.
SUCCESS_RATE_OFFSET = 1.01
# A request without a node is kept while at least this many batches fit before its full value ends.
MIN_BATCHES_TO_WAIT = 2


class NodeSelector:
    """Selects a node for each request and queues the request there."""

    def __init__(self, collaborators: Collaborators, admission: AdmissionControl) -> None:
        self._context = collaborators.context
        self._directory = collaborators.directory
        self._requests = collaborators.requests
        self._retries = collaborators.retries
        self._concurrency = collaborators.concurrency
        self._admission = admission
        self._slow_start = collaborators.slow_start

    def select(self, pending: PendingRequest) -> None:
        """Queues the request at the best node that can serve it, or waits while such a node may appear."""
        candidates = self._candidates(pending)
        if not candidates:
            self._wait_or_reject(pending)
            return
        node = min(candidates, key=lambda candidate: self._preference(pending, candidate))
        self._concurrency.close_period(node)
        node.requested_units += pending.request.units
        if not pending.attempts_started and not self._admission.admit(pending, node):
            wait_ms = self._concurrency.period_end_wait_ms(node)
            self._requests.reject(pending, RejectReason.ADMISSION, wait_ms)
            return
        node.queue.append(pending)
        self._directory.mark_active(node)

    def _candidates(self, pending: PendingRequest) -> list[NodeRecord]:
        shard = pending.request.shard
        ready = [node for node in self._directory.ready(shard) if self._retries.may_run_at(pending, node)]
        if ready:
            return ready
        draining = self._directory.draining(shard)
        return [node for node in draining if self._retries.may_run_at(pending, node)]

    def _wait_or_reject(self, pending: PendingRequest) -> None:
        until_ms = self._context.now_ms + MIN_BATCHES_TO_WAIT * TICK_MS
        if until_ms < pending.full_value_until_ms and not self._retries.repeat_window_over(pending):
            self._requests.unassigned.append(pending)
        else:
            self._requests.reject(pending, RejectReason.NO_NODE)

    def _preference(self, pending: PendingRequest, node: NodeRecord) -> tuple[bool, float, float]:
        """Returns a sort key: nodes to avoid come last, then shorter expected waits first, ties at random."""
        fraction = self._slow_start.fraction(node)
        last_choice = (
            fraction < MIN_PREFERRED_WARM_UP
            or node.unresponsive
            or self._slow_start.probabilities(pending, node).now <= pending.admission_draw
        )
        ahead = node.window_units + node.in_flight_units + len(node.queue)
        expected_wait = (
            ahead * node.latency_ms / node.window_units / (SUCCESS_RATE_OFFSET - node.error_rate) / fraction
        )
        return last_choice, expected_wait, self._context.random.random()
