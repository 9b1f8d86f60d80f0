"""Restarts of a fleet's members whenever their processes end, as the version that they requested."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sabledyke.rollout.configuration_switch import RETIRED_VERSION
from sabledyke.testbed.cluster import Cluster

RESTART_DELAY_S = 0.1
POLL_S = 0.05  # interval of checks that a member may be started again
FIRST_VERSION = "1"


class Supervisor:
    """A process supervisor for the members of a fleet.

    Attributes:
        suspended: The numbers of members that are currently not started again.
        retired: The numbers of members that left the fleet permanently.
        ignores_versions: True to restart members as their previous version, whichever they request.
    """

    def __init__(self, cluster: Cluster, operator_file: Callable[[int, str], str]) -> None:
        """Create a supervisor.

        Args:
            cluster: The processes.
            operator_file: Returns the text of a member's operator's file for a number and a version.
        """
        self.suspended: set[int] = set()
        self.retired: set[int] = set()
        self.ignores_versions = False
        self._cluster = cluster
        self._operator_file = operator_file
        self._versions = [FIRST_VERSION] * len(cluster.instances)

    async def supervise(self, number: int) -> None:
        """Start a member again whenever it ends, until it retires."""
        instance = self._cluster.instances[number]
        while True:
            assert instance.process is not None
            await instance.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            while number in self.suspended:
                await asyncio.sleep(POLL_S)
            self._switch_version(number)
            if number in self.retired:
                return
            await self._cluster.start(number)

    def _switch_version(self, number: int) -> None:
        """Apply the version that the member requested before its end, or its retirement."""
        folder = self._cluster.instances[number].folder
        request = folder / "wants"
        if self.ignores_versions or not request.exists():
            return
        version = request.read_text().strip()
        if version == RETIRED_VERSION:
            self.retired.add(number)
            return
        self._versions[number] = version
        (folder / "operator.toml").write_text(self._operator_file(number, version))
