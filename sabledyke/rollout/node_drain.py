"""Drains of storage nodes by plans: which node is drained next, and when it is drained or back. Pure.

The coordinator decides from the view of the log, its own endpoint list, its token and the time on its clock.
A node is drained only when every member that may be alive has read the drain and acknowledged that it has
nothing in flight there; an unresponsive member may be alive. A timer alone never ends a drain: the node is
out of service until it is listed as a later start and warm, or is removed permanently.

A member writes its record before it reads the log for the first time, and reads the log before it accepts a
client. A drain that it does not find there begins later, and therefore waits for this member.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from math import inf

from sabledyke.rollout.change_tracker import ChangeTracker
from sabledyke.rollout.disruption_budget import max_nodes_out
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.record_codec import key_of
from sabledyke.rollout.records import (
    Drain,
    DrainAcknowledgement,
    DrainPhase,
    ListedNode,
    Member,
    MemberState,
    Plan,
    PlanStage,
)
from sabledyke.rollout.state_changes import StateChange
from sabledyke.rollout.timeouts import Timeouts

Nodes = Mapping[str, ListedNode]
CLOSED_PHASES = (DrainPhase.LEAVING, DrainPhase.DRAINED)
"""Phases in which a node is sent no new requests."""
ABSENT_STATES = (MemberState.OUT, MemberState.RETIRED)
"""States that a member itself writes once it has nothing in flight at any node."""
MAX_NAMED_IN_REASON = 3


def closed_nodes(view: FleetView) -> frozenset[str]:
    """Return the names of the nodes that get no new requests."""
    return frozenset(drain.name for drain in view.drains.values() if drain.phase in CLOSED_PHASES)


def unacknowledged_by(view: FleetView, drain: Drain) -> list[str]:
    """Return the members that have not acknowledged that they have nothing in flight at the drain's node."""
    return sorted(
        member.name
        for member in view.members.values()
        if member.state not in ABSENT_STATES and not _has_acknowledged(view, member, drain)
    )


def nodes_out(view: FleetView, nodes: Nodes) -> set[str]:
    """Return the nodes that are out of service, or may be removed at any moment."""
    return {node.name for node in nodes.values() if not node.ready} | set(view.drains)


def has_capacity(view: FleetView, node: ListedNode, nodes: Nodes) -> bool:
    """Return whether the budgets of all active plans of nodes allow this node out of service as well."""
    out = nodes_out(view, nodes) | {node.name}
    if len(out) > _max_out(view, nodes, out):
        return False
    out_of_zone = sum(name in nodes and nodes[name].zone == node.zone for name in out)
    limits = [plan.max_out_per_site for plan in view.active if plan.nodes]
    return all(limit is None or out_of_zone <= limit for limit in limits)


def is_last_of_shard(view: FleetView, node: ListedNode, nodes: Nodes) -> bool:
    """Return whether no other node in service holds this node's shard."""
    out = nodes_out(view, nodes)
    return not any(
        other.shard == node.shard and other.name != node.name and other.name not in out
        for other in nodes.values()
    )


def decide(
    view: FleetView, token: int, now_ms: float, tracker: ChangeTracker, timeouts: Timeouts, nodes: Nodes
) -> StateChange | None:
    """Return the coordinator's next change for storage nodes, or None.

    Args:
        view: All records as of the end of the log.
        token: Fencing token of the coordinator's lease.
        now_ms: Time on the coordinator's clock.
        tracker: Time for which each value has been unchanged on that clock.
        timeouts: Timeouts of the coordinator.
        nodes: Nodes in the coordinator's endpoint list.
    """
    change = _DrainPlanner(view, token, now_ms, tracker, timeouts, nodes).next_change()
    return replace(change, expected_end=view.next_offset) if change is not None else None


@dataclass(slots=True)
class DrainAcknowledger:
    """Acknowledges, for one member, drains of nodes at which it has nothing in flight.

    A drain may be acknowledged ``grace_ms`` after this member stopped sending new requests. During the grace
    period it may still send requests that no other node can serve.

    Attributes:
        name: The member's name.
        incarnation: The member's incarnation.
        grace_ms: Grace period after this member has closed a node.
        closed_since_ms: Time at which this member closed each node, by the offset at which its drain began;
            entries are removed with their drains.
    """

    name: str
    incarnation: int
    grace_ms: float
    closed_since_ms: dict[int, float] = field(default_factory=dict)

    def step(self, view: FleetView, now_ms: float, busy: Callable[[str], bool]) -> StateChange | None:
        """Return the acknowledgement of all current drains that allow one, or None if the log has it already.

        Args:
            view: The fleet's records.
            now_ms: Time on this member's clock.
            busy: Returns whether this member has a request in flight at a node.
        """
        closed = [drain for _, drain in sorted(view.drains.items()) if drain.phase in CLOSED_PHASES]
        self.closed_since_ms = {
            drain.begun_offset: self.closed_since_ms.get(drain.begun_offset, now_ms) for drain in closed
        }
        done = [drain for drain in closed if self._grace_is_over(drain, now_ms) and not busy(drain.name)]
        offsets = tuple(drain.begun_offset for drain in done)
        if offsets == self._acknowledged(view):
            return None
        names = ", ".join(drain.name for drain in done) or "no node"
        acknowledgement = DrainAcknowledgement(self.name, self.incarnation, offsets)
        return StateChange(f"{self.name} has nothing in flight at {names}", (acknowledgement,))

    def _grace_is_over(self, drain: Drain, now_ms: float) -> bool:
        closed_ms = now_ms - self.closed_since_ms[drain.begun_offset]
        return closed_ms > 0 and closed_ms >= self.grace_ms  # not at the step that closed the node

    def _acknowledged(self, view: FleetView) -> tuple[int, ...] | None:
        """Return the drains acknowledged on the log; None if another incarnation has written there."""
        known = view.acknowledgements.get(self.name)
        if known is None:
            return ()
        return known.drains if known.incarnation == self.incarnation else None


@dataclass(slots=True, frozen=True)
class _DrainPlanner:
    """Makes one decision from the view, the list of nodes and the clock."""

    view: FleetView
    token: int
    now_ms: float
    tracker: ChangeTracker
    timeouts: Timeouts
    nodes: Nodes

    def next_change(self) -> StateChange | None:
        for drain in self.view.drains.values():
            plan = self.view.plans.get(drain.plan)
            change = _withdrawn(drain, plan) or self._advanced(drain, plan)
            if change is not None:
                return change
        for plan in self.view.active:
            if not plan.nodes or plan.stage is not PlanStage.RUNNING:
                continue
            change = self._halt(plan) or self._begin_drain(plan)
            if change is not None:
                return change
        return None

    def _unchanged_ms(self, name: str) -> float:
        return self.tracker.unchanged_ms(self.now_ms, name)

    def _advanced(self, drain: Drain, plan: Plan | None) -> StateChange | None:
        """Return the change by which a drain enters its next phase, or ends."""
        if drain.phase is DrainPhase.LEAVING:
            if unacknowledged_by(self.view, drain):
                return None
            return StateChange(f"{drain.name} is drained", (replace(drain, phase=DrainPhase.DRAINED),))
        node = self.nodes.get(drain.name)
        if plan is not None and (self._is_removed(plan, node) or self._is_warm(drain)):
            released = replace(plan, released=(*plan.released, drain.name))
            what = "is removed" if node is None else "is warm again"
            return StateChange(f"{drain.name} {what}", (released,), (key_of(drain),))
        if drain.phase is not DrainPhase.DRAINED or node is None or not node.ready:
            return None
        if node.started == drain.node_started:
            return None
        return StateChange(
            f"{drain.name} is listed as a later start", (replace(drain, phase=DrainPhase.WARMING),)
        )

    def _is_removed(self, plan: Plan, node: ListedNode | None) -> bool:
        return plan.removes_nodes and node is None and bool(self.nodes)

    def _is_warm(self, drain: Drain) -> bool:
        if drain.phase is not DrainPhase.WARMING:
            return False
        return self._unchanged_ms(f"warm/{drain.name}") >= self.timeouts.warm_up_ms

    def _halt(self, plan: Plan) -> StateChange | None:
        reason = self._too_many_unplanned(plan) or self._drain_too_slow(plan) or self._first_node_unfit(plan)
        if not reason:
            return None
        halted = replace(plan, stage=PlanStage.HALTED, reason=reason)
        return StateChange(f"plan {plan.name} halts: {reason}", (halted,))

    def _too_many_unplanned(self, plan: Plan) -> str:
        unplanned = nodes_out(self.view, self.nodes) - set(self.view.drains)
        return (
            f"{len(unplanned)} storage nodes are out unplanned" if len(unplanned) > plan.max_out > 0 else ""
        )

    def _drain_too_slow(self, plan: Plan) -> str:
        for drain in self.view.drains.values():
            if drain.plan != plan.name:
                continue
            if self._unchanged_ms(key_of(drain)) <= self.timeouts.return_timeout_ms:
                continue
            if drain.phase is not DrainPhase.LEAVING:
                return f"{drain.name} is not back in time: it is {drain.phase.value}"
            members = ", ".join(unacknowledged_by(self.view, drain)[:MAX_NAMED_IN_REASON])
            return f"{drain.name} is not drained in time: {members} may send to it"
        return ""

    def _first_node_unfit(self, plan: Plan) -> str:
        """Return why the plan's next node cannot be drained, "" if it can or a drain is in progress."""
        if not self.nodes or not plan.remaining or self._drains_of(plan):
            return ""
        if self._unchanged_ms(f"released/{plan.name}") <= self.timeouts.heartbeat_timeout_ms:
            return ""
        name = plan.remaining[0]
        node = self.nodes.get(name)
        if node is None:
            return "" if plan.removes_nodes else f"no storage node {name} is listed"
        if node.ready and is_last_of_shard(self.view, node, self.nodes):
            return f"{name} alone holds shard {node.shard}"
        return ""

    def _begin_drain(self, plan: Plan) -> StateChange | None:
        soaked_ms = self._unchanged_ms(f"released/{plan.name}")
        if plan.canary and len(plan.released) == 1 and soaked_ms < self.timeouts.canary_soak_ms:
            return None
        out = nodes_out(self.view, self.nodes)
        is_budget_spent = len(out) + 1 > _max_out(self.view, self.nodes, out)
        names = plan.remaining[:1] if plan.canary and not plan.released else plan.remaining
        for name in names:
            if name in self.view.drains:
                continue
            node = self.nodes.get(name)
            if node is None and self._is_removed(plan, node):
                return StateChange(f"{name} is removed", (replace(plan, released=(*plan.released, name)),))
            # Single nodes are examined only if the budget allows another node out of service.
            if node is None or is_budget_spent or not self._may_go_out(node):
                continue  # a node that is out of service does not delay the others
            drain = Drain(name, plan.name, self.token, node.started, self.view.next_offset)
            description = f"{name} is to be drained, {self._drains_of(plan) + 1} under way"
            return StateChange(description, (drain,))
        return None

    def _may_go_out(self, node: ListedNode) -> bool:
        if not node.ready or is_last_of_shard(self.view, node, self.nodes):
            return False
        return has_capacity(self.view, node, self.nodes)

    def _drains_of(self, plan: Plan) -> int:
        return sum(drain.plan == plan.name for drain in self.view.drains.values())


def _withdrawn(drain: Drain, plan: Plan | None) -> StateChange | None:
    """Return the change that withdraws a drain on a rollback, or on a halt before the node is drained."""
    is_back = plan is None or plan.stage in (PlanStage.ROLLING_BACK, PlanStage.ROLLED_BACK)
    is_halted = plan is not None and plan.stage is PlanStage.HALTED and drain.phase is DrainPhase.LEAVING
    if not is_back and not is_halted:
        return None
    return StateChange(f"{drain.name} is no longer drained", deleted_keys=(key_of(drain),))


def _has_acknowledged(view: FleetView, member: Member, drain: Drain) -> bool:
    known = view.acknowledgements.get(member.name)
    if known is None or known.incarnation != member.incarnation:
        return False
    return drain.begun_offset in known.drains


def _max_out(view: FleetView, nodes: Nodes, out: set[str]) -> float:
    """Return how many nodes may be out of service, by the smallest budget of all active plans of nodes."""
    node_count = len({*nodes, *out})
    return min((max_nodes_out(plan, node_count) for plan in view.active if plan.nodes), default=inf)
