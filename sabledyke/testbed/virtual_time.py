"""Events in virtual time: a simulation schedules actions and runs them in the order of their times."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

Action = Callable[[], None]


class EventQueue:
    """A clock that advances from event to event; events of one time run in the order of their scheduling."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Action]] = []
        self._numbers = count()

    def schedule(self, delay_ms: float, action: Action) -> None:
        """Schedule an action to run after this delay."""
        heappush(self._events, (self.now_ms + delay_ms, next(self._numbers), action))

    def run_until(self, end_ms: float) -> None:
        """Run all events that are due by ``end_ms``, including events that these schedule."""
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, action = heappop(self._events)
            action()
        self.now_ms = end_ms
