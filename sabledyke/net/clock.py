"""The one clock: Unix time in milliseconds at the start, and steady from there on."""

from __future__ import annotations

import time

_ZERO = time.time() - time.monotonic()


def now() -> float:
    """Milliseconds of Unix time, as read once at the start; a step of the system's clock does not show."""
    return (_ZERO + time.monotonic()) * 1000
