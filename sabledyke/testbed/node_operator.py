"""Replacement or removal of drained storage nodes, once for each drain, as operators of nodes do it."""

from __future__ import annotations

import asyncio
import contextlib

from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.reader import LogReader
from sabledyke.errors import CompactedLogError
from sabledyke.rollout.fleet_view import FleetView, view_of
from sabledyke.rollout.records import FLEET_TOPIC, Drain, DrainPhase
from sabledyke.testbed.storage_nodes import StorageNodes

POLL_S = 0.05  # interval of polls of the log
DOWN_S = 0.3  # downtime of a replaced node


class NodeOperator:
    """Follows the drains in a fleet's log, and replaces or removes drained nodes.

    Attributes:
        replaced: The names of the nodes that were replaced or removed, in order.
    """

    def __init__(self, nodes: StorageNodes) -> None:
        self.replaced: list[str] = []
        self._nodes = nodes
        self._handled: set[int] = set()  # begin offsets of the drains that were handled

    async def run(self, log: CompactedLog) -> None:
        """Replace or remove drained nodes until the task is cancelled."""
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
        """Return the drains that have reached the phase DRAINED since the last call."""
        drains = [
            drain
            for drain in view.drains.values()
            if drain.phase is DrainPhase.DRAINED and drain.begun_offset not in self._handled
        ]
        self._handled.update(drain.begun_offset for drain in drains)
        return drains
