"""What is checked when an attempt is written: client, node, time left, window of its key."""

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

Act = Callable[[Rig, SteppedConnection], None]


class LateDial:
    """A dialer whose connections come up when the test lets them."""

    def __init__(self, rig: Rig) -> None:
        self._dial = rig.server.assembly.http_dialer.dial
        self.arrived, self.release = asyncio.Event(), asyncio.Event()
        rig.server.pool.close_idle(b"plain")
        rig.server.assembly.dialers[b"plain"] = self

    async def __call__(self, node: NodeId, address: Address, patience: float) -> Any:
        link = await self._dial(node, address, patience)
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
    ("meanwhile", "goes"),
    [
        (leaves, False),
        (drains, False),
        (is_gone, False),
        (starts_anew, False),
        (has_no_time, False),
        (is_late, True),
    ],
)
def test_an_attempt_is_looked_at_again_in_the_turn_that_writes_it(meanwhile: Act, *, goes: bool) -> None:
    """A connection to a storage node comes up late: what was decided then may not hold any more."""

    async def scenario(rig: Rig) -> None:
        line = await SteppedConnection.open(rig)
        dial, ends = LateDial(rig), list[AttemptResult]()
        rig.server.core.metrics.count_attempt = lambda *_, **__: None  # type: ignore[method-assign]
        report = rig.server.pool.report

        def note(request_id: int, number: int, ended: AttemptResult) -> None:
            ends.append(ended)
            report(request_id, number, ended)

        rig.server.pool.report = note
        line.socket.sendall(request("late"))
        await dial.arrived.wait()
        seen = len(rig.http.seen)
        meanwhile(rig, line)
        dial.release.set()  # in this very turn: nobody has looked at what the client did
        line.release.set()
        if goes:
            await until(lambda: len(rig.http.seen) > seen)
            assert 0 < float(rig.http.seen[-1][1]["req-deadline"]) < 0.45  # of 0.94 s: half a second is gone
        else:
            await until(lambda: ends)
            assert not ends[0].may_have_run
            assert len(rig.http.seen) == seen
        rig.server.core.settings = DEPLOYMENT
        line.close()

    play(scenario)


def test_a_repeat_whose_window_ends_while_its_connection_comes_up_is_not_written() -> None:
    """Lodi, short days, seed 2: a keyed write was sent again outside its window."""
    once = replace(KEYED_WRITE, deduplication_window_ms=500)
    bench = CoreBench(no_actions)
    bench.core.settings = replace(SETTINGS, classes=(READ, once))
    request_id = bench.submit(class_index=1, write=True)
    bench.start_attempt(request_id)
    bench.core.on_attempt_completed(
        bench.now_ms, request_id, 0, AttemptResult(Outcome.RESET, may_have_run=True)
    )
    bench.now_ms += 300
    bench.start_attempt(request_id)
    assert len(bench.started) == 2
    assert bench.core.may_write(bench.now_ms, request_id, 1)
    assert not bench.core.may_write(
        bench.now_ms + 60, request_id, 1
    )  # inside by 140 ms: a pause of 150 would pass it
    assert not bench.core.may_write(bench.now_ms + 250, request_id, 1)


def test_a_request_in_work_keeps_the_window_that_it_came_with() -> None:
    """A new configuration takes its class's window away: what is decided and what is checked agree."""
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


def test_a_request_with_hardly_any_time_left_is_refused_unsent() -> None:
    """A storage node may drop what comes so late without a word; nothing of it has run."""

    async def scenario(rig: Rig) -> None:
        attempts, ended = list[int](), rig.server.core.on_attempt_completed

        def note(now_ms: float, request_id: int, number: int, end: AttemptResult) -> None:
            attempts.append(number)
            ended(now_ms, request_id, number, end)

        rig.server.core.on_attempt_completed = note  # type: ignore[method-assign]
        for left in (0.001, 0.029, 0.031, 0.059):
            line = await SteppedConnection.open(rig)
            attempts.clear()
            rig.server.core.scheduler.nodes[b"plain"].latency_ms = 1.0  # it could be served so soon
            line.release.set()
            line.socket.sendall(request(left).replace(b"Deadline: 1.0", f"Deadline: {left}".encode()))
            assert (await line.answer()).startswith(b"HTTP/1.1 503")
            assert not attempts
            line.close()
        assert not invariants.violations

    play(scenario)
