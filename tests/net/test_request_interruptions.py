"""Rare moments of clients' connections, each forced, and what a client is owed all the same."""

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

Act = Callable[[Rig, SteppedConnection], None]


def sweep(rig: Rig, line: SteppedConnection) -> None:
    line.client.last_activity_s -= 3600  # it has rested for an hour
    rig.server.fronts[0]._close_overdue()


def shed(rig: Rig, _line: SteppedConnection) -> None:
    rig.server.fronts[0].close_idle(asyncio.get_running_loop().time())


def crowd(rig: Rig, _line: SteppedConnection) -> None:
    rig.server.fronts[0].max_clients = 1
    rig.server.fronts[0]._ensure_capacity()


def quiesce(rig: Rig, _line: SteppedConnection) -> None:
    rig.server.quiesce()


@pytest.mark.parametrize("act", [sweep, shed, crowd, quiesce])
@pytest.mark.parametrize("step", list(Step))
def test_a_close_never_drops_a_request_that_was_read(step: Step, act: Act) -> None:
    """Whatever ends connections at rest, a request that has come in gets its whole answer."""

    async def scenario(rig: Rig) -> None:
        line = await SteppedConnection.open(rig)
        await line.reach(step)
        act(rig, line)
        line.release.set()
        said = await line.answer()
        if step in (Step.ARRIVED, Step.READ, Step.IN_WORK, Step.ANSWERED):
            assert said.startswith(b"HTTP/1.1 200")
            assert said.endswith(b"late")
        elif step is Step.HALF:
            assert said == b"" or said.startswith(b"HTTP/1.1 408")
        else:
            assert said == b""
        line.close()

    play(scenario)


class Scripted(GracefulShutdown):
    """A departure whose phase the test sets."""

    current = ShutdownPhase.ACCEPTING_CONNECTIONS

    def phase(self, _now: float) -> ShutdownPhase:
        """See ``Departure``."""
        return type(self).current


@pytest.mark.parametrize(
    "begins",
    [
        ShutdownPhase.ACCEPTING_CONNECTIONS,
        ShutdownPhase.SERVING_OPEN_CONNECTIONS,
        ShutdownPhase.DRAINING_CONNECTIONS,
    ],
)
@pytest.mark.parametrize("step", list(Step))
def test_the_end_answers_whatever_was_read(
    step: Step, begins: ShutdownPhase, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The program is told to end, and its last moment comes right after a request has come so far."""

    async def scenario(rig: Rig) -> None:
        monkeypatch.setattr(lifecycle, "GracefulShutdown", Scripted)
        Scripted.current = begins
        line = await SteppedConnection.open(rig)
        rig.server.leave()
        end = asyncio.create_task(rig.server.finish())
        await until(lambda: rig.server.fronts[0].shutting_down)
        await line.reach(step)
        Scripted.current = ShutdownPhase.COMPLETED
        rig.server.core._answers.answer_all_by_ms = -1e9  # all that is owed is due now
        said = await line.answer()
        if step in (Step.READ, Step.IN_WORK):
            assert said.startswith((b"HTTP/1.1 503", b"HTTP/1.1 200"))
        elif step is Step.HALF:
            assert said.startswith(b"HTTP/1.1 503")
        elif step is Step.ANSWERED:
            assert said.endswith(b"late")
        elif step is Step.CONNECTED:
            assert said == b""
        else:  # answered, or never looked at: then its client may send it once more
            taken = rig.server.core.last_request_id > 1
            assert said.startswith(b"HTTP/1.1 503") if taken else said == b""
        await end
        line.close()

    play(scenario)


@pytest.mark.parametrize(("many", "crowded"), [(3, False), (3, True), (60, False), (110, False)])
def test_who_sends_many_requests_at_once_gets_them_answered(many: int, *, crowded: bool) -> None:
    """Guards against ending a connection, because of what comes behind it, under a request in work."""

    async def scenario(rig: Rig) -> None:
        line = await SteppedConnection.open(rig)
        if crowded:
            rig.server.fronts[0].crowded_above = 0
        whole = b"".join(request(f"{n}-" + "x" * 1900) for n in range(many))
        fits = MAX_INPUT_BYTES // len(request("00-" + "x" * 1900))
        loop, answers = asyncio.get_running_loop(), b""
        sent = asyncio.create_task(loop.sock_sendall(line.socket, whole))
        await line.arrived.wait()
        await sent
        line.release.set()
        while answers.count(b"late") < min(many, fits):
            data = await loop.sock_recv(line.socket, 1 << 20)
            assert data, f"closed after {answers.count(b'late')} answers"
            answers += data
        if many > fits:  # an error for the rest, and an end in order
            while data := await loop.sock_recv(line.socket, 1 << 20):
                answers += data
            assert answers.count(b"HTTP/1.1 400") == 1
        line.close()

    play(scenario)


@pytest.mark.parametrize("behind", [0, 1, 110])
def test_a_client_that_goes_is_seen_also_behind_much_that_it_sent(behind: int) -> None:
    async def scenario(rig: Rig) -> None:
        line, outcomes = await SteppedConnection.open(rig), list[Outcome]()
        report = rig.server.pool.report

        def note(request_id: int, number: int, ended: AttemptResult) -> None:
            outcomes.append(ended.outcome)
            report(request_id, number, ended)

        rig.server.pool.report = note
        whole = b"".join(request(f"{n}-" + "x" * 1900) for n in range(behind + 1))
        sent = asyncio.create_task(asyncio.get_running_loop().sock_sendall(line.socket, whole))
        await line.arrived.wait()
        await sent
        line.close()
        asked = len(rig.http.seen)
        await until(lambda: outcomes)
        assert outcomes == [Outcome.CANCELLED]  # and not by its time
        await until(lambda: line.client not in rig.server.fronts[0].clients)
        assert len(rig.http.seen) == asked
        assert not rig.server.core.unanswered

    play(scenario)


@pytest.mark.parametrize("read", [False, True])
def test_a_request_behind_the_last_answer_is_not_started_and_the_answer_arrives(*, read: bool) -> None:
    """It stays unread; or the stream had read it when the last byte of a slow answer was written."""

    async def scenario(rig: Rig) -> None:
        line = await SteppedConnection.open(rig)
        closing = request("last").replace(b"Req-Kind", b"Connection: close\r\nReq-Kind")
        line.socket.sendall(closing)
        await line.arrived.wait()
        seen = len(rig.http.seen)
        line.release.set()
        await until(lambda: line.client.busy and line.client._last_answer_written)  # type: ignore[attr-defined]
        line.socket.sendall(request("behind"))
        if read:
            await until(lambda: not line.client.busy)
            reading = line.client._pending_read
            assert reading is not None
            reading.set_result(request("behind"))
        for _ in range(20):
            await asyncio.sleep(0)
        assert not line.client.has_unprocessed
        assert read or not streams.is_silent(line.client.stream)
        assert (await line.answer()).endswith(b"late")
        assert await asyncio.get_running_loop().sock_recv(line.socket, 99) == b""  # in order, no reset
        assert len(rig.http.seen) == seen
        line.close()

    play(scenario)


def test_a_loop_held_up_before_a_deadline_leaves_the_answer_to_the_policy() -> None:
    """Guards against the core's own answer, a failure, where the policy would have rejected in time."""

    async def scenario(rig: Rig) -> None:
        arrived, _ = hold_answers(rig)
        began_s = time.monotonic()
        asked = asyncio.create_task(send_request(rig.port, GET.format(1, "i", INFO)))
        await arrived.wait()
        await asyncio.sleep(began_s + 0.9 - time.monotonic())
        time.sleep(began_s + 0.985 - time.monotonic())
        assert (await asked)[0] == 503
        assert not invariants.violations

    play(scenario)
