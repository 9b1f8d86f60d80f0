"""Records of releases: members, plans, requests, tickets and drains, as they stand on the log. Plain data.

All of them are keys of one topic. The members' heartbeats are registers of another one, which have no end
that moves could conflict on, and no past. No time stands on the log: whoever judges how long something lasts
watches it stand still on its own clock.

``offset`` says where a record stands, and is not stored with it (see ``record_codec``).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FLEET_TOPIC = "fleet"
HEARTBEATS_TOPIC = "beats"
EPOCH_KEY = "epoch"
"""Key that each new coordinator writes first, by which the one before is fenced off."""
MAX_MEMBERS = 1000
MAX_PLANS = 64
SETTINGS_APPLIED = "taken"
"""``Ticket.settings_result`` of settings that are in force."""
EVACUATION_STEPS = 4
"""Steps in which the weight of a site goes down, or comes back."""


class MemberState(Enum):
    """State of a member."""

    READY = "ready"
    LEAVING = "leaving"
    OUT = "out"
    WARMING = "warming"
    SILENT = "silent"
    """Without heartbeats, as only a coordinator says: the member may still serve."""
    RETIRED = "retired"
    """Out for good: it counts nowhere any more."""


class PlanStage(Enum):
    """Stage of a plan."""

    RUNNING = "running"
    HALTED = "halted"
    ROLLING_BACK = "back"
    DONE = "done"
    ROLLED_BACK = "undone"


ACTIVE_STAGES = (PlanStage.RUNNING, PlanStage.ROLLING_BACK)
"""Stages in which members or nodes may go out."""


class DrainPhase(Enum):
    """Phase of the drain of a storage node."""

    LEAVING = "leaving"
    """It gets no new requests; members may still wait for responses of it."""
    DRAINED = "drained"
    """Nobody has anything in flight there: it may be taken away."""
    WARMING = "warming"
    """It is listed again as a later start, and accepts requests as the list allows."""


@dataclass(slots=True, frozen=True)
class Member:
    """What an instance publishes of itself, or a coordinator of one that is silent."""

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
        members: Members that go out, in this order.
        max_out: Members (or nodes) that may be out at once, planned or not.
        max_out_per_site: The same of one site (or zone); None for no such bound.
        max_out_fraction: The same as a fraction of all; None for no such bound.
        target: Version, or label of settings, to come back as; "" for any.
        previous: Version or label to go back to.
        canary: The first one goes alone, and is observed before others follow.
        settings: ``target`` and ``previous`` are labels of settings, which members switch to in service.
        nodes: Storage nodes that are drained instead, and come back as later starts.
        removes_nodes: The nodes go for good.
        retiring_site: The site that goes for good, once its volumes have moved; "" for none.
        nodes_removed_next: Nodes that go for good by a plan of their own, once the site's members have.
        step: Evacuation step, of ``EVACUATION_STEPS``; beyond them once all volumes have moved, below 0 once
            all are back.
        stage: Stage of the plan.
        released: Who has gone out and is back, in this order.
        deferred: Who did not request a ticket in its turn and follows all others, in this order.
        reason: Why the plan is in its stage.
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
        """The plan that removes the nodes of a retired site, inside the same budgets."""
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
        """Who has still to go out, in order."""
        return [name for name in self.nodes or self.members if name not in self.released]


@dataclass(slots=True, frozen=True)
class TicketRequest:
    """A member requests to go out under a plan; each request of an incarnation has a new number."""

    name: str
    plan: str
    incarnation: int
    request_number: int
    offset: int = 0


@dataclass(slots=True, frozen=True)
class Ticket:
    """Permission of a member to go out.

    It is spent from its grant until a later incarnation of the member is ready, or the member gives it back
    unused.

    Attributes:
        name: The member.
        plan: The plan that it goes out under.
        incarnation: The member's incarnation.
        request_number: The request that the ticket answers.
        token: Fencing token of the coordinator that granted it.
        target: Version, or label of settings, to come back as; "" for any.
        is_final: The member does not come back.
        settings: The member switches its settings, and does not go.
        used: The member goes out, or switches its settings.
        settings_result: ``SETTINGS_APPLIED``, or why they are not in force; "" while it is not known.
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
    """A storage node that goes out under a plan; it counts as out until it is warm again, or removed.

    Attributes:
        name: The node.
        plan: The plan that it goes out under.
        token: Fencing token of the coordinator that began it.
        node_started: When the node started, as the list had it then; another start is another incarnation.
        begun_offset: The offset at which the drain began, which tells it from every other drain.
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
    """An incarnation of a member has nothing in flight under these drains, and sends nothing more.

    ``name`` is the member's; ``drains`` are their ``Drain.begun_offset``.
    """

    name: str
    incarnation: int
    drains: tuple[int, ...] = ()
    offset: int = 0


@dataclass(slots=True, frozen=True)
class ListedNode:
    """A storage node as the coordinator's own list has it; not on the log."""

    name: str
    zone: int
    shard: int
    ready: bool
    started: float


@dataclass(slots=True, frozen=True)
class Epoch:
    """Who coordinates, under which fencing token."""

    name: str
    token: int
    offset: int = 0


Record = Member | Plan | TicketRequest | Ticket | Drain | DrainAcknowledgement | Epoch
