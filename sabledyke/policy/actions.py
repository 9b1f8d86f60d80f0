"""What ``Scheduler.handle`` asks a driver to do. Durations are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from sabledyke.policy.nodes import NodeId


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


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; it may have had its effect."""

    request_id: int


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
