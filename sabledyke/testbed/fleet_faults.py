"""Faults of a fleet of processes: of a process, of the network to etcd, or of the log."""

from __future__ import annotations

import asyncio
import signal
from enum import StrEnum

from sabledyke.testbed.cluster import Cluster
from sabledyke.testbed.fleet_storage import FleetStorage


class FleetFault(StrEnum):
    """What a fault does; the values stand in files."""

    KILL = "kill"
    PAUSE = "pause"
    STALL_LOG = "stall"
    PARTITION = "part"
    PARTITION_REQUESTS = "part_to"  # to etcd
    PARTITION_ANSWERS = "part_from"  # from etcd


async def inject(
    kind: FleetFault, target: int, duration_s: float, cluster: Cluster, storage: FleetStorage
) -> None:
    """Begin a fault, and end it after its duration.

    Args:
        kind: What happens.
        target: The member that it happens to; any for a log that stalls.
        duration_s: For how long; a kill takes no time.
        cluster: The members.
        storage: Where the log is, and the proxies are.
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
