"""Where and when a request may run again, given that an earlier attempt of it may have run.

This is the one wording of that rule: the scheduler decides by it, the core checks the scheduler's attempts
against it, and the store of record the attempts of earlier incarnations and of other schedulers.
"""

from __future__ import annotations

from collections import deque

from sabledyke.policy.context import Context
from sabledyke.policy.demand import Demand, forget_before, retained_since_ms
from sabledyke.policy.settings import DeduplicationScope, RepeatSafety, RequestClass
from sabledyke.policy.state import NodeRecord, PendingRequest

# For how long a scheduler may be held up between reading its clock and writing: what is decided inside a
# window must be written inside it.
WRITE_DELAY_MS = 150.0


def window_over(request_class: RequestClass, sent_at_ms: float, now_ms: float) -> bool:
    """Whether a request of this class, first sent then, may run nowhere any more."""
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
    here: tuple[int, int],
) -> bool:
    """Whether a request that may have run at ``sent_to`` (shard, zone) may be sent ``here`` now.

    Elsewhere no node would recognise it as a repeat. Times are milliseconds on one clock.
    """
    if request_class.repeat_safety is RepeatSafety.IDEMPOTENT:
        return True
    if window_over(request_class, sent_at_ms, now_ms):
        return False
    if request_class.deduplication_scope is DeduplicationScope.CELL:
        return here[0] == sent_to[0]
    return request_class.deduplication_scope is DeduplicationScope.ALL or here[1] == sent_to[1]


class RetryPolicy:
    """Decides on further attempts, and keeps their budget."""

    def __init__(self, context: Context, demand: Demand) -> None:
        self._context = context
        self._demand = demand
        self._retries = deque[float]()

    def on_retry(self) -> None:
        """Counts a further attempt."""
        self._retries.append(self._context.now_ms)

    def forget_old(self) -> None:
        """Drops retries that no budget counts any more."""
        forget_before(self._retries, retained_since_ms(self._context))

    def repeat_window_over(self, pending: PendingRequest) -> bool:
        """Whether the request may run nowhere any more."""
        earlier = pending.possible_execution
        if earlier is None:
            return False
        return window_over(pending.request_class, earlier.sent_at_ms, self._context.now_ms)

    def may_run_at(self, pending: PendingRequest, node: NodeRecord) -> bool:
        """Whether the request may run at this node, given what may have run already."""
        earlier = pending.possible_execution
        if earlier is None:
            return True
        there = earlier.node.shard, earlier.node.zone
        here = node.entry.shard, node.entry.zone
        return may_repeat(pending.request_class, earlier.sent_at_ms, there, self._context.now_ms, here)

    def may_retry(self, pending: PendingRequest, node: NodeRecord) -> bool:
        """Whether another attempt is allowed and would be answered in time."""
        if pending.request.shard >= 0 and not self.may_run_at(pending, node):
            return False
        if pending.attempts_started >= self._context.settings.max_attempts:
            return False
        return self._context.now_ms + node.latency_ms <= pending.full_value_until_ms

    def budget_allows(self) -> bool:
        """Whether the budget of further attempts allows one now; asked when it leaves, not when it queues."""
        settings = self._context.settings
        since_ms = self._context.now_ms - settings.retry_budget_window_ms
        if since_ms == self._context.now_ms:
            return True
        arrivals = sum(arrived_ms > since_ms for arrived_ms in self._demand.arrivals)
        allowed = settings.retry_budget_free + settings.retry_budget_ratio * arrivals
        return sum(retried_ms >= since_ms for retried_ms in self._retries) + 1 <= allowed
