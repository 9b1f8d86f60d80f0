"""The core between a made-up frontend, transport and clock."""

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
    """Decide nothing, as a policy that remains silent."""
    return []


@dataclass(slots=True, frozen=True)
class StartedAttempt:
    """An attempt that the transport was given."""

    request_id: int
    number: int
    node_id: NodeId
    timeout_ms: float


class ExposedCore(Core):
    """A core that carries out single actions for a test."""

    def carry_out(self, now_ms: float, action: Action) -> None:
        """Carry out an action as if the policy had decided it."""
        self._carry_out(now_ms, action)


class CoreBench:
    """A core, and what it requested of its transport.

    Attributes:
        core: The core, before storage node 1.
        started: The attempts that it started.
        cancelled: Request and number of each attempt that it cancelled.
        answers: The answers to clients.
        now_ms: The clock.
    """

    def __init__(self, decide: Decide | None = None) -> None:
        """Start a core; ``decide`` takes the place of its policy."""
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
        """Submit a request, changed so, and run a batch; return its identifier."""
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
        """Let time pass, and run the batches that fall due."""
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

    # The transport.

    def start(
        self, request_id: int, number: int, node: NodeId, _request: ClientRequest, timeout: float
    ) -> None:
        """Note an attempt."""
        self.started.append(StartedAttempt(request_id, number, node, timeout))

    def cancel(self, request_id: int, number: int) -> None:
        """Cancel an attempt at once."""
        self.cancelled.append((request_id, number))
        result = AttemptResult(Outcome.CANCELLED, may_have_run=True)
        self.core.on_attempt_completed(self.now_ms, request_id, number, result)

    def close_idle(self, _node: NodeId) -> None:
        """Fail: no test has idle connections."""
        raise AssertionError("not requested here")

    # Discovery.

    def watch(self, *, on: bool) -> None:
        """Accept: endpoint lists are pushed here."""

    def fetch(self) -> None:
        """Fail: endpoint lists are pushed here."""
        raise AssertionError("not requested here")
