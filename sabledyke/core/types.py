"""What the core exchanges with front ends, transports and discovery. Times are milliseconds."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from sabledyke.policy.events import Outcome, PossibleExecution
from sabledyke.policy.nodes import NodeEntry, NodeId


def _always() -> bool:
    return True


class AnswerStatus(Enum):
    """How a request ended; the values are stored in the receipt journal."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class ClientRequest:
    """A client's request, as a front end has read it.

    Attributes:
        class_index: Index into ``Settings.classes``.
        plan_index: Index into ``Settings.plans``.
        volume: The volume's number.
        data_key: The piece of data that it reads or writes; 0 for none.
        units: Its size.
        shard: The shard that holds the data; -1 for a new object.
        scheduler_count: Schedulers through which the volume's requests come.
        remaining_ms: For how long its client still waits.
        repeated: The client has sent it before.
        write: It is a write.
        client_request_id: As the client numbered it.
        idempotency_key: Empty for none.
        method: As an HTTP client wrote it; empty from other front ends.
        target: Likewise.
        body: What a write writes.
        read_size_bytes: What a read reads, where the front end's wire says so; else 0.
        possible_execution: When and where an earlier incarnation sent it, so that it may have run already.
        last_node: Where its last attempt went.
        quota_share: This scheduler's share of the volume's limit and reservation; 0 for an even share.
        client_connected: Whether its client is still connected at this moment.
    """

    class_index: int
    plan_index: int
    volume: int
    data_key: int
    units: float
    shard: int
    scheduler_count: float
    remaining_ms: float
    repeated: bool
    write: bool
    client_request_id: str
    idempotency_key: str = ""
    method: str = ""
    target: str = ""
    body: bytes = b""
    read_size_bytes: int = 0
    possible_execution: PossibleExecution | None = None
    last_node: NodeEntry | None = None
    quota_share: float = 0.0
    client_connected: Callable[[], bool] = _always


@dataclass(slots=True, frozen=True)
class Answer:
    """The one final answer.

    Attributes:
        status: How the request ended.
        body: What the client gets.
        retry_after_ms: When a rejected client may try again; 0 for no advice.
    """

    status: AnswerStatus
    body: bytes = b""
    retry_after_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How an attempt ended.

    Attributes:
        outcome: How it ended.
        may_have_run: Its last byte may have reached the node.
        body: The node's answer.
        used_percent: The volume's total service in the last finished period, in percent of its rate.
        other_schedulers_units: What the node served the volume through other schedulers in the meantime.
        load_report: The node's load, in the order of ``Settings.report_fields``.
        held_back_ms: For how long it was held back in this process, which is no latency of the node.
    """

    outcome: Outcome
    may_have_run: bool
    body: bytes = b""
    used_percent: int = 0
    other_schedulers_units: int = 0
    load_report: tuple[float, ...] = ()
    held_back_ms: float = 0.0


EXPIRED_UNSENT = AttemptResult(Outcome.EXPIRED, may_have_run=False)


class Transport(Protocol):
    """Carries attempts to nodes.

    Each attempt is reported once through ``Core.on_attempt_completed``, never from inside a call.
    """

    def start(
        self, request_id: int, number: int, node: NodeId, request: ClientRequest, timeout: float
    ) -> None:
        """Start an attempt that may take ``timeout`` milliseconds."""

    def cancel(self, request_id: int, number: int) -> None:
        """Cancel an attempt; an unknown one is ignored."""

    def close_idle(self, node: NodeId) -> None:
        """Close idle connections to a node."""


class EndpointSource(Protocol):
    """Discovery, as the core uses it; it reports through ``Core.on_endpoint_list``."""

    def watch(self, *, on: bool) -> None:
        """Watch for changes from now on, or stop."""

    def fetch(self) -> None:
        """Request the whole list once."""
