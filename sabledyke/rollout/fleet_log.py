"""Reader of the fleet's topic, with the view as of the last read and a callback for new views."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.reader import LogReader
from sabledyke.rollout.fleet_view import FleetView, view_of
from sabledyke.rollout.records import FLEET_TOPIC


class FleetLog:
    """Reads the topic for all tasks of a process, one task at a time.

    Attributes:
        view: View as of the last read.
    """

    def __init__(
        self, compacted_log: CompactedLog, max_keys: int, on_change: Callable[[FleetView], None]
    ) -> None:
        """Create a reader that has read nothing yet.

        Args:
            compacted_log: The log.
            max_keys: Maximum number of keys of the topic.
            on_change: Called with each new view before any decision is made from it.
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
        """Read the topic to its end, and return the view, which is rebuilt only if records have changed.

        Only one task reads at a time. If a task applied its page after another task had read further, it
        would set the reader back, and the next page applied by another task would skip the records between.
        """
        async with self._reading:
            has_changed = await self._compacted_log.catch_up(FLEET_TOPIC, self._reader)
            if has_changed or self.view.next_offset != self._reader.position:
                self.view = view_of(self._reader.latest, self._reader.position)
                self._on_change(self.view)
            return self.view
