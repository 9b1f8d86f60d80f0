"""The endpoint list of a member, in which nodes that a plan drains are marked as draining."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

from sabledyke.policy.nodes import EndpointList, ListKind, NodeEntry, NodeId, NodeState, node_name
from sabledyke.rollout.records import ListedNode


class NodeList:
    """Nodes as listed by discovery, and the names of those that plans have closed."""

    def __init__(self, relist: Callable[[Sequence[NodeEntry]], None]) -> None:
        """Create an empty list.

        Args:
            relist: Replaces entries of the scheduler's list by these.
        """
        self._relist = relist
        self._entries: dict[NodeId, NodeEntry] = {}
        self._closed: frozenset[str] = frozenset()

    def set_closed_nodes(self, names: frozenset[str]) -> None:
        """Send these nodes no new requests; all other nodes are used as discovery lists them."""
        changed = names ^ self._closed
        self._closed = names
        entries = [self._entries.get(name.encode()) for name in sorted(changed)]
        relisted = [self._effective(entry) for entry in entries if entry is not None]
        if relisted:
            self._relist(relisted)

    def on_update(self, update: EndpointList) -> EndpointList:
        """Store an update from discovery, and return it with closed nodes marked as draining."""
        if update.kind is not ListKind.DELTA:
            self._entries = {}
        self._entries.update((entry.node_id, entry) for entry in update.entries)
        for entry in update.entries:
            if entry.state is NodeState.GONE:
                del self._entries[entry.node_id]
        return replace(update, entries=tuple(self._effective(entry) for entry in update.entries))

    def by_name(self) -> dict[str, ListedNode]:
        """Return the nodes as listed by discovery, by name."""
        nodes = (_listed_node(entry) for entry in self._entries.values())
        return {node.name: node for node in nodes}

    def _effective(self, entry: NodeEntry) -> NodeEntry:
        if entry.state is NodeState.READY and node_name(entry.node_id) in self._closed:
            return replace(entry, state=NodeState.DRAINING)
        return entry


def _listed_node(entry: NodeEntry) -> ListedNode:
    is_ready = entry.state is NodeState.READY
    return ListedNode(node_name(entry.node_id), entry.zone, entry.shard, is_ready, entry.started_ms)
