"""Lines for the on-call staff: print to standard error, limited per kind of message.

Every line reads ``sabledyke KIND: TEXT``; ``docs/ONCALL.md`` lists the kinds. Where the operator's file
asks for structured logs, ``structured`` writes each as an object instead, with the figures that come with it.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from time import monotonic

BURST, WINDOW = 10, 10.0  # lines of one kind in so many seconds; what is over is counted


class Limiter:
    """Lets ``burst`` lines of a kind through in each window and says how many it kept back."""

    def __init__(self, clock: Callable[[], float] = monotonic, burst: int = BURST, window: float = WINDOW):
        self._clock, self._burst, self._window = clock, burst, window
        self._kinds: dict[str, tuple[float, int]] = {}  # kind: when its window began, lines asked for in it

    def lines(self, kind: str, text: str) -> list[str]:
        """What to say now for this message: nothing, it, or it after a count of those left out."""
        now = self._clock()
        began, count = self._kinds.get(kind, (now, 0))
        out = []
        if now - began >= self._window:
            if count > self._burst:
                out.append(f"{count - self._burst} more like the last left out")
            began, count = now, 0
        self._kinds[kind] = began, count + 1
        if count < self._burst:
            out.append(text)
        return out


Field = str | int | float
Writer = Callable[[str, str, dict[str, Field]], None]


def _plain(kind: str, text: str, _: dict[str, Field]) -> None:
    print(f"sabledyke {kind}: {text}", file=sys.stderr, flush=True)


_limiter = Limiter()
_write: Writer = _plain


def set_writer(writer: Writer) -> None:
    """Have lines written so from now on: kind, text, and the figures that come with it."""
    global _write
    _write = writer


def emit(kind: str, text: str, **figures: Field) -> None:
    """Write one line, unless its kind has said too much lately; ``figures`` are for structured logs."""
    for line in _limiter.lines(kind, text):
        _write(kind, line, figures)
