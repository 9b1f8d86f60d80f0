"""The core's copy of the endpoint list: its updates, and checks of attempts against it.

Times are milliseconds.
"""

from __future__ import annotations

from sabledyke.core.open_request import SentAttempt
from sabledyke.invariants import check
from sabledyke.policy.nodes import EndpointList, ListKind, NodeEntry, NodeId, NodeState, node_name

# Fraction of the drain grace, counted from the decision on an attempt, during which the attempt may still be
# written although its node is no longer listed as ready. The policy uses up to half of the grace for its
# decisions.
WRITE_GRACE_FRACTION = 0.25
_UNKNOWN = -1


def update_nodes(nodes: dict[NodeId, NodeEntry], update: EndpointList) -> list[NodeId]:
    """Apply an update to the known entries.

    Guards against memory that grows with each node ever listed: attempts keep copies of the entries that they
    need.

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
    """Return a node's entry; for an unlisted node, report a violation and return a removed node's entry."""
    entry = nodes.get(node)
    if check(entry is not None, "no send to a box that is not listed", node_name(node)):
        assert entry is not None
        return entry
    return NodeEntry(node, _UNKNOWN, _UNKNOWN, _UNKNOWN, 0.0, 0.0, NodeState.GONE)


def takes_attempt(
    nodes: dict[NodeId, NodeEntry], attempt: SentAttempt, now_ms: float, drain_grace_ms: float
) -> bool:
    """Return whether the attempt's node is unchanged since the decision, or has changed only recently."""
    here = nodes.get(attempt.node.node_id)
    if here is not None and here.started_ms != attempt.node.started_ms:
        return False
    if here is not None and here.state is NodeState.READY:
        return True
    return now_ms <= attempt.sent_at_ms + WRITE_GRACE_FRACTION * drain_grace_ms
