"""The endpoint list as the core knows it: its updates, and whether a node still takes an attempt.

Times are milliseconds.
"""

from __future__ import annotations

from sabledyke.core.open_request import SentAttempt
from sabledyke.invariants import check
from sabledyke.policy.nodes import EndpointList, ListKind, NodeEntry, NodeId, NodeState, node_name

# Part of the drain's grace in which an attempt may still be written that was decided before its node left the
# list as ready; the policy uses up to half of the grace for its decisions.
WRITE_GRACE_FRACTION = 0.25
_UNKNOWN = -1


def update_nodes(nodes: dict[NodeId, NodeEntry], update: EndpointList) -> list[NodeId]:
    """Bring entries up to date.

    Guards against growing with every node that ever was: attempts keep the entry that they need.

    Returns:
        The nodes that were removed.
    """
    nodes.update((entry.node_id, entry) for entry in update.entries)
    is_partial = update.kind in (ListKind.DELTA, ListKind.FAILED)
    named = nodes.keys() if is_partial else {entry.node_id for entry in update.entries}
    removed = [
        node_id for node_id, entry in nodes.items() if entry.state is NodeState.GONE or node_id not in named
    ]
    for node_id in removed:
        del nodes[node_id]
    return removed


def listed_entry(nodes: dict[NodeId, NodeEntry], node: NodeId) -> NodeEntry:
    """Return a node's entry; one that is gone, and a broken invariant, where it is not listed."""
    entry = nodes.get(node)
    if check(entry is not None, "no send to a box that is not listed", node_name(node)):
        assert entry is not None
        return entry
    return NodeEntry(node, _UNKNOWN, _UNKNOWN, _UNKNOWN, 0.0, 0.0, NodeState.GONE)


def takes_attempt(
    nodes: dict[NodeId, NodeEntry], attempt: SentAttempt, now_ms: float, drain_grace_ms: float
) -> bool:
    """Whether the attempt's node is as it was when the attempt was decided, or has only just changed."""
    here = nodes.get(attempt.node.node_id)
    if here is not None and here.started_ms != attempt.node.started_ms:
        return False
    if here is not None and here.state is NodeState.READY:
        return True
    return now_ms <= attempt.sent_at_ms + WRITE_GRACE_FRACTION * drain_grace_ms
