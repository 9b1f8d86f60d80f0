"""Divides file descriptors and memory among the connections of clients and of storage nodes."""

from __future__ import annotations

from collections.abc import Sequence

from sabledyke.config import Config
from sabledyke.net.connection_pool import ConnectionPool
from sabledyke.net.frontend import CROWDED_SHARE, Frontend
from sabledyke.net.streams import ResponseMemory

RESPONSE_MEMORY_SHARE = 0.25  # share of the memory that buffers answers until they are sent
NODE_DESCRIPTOR_DIVISOR = 3  # one in three descriptors is for storage nodes, the others are for clients
RESERVED_DESCRIPTORS = (
    32  # for listeners, discovery, NVMe associations, the log, and files of the Python runtime
)
CLIENT_READ_GRACE_S = 1.0  # time after the longest deadline for a client to read its answer


def apply_resource_limits(
    config: Config, frontends: Sequence[Frontend], pool: ConnectionPool, response_memory: ResponseMemory
) -> None:
    """Limit connections and buffered answers to the available descriptors and memory.

    Args:
        config: Configuration with the available descriptors and memory.
        frontends: The front ends; the HTTP front end is first and gets the descriptors that the others leave.
        pool: The connections to storage nodes.
        response_memory: The memory for buffered answers.
    """
    settings = config.settings
    usable_descriptors = config.sockets - RESERVED_DESCRIPTORS
    node_connections = usable_descriptors // NODE_DESCRIPTOR_DIVISOR
    longest_deadline_ms = max(class_.deadline_ms for class_ in settings.classes)
    http, *others = frontends
    response_memory.limit_bytes = int(config.memory_bytes * RESPONSE_MEMORY_SHARE)
    for frontend in frontends:  # A client stops waiting when its deadline has passed.
        frontend.write_timeout_s = longest_deadline_ms / 1000 + CLIENT_READ_GRACE_S
    http.crowded_above = CROWDED_SHARE * settings.max_open_requests
    http.max_clients = usable_descriptors - node_connections - sum(other.max_clients for other in others)
    pool.max_connections = node_connections
