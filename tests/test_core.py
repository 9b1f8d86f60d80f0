"""The core between a made-up front, transport and clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from sabledyke import invariants
from sabledyke.core import (
    ANSWER_GUARD_MS,
    ATTEMPT_GUARD_MS,
    Answer,
    AnswerStatus,
    AttemptResult,
    ClientRequest,
    Core,
)
from sabledyke.policy.actions import Action, StartAttempt
from sabledyke.policy.events import Event, Outcome, Request
from sabledyke.policy.nodes import NodeId
from sabledyke.policy.settings import DeduplicationScope, RepeatSafety
from tests.helpers import SETTINGS, WRITE, listing, node

OK = AttemptResult(Outcome.OK, True, b"body")


class Bench:
    """A core, and what it asked of its ports."""

    def __init__(self, module: Callable[[float, list[Event]], list[Action]] | None = None) -> None:
        self.started: list[tuple[int, int, NodeId, float]] = []
        self.cancelled: list[tuple[int, int]] = []
        self.answers: list[Answer] = []
        self.watched: list[bool] = []
        self.now = 1000.0
        self.core = Core(SETTINGS, 1, self, self, lambda: None)
        if module is not None:
            self.core.scheduler.handle = module  # type: ignore[method-assign, assignment]
        self.core.on_endpoint_list(listing(node(1)))
        self.core.run_batch(self.now)

    def start(self, request_id: int, number: int, where: NodeId, work: ClientRequest, timeout: float) -> None:
        self.started.append((request_id, number, where, timeout))

    def cancel(self, request_id: int, number: int) -> None:
        self.cancelled.append((request_id, number))
        self.core.on_attempt_completed(self.now, request_id, number, AttemptResult(Outcome.CANCELLED, True))

    def close_idle(self, where: NodeId) -> None:
        raise AssertionError("not asked for here")

    def watch(self, on: bool) -> None:
        self.watched.append(on)

    def fetch(self) -> None:
        raise AssertionError("not asked for here")

    def ask(self, **changes: Any) -> int:
        work = ClientRequest(0, 0, 1, 1, 2.0, 1, 1.0, 1000.0, False, False, "i")
        request_id = self.core.submit(self.now, replace(work, **changes), self.answers.append)
        self.core.run_batch(self.now)
        return request_id

    def wait(self, ms: float) -> None:
        end = self.now + ms
        while (due := self.core.next_batch_due()) is not None and due <= end:
            self.now = max(self.now, due)
            self.core.run_batch(self.now)
        self.now = end


def test_an_answer_goes_out_at_once_and_once() -> None:
    bench = Bench()
    request_id = bench.ask()
    assert bench.started == [(request_id, 0, node(1).node_id, 200)]  # until the aim: later it earns little
    bench.core.on_attempt_completed(bench.now, request_id, 0, OK)
    assert bench.answers == [Answer(AnswerStatus.SERVED, b"body")]  # before the module's turn
    bench.wait(2000)
    assert len(bench.answers) == 1 and not bench.core.unanswered


def test_a_client_gone_is_owed_nothing_and_its_attempt_is_called_off() -> None:
    bench = Bench()
    request_id = bench.ask()
    bench.core.on_client_disconnected(request_id)
    bench.core.run_batch(bench.now)
    assert bench.cancelled == [(request_id, 0)] and not bench.answers
    bench.wait(2000)
    assert not bench.answers and not bench.core.open_requests


def test_a_silent_module_costs_no_client_its_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(invariants, "violations", type(invariants.violations)())
    bench = Bench(lambda now, events: [])
    bench.ask(remaining_ms=500.0)
    with pytest.raises(AssertionError):  # counted only, under -O
        bench.wait(500)
    assert bench.answers == [Answer(AnswerStatus.FAILED)] and bench.now == 1500 - ANSWER_GUARD_MS
    assert sum(invariants.violations.values()) == 1


def test_attempts_end_before_the_deadline_and_none_starts_after() -> None:
    def send(_: float, events: list[Event]) -> list[Action]:
        return [StartAttempt(e.id, node(1).node_id) for e in events if isinstance(e, Request)]

    bench = Bench(send)
    bench.ask(remaining_ms=500.0)
    assert [t for *_, t in bench.started] == [500 - ATTEMPT_GUARD_MS]
    bench.ask(remaining_ms=ATTEMPT_GUARD_MS)
    assert len(bench.started) == 1  # moot


def test_a_module_that_would_repeat_a_write_wrongly_is_held_back(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(invariants, "violations", type(invariants.violations)())
    bench = Bench(lambda now, events: [])
    keyed = replace(
        WRITE,
        repeat_safety=RepeatSafety.DEDUPLICATED,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window_ms=300,
    )
    bench.core.settings = replace(SETTINGS, classes=(keyed,))
    bench.core.on_endpoint_list(listing(node(1), node(2)))
    request_id = bench.ask(write=True)

    def send(now: float, where: int) -> None:
        bench.core._carry_out(now, StartAttempt(request_id, node(where).node_id))

    send(1000, 1)
    bench.core.on_attempt_completed(1010, request_id, 0, AttemptResult(Outcome.RESET, True))
    send(1100, 1)  # its cell, inside its window
    for now, where in ((1100, 2), (1300, 1)):
        with pytest.raises(AssertionError):
            send(now, where)
    assert [n for _, n, *_ in bench.started] == [0, 1]


def test_a_fault_in_the_module_does_not_end_the_program(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(invariants, "violations", type(invariants.violations)())

    def fault(now: float, events: list[Event]) -> list[Action]:
        raise KeyError("a bug")

    with pytest.raises(AssertionError, match="without a fault"):
        Bench(fault)
    assert sum(invariants.violations.values()) == 1


def test_more_attempts_than_allowed_are_moot() -> None:
    bench = Bench(lambda now, events: [])
    request_id = bench.ask()
    for number in range(SETTINGS.max_attempts + 2):
        bench.core._carry_out(bench.now, StartAttempt(request_id, node(1).node_id))
        if number < SETTINGS.max_attempts:
            bench.core.on_attempt_completed(
                bench.now, request_id, number, AttemptResult(Outcome.REJECTED, False)
            )
    assert [n for _, n, *_ in bench.started] == list(range(SETTINGS.max_attempts))
