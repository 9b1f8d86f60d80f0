"""Settings, events and a driver for tests; every figure here is made up for the tests."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, TypeVar

import hypothesis
from hypothesis import strategies as st

from sabledyke.policy import interface as api
from sabledyke.policy.scheduler import Scheduler
from sabledyke.shutdown.graceful_shutdown import ShutdownTimes

READ = api.RequestClass(
    "read", 200, 1000, 3, 0.1, api.Repeat.IDEMPOTENT, api.Group.ALL, 5000, False, False, False
)
WRITE = replace(READ, name="write", aim=400, deadline=2000, worth=2, writes=True)
FREE = api.Plan("free", 5, 0, 0, 0, 0, 1, 1)
HELD = api.Plan("held", 5, 5, 0, 0, 0, 2, 1)
CAPPED = api.Plan("capped", 5, 0, 10, 32, 8, 1, 1)
SETTINGS = api.Settings(
    me=0,
    hosts=2,
    zone=0,
    zones=("a", "b"),
    classes=(READ, WRITE),
    plans=(FREE, HELD, CAPPED),
    asks_list=False,
    max_attempts=3,
    second_copies=True,
    may_cancel=True,
    may_probe=True,
    max_retry_after=500,
    mean_units=2,
    most_units=8,
    share_worth=0.3,
    spare_worth=0.05,
    cold_units=20,
    cold_share=0.25,
    warm_up=10000,
    fall_window=2000,
    answer_slack=8,
    order_rest=300,
    budget_window=0,
    budget_free=0,
    budget_share=0,
    tells_others=False,
    meter_period=0,
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
    state: api.NodeState = api.NodeState.READY,
) -> api.NodeEntry:
    return api.NodeEntry(
        bytes([10, 0, 0, n, 0, 80]), n if shard is None else shard, zone, 0, started, 1, state
    )


def listing(*entries: api.NodeEntry, kind: api.ListKind = api.ListKind.FULL) -> api.NodeList:
    return api.NodeList(kind, 1, entries)


class Rig:
    """One scheduler, its clock, its timers and the outcomes a test hands it."""

    def __init__(self, *entries: api.NodeEntry, **changes: Any) -> None:
        self.scheduler = Scheduler(replace(SETTINGS, **changes), 7)
        self.now, self.ids = 1000.0, 0
        self.timers: list[tuple[float, int]] = []
        self.sent: list[tuple[float, int, bytes]] = []
        self.tries: dict[int, int] = {}
        self.log: list[api.Action] = []
        self.do(listing(*(entries or (node(1),)), kind=api.ListKind.CACHED))

    def do(self, *events: api.Event) -> list[api.Action]:
        actions = self.scheduler.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.delay, action.token))
            elif isinstance(action, api.Send):
                self.sent.append((self.now, action.id, action.node))
                self.tries[action.id] = self.tries.get(action.id, 0) + 1
        self.log += actions
        return actions

    def wait(self, ms: float) -> list[api.Action]:
        end, start = self.now + ms, len(self.log)
        while self.timers and min(self.timers)[0] <= end:
            first = min(self.timers)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            self.do(api.TimerFired(first[1]))
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
        left = self.scheduler.s.classes[class_].deadline if remaining is None else remaining
        self.do(api.Request(self.ids, class_, plan, key, left, volume, units, shard, hosts, False, False))
        return self.ids

    def end(
        self,
        rid: int,
        how: api.Outcome = api.Outcome.OK,
        took: float = 20,
        where: int = 1,
        attempt: int | None = None,
        over: bool | None = None,
    ) -> list[api.Action]:
        number = self.tries[rid] - 1 if attempt is None else attempt
        done = how is api.Outcome.OK if over is None else over
        return self.do(api.Attempted(rid, node(where).node, number, how, done, took, 0, 0, ()))

    def sends(self, rid: int) -> int:
        return self.tries.get(rid, 0)

    def answers(self, rid: int) -> list[api.Action]:
        return [a for a in self.log if isinstance(a, api.Refuse | api.Fail) and a.id == rid]


def of(actions: list[api.Action], kind: type[T]) -> list[T]:
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
