"""Reads the resident memory of the process, and logs when it comes near the configured limit."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from pathlib import Path

from sabledyke import log

STATUS_FILE = Path("/proc/self/statm")  # second number: resident memory in pages
POLL_INTERVAL_S = 1.0
LOGGED_SHARES = (0.5, 0.75, 0.9)  # shares of the limit whose crossing is logged
HYSTERESIS_SHARE = 0.05  # share of the limit by which the memory must fall before a share is logged again
MEGABYTE = 1 << 20


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes; 0 if that is unknown."""
    try:
        fields = STATUS_FILE.read_text().split()
    except OSError:
        return 0
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


class MemoryLevel:
    """The share of the limit that the memory has reached, without a clock or a file."""

    def __init__(self) -> None:
        self._logged_share = 0.0

    def crossed(self, used_bytes: int, limit_bytes: int) -> float:
        """Return the highest share of the limit that was newly reached; 0 if none was.

        Args:
            used_bytes: Resident memory.
            limit_bytes: The configured limit.
        """
        used_share = used_bytes / limit_bytes
        if used_share < self._logged_share - HYSTERESIS_SHARE:
            self._logged_share = max((share for share in LOGGED_SHARES if used_share >= share), default=0.0)
        reached = max((share for share in LOGGED_SHARES if used_share >= share), default=0.0)
        if reached <= self._logged_share:
            return 0.0
        self._logged_share = reached
        return reached


class MemoryWatch:
    """Polls the resident memory once a second.

    Args:
        limit_bytes: Returns the configured limit.
        describe: Returns what uses the memory, for the log.

    Attributes:
        highest_bytes: The largest resident memory that a poll found.
    """

    def __init__(self, limit_bytes: Callable[[], int], describe: Callable[[], str]) -> None:
        self.highest_bytes = 0
        self._limit_bytes = limit_bytes
        self._describe = describe
        self._level = MemoryLevel()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Poll now, and from now on."""
        self._timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self.start)
        used_bytes = resident_bytes()
        self.highest_bytes = max(self.highest_bytes, used_bytes)
        share = self._level.crossed(used_bytes, self._limit_bytes())
        if share:
            used_mb = used_bytes / MEGABYTE
            limit_mb = self._limit_bytes() / MEGABYTE
            log.emit_change(
                "memory",
                "level",
                f"{used_mb:.0f} MB of {limit_mb:.0f} MB are in use; {self._describe()}",
                used_mb=round(used_mb),
            )

    def stop(self) -> None:
        """Cancel all further polls."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
