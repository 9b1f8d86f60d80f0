"""The state of one instance's side of one lease, and what its transitions consist of."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import NamedTuple

from sabledyke.lease.types import LeaseRequest, LeaseVersion


class Phase(Enum):
    """What the holder is doing."""

    WATCHING = "watching"
    HOLDING = "holding"
    RELEASING = "giving up"  # an act is out: no other begins, and the lease is released once it has ended
    STOPPING = "stopping"  # the same, and then it stops for good
    STOPPED = "ended"


HOLDING_PHASES = frozenset({Phase.HOLDING, Phase.RELEASING, Phase.STOPPING})


class OperationStatus(Enum):
    """What is known of the holder's last act."""

    COMPLETED = "completed"  # its answer came, or it was never sent; also before the first act
    RUNNING = "running"
    UNRESOLVED = "unresolved"  # no answer came: it counts as running until the end of its lease


class HolderEvent(Enum):
    """What is logged, and what the leader task is notified of."""

    GRANTED = "granted"
    RENEWED = "renewed"
    EXPIRED = "lapsed"  # not renewed in time: it stops acting, and keeps requesting
    LOST = "lost"  # another holds it, or nobody
    RECALLED = "recalled"  # an operator wanted it released
    RELEASED = "released"
    WAITING_FOR_OPERATION = "waits for an act"  # to end, before the lease is released
    ABANDONED = "left to expire"  # with an act out, so that it is not released
    FENCED = "fenced"  # a resource knows a later token


@dataclass(slots=True, frozen=True)
class SendRequest:
    """An action: send this request to the authority, and pass on its reply under this number."""

    number: int
    request: LeaseRequest


@dataclass(slots=True, frozen=True)
class HolderState:
    """All that a holder knows; times are on its own clock, in ms.

    Attributes:
        holder_id: The identifier that this instance holds the lease under.
        phase: What it is doing.
        token: The token of the lease that it holds.
        acts_until_ms: It may act before this time.
        acting: Whether the leader task was last notified that it may act.
        act_status: What is known of the last act.
        act_covered_until_ms: The end of the lease that the last act runs under, as far as was known while it
            ran.
        abandoned_token: The token of a lease that was left to expire; 0 for none.
        seen_version: The version of the lease when it was last seen.
        seen_free: Whether it was free then.
        unchanged_since_ms: Since when it has been seen at that version.
        seen_ttl_ms: How long its holder may rely on it, as far as is known.
        pending_request: The request that waits for a reply.
        request_number: The number of the latest request.
        requested_at_ms: When that was sent.
        next_request_at_ms: When to send the next one.
        acquire_not_before_ms: It was recalled, and acquires nothing before this time.
        consecutive_failures: How many requests in a row have failed.
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
        """Whether it holds the lease for the act that is out alone, and begins no other."""
        return self.phase in HOLDING_PHASES and self.phase is not Phase.HOLDING


class Transition(NamedTuple):
    """The result of an input: the new state, and what is to be carried out in this order."""

    state: HolderState
    requests: list[SendRequest]
    events: list[HolderEvent]
