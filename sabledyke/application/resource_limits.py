"""Divides file descriptors and memory among the connections of clients and of storage nodes."""

from __future__ import annotations

from collections.abc import Sequence

from sabledyke.config import Config
from sabledyke.net.connection_pool import ConnectionPool
from sabledyke.net.frontend import CROWDED_SHARE, Frontend
from sabledyke.net.streams import ResponseMemory

RESPONSE_MEMORY_SHARE = 0.25  # of the memory, for answers on their way
NODE_DESCRIPTOR_DIVISOR = 3  # one descriptor in so many is for storage nodes, the others are for clients
RESERVED_DESCRIPTORS = 32  # for listeners, discovery, associations, the log, and what Python opens
CLIENT_READ_GRACE_S = 1.0  # past the longest deadline, for a client to read its answer


def apply_resource_limits(
    config: Config, frontends: Sequence[Frontend], pool: ConnectionPool, response_memory: ResponseMemory
) -> None:
    """Bound connections, and answers on their way, so that descriptors and memory suffice.

    Args:
        config: States the descriptors and the memory that there are.
        frontends: The HTTP front end first, which gets what the others leave.
        pool: The connections to storage nodes.
        response_memory: The memory for answers on their way.
    """
    settings = config.settings
    usable_descriptors = config.sockets - RESERVED_DESCRIPTORS
    node_connections = usable_descriptors // NODE_DESCRIPTOR_DIVISOR
    longest_deadline_ms = max(class_.deadline_ms for class_ in settings.classes)
    http, *others = frontends
    response_memory.limit_bytes = int(config.memory_bytes * RESPONSE_MEMORY_SHARE)
    for frontend in frontends:  # past its deadline a client has given up
        frontend.write_timeout_s = longest_deadline_ms / 1000 + CLIENT_READ_GRACE_S
    http.crowded_above = CROWDED_SHARE * settings.max_open_requests
    http.max_clients = usable_descriptors - node_connections - sum(other.max_clients for other in others)
    pool.max_connections = node_connections
