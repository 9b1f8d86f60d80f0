"""An accepted request that is unanswered or has attempts in flight. Times are milliseconds."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from sabledyke.core.types import Answer, ClientRequest
from sabledyke.policy.events import PossibleExecution, Request
from sabledyke.policy.nodes import NodeEntry, NodeId
from sabledyke.policy.retry import may_repeat
from sabledyke.policy.settings import RepeatSafety, RequestClass

# Times before a request's deadline at which the core answers and at which attempts end. The answer must be
# earlier than the deadline, because the client counts it from its own send. Attempts end earlier still, so
# that the policy gets their timeouts first.
ANSWER_GUARD_MS = 30.0
ATTEMPT_GUARD_MS = 60.0
# Delay by which the core postpones its answer, once, if the outcome of an attempt is still to be reported.
GUARD_POSTPONEMENT_MS = 5.0


class SentAttempt(NamedTuple):
    """Time and node of a decision to send an attempt."""

    sent_at_ms: float
    node: NodeEntry


@dataclass(slots=True)
class OpenRequest:
    """A request and its attempts.

    Attributes:
        client_request: The client's request.
        request_class: Class at the request's arrival; a reload changes neither its name nor its window.
        deadline_ms: Time by which the client must have its answer.
        done: Called with the final answer.
        answered: True once the request has its final answer or its client has disconnected.
        attempt_count: Number of attempts so far.
        in_flight: Attempts without an outcome yet, by number.
        first_execution: The first attempt that may have run.
        guard_postponed: True once the core has postponed its own answer for the outcome of an attempt.
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
        """True if the request is answered and no attempt is in flight."""
        return self.answered and not self.in_flight

    @property
    def may_be_rejected(self) -> bool:
        """True if the request has certainly not run or may be repeated."""
        may_have_run = self.first_execution is not None or bool(self.in_flight)
        return not may_have_run or self.request_class.repeat_safety is RepeatSafety.IDEMPOTENT

    def attempt_time_ms(self, now_ms: float) -> float:
        """Return the time that an attempt may still take; 0 or less if no attempt may be sent any more."""
        return self.deadline_ms - ATTEMPT_GUARD_MS - now_ms

    def has_attempt_at(self, node: NodeId) -> bool:
        """Return whether an attempt is in flight at a node."""
        return any(attempt.node.node_id == node for attempt in self.in_flight.values())

    def may_run_at(self, node: NodeEntry, now_ms: float, *, excluding: int | None = None) -> bool:
        """Return whether the request may be sent to a node; a repeat only inside its key's scope and window.

        Args:
            node: The node to which the request would be sent.
            now_ms: The time.
            excluding: Number of an attempt in flight to leave out of account.
        """
        first = self.first_execution or self._first_in_flight(excluding)
        if first is None:
            return True
        sent_at_ms, sent_to = first
        return may_repeat(
            self.request_class, sent_at_ms, (sent_to.shard, sent_to.zone), now_ms, (node.shard, node.zone)
        )

    def _first_in_flight(self, excluding: int | None) -> SentAttempt | None:
        others = [attempt for number, attempt in self.in_flight.items() if number != excluding]
        return min(others, key=_sent_at_ms) if others else None


def _sent_at_ms(attempt: SentAttempt) -> float:
    return attempt.sent_at_ms


def policy_request(request_id: int, client_request: ClientRequest) -> Request:
    """Return the policy's event for a request, with no remaining time if no attempt could end in time."""
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
