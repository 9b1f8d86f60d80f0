"""Storage nodes and endpoint lists, as the scheduler receives them."""

from __future__ import annotations

from sabledyke.policy.nodes import EndpointList, ListKind, NodeEntry, NodeId, NodeState


def node_entry(
    number: int,
    shard: int | None = None,
    started_ms: float = 0,
    zone: int = 0,
    state: NodeState = NodeState.READY,
) -> NodeEntry:
    """Return a storage node; unless told otherwise it holds the shard of its own number."""
    return NodeEntry(node_id(number), number if shard is None else shard, zone, 0, started_ms, 1, state)


def node_id(number: int) -> NodeId:
    """Return a storage node's identifier."""
    return bytes([10, 0, 0, number, 0, 80])


def endpoint_list(*entries: NodeEntry, kind: ListKind = ListKind.FULL) -> EndpointList:
    """Return a list of these storage nodes."""
    return EndpointList(kind, 1, entries)


def endpoint_change(*entries: NodeEntry) -> EndpointList:
    """Return a list that changes these storage nodes and leaves the others as they are."""
    return endpoint_list(*entries, kind=ListKind.DELTA)
