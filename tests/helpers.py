"""Settings, events and a driver for tests; every figure here is made up for the tests."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, TypeVar

import hypothesis
from hypothesis import strategies as st

from sabledyke.policy.actions import Action, Fail, Reject, SetTimer, StartAttempt
from sabledyke.policy.events import AttemptCompleted, Event, Outcome, Request, TimerFired
from sabledyke.policy.nodes import EndpointList, ListKind, NodeEntry, NodeState
from sabledyke.policy.scheduler import Scheduler
from sabledyke.policy.settings import DeduplicationScope, Plan, RepeatSafety, RequestClass, Settings
from sabledyke.shutdown.graceful_shutdown import ShutdownTimes

READ = RequestClass(
    "read",
    200,
    1000,
    3,
    0.1,
    RepeatSafety.IDEMPOTENT,
    DeduplicationScope.ALL,
    5000,
    False,
    False,
    False,
)
WRITE = replace(READ, name="write", latency_objective_ms=400, deadline_ms=2000, value=2, writes=True)
FREE = Plan("free", 5, 0, 0, 0, 0, 1, 1)
HELD = Plan("held", 5, 5, 0, 0, 0, 2, 1)
CAPPED = Plan("capped", 5, 0, 10, 32, 8, 1, 1)
SETTINGS = Settings(
    scheduler_index=0,
    scheduler_count=2,
    zone=0,
    zones=("a", "b"),
    classes=(READ, WRITE),
    plans=(FREE, HELD, CAPPED),
    polls_endpoint_list=False,
    max_attempts=3,
    hedging_allowed=True,
    cancellation_allowed=True,
    probing_allowed=True,
    max_retry_after_ms=500,
    mean_units=2,
    max_units=8,
    share_value=0.3,
    surplus_value=0.05,
    slow_start_units=20,
    slow_start_fraction=0.25,
    warm_up_ms=10000,
    overload_window_ms=2000,
    answer_slack_ms=8,
    order_settle_ms=300,
    retry_budget_window_ms=0,
    retry_budget_free=0,
    retry_budget_ratio=0,
    reports_other_usage=False,
    meter_period_ms=0,
    report_fields=(),
)
T = TypeVar("T")
BRISK = ShutdownTimes(
    listener_open_s=0.1,
    max_deadline_s=0.6,
    kill_grace_s=0.4,
    kill_margin_s=0.1,
    final_answers_s=0.1,
    draining_s=0.2,
    hastened_s=0.2,
)  # 0.9 s


def node(
    n: int,
    shard: int | None = None,
    started: float = 0,
    zone: int = 0,
    state: NodeState = NodeState.READY,
) -> NodeEntry:
    return NodeEntry(bytes([10, 0, 0, n, 0, 80]), n if shard is None else shard, zone, 0, started, 1, state)


def listing(*entries: NodeEntry, kind: ListKind = ListKind.FULL) -> EndpointList:
    return EndpointList(kind, 1, entries)


class Rig:
    """One scheduler, its clock, its timers and the outcomes a test hands it."""

    def __init__(self, *entries: NodeEntry, **changes: Any) -> None:
        self.scheduler = Scheduler(replace(SETTINGS, **changes), 7)
        self.now, self.ids = 1000.0, 0
        self.timers: list[tuple[float, int]] = []
        self.sent: list[tuple[float, int, bytes]] = []
        self.tries: dict[int, int] = {}
        self.log: list[Action] = []
        self.do(listing(*(entries or (node(1),)), kind=ListKind.CACHED))

    def do(self, *events: Event) -> list[Action]:
        actions = self.scheduler.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_ms, action.token))
            elif isinstance(action, StartAttempt):
                self.sent.append((self.now, action.request_id, action.node_id))
                self.tries[action.request_id] = self.tries.get(action.request_id, 0) + 1
        self.log += actions
        return actions

    def wait(self, ms: float) -> list[Action]:
        end, start = self.now + ms, len(self.log)
        while self.timers and min(self.timers)[0] <= end:
            first = min(self.timers)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            self.do(TimerFired(first[1]))
        self.now = end
        return self.log[start:]

    def ask(
        self,
        shard: int = 1,
        plan: int = 0,
        class_: int = 0,
        units: float = 2,
        key: int = 0,
        volume: int = 1,
        remaining: float | None = None,
        hosts: float = 1,
    ) -> int:
        self.ids += 1
        left = self.scheduler.context.settings.classes[class_].deadline_ms if remaining is None else remaining
        self.do(Request(self.ids, class_, plan, key, left, volume, units, shard, hosts, False, False))
        return self.ids

    def end(
        self,
        request_id: int,
        how: Outcome = Outcome.OK,
        took: float = 20,
        where: int = 1,
        attempt: int | None = None,
        over: bool | None = None,
    ) -> list[Action]:
        number = self.tries[request_id] - 1 if attempt is None else attempt
        done = how is Outcome.OK if over is None else over
        return self.do(AttemptCompleted(request_id, node(where).node_id, number, how, done, took, 0, 0, ()))

    def sends(self, request_id: int) -> int:
        return self.tries.get(request_id, 0)

    def answers(self, request_id: int) -> list[Action]:
        return [a for a in self.log if isinstance(a, Reject | Fail) and a.request_id == request_id]


def of(actions: list[Action], kind: type[T]) -> list[T]:
    return [a for a in actions if isinstance(a, kind)]


FIXED = hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=150)
SIZES = st.lists(st.integers(1, 300), max_size=40)


def pieces(data: bytes, sizes: list[int]) -> list[bytes]:
    """The data in cuts of these sizes, and the rest."""
    out = []
    for size in sizes:
        out.append(data[:size])
        data = data[size:]
    return [p for p in (*out, data) if p]


@st.composite
def spoilt(draw: st.DrawFn, data: bytes) -> bytes:
    """Valid bytes of which some are overwritten, left out or cut off; or garbage altogether."""
    if draw(st.integers(0, 4)) == 0:
        return draw(st.binary(max_size=400))
    out = bytearray(data)
    for _ in range(draw(st.integers(1, 4))):
        at = draw(st.integers(0, max(0, len(out) - 1)))
        out[at : at + draw(st.integers(0, 3))] = draw(st.binary(max_size=3))
    return bytes(out[: draw(st.integers(0, len(out)))])
