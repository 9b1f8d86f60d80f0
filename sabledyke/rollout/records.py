"""Records of releases on the log: members, plans, requests, tickets and drains. Plain data.

All of them are keys of one topic. The members' heartbeats are registers of another topic, which has no end
offset that state changes could conflict on, and no history. Records hold no timestamps: a process measures on
its own clock for how long a record has been unchanged.

``offset`` is the position of a record on the log, and is not stored with it (see ``record_codec``).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FLEET_TOPIC = "fleet"
HEARTBEATS_TOPIC = "beats"
EPOCH_KEY = "epoch"
"""Key that each new coordinator writes first, which fences off the previous coordinator."""
MAX_MEMBERS = 1000
MAX_PLANS = 64
SETTINGS_APPLIED = "taken"
"""``Ticket.settings_result`` of settings that are in force."""
EVACUATION_STEPS = 4
"""Number of steps in which the weight of a site is reduced or restored."""


class MemberState(Enum):
    """State of a member, as stored on the log."""

    READY = "ready"
    LEAVING = "leaving"
    OUT = "out"
    WARMING = "warming"
    UNRESPONSIVE = "silent"
    """Set by the coordinator for a member without heartbeats, which may still serve."""
    RETIRED = "retired"
    """Permanently out of service, and no longer counted in budgets."""


class PlanStage(Enum):
    """Stage of a plan, as stored on the log."""

    RUNNING = "running"
    HALTED = "halted"
    ROLLING_BACK = "back"
    DONE = "done"
    ROLLED_BACK = "undone"


ACTIVE_STAGES = (PlanStage.RUNNING, PlanStage.ROLLING_BACK)
"""Stages in which members or nodes may be taken out of service."""


class DrainPhase(Enum):
    """Phase of the drain of a storage node."""

    LEAVING = "leaving"
    """The node gets no new requests; members may still wait for its responses."""
    DRAINED = "drained"
    """No member has anything in flight at the node, which may be removed."""
    WARMING = "warming"
    """The node is listed again after a restart, and accepts requests as the list allows."""


@dataclass(slots=True, frozen=True)
class Member:
    """State that an instance publishes of itself, or that the coordinator sets for an unresponsive one."""

    name: str
    incarnation: int
    version: str = ""
    site: str = ""
    state: MemberState = MemberState.WARMING
    offset: int = 0


@dataclass(slots=True, frozen=True)
class Plan:
    """A restart or release of members, a drain of storage nodes, or the retirement of a site.

    Attributes:
        name: The plan's name.
        members: Members to release, in this order.
        max_out: Members (or nodes) that may be out of service at once, planned or not.
        max_out_per_site: Bound for each site (or zone); None for no such bound.
        max_out_fraction: Bound as a fraction of all members (or nodes); None for no such bound.
        target: Version, or label of settings, that members return with; "" for any.
        previous: Version, or label of settings, to roll back to.
        canary: The first member (or node) is released alone, and is observed before others follow.
        settings: ``target`` and ``previous`` are labels of settings, which members switch to in service.
        nodes: Storage nodes to drain instead of members; each returns as a later start.
        removes_nodes: The nodes are removed permanently.
        retiring_site: Site that is removed permanently once its volumes have moved; "" for none.
        nodes_removed_next: Nodes that a follow-up plan removes once the members of the site have retired.
        step: Evacuation step, up to ``EVACUATION_STEPS``; above it once all volumes have moved, below 0 once
            all have returned.
        stage: Stage of the plan.
        released: Members (or nodes) whose release is complete, in this order.
        deferred: Members that did not request a ticket in their turn and follow all others, in this order.
        reason: Reason why the plan is in its stage.
    """

    name: str
    members: tuple[str, ...]
    max_out: int = 1
    max_out_per_site: int | None = None
    max_out_fraction: float | None = None
    target: str = ""
    previous: str = ""
    canary: bool = False
    settings: bool = False
    nodes: tuple[str, ...] = ()
    removes_nodes: bool = False
    retiring_site: str = ""
    nodes_removed_next: tuple[str, ...] = ()
    step: int = 0
    stage: PlanStage = PlanStage.RUNNING
    released: tuple[str, ...] = ()
    deferred: tuple[str, ...] = ()
    reason: str = ""
    offset: int = 0

    @property
    def follow_up(self) -> Plan | None:
        """The plan that removes the nodes of a retired site, within the same budgets; None for no nodes."""
        if not self.nodes_removed_next:
            return None
        return Plan(
            name=f"{self.name}.boxes",
            members=(),
            max_out=self.max_out,
            max_out_per_site=self.max_out_per_site,
            max_out_fraction=self.max_out_fraction,
            nodes=self.nodes_removed_next,
            removes_nodes=True,
        )

    @property
    def remaining(self) -> list[str]:
        """Names of the members (or nodes) that are still to be released, in order."""
        return [name for name in self.nodes or self.members if name not in self.released]


@dataclass(slots=True, frozen=True)
class TicketRequest:
    """A member's request for a ticket of a plan; each request of an incarnation has a new number."""

    name: str
    plan: str
    incarnation: int
    request_number: int
    offset: int = 0


@dataclass(slots=True, frozen=True)
class Ticket:
    """Permission of a member to go out of service.

    It counts against the budgets from its grant until a later incarnation of the member is ready, or the
    member returns it unused.

    Attributes:
        name: The member.
        plan: The plan that the ticket belongs to.
        incarnation: The member's incarnation.
        request_number: The request that the ticket answers.
        token: Fencing token of the coordinator that granted it.
        target: Version, or label of settings, that the member returns with; "" for any.
        is_final: The member does not return.
        settings: The member switches its settings, and stays in service.
        used: The member has begun to leave, or to switch its settings.
        settings_result: ``SETTINGS_APPLIED``, or why the settings are not in force; "" while unknown.
    """

    name: str
    plan: str
    incarnation: int
    request_number: int
    token: int
    target: str = ""
    is_final: bool = False
    settings: bool = False
    used: bool = False
    settings_result: str = ""
    offset: int = 0


@dataclass(slots=True, frozen=True)
class Drain:
    """Drain of a storage node by a plan; the node counts as out of service until it is warm again or removed.

    Attributes:
        name: The node.
        plan: The plan that the drain belongs to.
        token: Fencing token of the coordinator that began the drain.
        node_started: Start time of the node as listed when the drain began; a later one is a new incarnation.
        begun_offset: Offset at which the drain began, which identifies the drain.
        phase: Phase of the drain.
    """

    name: str
    plan: str
    token: int
    node_started: float
    begun_offset: int
    phase: DrainPhase = DrainPhase.LEAVING
    offset: int = 0


@dataclass(slots=True, frozen=True)
class DrainAcknowledgement:
    """Confirmation by a member that it has nothing in flight at drained nodes, and sends nothing more.

    Attributes:
        name: The member.
        incarnation: The member's incarnation.
        drains: ``Drain.begun_offset`` of each acknowledged drain.
    """

    name: str
    incarnation: int
    drains: tuple[int, ...] = ()
    offset: int = 0


@dataclass(slots=True, frozen=True)
class ListedNode:
    """A storage node in the coordinator's endpoint list; not stored on the log."""

    name: str
    zone: int
    shard: int
    ready: bool
    started: float


@dataclass(slots=True, frozen=True)
class Epoch:
    """The current coordinator and its fencing token."""

    name: str
    token: int
    offset: int = 0


Record = Member | Plan | TicketRequest | Ticket | Drain | DrainAcknowledgement | Epoch
