"""Factories for storage nodes and endpoint lists in the form that the scheduler receives."""

from __future__ import annotations

from sabledyke.policy.nodes import EndpointList, ListKind, NodeEntry, NodeId, NodeState


def node_entry(
    number: int,
    shard: int | None = None,
    started_ms: float = 0,
    zone: int = 0,
    state: NodeState = NodeState.READY,
) -> NodeEntry:
    """Return a storage node; its shard defaults to its own number."""
    return NodeEntry(node_id(number), number if shard is None else shard, zone, 0, started_ms, 1, state)


def node_id(number: int) -> NodeId:
    """Return a storage node's identifier."""
    return bytes([10, 0, 0, number, 0, 80])


def endpoint_list(*entries: NodeEntry, kind: ListKind = ListKind.FULL) -> EndpointList:
    """Return an endpoint list of these storage nodes, by default a full one."""
    return EndpointList(kind, 1, entries)


def endpoint_change(*entries: NodeEntry) -> EndpointList:
    """Return a delta that updates these storage nodes and leaves all others unchanged."""
    return endpoint_list(*entries, kind=ListKind.DELTA)
