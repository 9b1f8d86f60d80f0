"""A request that was accepted and is not yet forgotten. Times are milliseconds."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from sabledyke.core.types import Answer, ClientRequest
from sabledyke.policy.events import PossibleExecution, Request
from sabledyke.policy.nodes import NodeEntry, NodeId
from sabledyke.policy.retry import may_repeat
from sabledyke.policy.settings import RepeatSafety, RequestClass

# The client must have its answer inside its deadline, which it counts from when it sent: the core answers
# this long before, and attempts end earlier still, so that their timeouts reach the policy first.
ANSWER_GUARD_MS = 30.0
ATTEMPT_GUARD_MS = 60.0
# How much later the core answers, once, where the outcome of an attempt is still to be reported.
GUARD_POSTPONEMENT_MS = 5.0


class SentAttempt(NamedTuple):
    """When an attempt was decided, and at which node."""

    sent_at_ms: float
    node: NodeEntry


@dataclass(slots=True)
class OpenRequest:
    """A request and its attempts.

    Attributes:
        client_request: What the client wants.
        request_class: As it was when the request came: a new configuration moves neither name nor window.
        deadline_ms: By when the client must have its answer.
        done: Called with the final answer.
        answered: It has its final answer.
        attempt_count: Attempts so far.
        in_flight: Attempts whose outcome is not known, by number.
        first_execution: The first attempt that may have run.
        guard_postponed: The core waited for the outcome of an attempt before it answers itself.
    """

    client_request: ClientRequest
    request_class: RequestClass
    deadline_ms: float
    done: Callable[[Answer], None]
    answered: bool = False
    attempt_count: int = 0
    in_flight: dict[int, SentAttempt] = field(default_factory=dict)
    first_execution: PossibleExecution | None = None
    guard_postponed: bool = False

    @property
    def finished(self) -> bool:
        """It is answered, and no attempt is in flight."""
        return self.answered and not self.in_flight

    @property
    def may_be_rejected(self) -> bool:
        """It has certainly not run, or may be repeated."""
        may_have_run = self.first_execution is not None or bool(self.in_flight)
        return not may_have_run or self.request_class.repeat_safety is RepeatSafety.IDEMPOTENT

    def attempt_time_ms(self, now_ms: float) -> float:
        """Return how long an attempt may still take; 0 or less where none may be sent any more."""
        return self.deadline_ms - ATTEMPT_GUARD_MS - now_ms

    def has_attempt_at(self, node: NodeId) -> bool:
        """Whether an attempt is in flight at a node."""
        return any(attempt.node.node_id == node for attempt in self.in_flight.values())

    def may_run_at(self, node: NodeEntry, now_ms: float, *, besides: int | None = None) -> bool:
        """Whether it may be sent to a node: a write only where and when its idempotency key holds.

        Args:
            node: Where it would run.
            now_ms: The time.
            besides: The number of an attempt in flight that is not counted.
        """
        first = self.first_execution or self._first_in_flight(besides)
        if first is None:
            return True
        sent_at_ms, sent_to = first
        return may_repeat(
            self.request_class, sent_at_ms, (sent_to.shard, sent_to.zone), now_ms, (node.shard, node.zone)
        )

    def _first_in_flight(self, besides: int | None) -> SentAttempt | None:
        others = [attempt for number, attempt in self.in_flight.items() if number != besides]
        return min(others, key=_sent_at_ms) if others else None


def _sent_at_ms(attempt: SentAttempt) -> float:
    return attempt.sent_at_ms


def policy_request(request_id: int, client_request: ClientRequest) -> Request:
    """Return the policy's event for a request; one whose attempts could not end in time has no time left."""
    has_time = client_request.remaining_ms > ATTEMPT_GUARD_MS
    return Request(
        id=request_id,
        class_index=client_request.class_index,
        plan_index=client_request.plan_index,
        data_key=client_request.data_key,
        remaining_ms=client_request.remaining_ms if has_time else 0.0,
        volume=client_request.volume,
        units=client_request.units,
        shard=client_request.shard,
        scheduler_count=client_request.scheduler_count,
        repeated=client_request.repeated,
        write=client_request.write,
        possible_execution=client_request.possible_execution,
        quota_share=client_request.quota_share,
    )
