"""Storage nodes as discovery lists them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

NodeId = bytes


def node_name(node_id: NodeId) -> str:
    """Returns a node's id for the log: as text where it is printable, else in hex."""
    if node_id.isascii() and node_id.decode().isprintable():
        return node_id.decode()
    return node_id.hex()


class NodeState(Enum):
    """What discovery says of a node."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How an ``EndpointList`` relates to what was known before."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class NodeEntry:
    """One listed storage node.

    Attributes:
        shard: The shard whose data it holds.
        zone: Index into ``Settings.zones``.
        kind: Index into ``Settings.node_kinds``.
        started_ms: When its process started; 0 for long ago.
        weight: Its relative capacity, as discovery states it.
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
    """An update of the list of storage nodes, or (``FAILED``) the failure of a call for it."""

    kind: ListKind
    version: int
    entries: tuple[NodeEntry, ...]
