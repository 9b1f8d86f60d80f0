"""The fleet's topic as one process reads it: the view of the last read, and what follows from a new one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.reader import LogReader
from sabledyke.rollout.fleet_view import FleetView, view_of
from sabledyke.rollout.records import FLEET_TOPIC


class FleetLog:
    """Reads the topic for all tasks of a process."""

    def __init__(
        self, compacted_log: CompactedLog, max_keys: int, on_change: Callable[[FleetView], None]
    ) -> None:
        """Create a reader that has read nothing yet.

        Args:
            compacted_log: The log.
            max_keys: Keys that the topic may hold.
            on_change: Called with each new view before anything is decided by it.
        """
        self.view = FleetView(0)
        self._compacted_log = compacted_log
        self._reader = LogReader(max_keys)
        self._on_change = on_change
        self._reading = asyncio.Lock()

    @property
    def record_count(self) -> int:
        """Number of keys as of the last read."""
        return len(self._reader.latest)

    async def read(self) -> FleetView:
        """Read the topic to its end, and return the view; it is made anew only where something changed.

        One task reads at a time: a page that is applied after another task has read on sets the reader back,
        and what it is set back by is skipped by the page that another task applies next.
        """
        async with self._reading:
            has_changed = await self._compacted_log.catch_up(FLEET_TOPIC, self._reader)
            if has_changed or self.view.next_offset != self._reader.position:
                self.view = view_of(self._reader.latest, self._reader.position)
                self._on_change(self.view)
            return self.view
