"""Replaces or removes drained storage nodes, once for each drain, as the operators of nodes do."""

from __future__ import annotations

import asyncio
import contextlib

from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.reader import LogReader
from sabledyke.errors import CompactedLogError
from sabledyke.rollout.fleet_view import view_of
from sabledyke.rollout.records import FLEET_TOPIC, DrainPhase
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

    async def run(self, log: CompactedLog) -> None:
        """Take drained nodes away until it is cancelled."""
        handled: set[int] = set()
        reader = LogReader()
        async with asyncio.TaskGroup() as replacements:
            while True:
                with contextlib.suppress(CompactedLogError):
                    await log.catch_up(FLEET_TOPIC, reader)
                view = view_of(reader.latest, reader.position)
                for drain in view.drains.values():
                    if drain.phase is not DrainPhase.DRAINED or drain.begun_offset in handled:
                        continue
                    handled.add(drain.begun_offset)
                    self.replaced.append(drain.name)
                    number = int(drain.name.removeprefix("box"))
                    if view.plans[drain.plan].removes_nodes:
                        self._nodes.remove(number)
                    else:
                        replacements.create_task(self._nodes.replace(number, DOWN_S))
                await asyncio.sleep(POLL_S)
