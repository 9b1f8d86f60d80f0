"""Logs the reasons for rejected and failed requests, in at most one line every few seconds.

The caller passes the time, in milliseconds.
"""

from __future__ import annotations

from collections import Counter
from math import inf

from sabledyke import log
from sabledyke.policy.actions import RejectReason

LOG_INTERVAL_MS = 10_000.0


class RejectionLog:
    """Logs the difference between the current counts by reason and those logged last."""

    def __init__(self) -> None:
        """Start with no counts logged."""
        self._logged: Counter[RejectReason] = Counter()
        self._next_line_at_ms = -inf

    def report(self, now_ms: float, rejections: Counter[RejectReason]) -> None:
        """Log new rejections and failures, unless the last line is less than ``LOG_INTERVAL_MS`` old.

        Args:
            now_ms: The current time.
            rejections: Requests that were rejected or failed since the start, by reason.
        """
        if now_ms >= self._next_line_at_ms and self._log_new(rejections):
            self._next_line_at_ms = now_ms + LOG_INTERVAL_MS

    def report_remaining(self, rejections: Counter[RejectReason]) -> None:
        """Log all new rejections and failures, as the server stops."""
        self._log_new(rejections)

    def _log_new(self, rejections: Counter[RejectReason]) -> bool:
        if rejections.total() == self._logged.total():
            return False
        new = {reason.value: count for reason, count in (rejections - self._logged).most_common()}
        self._logged = rejections.copy()
        reasons = ", ".join(f"{name} {count}" for name, count in new.items())
        log.emit("reject", f"{sum(new.values())} requests were rejected or failed: {reasons}", **new)
        return True
