"""Records the scheduler keeps of volumes, requests and nodes; no decision and no tuned value lives here."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from math import inf

from sabledyke.policy.actions import Action
from sabledyke.policy.events import Request
from sabledyke.policy.nodes import NodeEntry, NodeId
from sabledyke.policy.settings import Plan, RequestClass


@dataclass(slots=True, eq=False)
class Volume:
    """What this host knows of a volume: stores of reservation and limit, this host's part of each."""

    plan: Plan
    part: float
    reserve: float
    limit: float
    at: float


@dataclass(slots=True, eq=False)
class Job:
    """A request taken and not yet forgotten."""

    ask: Request
    kind: RequestClass
    volume: Volume
    due: float  # order of leaving: arrival + aim, capped by the deadline
    soon: float  # full worth ends: the aim counted from the client's first try
    reserved: bool
    luck: float  # its draw where chance shares out what hosts may send
    worth: float = 0.0  # per unit, if answered in time
    sent: int = 0
    out: dict[int, Node] = field(default_factory=dict)
    ran: tuple[float, NodeEntry] | None = None  # first send that may have run, and where
    waits: bool = False  # held, or waiting for a node to be held at
    over: bool = False


@dataclass(slots=True, eq=False)
class Pace:
    """What the nodes of a kind show lately."""

    window: float
    lat: float
    budget: float
    asked: float = 0.0  # units asked of warm ones, over their last periods
    served: float = 0.0  # and served of those inside their aims


@dataclass(slots=True, eq=False)
class Node:
    """A node as this host has met it."""

    entry: NodeEntry
    budget: float
    window: float
    lat: float  # smoothed answer time
    period: int
    learnt: float = 0.0  # when an answer time last came in
    faded: float = 0.0  # until when old news has given way
    met: float = 0.0  # when it was first listed, or listed anew
    young: float = -inf  # since when its capacity is at least the cold share
    used: float = 0.0  # units sent in this period
    asked: float = 0.0  # units that came in this period, or were held over
    served: float = 0.0
    answers: int = 0
    late: int = 0
    strained: bool = False  # last period was filled and ran past aim
    recent: deque[float] = field(default_factory=deque)
    loads: deque[float] = field(default_factory=deque)
    sessions: dict[int, float] = field(default_factory=dict)  # volume: when it last asked
    held: list[Job] = field(default_factory=list)
    flying: OrderedDict[tuple[int, int], tuple[float, float]] = field(default_factory=OrderedDict)
    inflight: float = 0.0
    sends: deque[tuple[float, float]] = field(default_factory=deque)  # within the fall window
    heard: float = -inf
    tries: int = 0  # attempts since
    failing: float = 0.0  # part of its answers that were errors, lately
    overtaken: float = -inf  # attempts sent before this were overtaken by an answered one
    eased: float = -inf  # when the window last shrank
    dark: float = inf  # since when it gives no sign of life
    trial: float = -inf  # next time a dark node may be tried
    leaves: float = -inf  # when it was told to drain, while it still serves


class Records:
    """All that a host remembers, empty at its start."""

    def __init__(self) -> None:
        self.nodes: dict[NodeId, Node] = {}
        self.ready: dict[int, list[Node]] = {}  # by shard; all of them under -1
        self.leaving: dict[int, list[Node]] = {}  # by shard: those that are not ready
        self.active: dict[Node, None] = {}  # nodes with requests held or out
        self.kinds: dict[int, Pace] = {}  # what the nodes of a kind show lately
        self.jobs: dict[int, Job] = {}
        self.limbo: list[Job] = []  # jobs without a node
        self.volumes: dict[tuple[int, int], Volume] = {}  # by volume and plan
        self.tidied = -inf  # when what can be forgotten was last looked for
        self.chains: dict[int, deque[Job]] = {}  # by key: jobs that must go in turn
        self.rests: dict[int, float] = {}  # by key: until when it rests
        self.taken = deque[float]()  # when requests came
        self.extra = deque[float]()  # when further attempts left
        self.usual = 0.0  # worth of a request, lately
        self.lossy = 0.0  # share of attempts whose answers got lost, lately
        self.alarm = inf  # when the next tick is due
        self.late = 0.0  # how late this batch may have come
        self.born = self.now = -inf
        self.out: list[Action] = []
        self.until = inf  # the host ends then: nothing is worth anything afterwards

    def end_by(self, when: float) -> None:
        """The host ends then; what is due later is due by then."""
        self.until = min(self.until, when)
        for job in self.jobs.values():
            job.due, job.soon = min(job.due, self.until), min(job.soon, self.until)
