"""Replaces or removes drained storage nodes, once for each drain, as the operators of nodes do."""

from __future__ import annotations

import asyncio
import contextlib

from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.reader import LogReader
from sabledyke.errors import CompactedLogError
from sabledyke.rollout.fleet_view import FleetView, view_of
from sabledyke.rollout.records import FLEET_TOPIC, Drain, DrainPhase
from sabledyke.testbed.storage_nodes import StorageNodes

POLL_S = 0.05  # between two polls of the log
DOWN_S = 0.3  # for which a replaced node is away


class NodeOperator:
    """Follows the drains in a fleet's log.

    Attributes:
        replaced: The names of the nodes that were taken away, in order.
    """

    def __init__(self, nodes: StorageNodes) -> None:
        self.replaced: list[str] = []
        self._nodes = nodes
        self._handled: set[int] = set()  # offsets at which the drains began

    async def run(self, log: CompactedLog) -> None:
        """Take drained nodes away until it is cancelled."""
        reader = LogReader()
        async with asyncio.TaskGroup() as replacements:
            while True:
                with contextlib.suppress(CompactedLogError):
                    await log.catch_up(FLEET_TOPIC, reader)
                view = view_of(reader.latest, reader.position)
                for drain in self._new_drains(view):
                    self.replaced.append(drain.name)
                    number = int(drain.name.removeprefix("box"))
                    if view.plans[drain.plan].removes_nodes:
                        self._nodes.remove(number)
                    else:
                        replacements.create_task(self._nodes.replace(number, DOWN_S))
                await asyncio.sleep(POLL_S)

    def _new_drains(self, view: FleetView) -> list[Drain]:
        """Return the drains that have come to their end since the last call."""
        drains = [
            drain
            for drain in view.drains.values()
            if drain.phase is DrainPhase.DRAINED and drain.begun_offset not in self._handled
        ]
        self._handled.update(drain.begun_offset for drain in drains)
        return drains
