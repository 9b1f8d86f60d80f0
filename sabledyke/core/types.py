"""Types that the core exchanges with front ends, transports and discovery. Times are milliseconds."""

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
    """Status of a final answer; the values are stored in the receipt journal."""

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
        data_key: The piece of data that the request reads or writes; 0 for none.
        units: Size of the request.
        shard: The shard that holds the data; -1 for a new object.
        scheduler_count: Schedulers through which the volume's requests come.
        remaining_ms: Time for which its client still waits.
        repeated: True if the client has sent the request before.
        write: True for a write.
        client_request_id: The client's own number of the request.
        idempotency_key: The idempotency key; empty for none.
        method: The method as an HTTP client wrote it; empty from other front ends.
        target: The request target as an HTTP client wrote it; empty from other front ends.
        body: Data to write.
        read_size_bytes: Size of a read if the front end's wire protocol states it; else 0.
        possible_execution: Time and node of a send by an earlier incarnation; the request may have run then.
        last_node: Node of the last attempt.
        quota_share: This scheduler's share of the volume's limit and reservation; 0 for an even share.
        client_connected: Returns whether the client is still connected.
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


class BodyStream(Protocol):
    """The body of a long answer of a storage node, which is passed on while it arrives.

    The owner reads it to its end or closes it.
    """

    @property
    def length_bytes(self) -> int | None:
        """Length of the whole body; None if the node did not state it."""

    async def read(self) -> bytes:
        """Return the next part as soon as it arrives, and empty bytes at the end of the body.

        Raises:
            AnswerBrokenError: The node broke off its answer, or gave nothing for too long.
        """

    def close(self) -> None:
        """Stop the answer; after its end this has no effect."""


@dataclass(slots=True, frozen=True)
class Answer:
    """The one final answer of a request.

    Attributes:
        status: Status of the answer.
        body: Data for the client.
        retry_after_ms: Delay after which a rejected client may retry; 0 for no advice.
        body_stream: Data for the client that is still arriving, in place of ``body``; None for most answers.
    """

    status: AnswerStatus
    body: bytes = b""
    retry_after_ms: float = 0.0
    body_stream: BodyStream | None = None

    def discard(self) -> None:
        """Stop the stream of an answer that is not passed on."""
        if self.body_stream is not None:
            self.body_stream.close()


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """Result of an attempt.

    Attributes:
        outcome: Outcome of the attempt.
        may_have_run: True if the last byte of the request may have reached the node.
        body: The node's answer.
        used_percent: Total service that the volume got in the last complete period, in percent of its rate.
        other_schedulers_units: Units served to the volume through other schedulers in the meantime.
        load_report: The node's load, in the order of ``Settings.report_fields``.
        held_back_ms: Delay of the attempt in this process, which does not count as latency of the node.
        body_stream: A long answer that is still arriving, in place of ``body``; None for most results.
    """

    outcome: Outcome
    may_have_run: bool
    body: bytes = b""
    used_percent: int = 0
    other_schedulers_units: int = 0
    load_report: tuple[float, ...] = ()
    held_back_ms: float = 0.0
    body_stream: BodyStream | None = None


EXPIRED_UNSENT = AttemptResult(Outcome.EXPIRED, may_have_run=False)


class Transport(Protocol):
    """Sends attempts to nodes.

    Each attempt is reported once through ``Core.on_attempt_completed``, never from inside a method of this
    class.
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
        """Start or stop watching for changes."""

    def fetch(self) -> None:
        """Request the complete list once."""
