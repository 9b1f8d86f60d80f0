"""Dispatch of the requests queued at a node: each is sent, kept queued or rejected."""

from __future__ import annotations

from enum import Enum, auto
from math import inf

from sabledyke.policy.actions import RejectReason
from sabledyke.policy.attempts import AttemptTracker
from sabledyke.policy.collaborators import Collaborators
from sabledyke.policy.concurrency import ConcurrencyLimiter
from sabledyke.policy.context import Context
from sabledyke.policy.state import NodeRecord, PendingRequest


class DispatchVerdict(Enum):
    """Decision on a queued request in one batch."""

    SEND = auto()
    WAIT_FOR_PERMISSION = auto()  # order, limit, retry budget or admission draw delays it
    WAIT_FOR_CAPACITY = auto()  # the node is full: only requests of a higher value may overtake it
    REJECT_TOO_LATE = auto()  # no answer could arrive in time for its full value
    REJECT_SLOW_START = auto()  # its admission draw excludes it at a node that is warming up


class DispatchQueue:
    """Requests of a node that stay queued, collected in one batch in order of due time."""

    def __init__(self, context: Context, concurrency: ConcurrencyLimiter, node: NodeRecord) -> None:
        self._context = context
        self._concurrency = concurrency
        self._node = node
        self._ahead_units = 0.0
        self.requests: list[PendingRequest] = []
        # Value that a request must exceed to overtake those that wait for capacity.
        self.blocked_value = -inf

    def drain_time_ms(self) -> float:
        """Returns the time that the node needs to answer the queued requests."""
        return self._ahead_units * self._node.latency_ms / self._node.window_units

    def append(self, pending: PendingRequest) -> None:
        """Keeps a request queued."""
        self.requests.append(pending)
        self._ahead_units += pending.request.units

    def expected_wait_ms(self) -> float:
        """Returns the expected time until the request that was appended last can be sent."""
        node = self._node
        beyond_budget = node.sent_units + self._ahead_units > node.budget_units
        next_period_ms = self._concurrency.period_end_wait_ms(node) if beyond_budget else 0.0
        return max(self.drain_time_ms(), next_period_ms)

    def pop_lowest_value(self) -> PendingRequest:
        """Removes and returns the request of the lowest value; among equals, the one that is due last."""
        lowest = min(reversed(self.requests), key=lambda pending: pending.value)
        self.requests.remove(lowest)
        self._ahead_units -= lowest.request.units
        return lowest


class Dispatcher:
    """Dispatches the requests queued at storage nodes."""

    def __init__(self, collaborators: Collaborators, attempts: AttemptTracker) -> None:
        self._context = collaborators.context
        self._directory = collaborators.directory
        self._requests = collaborators.requests
        self._quotas = collaborators.quotas
        self._retries = collaborators.retries
        self._concurrency = collaborators.concurrency
        self._slow_start = collaborators.slow_start
        self._outliers = collaborators.outliers
        self._attempts = attempts

    def dispatch_queue(self, node: NodeRecord) -> None:
        """Sends queued requests in order of due time, and sheds the lowest values where some are late."""
        self._concurrency.close_period(node)
        self._outliers.check_overdue(node)
        if not node.ready and not self._directory.accepts_while_draining(node):
            self._requests.unassigned += node.queue
            node.queue = []
        if not node.queue:
            return
        by_due_time = sorted(
            (pending for pending in node.queue if not pending.completed), key=lambda pending: pending.due_ms
        )
        node.queue = []
        queue = DispatchQueue(self._context, self._concurrency, node)
        for pending in by_due_time:
            self._dispatch(pending, node, queue)
        node.queue = queue.requests

    def _dispatch(self, pending: PendingRequest, node: NodeRecord, queue: DispatchQueue) -> None:
        verdict = self._evaluate(pending, node, queue)
        match verdict:
            case DispatchVerdict.SEND:
                self._attempts.start(pending, node)
            case DispatchVerdict.REJECT_TOO_LATE:
                self._requests.reject(pending, RejectReason.TOO_LATE, queue.drain_time_ms())
            case DispatchVerdict.REJECT_SLOW_START:
                self._requests.reject(pending, RejectReason.SLOW_START, queue.drain_time_ms())
            case DispatchVerdict.WAIT_FOR_PERMISSION | DispatchVerdict.WAIT_FOR_CAPACITY:
                if verdict is DispatchVerdict.WAIT_FOR_CAPACITY:
                    queue.blocked_value = pending.value
                self._keep_queued(pending, node, queue)

    def _evaluate(self, pending: PendingRequest, node: NodeRecord, queue: DispatchQueue) -> DispatchVerdict:
        permitted = pending.value > queue.blocked_value and self._is_permitted(pending, node)
        probabilities = self._slow_start.probabilities(pending, node)
        if self._context.now_ms + self._least_latency_ms(node) > pending.full_value_until_ms:
            return DispatchVerdict.REJECT_TOO_LATE
        if probabilities.eventually <= pending.admission_draw and not pending.attempts_started:
            return DispatchVerdict.REJECT_SLOW_START
        if not permitted or probabilities.now <= pending.admission_draw:
            return DispatchVerdict.WAIT_FOR_PERMISSION
        if self._concurrency.has_capacity(pending, node):
            return DispatchVerdict.SEND
        return DispatchVerdict.WAIT_FOR_CAPACITY

    def _least_latency_ms(self, node: NodeRecord) -> float:
        """Returns the shortest time in which the node may answer.

        An idle node is assumed to be no slower than a new one. Guards against an estimate so high that no
        request is sent to the node any more, although only an answer can correct the estimate.
        """
        latency_ms = node.latency_ms
        if not node.in_flight:
            latency_ms = min(latency_ms, self._directory.initial_latency_ms)
        return latency_ms / 2

    def _is_permitted(self, pending: PendingRequest, node: NodeRecord) -> bool:
        """Returns whether the rules on repeats, limits and order allow the request to be sent now."""
        if pending.attempts_started:
            return self._retries.may_run_at(pending, node) and self._retries.budget_allows()
        if self._quotas.wait_for_limit_ms(pending):
            return False
        return self._requests.is_next_in_order(pending)

    def _keep_queued(self, pending: PendingRequest, node: NodeRecord, queue: DispatchQueue) -> None:
        """Keeps the request queued; if it would be answered too late, sheds the one of the lowest value."""
        queue.append(pending)
        wait_ms = queue.expected_wait_ms()
        if self._context.now_ms + wait_ms + node.latency_ms > pending.full_value_until_ms:
            self._requests.reject(queue.pop_lowest_value(), RejectReason.QUEUE, wait_ms)
