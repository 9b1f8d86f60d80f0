"""Which node a request is queued at."""

from __future__ import annotations

from sabledyke.policy.actions import RejectReason
from sabledyke.policy.admission import AdmissionControl
from sabledyke.policy.collaborators import Collaborators
from sabledyke.policy.context import TICK_MS
from sabledyke.policy.state import NodeRecord, PendingRequest

# Fraction of its capacity below which a warming node is a last choice for new objects.
MIN_PREFERRED_WARM_UP = 0.6
# Keeps the expected wait at a node that answers with nothing but errors finite.
SUCCESS_RATE_OFFSET = 1.01
# A request without a node waits while this many batches fit before its full value ends.
MIN_BATCHES_TO_WAIT = 2


class NodeSelector:
    """Queues requests at nodes."""

    def __init__(self, collaborators: Collaborators, admission: AdmissionControl) -> None:
        self._context = collaborators.context
        self._directory = collaborators.directory
        self._requests = collaborators.requests
        self._retries = collaborators.retries
        self._concurrency = collaborators.concurrency
        self._admission = admission
        self._slow_start = collaborators.slow_start

    def select(self, pending: PendingRequest) -> None:
        """Queues the request at the best node that can serve it, or keeps it while one may still come."""
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
        """Sort key: last choices last, then by expected wait, ties by chance."""
        fraction = self._slow_start.fraction(node)
        last_choice = (
            fraction < MIN_PREFERRED_WARM_UP
            or node.unresponsive
            or self._slow_start.chances(pending, node).now <= pending.admission_draw
        )
        ahead = node.window_units + node.in_flight_units + len(node.queue)
        expected_wait = (
            ahead * node.latency_ms / node.window_units / (SUCCESS_RATE_OFFSET - node.error_rate) / fraction
        )
        return last_choice, expected_wait, self._context.random.random()
