"""Events that a driver reports to ``Scheduler.handle``.

Times are milliseconds on the clock passed to ``handle``; sizes are units.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from sabledyke.policy.nodes import EndpointList, NodeEntry, NodeId


class Outcome(IntEnum):
    """Outcomes of attempts and probes."""

    OK = 1
    ERROR = 2
    REJECTED = 3
    TIMEOUT = 4
    NO_CONNECTION = 5
    RESET = 6
    CANCELLED = 7
    EXPIRED = 8


class PossibleExecution(NamedTuple):
    """Time and node of the first send of a request after which the request may have run."""

    sent_at_ms: float
    node: NodeEntry


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request.

    Attributes:
        class_index: Index into ``Settings.classes``.
        plan_index: Index into ``Settings.plans``.
        data_key: The piece of data that it reads or writes; 0 for none.
        remaining_ms: Time for which its client still waits.
        shard: The shard that holds the data; -1 for a new object, which any node may take.
        scheduler_count: Schedulers through which the volume's requests come.
        repeated: True if the client has sent the request before.
        possible_execution: Time and node of a send by an earlier incarnation; the request may have run then.
        quota_share: This scheduler's share of the volume's limit and reservation, as quota sharing allocates
            it by demand; 0 for an even share.
    """

    id: int
    class_index: int
    plan_index: int
    data_key: int
    remaining_ms: float
    volume: int
    units: float
    shard: int
    scheduler_count: float
    repeated: bool
    write: bool
    possible_execution: PossibleExecution | None = None
    quota_share: float = 0.0


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that was set by ``SetTimer`` is due."""

    token: int


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client disconnected or its answer is overdue, so the request needs no answer any more."""

    request_id: int


@dataclass(slots=True, frozen=True)
class AttemptCompleted:
    """The one outcome that is reported for an attempt.

    Attributes:
        request_completed: True if the request already has its final answer.
        used_percent: Total service that the volume got in the last complete period, in percent of its rate.
        other_schedulers_units: Units served to the volume through other schedulers in the meantime.
        load_report: The node's load, in the order of ``Settings.report_fields``.
    """

    request_id: int
    node_id: NodeId
    attempt: int
    outcome: Outcome
    request_completed: bool
    elapsed_ms: float
    used_percent: int
    other_schedulers_units: int
    load_report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class AnswerStarted:
    """The first part of a streamed answer reached the client."""

    request_id: int
    node_id: NodeId
    attempt: int
    elapsed_ms: float


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """The outcome of a node's health check."""

    node_id: NodeId
    outcome: Outcome
    elapsed_ms: float
    load_report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Bytes that another scheduler sent with ``SendToPeer``."""

    sender: int
    data: bytes


Event = (
    EndpointList
    | Request
    | TimerFired
    | ClientDisconnected
    | AttemptCompleted
    | AnswerStarted
    | ProbeResult
    | PeerMessage
)
