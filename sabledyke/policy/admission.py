"""Admission of volumes that become active at a storage node.

The test, taken from the source of the design: the mean load per admitted volume over the lookback period,
multiplied by the number of volumes including the new one, must stay below a safety margin. The test applies
only while the node is strained.
"""

from __future__ import annotations

from sabledyke.policy.concurrency import active_volumes
from sabledyke.policy.context import Context
from sabledyke.policy.state import NodeRecord, PendingRequest

# Predicted load of a node at which no further volume is admitted.
SAFETY_MARGIN = 1.0


class AdmissionControl:
    """Admits volumes to storage nodes and opens their sessions there."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def admit(self, pending: PendingRequest, node: NodeRecord) -> bool:
        """Opens or renews the volume's session at the node; returns False if the test rejects the volume."""
        volume = pending.request.volume
        active = active_volumes(self._context, node)
        if not self._exempt(pending, node, active) and node.strained:
            mean_load = sum(node.period_loads) / len(node.period_loads)
            if mean_load * (len(active) + 1) >= SAFETY_MARGIN:
                return False
        node.sessions[volume] = self._context.now_ms
        return True

    def _exempt(self, pending: PendingRequest, node: NodeRecord, active: list[int]) -> bool:
        """Returns whether the request skips the admission test.

        It does inside its volume's reservation, while the volume is active at the node, and as long as the
        node has no history of the volume or of loads.
        """
        volume = pending.request.volume
        return pending.reserved or volume in active or volume not in node.sessions or not node.period_loads
