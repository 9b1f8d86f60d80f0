"""Checks before an attempt is written: client, node, remaining time and deduplication window."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from sabledyke import invariants
from sabledyke.core import AttemptResult
from sabledyke.policy.events import Outcome
from sabledyke.policy.nodes import NodeId
from sabledyke.protocol import discovery
from sabledyke.protocol.discovery import Address
from tests.support.core_bench import CoreBench, no_actions
from tests.support.endpoint_lists import DRAINING, HOST, REMOVED, delta_list
from tests.support.request_steps import SteppedConnection, request, until
from tests.support.server_rig import DEPLOYMENT, KEYED_WRITE, Rig, play
from tests.support.settings import READ, SETTINGS

ChangeConditions = Callable[[Rig, SteppedConnection], None]


class DelayedDial:
    """A dialer whose connections are established but returned only once the test releases them."""

    def __init__(self, rig: Rig) -> None:
        self._dial = rig.server.assembly.http_dialer.dial
        self.arrived, self.release = asyncio.Event(), asyncio.Event()
        rig.server.pool.close_idle(b"plain")
        rig.server.assembly.dialers[b"plain"] = self

    async def __call__(self, node: NodeId, address: Address, timeout_ms: float) -> Any:
        link = await self._dial(node, address, timeout_ms)
        self.arrived.set()
        await self.release.wait()
        return link


def leaves(_rig: Rig, line: SteppedConnection) -> None:
    line.close()


def drains(rig: Rig, _line: SteppedConnection) -> None:
    rig.server.core.settings = replace(rig.server.core.settings, drain_grace_ms=0.0)
    rig.server.assembly.on_endpoint_list(
        discovery.read_listing(DRAINING | {"hosts": [HOST | {"health": "draining"}]}, DEPLOYMENT)
    )


def is_gone(rig: Rig, _line: SteppedConnection) -> None:
    rig.server.core.settings = replace(rig.server.core.settings, drain_grace_ms=0.0)
    rig.server.assembly.on_endpoint_list(discovery.read_listing(REMOVED, DEPLOYMENT))


def starts_anew(rig: Rig, _line: SteppedConnection) -> None:
    rig.server.assembly.on_endpoint_list(discovery.read_listing(delta_list(HOST, 2, born_ms=5.0), DEPLOYMENT))


def has_no_time(rig: Rig, _line: SteppedConnection) -> None:
    for open_request in rig.server.core.open_requests:
        open_request.deadline_ms -= 3600_000


def is_late(rig: Rig, _line: SteppedConnection) -> None:
    for flight in rig.server.pool._attempts.values():
        flight.expires_at_s -= 0.5


@pytest.mark.parametrize(
    ("change_conditions", "sent"),
    [
        (leaves, False),
        (drains, False),
        (is_gone, False),
        (starts_anew, False),
        (has_no_time, False),
        (is_late, True),
    ],
)
def test_an_attempt_is_checked_again_immediately_before_it_is_written(
    change_conditions: ChangeConditions, *, sent: bool
) -> None:
    """Guards against sending on conditions that no longer hold once a slow connection is established."""

    async def scenario(rig: Rig) -> None:
        line = await SteppedConnection.open(rig)
        dial, results = DelayedDial(rig), list[AttemptResult]()
        rig.server.core.metrics.count_attempt = lambda *_, **__: None  # type: ignore[method-assign]
        report = rig.server.pool.report

        def record_result(request_id: int, number: int, result: AttemptResult) -> None:
            results.append(result)
            report(request_id, number, result)

        rig.server.pool.report = record_result
        line.socket.sendall(request("late"))
        await dial.arrived.wait()
        received_count = len(rig.http.seen)
        change_conditions(rig, line)
        dial.release.set()  # in the same iteration of the loop: the program has not processed the change yet
        line.release.set()
        if sent:
            await until(lambda: len(rig.http.seen) > received_count)
            assert 0 < float(rig.http.seen[-1][1]["req-deadline"]) < 0.45  # 0.94 s less half a second
        else:
            await until(lambda: results)
            assert not results[0].may_have_run
            assert len(rig.http.seen) == received_count
        rig.server.core.settings = DEPLOYMENT
        line.close()

    play(scenario)


def test_a_repeat_whose_window_ends_while_it_connects_is_not_written() -> None:
    """Guards against repeating a keyed write after its deduplication window (Lodi, short days, seed 2)."""
    keyed = replace(KEYED_WRITE, deduplication_window_ms=500)
    bench = CoreBench(no_actions)
    bench.core.settings = replace(SETTINGS, classes=(READ, keyed))
    request_id = bench.submit(class_index=1, write=True)
    bench.start_attempt(request_id)
    bench.core.on_attempt_completed(
        bench.now_ms, request_id, 0, AttemptResult(Outcome.RESET, may_have_run=True)
    )
    bench.now_ms += 300
    bench.start_attempt(request_id)
    assert len(bench.started) == 2
    assert bench.core.may_write(bench.now_ms, request_id, 1)
    # 140 ms of the window remain, which a pause of the process of 150 ms would exceed.
    assert not bench.core.may_write(bench.now_ms + 60, request_id, 1)
    assert not bench.core.may_write(bench.now_ms + 250, request_id, 1)


def test_a_request_in_flight_keeps_the_deduplication_window_of_its_arrival() -> None:
    """Guards against a decision and a check that use different windows after a reload shortens the window."""
    bench = CoreBench(no_actions)
    keyed = replace(KEYED_WRITE, deduplication_window_ms=2000)
    bench.core.settings = replace(SETTINGS, classes=(READ, keyed))
    request_id = bench.submit(class_index=1, write=True)
    bench.start_attempt(request_id)
    bench.core.on_attempt_completed(
        bench.now_ms, request_id, 0, AttemptResult(Outcome.RESET, may_have_run=True)
    )
    shorter = replace(keyed, deduplication_window_ms=1)
    bench.core.settings = replace(bench.core.settings, classes=(READ, shorter))
    bench.now_ms += 300
    bench.start_attempt(request_id)
    assert len(bench.started) == 2
    assert bench.core.may_write(bench.now_ms, request_id, 1)
    assert not invariants.violations


def test_a_request_with_too_little_time_left_is_rejected_without_an_attempt() -> None:
    """Guards against sending a request so late that the node may drop it without an answer."""

    async def scenario(rig: Rig) -> None:
        attempts, on_attempt_completed = list[int](), rig.server.core.on_attempt_completed

        def record_attempt(now_ms: float, request_id: int, number: int, end: AttemptResult) -> None:
            attempts.append(number)
            on_attempt_completed(now_ms, request_id, number, end)

        rig.server.core.on_attempt_completed = record_attempt  # type: ignore[method-assign]
        for remaining_s in (0.001, 0.029, 0.031, 0.059):
            line = await SteppedConnection.open(rig)
            attempts.clear()
            rig.server.core.scheduler.nodes[b"plain"].latency_ms = 1.0  # fast enough to serve the request
            line.release.set()
            line.socket.sendall(
                request(remaining_s).replace(b"Deadline: 1.0", f"Deadline: {remaining_s}".encode())
            )
            assert (await line.answer()).startswith(b"HTTP/1.1 503")
            assert not attempts
            line.close()
        assert not invariants.violations

    play(scenario)
