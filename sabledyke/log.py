"""Log lines for on-call staff, on standard error, rate-limited by kind.

Every line has the form ``sabledyke KIND: TEXT``; ``docs/ONCALL.md`` lists the kinds. If the operator's file
enables structured logs, ``structured_log`` writes each line as a JSON object with additional fields instead.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from time import monotonic

MAX_LINES_PER_WINDOW = 10
WINDOW_S = 10.0

Field = str | int | float
Writer = Callable[[str, str, dict[str, Field]], None]
"""Writes one line, given its kind, its text, and its fields for structured logs."""


class Limiter:
    """Limits the number of lines of each kind in a time window, and counts the lines that it suppresses.

    Args:
        clock: Returns the time in seconds.
        burst: Number of lines of a kind that are written in a window.
        window: Length of a window in seconds.
    """

    def __init__(
        self,
        clock: Callable[[], float] = monotonic,
        burst: int = MAX_LINES_PER_WINDOW,
        window: float = WINDOW_S,
    ) -> None:
        self._clock = clock
        self._burst = burst
        self._window_s = window
        self._windows: dict[str, tuple[float, int]] = {}  # by kind: start of the window, lines in it

    def lines(self, kind: str, text: str) -> list[str]:
        """Return the lines to write for a message: none, the message, or a suppression count before it."""
        now_s = self._clock()
        began_s, count = self._windows.get(kind, (now_s, 0))
        lines = []
        if now_s - began_s >= self._window_s:
            if count > self._burst:
                lines.append(f"{count - self._burst} more lines of this kind suppressed")
            began_s = now_s
            count = 0
        self._windows[kind] = (began_s, count + 1)
        if count < self._burst:
            lines.append(text)
        return lines


def emit(kind: str, text: str, **fields: Field) -> None:
    """Write one line, unless its kind has reached the rate limit; ``fields`` are for structured logs."""
    for line in _limiter.lines(kind, text):
        _write(kind, line, fields)


def emit_change(kind: str, change: str, text: str, **fields: Field) -> None:
    """Write one line about a change of state, rate-limited separately from other lines of its kind.

    Guards against repeated failures that hide their resolution: with one shared limit, ten lines about an
    authority that does not answer would suppress the line about the release of the lease.

    Args:
        kind: The kind of the line.
        change: The type of change, from a small set, as each has a rate limit of its own.
        text: The text of the line.
        fields: Fields for structured logs.
    """
    for line in _limiter.lines(f"{kind} {change}", text):
        _write(kind, line, fields)


def set_writer(writer: Writer) -> None:
    """Replace the function that writes all further lines."""
    global _write
    _write = writer


def _write_plain(kind: str, text: str, _: dict[str, Field]) -> None:
    print(f"sabledyke {kind}: {text}", file=sys.stderr, flush=True)


_limiter = Limiter()
_write: Writer = _write_plain
