"""Directory of the known storage nodes, with their states and the statistics of their kinds."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from math import inf

from sabledyke.policy.context import LOOKBACK_MS, Context
from sabledyke.policy.nodes import EndpointList, ListKind, NodeEntry, NodeId, NodeState
from sabledyke.policy.state import KindStatistics, NodeRecord, PendingRequest

ANY_SHARD = -1
# Initial in-flight limit of a node in mean requests: total over all schedulers, and minimum for each.
INITIAL_WINDOW_REQUESTS = 12.0
MIN_INITIAL_WINDOW_REQUESTS = 1.0
# Initial answer time, as a fraction of the shortest latency objective.
INITIAL_LATENCY_OBJECTIVES = 1 / 4
# A period's initial budget, in mean requests.
INITIAL_BUDGET_REQUESTS = 16
# Number of past periods whose served units are kept.
RECENT_PERIODS = 5
# Random spread of a new node's initial answer time, so that schedulers do not all prefer the same new node.
INITIAL_LATENCY_SPREAD = 0.6
# Fraction of the drain grace during which a draining node is still sent requests that no other node can
# serve.
DRAIN_SEND_FRACTION = 0.5


class NodeDirectory:
    """Known nodes, indexed by id, by shard and state, and by activity."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.nodes: dict[NodeId, NodeRecord] = {}
        self.kinds: dict[int, KindStatistics] = {}
        # Nodes with requests queued or in flight, in the order in which they became active.
        self.active: dict[NodeRecord, None] = {}
        self._ready: dict[int, list[NodeRecord]] = {}
        self._unready: dict[int, list[NodeRecord]] = {}

    @property
    def ready_count(self) -> int:
        """Number of ready nodes."""
        return len(self._ready[ANY_SHARD])

    @property
    def initial_latency_ms(self) -> float:
        """Assumed answer time of a node without statistics, in milliseconds."""
        return self._context.shortest_objective_ms * INITIAL_LATENCY_OBJECTIVES

    def ready(self, shard: int) -> list[NodeRecord]:
        """Returns the ready nodes of a shard, or all ready nodes for ``ANY_SHARD``."""
        return self._ready.get(shard, [])

    def draining(self, shard: int) -> list[NodeRecord]:
        """Returns the draining nodes of a shard that may be sent requests that no other node can serve.

        Without these nodes a shard would have no service between the listing of its node as draining and the
        start of the node's successor. Sends end at half of the drain grace, which leaves time for the last of
        them to complete. A node that refuses or interrupts requests is not returned any more.
        """
        return [node for node in self._unready.get(shard, ()) if self.accepts_while_draining(node)]

    def accepts_while_draining(self, node: NodeRecord) -> bool:
        """Returns whether a node is draining and may still be sent requests."""
        grace_ms = DRAIN_SEND_FRACTION * self._context.settings.drain_grace_ms
        draining = node.entry.state is NodeState.DRAINING
        return draining and self._context.now_ms < node.draining_since_ms + grace_ms

    def kind_of(self, node: NodeRecord) -> KindStatistics:
        """Returns the statistics of the node's kind."""
        return self.kinds[node.entry.kind]

    def mark_active(self, node: NodeRecord) -> None:
        """Adds the node to those whose queues are dispatched at the end of this batch."""
        self.active[node] = None

    def drop_inactive(self) -> None:
        """Removes the nodes without requests queued or in flight from the active ones."""
        self.active = {node: None for node in self.active if node.busy}

    def on_endpoint_list(self, update: EndpointList) -> list[PendingRequest]:
        """Applies an update of the endpoint list; returns the requests queued at nodes that are not ready."""
        for entry in update.entries:
            self._apply_entry(entry)
        return self._index(update)

    def renumber_periods(self) -> None:
        """Sets all nodes to the current period after a change of settings that may change its length."""
        for node in self.nodes.values():
            node.period_number = self._context.current_period

    def evict_removed(self, idle_since_ms: float) -> None:
        """Drops the records of removed nodes that have been idle since the given time."""
        for node in list(self.nodes.values()):
            if node.entry.state is not NodeState.GONE or node.busy:
                continue
            if not node.recent_sends or node.recent_sends[-1][0] < idle_since_ms:
                del self.nodes[node.entry.node_id]

    def _apply_entry(self, entry: NodeEntry) -> None:
        node = self.nodes.get(entry.node_id)
        if node is None or entry.started_ms != node.entry.started_ms:
            self._add(entry, node)
            return
        if entry.state is not node.entry.state:
            # A node that was listed as removed before gets no new drain grace.
            was_ready = node.entry.state is NodeState.READY
            node.draining_since_ms = self._context.now_ms if was_ready else -inf
        node.entry = entry

    def _add(self, entry: NodeEntry, before: NodeRecord | None) -> None:
        """Adds a new node, or replaces the record of a restarted one.

        A restarted node keeps its sends, sessions and queue; its statistics start again.
        """
        node = self._create(entry)
        if before is not None:
            node.recent_sends = before.recent_sends
            node.sessions = before.sessions
            node.queue = before.queue
            before.queue = []
        self.nodes[entry.node_id] = node
        self.mark_active(node)

    def _create(self, entry: NodeEntry) -> NodeRecord:
        """Returns a record with the initial statistics of its kind, so that budgets need not grow again."""
        context = self._context
        mean_units = context.mean_units
        window_requests = INITIAL_WINDOW_REQUESTS / context.settings.scheduler_count
        initial = KindStatistics(
            max(MIN_INITIAL_WINDOW_REQUESTS, window_requests) * mean_units,
            self.initial_latency_ms,
            INITIAL_BUDGET_REQUESTS * mean_units,
            latency_updated_ms=context.now_ms,
        )
        kind = self.kinds.setdefault(entry.kind, initial)
        spread = 1 + INITIAL_LATENCY_SPREAD * (context.random.random() - 0.5)
        node = NodeRecord(
            entry,
            budget_units=max(INITIAL_BUDGET_REQUESTS * mean_units, kind.budget_units),
            window_units=kind.window_units,
            latency_ms=kind.latency_ms * spread,
            period_number=context.current_period,
        )
        node.listed_ms = context.now_ms
        node.decayed_ms = context.now_ms
        node.warming_since_ms = entry.started_ms or -inf
        node.recent_served_units = deque(maxlen=RECENT_PERIODS)
        node.period_loads = deque(maxlen=int(LOOKBACK_MS / context.period_ms) + 1)
        return node

    def _index(self, update: EndpointList) -> list[PendingRequest]:
        """Indexes the nodes by shard and state; marks nodes missing from a complete list as removed."""
        self._ready = {ANY_SHARD: []}
        self._unready = {}
        listed = {entry.node_id for entry in update.entries}
        orphaned: list[PendingRequest] = []
        for node in self.nodes.values():
            if update.kind is not ListKind.DELTA and node.entry.node_id not in listed:
                node.entry = replace(node.entry, state=NodeState.GONE)
            if node.ready:
                self._ready[ANY_SHARD].append(node)
                self._ready.setdefault(node.entry.shard, []).append(node)
            else:
                orphaned += node.queue
                node.queue = []
                self._unready.setdefault(node.entry.shard, []).append(node)
        return orphaned
