"""Whether a volume that becomes active at a node is admitted.

From the design's source: the mean load for each admitted volume over the lookback, times the number of
volumes that there would be, must stay below a safety margin. The test applies only while the node is
strained.
"""

from __future__ import annotations

from sabledyke.policy.concurrency import active_volumes
from sabledyke.policy.context import Context
from sabledyke.policy.state import NodeRecord, PendingRequest

# Load at which no further volume is admitted.
SAFETY_MARGIN = 1.0


class AdmissionControl:
    """Opens sessions of volumes at nodes."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def admit(self, pending: PendingRequest, node: NodeRecord) -> bool:
        """Opens or renews the volume's session, unless the admission test turns it away."""
        volume = pending.request.volume
        active = active_volumes(self._context, node)
        if not self._exempt(pending, node, active) and node.strained:
            mean_load = sum(node.period_loads) / len(node.period_loads)
            if mean_load * (len(active) + 1) >= SAFETY_MARGIN:
                return False
        node.sessions[volume] = self._context.now_ms
        return True

    def _exempt(self, pending: PendingRequest, node: NodeRecord, active: list[int]) -> bool:
        """Whether the request is inside its reservation, its volume active, or there is no history yet."""
        volume = pending.request.volume
        return pending.reserved or volume in active or volume not in node.sessions or not node.period_loads
