"""Actions that ``Scheduler.handle`` returns for a driver to carry out. Durations are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from sabledyke.policy.nodes import NodeId


class RejectReason(Enum):
    """Reasons for which a request is rejected or failed; the values are names of metrics."""

    LIMIT = "limit"  # its volume's limit would delay it past its full value
    ADMISSION = "admission"  # its node's capacity is kept for requests of a higher value
    TOO_LATE = "too_late"  # no answer could arrive in time for its full value
    SLOW_START = "slow_start"  # a node that is warming up will not admit it before its full value ends
    QUEUE = "queue"  # it had the lowest value in a queue whose answers would be too late
    CROWD = "crowd"  # the number of open requests was close to its maximum
    NO_NODE = "no_node"  # no node may serve it
    ATTEMPTS = "attempts"  # its last attempt failed, and no retry is allowed
    SHUTDOWN = "shutdown"  # the process is shutting down
    GUARD = "guard"  # the policy made no decision before its deadline


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send the request to a node; a timeout of 0 lets the attempt run until the client's deadline."""

    request_id: int
    node_id: NodeId
    timeout_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Reject:
    """Reject a request as its final answer: for its client it had no effect, and a retry is harmless."""

    request_id: int
    retry_after_ms: float = 0.0
    reason: RejectReason = field(kw_only=True)


@dataclass(slots=True, frozen=True)
class Fail:
    """Fail a request as its final answer: it may have had its effect."""

    request_id: int
    reason: RejectReason = field(kw_only=True)


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel one attempt of a request."""

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
    """Start or stop watching the endpoint list for changes."""

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
    """Send bytes to another scheduler, or to all of them if ``peer`` is None."""

    peer: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the operators' log."""

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
