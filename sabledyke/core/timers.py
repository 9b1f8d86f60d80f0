"""Timers of the core, ordered by due time. Times are milliseconds."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

# Kinds of the core's own timers. They are negative, as the policy's tokens are 0 or higher, and order timers
# with the same due time.
_SHUTDOWN_POLL = -2
_ANSWER_GUARD = -1
_NO_REQUEST = 0


@dataclass(slots=True)
class DueTimers:
    """Timers that are due, by kind.

    Attributes:
        policy_tokens: Tokens of the policy's timers, by due time.
        guarded_requests: Requests that the core must answer now if they are unanswered.
        shutdown_poll: True if requests that arrived since the last poll must be answered.
    """

    policy_tokens: list[int] = field(default_factory=list)
    guarded_requests: list[int] = field(default_factory=list)
    shutdown_poll: bool = False


class TimerQueue:
    """Queue of timers that are not yet due."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, int]] = []  # due time, the policy's token or a kind, request

    @property
    def next_due_ms(self) -> float | None:
        """Due time of the next timer; None without timers."""
        return self._heap[0][0] if self._heap else None

    def add_policy_timer(self, due_ms: float, token: int) -> None:
        """Add a timer that the policy has set."""
        heapq.heappush(self._heap, (due_ms, token, _NO_REQUEST))

    def add_answer_guard(self, due_ms: float, request_id: int) -> None:
        """Add a timer for the time by which a request must have its answer."""
        heapq.heappush(self._heap, (due_ms, _ANSWER_GUARD, request_id))

    def add_shutdown_poll(self, due_ms: float) -> None:
        """Add a timer for the next check for requests that arrive during a shutdown."""
        heapq.heappush(self._heap, (due_ms, _SHUTDOWN_POLL, _NO_REQUEST))

    def pop_due(self, now_ms: float) -> DueTimers:
        """Remove and return the timers that are due."""
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
