"""Lines for the on-call staff: printed to standard error, limited per kind of message.

Every line reads ``sabledyke KIND: TEXT``; ``docs/ONCALL.md`` lists the kinds. Where the operator's file asks
for structured logs, ``structured_log`` writes each as an object instead, with the fields that come with it.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from time import monotonic

MAX_LINES_PER_WINDOW = 10
WINDOW_S = 10.0

Field = str | int | float
Writer = Callable[[str, str, dict[str, Field]], None]
"""Writes one line: its kind, its text, and the fields that come with it."""


class Limiter:
    """Lets so many lines of a kind through in each window, and counts those that it suppresses.

    Args:
        clock: Returns the time in seconds.
        burst: How many lines of a kind are let through in a window.
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
        self._windows: dict[str, tuple[float, int]] = {}  # by kind: when it began, lines requested in it

    def lines(self, kind: str, text: str) -> list[str]:
        """Return what to write now for a message: nothing, it, or it after a count of suppressed ones."""
        now_s = self._clock()
        began_s, count = self._windows.get(kind, (now_s, 0))
        lines = []
        if now_s - began_s >= self._window_s:
            if count > self._burst:
                lines.append(f"{count - self._burst} more like the last left out")
            began_s = now_s
            count = 0
        self._windows[kind] = (began_s, count + 1)
        if count < self._burst:
            lines.append(text)
        return lines


def emit(kind: str, text: str, **fields: Field) -> None:
    """Write one line, unless there were too many of its kind lately; ``fields`` are for structured logs."""
    for line in _limiter.lines(kind, text):
        _write(kind, line, fields)


def emit_change(kind: str, change: str, text: str, **fields: Field) -> None:
    """Write one line on a change of state, as ``emit`` does, but limited apart from other lines of its kind.

    Guards against failures that repeat hiding what became of them: a lease that was released, say, behind
    ten lines on an authority that does not answer.

    Args:
        kind: The kind of the line.
        change: What changed; one of a few words, as each is limited by itself.
        text: The text.
        fields: For structured logs.
    """
    for line in _limiter.lines(f"{kind} {change}", text):
        _write(kind, line, fields)


def set_writer(writer: Writer) -> None:
    """Have this writer write all lines from now on."""
    global _write
    _write = writer


def _write_plain(kind: str, text: str, _: dict[str, Field]) -> None:
    print(f"sabledyke {kind}: {text}", file=sys.stderr, flush=True)


_limiter = Limiter()
_write: Writer = _write_plain
