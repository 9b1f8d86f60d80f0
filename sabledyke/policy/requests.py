"""The unfinished requests: their registration, their order by data key, and their final answers."""

from __future__ import annotations

from collections import deque
from math import inf

from sabledyke.policy.actions import CancelAttempt, Fail, Reject, RejectReason
from sabledyke.policy.context import Context
from sabledyke.policy.quota import VolumeQuotas
from sabledyke.policy.retry import RetryPolicy
from sabledyke.policy.settings import DeduplicationScope, RepeatSafety
from sabledyke.policy.state import PendingRequest

# Shortest time that a rejected client is told to wait, as a fraction of the shortest latency objective.
MIN_RETRY_AFTER_OBJECTIVES = 0.25


class RequestTable:
    """All requests that were accepted and are not forgotten yet."""

    def __init__(self, context: Context, quotas: VolumeQuotas, retries: RetryPolicy) -> None:
        self._context = context
        self._quotas = quotas
        self._retries = retries
        self.requests: dict[int, PendingRequest] = {}
        self.unassigned: list[PendingRequest] = []  # without a node
        self._ordered: dict[int, deque[PendingRequest]] = {}  # by data key, in order of arrival
        self._order_settled_ms: dict[int, float] = {}  # by data key: from when on the next one may run

    def add(self, pending: PendingRequest) -> None:
        """Registers an accepted request."""
        self.requests[pending.request.id] = pending
        if pending.order_key:
            self._ordered.setdefault(pending.order_key, deque()).append(pending)

    def request_selection(self, pending: PendingRequest) -> None:
        """Has a node selected for the request at the end of this batch."""
        pending.waiting = True
        self.unassigned.append(pending)

    def take_unassigned(self) -> list[PendingRequest]:
        """Returns the unfinished requests without a node, which are not listed as such any more."""
        unassigned = [pending for pending in self.unassigned if not pending.completed]
        self.unassigned = []
        return unassigned

    def is_next_in_order(self, pending: PendingRequest) -> bool:
        """Whether no earlier request with its data key has to run first."""
        key = pending.order_key
        if not key:
            return True
        if self._ordered[key][0] is not pending:
            return False
        return self._context.now_ms >= self._order_settled_ms.get(key, -inf)

    def delay_order(self, pending: PendingRequest) -> None:
        """Holds the next request with this data key back while an attempt may still be running."""
        if pending.order_key:
            settled_ms = self._context.now_ms + self._context.settings.order_settle_ms
            self._order_settled_ms[pending.order_key] = settled_ms

    def reject(self, pending: PendingRequest, reason: RejectReason, wait_ms: float = inf) -> None:
        """Gives the final answer: rejected where a retry is known to be harmless, else failed.

        It is given at once, with the time until there may be capacity, since a client that comes back sooner
        comes in vain. Where an attempt is still open, its outcome decides instead.
        """
        pending.waiting = False
        if pending.open_attempts:
            return
        self._quotas.give_back(pending)
        request_id = pending.request.id
        if self._retry_is_harmless(pending):
            self._context.emit(Reject(request_id, self._retry_after_ms(wait_ms), reason=reason))
        else:
            self._context.emit(Fail(request_id, reason=reason))
        self.complete(pending)

    def complete(self, pending: PendingRequest) -> None:
        """Ends a request: cancels its open attempts, and forgets it once there are none."""
        if not pending.completed and self._context.settings.cancellation_allowed:
            for number in pending.open_attempts:
                self._context.emit(CancelAttempt(pending.request.id, number))
        pending.completed = True
        if pending.open_attempts or self.requests.pop(pending.request.id, None) is None:
            return
        if pending.order_key:
            self._leave_order(pending)

    def evict_settled_order(self) -> None:
        """Forgets the data keys whose next request may run."""
        now_ms = self._context.now_ms
        self._order_settled_ms = {
            key: settled_ms for key, settled_ms in self._order_settled_ms.items() if settled_ms > now_ms
        }

    def shut_down_by(self, when_ms: float) -> None:
        """Brings due times forward to the end of the scheduler."""
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

    def _leave_order(self, pending: PendingRequest) -> None:
        key = pending.order_key
        self._ordered[key].remove(pending)
        if not self._ordered[key]:
            del self._ordered[key]
