"""State of one instance as holder of, or candidate for, one lease, and the results of its transitions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import NamedTuple

from sabledyke.lease.types import LeaseRequest, LeaseVersion


class Phase(Enum):
    """Phase of a holder.

    Attributes:
        WATCHING: It checks the lease and acquires it when it may.
        HOLDING: It holds the lease and may begin operations.
        RELEASING: An operation is in flight; no other begins, and after it the lease is released, or left to
            expire if its outcome is unknown.
        STOPPING: As in ``RELEASING``, but the holder stops permanently afterwards.
        STOPPED: It no longer sends requests.
    """

    WATCHING = "watching"
    HOLDING = "holding"
    RELEASING = "giving up"
    STOPPING = "stopping"
    STOPPED = "ended"


HOLDING_PHASES = frozenset({Phase.HOLDING, Phase.RELEASING, Phase.STOPPING})


class OperationStatus(Enum):
    """Status of the holder's last operation.

    Attributes:
        COMPLETED: It was answered, or never sent; also the status before the first operation.
        RUNNING: It runs, or its answer is awaited.
        UNRESOLVED: No answer arrived; it counts as running until the end of its lease.
    """

    COMPLETED = "completed"
    RUNNING = "running"
    UNRESOLVED = "unresolved"


class HolderEvent(Enum):
    """Event in the life of a lease that is written to the log.

    Attributes:
        GRANTED: The lease was acquired, or is available again after it had expired.
        RENEWED: The lease was renewed.
        EXPIRED: It was not renewed in time; the holder stops operating and keeps sending requests.
        LOST: Another process holds the lease, or none does.
        RECALLED: The holder releases the lease on an operator's request.
        RELEASED: The holder releases the lease as it stops, or after a wait for an operation.
        WAITING_FOR_OPERATION: The holder waits for the end of an operation before it releases the lease.
        ABANDONED: The lease is left to expire instead of released, as an operation may be in flight.
        FENCED: The holder releases the lease, as a resource has seen a later token.
    """

    GRANTED = "granted"
    RENEWED = "renewed"
    EXPIRED = "lapsed"
    LOST = "lost"
    RECALLED = "recalled"
    RELEASED = "released"
    WAITING_FOR_OPERATION = "waits for an act"
    ABANDONED = "left to expire"
    FENCED = "fenced"


@dataclass(slots=True, frozen=True)
class SendRequest:
    """Action to send a request to the authority; its reply is passed to the holder under this number."""

    number: int
    request: LeaseRequest


@dataclass(slots=True, frozen=True)
class HolderState:
    """Complete state of a holder; times are in ms on its own clock.

    Attributes:
        holder_id: Identifier that this instance holds the lease under.
        phase: Current phase.
        token: Token of the lease that it holds.
        may_operate_until_ms: Time before which it may operate.
        operating: True if the last event reported that the holder may operate.
        operation_status: Status of the last operation.
        operation_covered_until_ms: End of the lease that covers the last operation; each renewal while the
            operation runs extends it.
        abandoned_token: Token of a lease that was left to expire; 0 for none.
        seen_version: Version of the lease at the last inspection.
        seen_free: True if the lease was free at the last inspection.
        unchanged_since_ms: Time since which the lease has been seen at ``seen_version``.
        seen_ttl_ms: Duration of the current holder's lease; 0 if unknown.
        pending_request: Request that waits for a reply.
        request_number: Number of the latest request.
        requested_at_ms: Time at which the latest request was sent.
        next_request_at_ms: Time at which the next request is due.
        acquire_not_before_ms: Time before which this instance does not acquire the lease again, so that
            another instance can.
        consecutive_failures: Number of consecutive failed requests.
    """

    holder_id: str
    phase: Phase = Phase.WATCHING
    token: int = 0
    may_operate_until_ms: float = -inf
    operating: bool = False
    operation_status: OperationStatus = OperationStatus.COMPLETED
    operation_covered_until_ms: float = -inf
    abandoned_token: int = 0
    seen_version: LeaseVersion | None = None
    seen_free: bool = False
    unchanged_since_ms: float = 0.0
    seen_ttl_ms: float = 0.0
    pending_request: LeaseRequest | None = None
    request_number: int = 0
    requested_at_ms: float = 0.0
    next_request_at_ms: float = -inf
    acquire_not_before_ms: float = -inf
    consecutive_failures: int = 0

    @property
    def is_releasing(self) -> bool:
        """True if the lease is held only until the operation in flight ends, and no other begins."""
        return self.phase in HOLDING_PHASES and self.phase is not Phase.HOLDING


class Transition(NamedTuple):
    """Result of an input: the new state, and the requests and events that follow, each in order."""

    state: HolderState
    requests: list[SendRequest]
    events: list[HolderEvent]
