"""A test harness for the scheduler, with a simulated clock and timers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from sabledyke.policy.actions import Action, Fail, Reject, SetTimer, StartAttempt
from sabledyke.policy.concurrency import SESSION_IDLE_PERIODS
from sabledyke.policy.events import (
    AttemptCompleted,
    Event,
    Outcome,
    PossibleExecution,
    Request,
    TimerFired,
)
from sabledyke.policy.nodes import ListKind, NodeEntry, NodeId
from sabledyke.policy.scheduler import Scheduler
from sabledyke.policy.state import NodeRecord
from tests.support.nodes import endpoint_list, node_entry, node_id
from tests.support.settings import SETTINGS

START_MS = 1000.0
SEED = 7
ActionType = TypeVar("ActionType")


@dataclass(slots=True, frozen=True)
class SentAttempt:
    """An attempt that the scheduler started."""

    at_ms: float
    request_id: int
    node_id: NodeId


class SchedulerRig:
    """One scheduler with a simulated clock and timers; the test reports outcomes of attempts.

    Attributes:
        scheduler: The scheduler.
        now_ms: The current time of the simulated clock.
        last_request_id: The identifier of the request that was submitted last.
        timers: Due time in ms and token of each pending timer.
        sent: All attempts in the order of their starts.
        attempt_counts: Number of attempts by request identifier; requests without attempts are absent.
        actions: All actions so far.
    """

    def __init__(self, *entries: NodeEntry, **changes: Any) -> None:
        """Create a scheduler for these storage nodes, with these settings changed."""
        self.scheduler = Scheduler(replace(SETTINGS, **changes), SEED)
        self.now_ms = START_MS
        self.last_request_id = 0
        self.timers: list[tuple[float, int]] = []
        self.sent: list[SentAttempt] = []
        self.attempt_counts: dict[int, int] = {}
        self.actions: list[Action] = []
        self.handle(endpoint_list(*(entries or (node_entry(1),)), kind=ListKind.CACHED))

    def handle(self, *events: Event) -> list[Action]:
        """Pass a batch of events to the scheduler; return its actions."""
        actions = self.scheduler.handle(self.now_ms, list(events))
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now_ms + action.delay_ms, action.token))
            elif isinstance(action, StartAttempt):
                self.sent.append(SentAttempt(self.now_ms, action.request_id, action.node_id))
                count = self.attempt_counts.get(action.request_id, 0)
                self.attempt_counts[action.request_id] = count + 1
        self.actions += actions
        return actions

    def advance(self, duration_ms: float) -> list[Action]:
        """Advance the clock and fire the timers that are due; return the resulting actions."""
        end_ms = self.now_ms + duration_ms
        start = len(self.actions)
        while self.timers and min(self.timers)[0] <= end_ms:
            timer = min(self.timers)
            self.timers.remove(timer)
            due_ms, token = timer
            self.now_ms = max(self.now_ms, due_ms)
            self.handle(TimerFired(token))
        self.now_ms = end_ms
        return self.actions[start:]

    def submit(
        self,
        *,
        shard: int = 1,
        plan_index: int = 0,
        class_index: int = 0,
        units: float = 2,
        data_key: int = 0,
        volume: int = 1,
        remaining_ms: float | None = None,
        scheduler_count: float = 1,
        repeated: bool = False,
    ) -> int:
        """Submit a request; return its identifier."""
        self.last_request_id += 1
        if remaining_ms is None:
            remaining_ms = self.scheduler.context.settings.classes[class_index].deadline_ms
        self.handle(
            new_request(
                self.last_request_id,
                class_index=class_index,
                plan_index=plan_index,
                data_key=data_key,
                remaining_ms=remaining_ms,
                volume=volume,
                units=units,
                shard=shard,
                scheduler_count=scheduler_count,
                repeated=repeated,
            )
        )
        return self.last_request_id

    def complete(
        self,
        request_id: int,
        outcome: Outcome = Outcome.OK,
        elapsed_ms: float = 20,
        node_number: int = 1,
        *,
        request_completed: bool | None = None,
    ) -> list[Action]:
        """Report the outcome of a request's latest attempt; return the actions."""
        if request_completed is None:
            request_completed = outcome is Outcome.OK
        attempt = self.attempt_counts[request_id] - 1
        return self.handle(
            attempt_completed(
                request_id,
                outcome,
                elapsed_ms,
                node_number,
                attempt=attempt,
                request_completed=request_completed,
            )
        )

    def node(self, number: int = 1) -> NodeRecord:
        """Return the scheduler's record of a storage node."""
        return self.scheduler.nodes[node_id(number)]

    def attempt_count(self, request_id: int) -> int:
        """Return the number of attempts of a request."""
        return self.attempt_counts.get(request_id, 0)

    def was_sent(self, request_id: int) -> bool:
        """Return True if an attempt was started for the request."""
        return request_id in self.attempt_counts

    def answers(self, request_id: int) -> list[Action]:
        """Return the rejections and failures of a request; there should be at most one."""
        return [
            action
            for action in self.actions
            if isinstance(action, Reject | Fail) and action.request_id == request_id
        ]


def rig_with_small_budget(scheduler_count: int) -> SchedulerRig:
    """Return a rig at a period's start, whose node has a budget of 8 units and a larger in-flight window."""
    rig = SchedulerRig(scheduler_count=scheduler_count)
    period_ms = rig.scheduler.context.period_ms
    rig.now_ms = (rig.now_ms // period_ms + 1) * period_ms
    node = rig.node()
    node.budget_units = 8.0
    node.window_units = 32.0
    node.latency_ms = 1.0
    return rig


def mark_strained(rig: SchedulerRig, volume: int) -> None:
    """Mark the node as strained, with an expired session of the volume."""
    node = rig.node()
    node.strained = True
    node.sessions[volume] = rig.now_ms - rig.scheduler.context.period_ms * (SESSION_IDLE_PERIODS + 0.5)
    node.period_loads.extend([0.9, 0.9])


def new_request(
    request_id: int,
    *,
    class_index: int = 0,
    plan_index: int = 0,
    data_key: int = 0,
    remaining_ms: float = 1000,
    volume: int = 1,
    units: float = 2,
    shard: int = 1,
    scheduler_count: float = 1,
    repeated: bool = False,
    write: bool = False,
    possible_execution: PossibleExecution | None = None,
) -> Request:
    """Return a client's request."""
    return Request(
        request_id,
        class_index=class_index,
        plan_index=plan_index,
        data_key=data_key,
        remaining_ms=remaining_ms,
        volume=volume,
        units=units,
        shard=shard,
        scheduler_count=scheduler_count,
        repeated=repeated,
        write=write,
        possible_execution=possible_execution,
    )


def attempt_completed(
    request_id: int,
    outcome: Outcome,
    elapsed_ms: float,
    node_number: int = 1,
    *,
    attempt: int = 0,
    request_completed: bool,
) -> AttemptCompleted:
    """Return the outcome of an attempt, without a load report."""
    return AttemptCompleted(
        request_id,
        node_id(node_number),
        attempt,
        outcome,
        request_completed,
        elapsed_ms,
        used_percent=0,
        other_schedulers_units=0,
        load_report=(),
    )


def actions_of(actions: Iterable[Action], kind: type[ActionType]) -> list[ActionType]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]
