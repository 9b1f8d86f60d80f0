"""The terms of releases: members, plans, asks and tickets, as they stand on the board. Plain data.

All of them are keys of one topic (``FLEET``); the members' beats are registers of another (``BEATS``), which
have no end that they could cross, and no past. No time stands on the board: whoever judges how long
something lasts watches it stand still on its own clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FLEET_TOPIC, HEARTBEATS_TOPIC = "fleet", "beats"
EPOCH_KEY = "epoch"  # the key that each new coordinator writes first, which shuts the one before out
MAX_MEMBERS, MAX_PLANS = 1000, 64
SETTINGS_APPLIED = "taken"
EVACUATION_STEPS = 4  # in which a site's weight goes down, or comes back
OFFSET = "offset"  # which says where a record stands, and is not part of it


class MemberState(Enum):
    """Where a member is."""

    READY = "ready"
    LEAVING = "leaving"
    OUT = "out"
    WARMING = "warming"
    SILENT = "silent"  # by the coordinator's word alone: it may still serve, unheard
    RETIRED = "retired"  # for good: it counts nowhere any more


class PlanStage(Enum):
    """Where a plan is."""

    RUNNING = "running"
    HALTED = "halted"
    ROLLING_BACK = "back"  # on its way back
    DONE = "done"
    ROLLED_BACK = "undone"


ACTIVE_STAGES = (PlanStage.RUNNING, PlanStage.ROLLING_BACK)


class DrainPhase(Enum):
    """Where the drain of a box is."""

    LEAVING = "leaving"  # nothing fresh for it any more; members may still wait for answers of it
    DRAINED = "drained"  # nobody has anything out there: it may be taken away
    WARMING = "warming"  # it is listed again as a later start, and takes work as the list allows


@dataclass(slots=True, frozen=True)
class Member:
    """What an instance says of itself, or a coordinator of one that is silent."""

    name: str
    incarnation: int
    version: str = ""
    site: str = ""
    state: MemberState = MemberState.WARMING
    offset: int = 0


@dataclass(slots=True, frozen=True)
class Plan:
    """A restart or release of ``members`` in this order, or a drain of ``boxes``; at most ``most`` members
    (or boxes) are out at once, planned or not.

    ``to`` is the version to come back as (any, where it is ""), ``before`` the one to go back to.
    ``per_site`` and ``share`` (of all members) bound what is out as well. With ``canary`` the first one goes
    alone, and is looked at.
    """

    name: str
    members: tuple[str, ...]
    max_out: int = 1
    max_out_per_site: int | None = None
    max_out_fraction: float | None = None
    target: str = ""
    previous: str = ""
    canary: bool = False
    settings: bool = False  # ``to`` and ``before`` are labels of settings, which members take on in service
    nodes: tuple[str, ...] = ()  # these are drained instead, and come back as later starts
    removes_nodes: bool = False  # the boxes go for good
    retiring_site: str = (
        ""  # the site that goes for good, once its volumes have moved, ``step`` of ``STEPS`` by now
    )
    nodes_removed_next: tuple[
        str, ...
    ] = ()  # boxes that go for good, by a plan of their own, once the site's members have
    step: int = 0  # beyond ``STEPS`` once all have moved, below 0 once all are at home again
    stage: PlanStage = PlanStage.RUNNING
    released: tuple[str, ...] = ()
    deferred: tuple[str, ...] = ()  # who did not ask in its turn comes after all others, in this order
    reason: str = ""
    offset: int = 0

    @property
    def follow_up(self) -> Plan | None:
        """What follows the retirement of a site: its boxes go, inside the same budgets."""
        if not self.nodes_removed_next:
            return None
        name = f"{self.name}.boxes"
        return Plan(
            name,
            (),
            self.max_out,
            self.max_out_per_site,
            self.max_out_fraction,
            nodes=self.nodes_removed_next,
            removes_nodes=True,
        )

    @property
    def remaining(self) -> list[str]:
        """Who has still to go out, in order."""
        return [name for name in self.nodes or self.members if name not in self.released]


@dataclass(slots=True, frozen=True)
class TicketRequest:
    """A member of a running plan asks to go out; ``number`` is new with each ask of a life."""

    name: str
    plan: str
    incarnation: int
    request_number: int
    offset: int = 0


@dataclass(slots=True, frozen=True)
class Ticket:
    """May ``name`` go out? Spent from its grant until a later life of it is ready, or it gives it back
    unused.
    """

    name: str
    plan: str
    incarnation: int
    request_number: int  # of the ask that it answers
    token: int  # of the coordinator that granted it
    target: str = ""  # the version to come back as
    is_final: bool = False  # it does not come back
    settings: bool = False  # it takes on settings, and does not go
    used: bool = False
    settings_result: str = ""  # of settings, once they were read: ``TAKEN``, or why they are not in force
    offset: int = 0


@dataclass(slots=True, frozen=True)
class Drain:
    """A box that goes out under a plan. It counts as out until it is warm again, or gone for good."""

    name: str
    plan: str
    token: int  # of the coordinator that began it
    node_started: float  # as the list said then: another start is another life of it
    begun_offset: int  # the offset at which it was begun, which tells it from every other drain
    phase: DrainPhase = DrainPhase.LEAVING
    offset: int = 0


@dataclass(slots=True, frozen=True)
class DrainAcknowledgement:
    """A life of a member has nothing out under these drains (``Drain.begun``), and sends nothing more."""

    name: str  # the member's
    incarnation: int
    drains: tuple[int, ...] = ()
    offset: int = 0


@dataclass(slots=True, frozen=True)
class ListedNode:
    """A box as the coordinator's own list has it; not on the board."""

    name: str
    zone: int
    shard: int
    ready: bool
    started: float


@dataclass(slots=True, frozen=True)
class Epoch:
    """Who coordinates, under which token."""

    name: str
    token: int
    offset: int = 0


Record = Member | Plan | TicketRequest | Ticket | Drain | DrainAcknowledgement | Epoch
