"""Storage nodes and updates of the endpoint list, as discovery reports them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

NodeId = bytes


def node_name(node_id: NodeId) -> str:
    """Returns a node's id for the log: as text if it is printable, else in hexadecimal."""
    if node_id.isascii() and node_id.decode().isprintable():
        return node_id.decode()
    return node_id.hex()


class NodeState(Enum):
    """State of a node as discovery lists it; ``GONE`` means that the node has been removed."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """Kind of an ``EndpointList``: changes only, the complete list, a stored list, or a failed call."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class NodeEntry:
    """One listed storage node.

    Attributes:
        shard: The shard whose data the node holds.
        zone: Index into ``Settings.zones``.
        kind: Index into ``Settings.node_kinds``.
        started_ms: Start time of the node's process; 0 for long ago.
        weight: The node's relative capacity, as discovery states it.
    """

    node_id: NodeId
    shard: int
    zone: int
    kind: int
    started_ms: float
    weight: float
    state: NodeState


@dataclass(slots=True, frozen=True)
class EndpointList:
    """An update of the list of storage nodes, or the failure of a call for the list (``FAILED``)."""

    kind: ListKind
    version: int
    entries: tuple[NodeEntry, ...]
