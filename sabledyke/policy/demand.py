"""Demand at this scheduler: recent arrivals of requests and their usual value."""

from __future__ import annotations

from collections import deque

from sabledyke.policy.context import LOOKBACK_MS, Context


class Demand:
    """Recent arrivals, and the usual value and the rate derived from them."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.arrivals = deque[float]()
        self.usual_value = 0.0

    def on_arrival(self) -> None:
        """Records the arrival of a request and drops arrivals that are no longer needed."""
        self.arrivals.append(self._context.now_ms)
        forget_before(self.arrivals, retained_since_ms(self._context))

    def on_value(self, value: float) -> None:
        """Updates the usual value with that of a request whose arrival is already recorded."""
        self.usual_value += (value - self.usual_value) / len(self.arrivals)

    def units_per_ms(self) -> float:
        """Returns the rate of requested units through this scheduler."""
        context = self._context
        uptime_ms = context.now_ms - context.started_at_ms + context.period_ms
        return len(self.arrivals) * context.mean_units / min(LOOKBACK_MS, uptime_ms)


def retained_since_ms(context: Context) -> float:
    """Returns the time from which arrivals and retries are kept."""
    return context.now_ms - max(LOOKBACK_MS, context.settings.retry_budget_window_ms)


def forget_before(times: deque[float], since_ms: float) -> None:
    """Drops the times before ``since_ms`` from an ascending sequence."""
    while times and times[0] < since_ms:
        times.popleft()
