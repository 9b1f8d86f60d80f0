"""What ``Scheduler.handle`` asks a driver to do. Durations are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from sabledyke.policy.nodes import NodeId


class RejectReason(Enum):
    """Why a request is given up; the values are names of metrics."""

    LIMIT = "limit"  # its volume's limit would let it go too late
    ADMISSION = "admission"  # its node's capacity is kept for requests of a higher value
    TOO_LATE = "too_late"  # no answer could come in time for its full value
    SLOW_START = "slow_start"  # the node that warms up admits it at no time
    QUEUE = "queue"  # it was worth the least in a queue that answers too late
    CROWD = "crowd"  # nearly all places for open requests were taken
    NO_NODE = "no_node"  # no node may serve it
    ATTEMPTS = "attempts"  # its last attempt failed, and there is no retry
    SHUTDOWN = "shutdown"  # the program ended
    GUARD = "guard"  # the policy was silent until its deadline


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send the request to a node; a timeout of 0 lets the attempt run until the client gives up."""

    request_id: int
    node_id: NodeId
    timeout_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: rejected without effect, so that a retry is harmless."""

    request_id: int
    retry_after_ms: float = 0.0
    reason: RejectReason = field(kw_only=True)


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; it may have had its effect."""

    request_id: int
    reason: RejectReason = field(kw_only=True)


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Give up one attempt."""

    request_id: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Report ``TimerFired`` with this token after a delay."""

    token: int
    delay_ms: float


@dataclass(slots=True, frozen=True)
class Probe:
    """Check a node's health."""

    node_id: NodeId


@dataclass(slots=True, frozen=True)
class WatchList:
    """Start to watch the endpoint list for changes, or stop."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchList:
    """Request the complete endpoint list once."""


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the idle connections to a node."""

    node_id: NodeId


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """Send bytes to another scheduler, or to all where ``peer`` is None."""

    peer: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line for the operators."""

    text: str


Action = (
    StartAttempt
    | Reject
    | Fail
    | CancelAttempt
    | SetTimer
    | Probe
    | WatchList
    | FetchList
    | CloseIdle
    | SendToPeer
    | Log
)
