"""Timers of the core, in order of their due time. Times are milliseconds."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

# Kinds of timers that are not the policy's, whose tokens count from 0. Of timers that are due at one moment
# the kind decides the order.
_SHUTDOWN_POLL = -2
_ANSWER_GUARD = -1
_NO_REQUEST = 0


@dataclass(slots=True)
class DueTimers:
    """What is due now.

    Attributes:
        policy_tokens: Tokens of the policy's timers, in order.
        guarded_requests: Requests whose answer is overdue, where they still wait for one.
        shutdown_poll: Requests that came since the last poll are to be answered.
    """

    policy_tokens: list[int] = field(default_factory=list)
    guarded_requests: list[int] = field(default_factory=list)
    shutdown_poll: bool = False


class TimerQueue:
    """Timers that have not come due."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, int]] = []  # due time, the policy's token or a kind, request

    @property
    def next_due_ms(self) -> float | None:
        """When the next timer is due; None without any."""
        return self._heap[0][0] if self._heap else None

    def add_policy_timer(self, due_ms: float, token: int) -> None:
        """Add a timer that the policy asked for."""
        heapq.heappush(self._heap, (due_ms, token, _NO_REQUEST))

    def add_answer_guard(self, due_ms: float, request_id: int) -> None:
        """Add the moment at which a request must have its answer."""
        heapq.heappush(self._heap, (due_ms, _ANSWER_GUARD, request_id))

    def add_shutdown_poll(self, due_ms: float) -> None:
        """Add the next look at what came during a shutdown."""
        heapq.heappush(self._heap, (due_ms, _SHUTDOWN_POLL, _NO_REQUEST))

    def pop_due(self, now_ms: float) -> DueTimers:
        """Remove and return what is due."""
        due = DueTimers()
        while self._heap and self._heap[0][0] <= now_ms:
            _, token, request_id = heapq.heappop(self._heap)
            if token == _SHUTDOWN_POLL:
                due.shutdown_poll = True
            elif token == _ANSWER_GUARD:
                due.guarded_requests.append(request_id)
            else:
                due.policy_tokens.append(token)
        return due
