"""Rules for retries: the nodes and times at which a request may run again after a possible execution.

This is the only implementation of these rules. The scheduler decides by them, the core checks the scheduler's
attempts against them, and the store of record those of earlier incarnations and of other schedulers.
"""

from __future__ import annotations

from collections import deque

from sabledyke.policy.context import Context
from sabledyke.policy.demand import Demand, forget_before, retained_since_ms
from sabledyke.policy.settings import DeduplicationScope, RepeatSafety, RequestClass
from sabledyke.policy.state import NodeRecord, PendingRequest

# Longest assumed delay between a scheduler's reading of the clock and its write to the node: a request that
# the scheduler decides to send inside the deduplication window must also be written inside the window.
WRITE_DELAY_MS = 150.0


def window_over(request_class: RequestClass, sent_at_ms: float, now_ms: float) -> bool:
    """Returns whether a request of this class that was first sent at ``sent_at_ms`` may run at no node."""
    if request_class.repeat_safety is RepeatSafety.IDEMPOTENT:
        return False
    if request_class.repeat_safety is RepeatSafety.AT_MOST_ONCE:
        return True
    return now_ms + WRITE_DELAY_MS >= sent_at_ms + request_class.deduplication_window_ms


def may_repeat(
    request_class: RequestClass,
    sent_at_ms: float,
    sent_to: tuple[int, int],
    now_ms: float,
    target: tuple[int, int],
) -> bool:
    """Returns whether a request that may have run at ``sent_to`` (shard, zone) may be sent to ``target`` now.

    Nodes outside the deduplication scope would not recognise the request as a repeat. Times are milliseconds
    on one clock.
    """
    if request_class.repeat_safety is RepeatSafety.IDEMPOTENT:
        return True
    if window_over(request_class, sent_at_ms, now_ms):
        return False
    if request_class.deduplication_scope is DeduplicationScope.CELL:
        return target[0] == sent_to[0]
    return request_class.deduplication_scope is DeduplicationScope.ALL or target[1] == sent_to[1]


class RetryPolicy:
    """Decides whether requests may be retried, and keeps the retry budget."""

    def __init__(self, context: Context, demand: Demand) -> None:
        self._context = context
        self._demand = demand
        self._retries = deque[float]()

    def on_retry(self) -> None:
        """Counts a retry against the retry budget."""
        self._retries.append(self._context.now_ms)

    def forget_old(self) -> None:
        """Drops retries that are outside the budget's window."""
        forget_before(self._retries, retained_since_ms(self._context))

    def repeat_window_over(self, pending: PendingRequest) -> bool:
        """Returns whether the request may not run again at any node."""
        earlier = pending.possible_execution
        if earlier is None:
            return False
        return window_over(pending.request_class, earlier.sent_at_ms, self._context.now_ms)

    def may_run_at(self, pending: PendingRequest, node: NodeRecord) -> bool:
        """Returns whether the request may run at this node, given an earlier attempt that may have run."""
        earlier = pending.possible_execution
        if earlier is None:
            return True
        sent_to = earlier.node.shard, earlier.node.zone
        target = node.entry.shard, node.entry.zone
        return may_repeat(pending.request_class, earlier.sent_at_ms, sent_to, self._context.now_ms, target)

    def may_retry(self, pending: PendingRequest, node: NodeRecord) -> bool:
        """Returns whether a retry of the request is allowed and would be answered in time."""
        if pending.request.shard >= 0 and not self.may_run_at(pending, node):
            return False
        if pending.attempts_started >= self._context.settings.max_attempts:
            return False
        return self._context.now_ms + node.latency_ms <= pending.full_value_until_ms

    def budget_allows(self) -> bool:
        """Returns whether the retry budget allows a retry now; checked on sending, not on queueing."""
        settings = self._context.settings
        since_ms = self._context.now_ms - settings.retry_budget_window_ms
        if since_ms == self._context.now_ms:
            return True
        arrivals = sum(arrived_ms > since_ms for arrived_ms in self._demand.arrivals)
        allowed = settings.retry_budget_free + settings.retry_budget_ratio * arrivals
        return sum(retried_ms >= since_ms for retried_ms in self._retries) + 1 <= allowed
