"""What a host tells the scheduler and what the scheduler answers, in the terms of storage.

All times are milliseconds on the clock passed to ``Scheduler.handle``; sizes are in units.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from math import inf

NodeId = bytes


def name_of(node: NodeId) -> str:
    """A node as the log names it: its text where it is one, else in hex."""
    return node.decode() if node.isascii() and node.decode().isprintable() else node.hex()


class Repeat(Enum):
    """May a request of a class run more than once?"""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    AT_MOST_ONCE = "at_most_once"


class Group(Enum):
    """Which nodes drop repeats of a deduplicated request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class NodeState(Enum):
    """What the list says of a node."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a list event relates to the list held."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 1
    ERROR = 2
    REJECTED = 3
    TIMEOUT = 4
    NO_CONNECTION = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests."""

    name: str
    aim: float
    deadline: float
    worth: float
    late_worth: float
    repeat: Repeat
    group: Group
    repeat_window: float
    streamed: bool
    ordered: bool
    writes: bool


@dataclass(slots=True, frozen=True)
class Plan:
    """What a volume on this plan is promised; rates in units a second, 0 for none."""

    name: str
    usual_rate: float
    reservation: float
    limit: float
    limit_burst: float
    limit_slack: float
    weight: float
    worth_factor: float


@dataclass(slots=True, frozen=True)
class Settings:
    """Everything a scheduler is told at its start."""

    me: int
    hosts: int
    zone: int
    zones: tuple[str, ...]
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    asks_list: bool
    max_attempts: int
    second_copies: bool
    may_cancel: bool
    may_probe: bool
    max_retry_after: float
    mean_units: float
    most_units: float
    share_worth: float
    spare_worth: float
    cold_units: float
    cold_share: float
    warm_up: float
    fall_window: float
    answer_slack: float
    order_rest: float
    budget_window: float
    budget_free: float
    budget_share: float
    tells_others: bool
    meter_period: float
    report_fields: tuple[str, ...]
    kinds: tuple[str, ...] = ()
    drain_grace: float = 0.0  # a node told to drain may be sent work for so long
    most_open: float = inf  # requests that clients can have open here at a time
    connect_timeout: float = 250.0  # a connection not up by then has failed
    tip_multiple: float = 0.0  # a cold node bears so many times what it can do; 0 for not told
    idle_timeout: float = 15000.0  # nodes close connections idle for this long
    retired: frozenset[str] = frozenset()  # classes kept in their places for open requests, taking no more

    def __post_init__(self) -> None:
        """Raise a ValueError that names the first value no site can mean."""
        positive = {
            "hosts": self.hosts,
            "classes": len(self.classes),
            "plans": len(self.plans),
            "max_attempts": self.max_attempts,
            "mean_units": self.mean_units,
            "most_units": self.most_units,
            "cold_share": self.cold_share,
            "warm_up": self.warm_up,
            "fall_window": self.fall_window,
            **{f"aim of {c.name}": c.aim for c in self.classes},
            **{f"deadline of {c.name}": c.deadline for c in self.classes},
            **{f"worth of {c.name}": c.worth for c in self.classes},
            **{f"weight of {p.name}": p.weight for p in self.plans},
        }
        for name, value in positive.items():
            if not value > 0:
                raise ValueError(f"setting {name} must be above 0, not {value}")
        if self.cold_share > 1:
            raise ValueError(f"setting cold_share must be at most 1, not {self.cold_share}")


@dataclass(slots=True, frozen=True)
class NodeEntry:
    """One node as the list shows it; started is 0 for long ago."""

    node: NodeId
    shard: int
    zone: int
    kind: int
    started: float
    weight: float
    state: NodeState


@dataclass(slots=True, frozen=True)
class NodeList:
    """News of the list of nodes."""

    kind: ListKind
    version: int
    entries: tuple[NodeEntry, ...]


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request; shard is -1 for a new object, key 0 for none."""

    id: int
    class_: int
    plan: int
    key: int
    remaining: float
    volume: int
    units: float
    shard: int
    hosts: float
    repeated: bool
    write: bool
    ran: tuple[float, NodeEntry] | None = None  # a former life sent it then, there: it may have run
    part: float = 0.0  # this host's part of the volume's limit and reserve, by its fleet; else 1 / hosts


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set earlier came due."""

    token: int


@dataclass(slots=True, frozen=True)
class Departed:
    """The client left, or the answer is overdue: the request is over."""

    id: int


@dataclass(slots=True, frozen=True)
class Attempted:
    """One attempt's outcome; over tells that the request is finished."""

    id: int
    node: NodeId
    attempt: int
    outcome: Outcome
    over: bool
    elapsed: float
    used_percent: int
    others_units: int
    load: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class AnswerStarted:
    """A streamed answer began: the attempt is the client's now."""

    id: int
    node: NodeId
    attempt: int
    elapsed: float


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """A probe's outcome."""

    node: NodeId
    outcome: Outcome
    elapsed: float
    load: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Bytes from another host."""

    sender: int
    data: bytes


Event = NodeList | Request | TimerFired | Departed | Attempted | AnswerStarted | ProbeResult | PeerMessage


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; timeout 0 lets it run until the client gives up."""

    id: int
    node: NodeId
    timeout: float = 0.0


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: refused, a retry is harmless."""

    id: int
    retry_after: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, nothing is promised."""

    id: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting on one attempt."""

    id: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a TimerFired after delay."""

    token: int
    delay: float


@dataclass(slots=True, frozen=True)
class Probe:
    """Check a node."""

    node: NodeId


@dataclass(slots=True, frozen=True)
class WatchList:
    """Ask for changes of the list from now on, or stop asking."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchList:
    """Ask for the whole list once."""


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close idle connections to a node."""

    node: NodeId


@dataclass(slots=True, frozen=True)
class TellPeer:
    """Send bytes to one host, or to all with peer None."""

    peer: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | WatchList | FetchList | CloseIdle | TellPeer | Log
