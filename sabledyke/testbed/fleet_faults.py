"""Injection of faults into a fleet: into its processes, the network to etcd, or the compacted log."""

from __future__ import annotations

import asyncio
import signal
from enum import StrEnum

from sabledyke.testbed.cluster import Cluster
from sabledyke.testbed.fleet_storage import FleetStorage


class FleetFault(StrEnum):
    """Kinds of faults; the values are used in files."""

    KILL = "kill"
    PAUSE = "pause"
    STALL_LOG = "stall"
    PARTITION = "part"
    PARTITION_REQUESTS = "part_to"  # holds back requests to etcd
    PARTITION_ANSWERS = "part_from"  # holds back answers from etcd


async def inject(
    kind: FleetFault, target: int, duration_s: float, cluster: Cluster, storage: FleetStorage
) -> None:
    """Begin a fault, and end it after its duration.

    Args:
        kind: The kind of fault.
        target: The number of the affected member; ignored if the log stalls.
        duration_s: The duration in seconds; ignored for a kill.
        cluster: The members' processes.
        storage: The fleet's log and proxies.
    """
    match kind:
        case FleetFault.KILL:
            cluster.send_signal(target, signal.SIGKILL)
        case FleetFault.PAUSE:
            await cluster.pause(target)
            await asyncio.sleep(duration_s)
            cluster.send_signal(target, signal.SIGCONT)
        case FleetFault.STALL_LOG:
            async with storage.stalled():
                await asyncio.sleep(duration_s)
        case FleetFault.PARTITION | FleetFault.PARTITION_REQUESTS | FleetFault.PARTITION_ANSWERS:
            proxy = storage.proxies[target]
            proxy.partition(
                to_server=kind is not FleetFault.PARTITION_ANSWERS,
                to_client=kind is not FleetFault.PARTITION_REQUESTS,
            )
            await asyncio.sleep(duration_s)
            proxy.heal()
