"""Measures how late the event loop runs its callbacks: counts, logs, and keeps the recent maximum.

The loop is late if the process gets no CPU time, or if one of its own callbacks takes long. The caller passes
the time to every call, in seconds of the event loop's clock.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque

from sabledyke import log

BUCKET_LIMITS_S = (0.01, 0.03, 0.1, 0.3, 1.0)
LOGGED_S = 0.1
RECENT_S = 10.0
MIN_REMEMBERED_S = 0.05  # less is usual on a busy machine, and covered by margins elsewhere


class LoopLateness:
    """The lateness of one event loop.

    Attributes:
        bucket_counts: Number of callbacks that were late by up to each of ``BUCKET_LIMITS_S``, and by more.
        longest_s: The longest lateness since the start, in seconds.
    """

    def __init__(self) -> None:
        self.bucket_counts = [0] * (len(BUCKET_LIMITS_S) + 1)
        self.longest_s = 0.0
        # Pairs of time and lateness, with ascending times and descending latenesses.
        self._recent: deque[tuple[float, float]] = deque()

    def record(self, now_s: float, late_s: float) -> None:
        """Record by how many seconds a callback ran after it was due."""
        self.bucket_counts[bisect_left(BUCKET_LIMITS_S, late_s)] += 1
        self.longest_s = max(self.longest_s, late_s)
        if late_s >= LOGGED_S:
            log.emit("loop", f"the event loop was {late_s:.2f} s late", late_ms=round(late_s * 1000))
        if late_s < MIN_REMEMBERED_S:
            return
        while self._recent and self._recent[-1][1] <= late_s:
            self._recent.pop()
        self._recent.append((now_s, late_s))
        self._drop_old(now_s)

    def longest_recent_s(self, now_s: float) -> float:
        """Return the longest lateness of the last ``RECENT_S``; 0 if all were below ``MIN_REMEMBERED_S``."""
        self._drop_old(now_s)
        return self._recent[0][1] if self._recent else 0.0

    def describe(self) -> str:
        """Return the counts by bucket and the longest lateness as one line of text."""
        limits = [f"up to {limit:g} s" for limit in BUCKET_LIMITS_S] + ["more"]
        counts = ", ".join(
            f"{count} {limit}" for count, limit in zip(self.bucket_counts, limits, strict=True) if count
        )
        return f"{counts or 'nothing'}, longest {self.longest_s:.3f} s"

    def _drop_old(self, now_s: float) -> None:
        while self._recent and self._recent[0][0] < now_s - RECENT_S:
            self._recent.popleft()
