"""Divides file descriptors and memory among the connections of clients and of storage nodes."""

from __future__ import annotations

from collections.abc import Sequence

from sabledyke.config import Config
from sabledyke.net.connection_pool import ConnectionPool
from sabledyke.net.frontend import CROWDED_SHARE, Frontend
from sabledyke.net.memory_budget import MemoryBudget

PROCESS_BYTES = 28 << 20  # memory of the program without connections
CONNECTION_BYTES = 12 << 10  # objects of a connection, without the bytes that it buffers
MIN_REMAINING_SHARE = 0.125  # share of the memory that connections, requests and answers have at least
MIN_CONNECTIONS = 64  # connections of HTTP clients and to nodes that there are with any memory
CONNECTIONS_SHARE = 0.25  # share of the remaining memory that the objects of connections may use
MIN_BUDGET_BYTES = 1 << 20  # memory for requests and answers that there is with any limit
BUDGET_SHARE = 0.3  # share of the other memory; requests exceed it, and allocations waste some
NODE_DESCRIPTOR_DIVISOR = 3  # one in three descriptors is for storage nodes, the others are for clients
RESERVED_DESCRIPTORS = (
    32  # for listeners, discovery, NVMe associations, the log, and files of the Python runtime
)
CLIENT_READ_GRACE_S = 1.0  # time after the longest deadline for a client to read its answer


def apply_resource_limits(
    config: Config, frontends: Sequence[Frontend], pool: ConnectionPool, memory_budget: MemoryBudget
) -> None:
    """Limit connections and buffered answers to the available descriptors and memory.

    Args:
        config: Configuration with the available descriptors and memory.
        frontends: The front ends; the HTTP front end is first and gets the descriptors that the others leave.
        pool: The connections to storage nodes.
        memory_budget: The memory for requests and answers.
    """
    settings = config.settings
    remaining_bytes = max(config.memory_bytes - PROCESS_BYTES, MIN_REMAINING_SHARE * config.memory_bytes)
    other_clients = sum(frontend.max_clients for frontend in frontends[1:])
    connections = _connection_count(config.sockets, remaining_bytes, other_clients)
    node_connections = connections // NODE_DESCRIPTOR_DIVISOR
    longest_deadline_ms = max(class_.deadline_ms for class_ in settings.classes)
    http = frontends[0]
    unconnected_bytes = remaining_bytes - connections * CONNECTION_BYTES
    memory_budget.limit_bytes = int(max(BUDGET_SHARE * unconnected_bytes, MIN_BUDGET_BYTES))
    for frontend in frontends:  # A client stops waiting when its deadline has passed.
        frontend.write_timeout_s = longest_deadline_ms / 1000 + CLIENT_READ_GRACE_S
    http.crowded_above = CROWDED_SHARE * settings.max_open_requests
    http.max_clients = connections - node_connections - other_clients
    pool.max_connections = node_connections


def _connection_count(descriptors: int, remaining_bytes: float, other_clients: int) -> int:
    """Return the total number of connections of clients and to storage nodes.

    Guards against more connections than the memory allows, where many descriptors come with little memory.

    Args:
        descriptors: File descriptors that the process may have.
        remaining_bytes: Memory that the program itself does not need.
        other_clients: Connections of clients that do not speak HTTP.
    """
    by_memory = int(CONNECTIONS_SHARE * remaining_bytes) // CONNECTION_BYTES
    needed = MIN_CONNECTIONS + 2 * other_clients
    return min(descriptors - RESERVED_DESCRIPTORS, max(by_memory, needed))
