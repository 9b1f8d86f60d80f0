"""Clock of the process: Unix time in milliseconds as of its start, advanced by the monotonic clock."""

from __future__ import annotations

import time

_MONOTONIC_TO_UNIX_S = time.time() - time.monotonic()


def now() -> float:
    """Return Unix time in milliseconds; later steps of the system clock have no effect on it."""
    return (_MONOTONIC_TO_UNIX_S + time.monotonic()) * 1000
