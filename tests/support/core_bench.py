"""A test harness that runs the core with a fake frontend, transport, discovery and clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from sabledyke.core import Answer, AttemptResult, ClientRequest, Core
from sabledyke.policy.actions import Action, StartAttempt
from sabledyke.policy.events import Event, Outcome
from sabledyke.policy.nodes import NodeId
from tests.support.nodes import endpoint_list, node_entry, node_id
from tests.support.settings import SETTINGS

START_MS = 1000.0
Decide = Callable[[float, list[Event]], list[Action]]


def no_actions(_now_ms: float, _events: list[Event]) -> list[Action]:
    """Decide nothing, as a stub of the policy."""
    return []


@dataclass(slots=True, frozen=True)
class StartedAttempt:
    """An attempt that the core passed to the transport."""

    request_id: int
    number: int
    node_id: NodeId
    timeout_ms: float


class ExposedCore(Core):
    """A core with a public method that executes a single action."""

    def carry_out(self, now_ms: float, action: Action) -> None:
        """Execute an action as if the policy had decided it."""
        self._carry_out(now_ms, action)


class CoreBench:
    """A core with fakes around it, which record what it requests.

    Attributes:
        core: The core, whose endpoint list contains storage node 1 only.
        started: The attempts that the core started.
        cancelled: Request identifier and attempt number of each cancelled attempt.
        answers: The answers to clients.
        now_ms: The current time of the fake clock.
    """

    def __init__(self, decide: Decide | None = None) -> None:
        """Start a core; ``decide``, if given, replaces its policy."""
        self.started: list[StartedAttempt] = []
        self.cancelled: list[tuple[int, int]] = []
        self.answers: list[Answer] = []
        self.now_ms = START_MS
        self.core = ExposedCore(SETTINGS, 1, self, self, lambda: None)
        if decide is not None:
            self.core.scheduler.handle = decide  # type: ignore[method-assign, assignment]
        self.core.on_endpoint_list(endpoint_list(node_entry(1)))
        self.core.run_batch(self.now_ms)

    def submit(self, **changes: Any) -> int:
        """Submit a request with these fields changed, and run a batch; return its identifier."""
        request = ClientRequest(
            class_index=0,
            plan_index=0,
            volume=1,
            data_key=1,
            units=2.0,
            shard=1,
            scheduler_count=1.0,
            remaining_ms=1000.0,
            repeated=False,
            write=False,
            client_request_id="i",
        )
        request_id = self.core.submit(self.now_ms, replace(request, **changes), self.answers.append)
        self.core.run_batch(self.now_ms)
        return request_id

    def advance(self, duration_ms: float) -> None:
        """Advance the clock, and run each batch when it is due."""
        end_ms = self.now_ms + duration_ms
        due_ms = self.core.next_batch_due()
        while due_ms is not None and due_ms <= end_ms:
            self.now_ms = max(self.now_ms, due_ms)
            self.core.run_batch(self.now_ms)
            due_ms = self.core.next_batch_due()
        self.now_ms = end_ms

    def start_attempt(self, request_id: int, node_number: int = 1) -> None:
        """Have the core start an attempt as if the policy had decided it."""
        self.core.carry_out(self.now_ms, StartAttempt(request_id, node_id(node_number)))

    # Methods of the transport.

    def start(
        self, request_id: int, number: int, node: NodeId, _request: ClientRequest, timeout: float
    ) -> None:
        """Record a started attempt."""
        self.started.append(StartedAttempt(request_id, number, node, timeout))

    def cancel(self, request_id: int, number: int) -> None:
        """Record a cancelled attempt, and report its outcome immediately."""
        self.cancelled.append((request_id, number))
        result = AttemptResult(Outcome.CANCELLED, may_have_run=True)
        self.core.on_attempt_completed(self.now_ms, request_id, number, result)

    def close_idle(self, _node: NodeId) -> None:
        """Raise AssertionError, since no test has idle connections."""
        raise AssertionError("unexpected call: the core should not request this here")

    # Methods of discovery.

    def watch(self, *, on: bool) -> None:
        """Do nothing, since tests pass endpoint lists to the core directly."""

    def fetch(self) -> None:
        """Raise AssertionError, since tests pass endpoint lists to the core directly."""
        raise AssertionError("unexpected call: the core should not request this here")
