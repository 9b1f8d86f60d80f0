"""A resource that executes the operations of a leader task, and the check of its record of operations.

Every operation carries its holder, the fencing token, and the holder's times of its lease when it was sent.
It takes a configured time, and is recorded with start and end on the machine's monotonic clock, which the
holder's times use too. Without fencing the resource accepts every operation, to show that the check finds
violations.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from math import inf

from sabledyke.lease.fencing import Fence
from sabledyke.testbed.http_service import Service

TASK_HEADER = "lease-duty"
HOLDER_HEADER = "lease-holder"
TOKEN_HEADER = "lease-token"
SENT_HEADER = "lease-sent-ms"
CONFIRMED_HEADER = "lease-confirmed-ms"
REMAINING_HEADER = "lease-remaining-ms"


@dataclass(slots=True, frozen=True)
class Operation:
    """One accepted operation; times are on the machine's monotonic clock.

    Attributes:
        task: The leader task.
        holder: The holder of the task's lease.
        token: The lease's fencing token.
        confirmed_ms: Time at which the holder requested the latest confirmation of its lease.
        sent_ms: Time at which the holder sent the operation.
        held_until_ms: End of the time for operations under the lease, as the holder knew it at ``sent_ms``.
        start_ms: Time at which the operation began.
        end_ms: Time at which it completed.
    """

    task: str
    holder: str
    token: int
    confirmed_ms: float
    sent_ms: float
    held_until_ms: float
    start_ms: float
    end_ms: float


class FencedResource(Service):
    """Executes requests with the headers of ``lease.leader_tasks``; answers 409 to an outdated token.

    Attributes:
        fence: The highest token seen for each leader task.
        operations: The completed operations, in the order of their ends.
        operation_duration_s: The duration of an operation in seconds.
        begun_count: The number of accepted operations, including those in flight.
        last_holder: The holder whose operation was accepted last, "" for none.
    """

    def __init__(self, operation_duration_ms: float, *, fenced: bool = True) -> None:
        """Create a resource.

        Args:
            operation_duration_ms: The duration of an operation.
            fenced: True if operations under an outdated token are rejected.
        """
        super().__init__()
        self.fence = Fence()
        self.operations: list[Operation] = []
        self.begun_count = 0
        self.last_holder = ""
        self.operation_duration_s = operation_duration_ms / 1000
        self._fenced = fenced

    async def answer(self, _path: str, headers: dict[str, str], _body: bytes) -> tuple[int, bytes]:
        """Execute an operation, or reject it for its token."""
        task = headers[TASK_HEADER]
        holder = headers[HOLDER_HEADER]
        token = int(headers[TOKEN_HEADER])
        sent_ms = float(headers[SENT_HEADER])
        confirmed_ms = sent_ms - float(headers[CONFIRMED_HEADER])
        held_until_ms = sent_ms + float(headers[REMAINING_HEADER])
        start_ms = _now_ms()
        if not self.fence.accepts(task, token) and self._fenced:
            return HTTPStatus.CONFLICT, b""
        self.last_holder = holder
        self.begun_count += 1
        await asyncio.sleep(self.operation_duration_s)
        self.operations.append(
            Operation(task, holder, token, confirmed_ms, sent_ms, held_until_ms, start_ms, _now_ms())
        )
        return HTTPStatus.OK, b""


@dataclass(slots=True, frozen=True)
class OperationEvaluation:
    """The evaluation of a record of operations.

    Attributes:
        operation_count: The number of completed operations.
        holder_count: The number of holders with operations.
        overlap_count: The number of pairs of simultaneous operations under different tokens.
        lease_overlap_count: The number of operations sent while an earlier holder still relied on its lease.
        in_flight_at_release_count: The number of operations in flight when their lease was released.
        stale_count: The number of operations accepted under an older token than one before them.
        longest_gap_ms: The longest time between the end of an operation and the start of the next.
    """

    operation_count: int
    holder_count: int
    overlap_count: int
    lease_overlap_count: int
    in_flight_at_release_count: int
    stale_count: int
    longest_gap_ms: float


def evaluate(
    operations: Sequence[Operation], released_at_ms: Mapping[int, float] | None = None
) -> OperationEvaluation:
    """Check the operations of one leader task; a caller must treat an empty record as a failure.

    Args:
        operations: The accepted operations.
        released_at_ms: The time of each lease's release by token, on the clock of the operations.
    """
    released_at_ms = released_at_ms or {}
    ordered = sorted(operations, key=lambda operation: operation.start_ms)
    return OperationEvaluation(
        operation_count=len(ordered),
        holder_count=len({operation.holder for operation in ordered}),
        overlap_count=sum(_overlap_count(operation, ordered[i + 1 :]) for i, operation in enumerate(ordered)),
        lease_overlap_count=_lease_overlap_count(operations, released_at_ms),
        in_flight_at_release_count=sum(
            operation.end_ms > released_at_ms.get(operation.token, inf) for operation in operations
        ),
        stale_count=_stale_count(ordered),
        longest_gap_ms=_longest_gap_ms(ordered),
    )


def _overlap_count(operation: Operation, later_operations: Sequence[Operation]) -> int:
    """Return how many operations under other tokens begin before this one ends."""
    overlaps = 0
    for later in later_operations:
        if later.start_ms >= operation.end_ms:
            break
        overlaps += later.token != operation.token
    return overlaps


def _lease_overlap_count(operations: Sequence[Operation], released_at_ms: Mapping[int, float]) -> int:
    """Return how many operations were sent before the end of an earlier token's lease.

    Their durations don't matter: the lease ends at its release, or when its holder had to stop.
    """
    overlaps = 0
    for operation in operations:
        earlier = (other for other in operations if other.token < operation.token)
        ends_ms = (min(other.held_until_ms, released_at_ms.get(other.token, inf)) for other in earlier)
        overlaps += any(operation.sent_ms < end_ms for end_ms in ends_ms)
    return overlaps


def _stale_count(ordered: Sequence[Operation]) -> int:
    highest_token = 0
    stale = 0
    for operation in ordered:
        stale += operation.token < highest_token
        highest_token = max(highest_token, operation.token)
    return stale


def _longest_gap_ms(ordered: Sequence[Operation]) -> float:
    longest_ms = 0.0
    completed_ms = ordered[0].end_ms if ordered else 0.0
    for operation in ordered:
        longest_ms = max(longest_ms, operation.start_ms - completed_ms)
        completed_ms = max(completed_ms, operation.end_ms)
    return longest_ms


def _now_ms() -> float:
    return time.monotonic() * 1000
