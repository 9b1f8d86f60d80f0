"""Closes, shutdowns and disconnects at each step of a request: the client still gets its answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import pytest

from sabledyke import invariants
from sabledyke.application import lifecycle
from sabledyke.core import AttemptResult
from sabledyke.net import streams
from sabledyke.policy.events import Outcome
from sabledyke.protocol.http import MAX_INPUT_BYTES
from sabledyke.shutdown.graceful_shutdown import GracefulShutdown, ShutdownPhase
from tests.standins import send_request
from tests.support.request_steps import Step, SteppedConnection, request, until
from tests.support.server_rig import GET, INFO, Rig, hold_answers, play

CloseIdle = Callable[[Rig, SteppedConnection], None]


def sweep(rig: Rig, line: SteppedConnection) -> None:
    line.client.last_activity_s -= 3600  # idle for an hour
    rig.server.frontends[0]._close_overdue()


def shed(rig: Rig, _line: SteppedConnection) -> None:
    rig.server.frontends[0].close_idle(asyncio.get_running_loop().time())


def crowd(rig: Rig, _line: SteppedConnection) -> None:
    rig.server.frontends[0].max_clients = 1
    rig.server.frontends[0]._ensure_capacity()


def quiesce(rig: Rig, _line: SteppedConnection) -> None:
    rig.server.quiesce()


@pytest.mark.parametrize("close_idle", [sweep, shed, crowd, quiesce])
@pytest.mark.parametrize("step", list(Step))
def test_a_close_never_drops_a_request_that_was_read(step: Step, close_idle: CloseIdle) -> None:
    """Guards against each way of closing idle connections dropping a request that has arrived."""

    async def scenario(rig: Rig) -> None:
        line = await SteppedConnection.open(rig)
        await line.reach(step)
        close_idle(rig, line)
        line.release.set()
        answer = await line.answer()
        if step in (Step.ARRIVED, Step.READ, Step.IN_WORK, Step.ANSWERED):
            assert answer.startswith(b"HTTP/1.1 200")
            assert answer.endswith(b"late")
        elif step is Step.HALF:
            assert answer == b"" or answer.startswith((b"HTTP/1.1 408", b"HTTP/1.1 503"))
        else:
            assert answer == b""
        line.close()

    play(scenario)


class ScriptedShutdown(GracefulShutdown):
    """A graceful shutdown whose phase the test sets."""

    current = ShutdownPhase.ACCEPTING_CONNECTIONS

    def phase(self, _now: float) -> ShutdownPhase:
        """Return the phase that the test has set."""
        return type(self).current


@pytest.mark.parametrize(
    "initial_phase",
    [
        ShutdownPhase.ACCEPTING_CONNECTIONS,
        ShutdownPhase.SERVING_OPEN_CONNECTIONS,
        ShutdownPhase.DRAINING_CONNECTIONS,
    ],
)
@pytest.mark.parametrize("step", list(Step))
def test_the_end_of_a_shutdown_answers_every_request_that_was_read(
    step: Step, initial_phase: ShutdownPhase, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request without an answer if the shutdown completes right after each of its steps."""

    async def scenario(rig: Rig) -> None:
        monkeypatch.setattr(lifecycle, "GracefulShutdown", ScriptedShutdown)
        ScriptedShutdown.current = initial_phase
        line = await SteppedConnection.open(rig)
        rig.server.begin_shutdown()
        end = asyncio.create_task(rig.server.finish())
        await until(lambda: rig.server.frontends[0].shutting_down)
        await line.reach(step)
        ScriptedShutdown.current = ShutdownPhase.COMPLETED
        rig.server.core._answers.answer_all_by_ms = -1e9  # all pending answers are due now
        answer = await line.answer()
        if step in (Step.READ, Step.IN_WORK):
            assert answer.startswith((b"HTTP/1.1 503", b"HTTP/1.1 200"))
        elif step is Step.HALF:
            assert answer.startswith(b"HTTP/1.1 503")
        elif step is Step.ANSWERED:
            assert answer.endswith(b"late")
        elif step is Step.CONNECTED:
            assert answer == b""
        else:  # either answered, or never read, so that the client may send it again
            accepted = rig.server.core.last_request_id > 1
            assert answer.startswith(b"HTTP/1.1 503") if accepted else answer == b""
        await end
        line.close()

    play(scenario)


@pytest.mark.parametrize(("request_count", "crowded"), [(3, False), (3, True), (60, False), (110, False)])
def test_pipelined_requests_are_all_answered(request_count: int, *, crowded: bool) -> None:
    """Guards against closing a connection with a request in flight because of the input behind it."""

    async def scenario(rig: Rig) -> None:
        line = await SteppedConnection.open(rig)
        if crowded:
            rig.server.frontends[0].crowded_above = 0
        requests = b"".join(request(f"{n}-" + "x" * 1900) for n in range(request_count))
        buffered_count = MAX_INPUT_BYTES // len(request("00-" + "x" * 1900))
        loop, answers = asyncio.get_running_loop(), b""
        sent = asyncio.create_task(loop.sock_sendall(line.socket, requests))
        await line.arrived.wait()
        await sent
        line.release.set()
        while answers.count(b"late") < min(request_count, buffered_count):
            data = await loop.sock_recv(line.socket, 1 << 20)
            assert data, f"closed after {answers.count(b'late')} answers"
            answers += data
        if request_count > buffered_count:  # an error for the rest, and an orderly close
            while data := await loop.sock_recv(line.socket, 1 << 20):
                answers += data
            assert answers.count(b"HTTP/1.1 400") == 1
        line.close()

    play(scenario)


@pytest.mark.parametrize("pipelined_count", [0, 1, 110])
def test_a_disconnect_is_detected_also_behind_pipelined_requests(pipelined_count: int) -> None:
    async def scenario(rig: Rig) -> None:
        line, outcomes = await SteppedConnection.open(rig), list[Outcome]()
        report = rig.server.pool.report

        def record_outcome(request_id: int, number: int, result: AttemptResult) -> None:
            outcomes.append(result.outcome)
            report(request_id, number, result)

        rig.server.pool.report = record_outcome
        requests = b"".join(request(f"{n}-" + "x" * 1900) for n in range(pipelined_count + 1))
        sent = asyncio.create_task(asyncio.get_running_loop().sock_sendall(line.socket, requests))
        await line.arrived.wait()
        await sent
        line.close()
        received_count = len(rig.http.seen)
        await until(lambda: outcomes)
        assert outcomes == [Outcome.CANCELLED]  # cancelled before it timed out
        await until(lambda: line.client not in rig.server.frontends[0].clients)
        assert len(rig.http.seen) == received_count
        assert not rig.server.core.unanswered

    play(scenario)


@pytest.mark.parametrize("read", [False, True])
def test_a_request_behind_the_last_answer_is_not_started_and_the_answer_arrives(*, read: bool) -> None:
    """Covers a request that stays unread, and one that the stream reads before a slow answer is written."""

    async def scenario(rig: Rig) -> None:
        line = await SteppedConnection.open(rig)
        closing = request("last").replace(b"Req-Kind", b"Connection: close\r\nReq-Kind")
        line.socket.sendall(closing)
        await line.arrived.wait()
        received_count = len(rig.http.seen)
        line.release.set()
        await until(lambda: line.client.busy and line.client._writer.last_answer_begun)  # type: ignore[attr-defined]
        line.socket.sendall(request("behind"))
        if read:
            await until(lambda: not line.client.busy)
            pending_read = line.client._pending_read
            assert pending_read is not None
            pending_read.set_result(request("behind"))
        for _ in range(20):
            await asyncio.sleep(0)
        assert not line.client.has_unprocessed_input
        assert read or not streams.is_open_without_input(line.client.stream)
        assert (await line.answer()).endswith(b"late")
        # The connection ends with an orderly close, not with a reset.
        assert await asyncio.get_running_loop().sock_recv(line.socket, 99) == b""
        assert len(rig.http.seen) == received_count
        line.close()

    play(scenario)


def test_a_loop_held_up_before_a_deadline_leaves_the_answer_to_the_policy() -> None:
    """Guards against a failure answered by the core where the policy would have rejected in time."""

    async def scenario(rig: Rig) -> None:
        arrived, _ = hold_answers(rig)
        started_at_s = time.monotonic()
        answer = asyncio.create_task(send_request(rig.port, GET.format(1, "i", INFO)))
        await arrived.wait()
        await asyncio.sleep(started_at_s + 0.9 - time.monotonic())
        time.sleep(started_at_s + 0.985 - time.monotonic())
        assert (await answer)[0] == 503
        assert not invariants.violations

    play(scenario)
