"""Registration of unfinished requests, their order by data key, and their final answers."""

from __future__ import annotations

from collections import deque
from math import inf

from sabledyke.policy.actions import CancelAttempt, Fail, Reject, RejectReason
from sabledyke.policy.context import Context
from sabledyke.policy.quota import VolumeQuotas
from sabledyke.policy.retry import RetryPolicy
from sabledyke.policy.settings import DeduplicationScope, RepeatSafety
from sabledyke.policy.state import PendingRequest

# Shortest retry delay that a rejected client is given, as a fraction of the shortest latency objective.
MIN_RETRY_AFTER_OBJECTIVES = 0.25


class RequestTable:
    """Accepted requests that are unanswered or still have open attempts."""

    def __init__(self, context: Context, quotas: VolumeQuotas, retries: RetryPolicy) -> None:
        self._context = context
        self._quotas = quotas
        self._retries = retries
        self.requests: dict[int, PendingRequest] = {}
        self.unassigned: list[PendingRequest] = []  # requests that wait for a node
        self._ordered: dict[int, deque[PendingRequest]] = {}  # by data key, in order of arrival
        self._order_settled_ms: dict[int, float] = {}  # by data key: earliest time of the next request

    def add(self, pending: PendingRequest) -> None:
        """Registers an accepted request, and its place in the order of its data key."""
        self.requests[pending.request.id] = pending
        if pending.order_key:
            self._ordered.setdefault(pending.order_key, deque()).append(pending)

    def request_selection(self, pending: PendingRequest) -> None:
        """Adds the request to those for which a node is selected at the end of this batch."""
        pending.waiting = True
        self.unassigned.append(pending)

    def take_unassigned(self) -> list[PendingRequest]:
        """Returns the unfinished requests that wait for a node, and clears the list."""
        unassigned = [pending for pending in self.unassigned if not pending.completed]
        self.unassigned = []
        return unassigned

    def is_next_in_order(self, pending: PendingRequest) -> bool:
        """Returns whether no earlier request with the same data key must run before this one."""
        key = pending.order_key
        if not key:
            return True
        if self._ordered[key][0] is not pending:
            return False
        return self._context.now_ms >= self._order_settled_ms.get(key, -inf)

    def delay_order(self, pending: PendingRequest) -> None:
        """Delays the next request with this data key, as an attempt of this one may still be running."""
        if pending.order_key:
            settled_ms = self._context.now_ms + self._context.settings.order_settle_ms
            self._order_settled_ms[pending.order_key] = settled_ms

    def reject(self, pending: PendingRequest, reason: RejectReason, wait_ms: float = inf) -> None:
        """Gives the final answer: rejected if a retry is known to be harmless, else failed.

        The answer is given at once, with the time until there may be capacity, as an earlier retry would be
        useless. If an attempt is still open, no answer is given here: the outcome of the attempt decides.
        """
        pending.waiting = False
        if pending.open_attempts:
            return
        self._quotas.refund_reservation(pending)
        request_id = pending.request.id
        if self._retry_is_harmless(pending):
            self._context.emit(Reject(request_id, self._retry_after_ms(wait_ms), reason=reason))
        else:
            self._context.emit(Fail(request_id, reason=reason))
        self.complete(pending)

    def complete(self, pending: PendingRequest) -> None:
        """Completes a request: cancels its open attempts, and drops the request once it has none."""
        if not pending.completed and self._context.settings.cancellation_allowed:
            for number in pending.open_attempts:
                self._context.emit(CancelAttempt(pending.request.id, number))
        pending.completed = True
        if pending.open_attempts or self.requests.pop(pending.request.id, None) is None:
            return
        if pending.order_key:
            self._remove_from_order(pending)

    def evict_settled_order(self) -> None:
        """Drops delays of data keys once they have ended."""
        now_ms = self._context.now_ms
        self._order_settled_ms = {
            key: settled_ms for key, settled_ms in self._order_settled_ms.items() if settled_ms > now_ms
        }

    def shut_down_by(self, when_ms: float) -> None:
        """Limits all due times to the end of the scheduler."""
        for pending in self.requests.values():
            pending.due_ms = min(pending.due_ms, when_ms)
            pending.full_value_until_ms = min(pending.full_value_until_ms, when_ms)

    def _retry_is_harmless(self, pending: PendingRequest) -> bool:
        request_class = pending.request_class
        if request_class.repeat_safety is RepeatSafety.IDEMPOTENT or not pending.possible_execution:
            return True
        deduplicated = request_class.repeat_safety is RepeatSafety.DEDUPLICATED
        if deduplicated and request_class.deduplication_scope is DeduplicationScope.ALL:
            return not self._retries.repeat_window_over(pending)
        return False

    def _retry_after_ms(self, wait_ms: float) -> float:
        shortest = MIN_RETRY_AFTER_OBJECTIVES * self._context.shortest_objective_ms
        return min(max(wait_ms, shortest), self._context.settings.max_retry_after_ms)

    def _remove_from_order(self, pending: PendingRequest) -> None:
        key = pending.order_key
        self._ordered[key].remove(pending)
        if not self._ordered[key]:
            del self._ordered[key]
