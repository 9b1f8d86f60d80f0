"""Rare moments of clients' connections, each forced, and what a client is owed all the same."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import Any

import pytest

from sabledyke.application import server
from sabledyke.core import AttemptResult
from sabledyke.net import frontend, listener, streams
from sabledyke.policy.events import Outcome
from sabledyke.protocol.http import MAX_INPUT_BYTES
from sabledyke.shutdown.graceful_shutdown import Departure, Phase
from tests.crossings import Line, Step, request, until
from tests.test_net import Rig, play

Act = Callable[[Rig, Line], None]


def sweep(rig: Rig, line: Line) -> None:
    line.client.since -= 3600  # it has rested for an hour
    rig.server.fronts[0]._sweep()


def shed(rig: Rig, line: Line) -> None:
    rig.server.fronts[0].close_idle(asyncio.get_running_loop().time())


def crowd(rig: Rig, line: Line) -> None:
    rig.server.fronts[0].most = 1
    rig.server.fronts[0]._room_for_one()


def quiesce(rig: Rig, line: Line) -> None:
    rig.server.quiesce()


@pytest.mark.parametrize("act", [sweep, shed, crowd, quiesce])
@pytest.mark.parametrize("step", list(Step))
def test_a_close_never_drops_a_request_that_was_read(step: Step, act: Act) -> None:
    """Whatever ends connections at rest, a request that has come in gets its whole answer."""

    async def story(rig: Rig) -> None:
        line = await Line.open(rig)
        await line.reach(step)
        act(rig, line)
        line.go.set()
        said = await line.answer()
        if step in (Step.ARRIVED, Step.READ, Step.IN_WORK, Step.ANSWERED):
            assert said.startswith(b"HTTP/1.1 200") and said.endswith(b"late")
        elif step is Step.HALF:
            assert said == b"" or said.startswith(b"HTTP/1.1 408")
        else:
            assert said == b""
        line.close()

    play(story)


class Scripted(Departure):
    """A departure whose phase the test sets."""

    current = Phase.OPEN

    def phase(self, now: float) -> Phase:
        """See ``Departure``."""
        return type(self).current


@pytest.mark.parametrize("begins", [Phase.OPEN, Phase.STAYING, Phase.PARTING])
@pytest.mark.parametrize("step", list(Step))
def test_the_end_answers_whatever_was_read(
    step: Step, begins: Phase, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The program is told to end, and its last moment comes right after a request has come so far."""

    async def story(rig: Rig) -> None:
        monkeypatch.setattr(server, "Departure", Scripted)
        Scripted.current = begins
        line = await Line.open(rig)
        rig.server.leave()
        end = asyncio.create_task(rig.server.finish())
        await until(lambda: rig.server.fronts[0].leaving)
        await line.reach(step)
        Scripted.current = Phase.OVER
        rig.server.core._until = -1e9  # all that is owed is due now
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
            taken = rig.server.core._ids > 1
            assert said.startswith(b"HTTP/1.1 503") if taken else said == b""
        await end
        line.close()

    play(story)


@pytest.mark.parametrize(("many", "crowded"), [(3, False), (3, True), (60, False), (110, False)])
def test_who_sends_many_requests_at_once_gets_them_answered(many: int, crowded: bool) -> None:
    """Guards against ending a connection, because of what comes behind it, under a request in work."""

    async def story(rig: Rig) -> None:
        line = await Line.open(rig)
        if crowded:
            rig.server.fronts[0].roomy = 0
        whole = b"".join(request(f"{n}-" + "x" * 1900) for n in range(many))
        fits = MAX_INPUT_BYTES // len(request("00-" + "x" * 1900))
        loop, answers = asyncio.get_running_loop(), b""
        sent = asyncio.create_task(loop.sock_sendall(line.socket, whole))
        await line.asked.wait()
        await sent
        line.go.set()
        while answers.count(b"late") < min(many, fits):
            data = await loop.sock_recv(line.socket, 1 << 20)
            assert data, f"closed after {answers.count(b'late')} answers"
            answers += data
        if many > fits:  # an error for the rest, and an end in order
            while data := await loop.sock_recv(line.socket, 1 << 20):
                answers += data
            assert answers.count(b"HTTP/1.1 400") == 1
        line.close()

    play(story)


@pytest.mark.parametrize("behind", [0, 1, 110])
def test_a_client_that_goes_is_seen_also_behind_much_that_it_sent(behind: int) -> None:
    async def story(rig: Rig) -> None:
        line, outcomes = await Line.open(rig), list[Outcome]()
        report = rig.server.pool._report

        def note(rid: int, number: int, ended: AttemptResult) -> None:
            outcomes.append(ended.outcome)
            report(rid, number, ended)

        rig.server.pool._report = note
        whole = b"".join(request(f"{n}-" + "x" * 1900) for n in range(behind + 1))
        sent = asyncio.create_task(asyncio.get_running_loop().sock_sendall(line.socket, whole))
        await line.asked.wait()
        await sent
        line.close()
        asked = len(rig.http.seen)
        await until(lambda: outcomes)
        assert outcomes == [Outcome.CANCELLED]  # and not by its time
        await until(lambda: line.client not in rig.server.fronts[0].clients)
        assert len(rig.http.seen) == asked and not rig.server.core.unanswered

    play(story)


@pytest.mark.parametrize("read", [False, True])
def test_what_comes_behind_a_last_answer_is_not_begun_and_the_answer_arrives(read: bool) -> None:
    """It stays unread; or the stream had read it when the last byte of a slow answer was written."""

    async def story(rig: Rig) -> None:
        line = await Line.open(rig)
        closing = request("last").replace(b"Req-Kind", b"Connection: close\r\nReq-Kind")
        line.socket.sendall(closing)
        await line.asked.wait()
        seen = len(rig.http.seen)
        line.go.set()
        await until(lambda: line.client.owed and line.client._ended)  # type: ignore[attr-defined]
        line.socket.sendall(request("behind"))
        if read:
            await until(lambda: not line.client.owed)
            reading = line.client._reading
            assert reading is not None
            reading.set_result(request("behind"))
        for _ in range(20):
            await asyncio.sleep(0)
        assert not line.client.taken and (read or not streams.quiet(line.client.stream))
        assert (await line.answer()).endswith(b"late")
        assert await asyncio.get_running_loop().sock_recv(line.socket, 99) == b""  # in order, no reset
        assert len(rig.http.seen) == seen
        line.close()

    play(story)


class Faulty:
    """A listening socket whose accept fails as told, and then works."""

    def __init__(self, real: socket.socket, faults: list[int]) -> None:
        self._real, self.faults, self.calls = real, faults, 0

    def accept(self) -> tuple[socket.socket, Any]:
        """See ``socket.socket``."""
        self.calls += 1
        if self.faults:
            raise OSError(fault := self.faults.pop(0), errno.errorcode[fault])
        return self._real.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._real, name)


HARD = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


@pytest.mark.parametrize("fault", sorted(listener.NEXT_ONE) + HARD)
@pytest.mark.parametrize("closes", [False, True])
def test_a_failed_accept_hides_no_connection_and_never_spins(fault: int, closes: bool) -> None:
    async def story(rig: Rig) -> None:
        opened, clients = rig.server.listeners[0], rig.server.fronts[0].clients
        opened._socket = faulty = Faulty(opened._socket, [fault])  # type: ignore[assignment]
        known = set(clients)
        sock = socket.create_connection(("127.0.0.1", rig.port))
        if closes:
            rig.server.listeners.remove(opened)
            opened.close()
        if fault in HARD and not closes:
            await until(lambda: faulty.calls)
            assert not asyncio.get_running_loop().remove_reader(faulty.fileno())  # it pauses
        while not set(clients) - known:
            await asyncio.sleep(0.001)
        assert faulty.calls <= 4  # the failed one, the connection, and one or two that found nothing
        if fault in listener.NEXT_ONE:
            assert opened._again is None  # no pause: what failed was that connection alone
        if closes:
            while not opened.closed:
                await asyncio.sleep(0.001)
        sock.close()

    play(story)


def test_a_connection_that_breaks_as_it_is_accepted_hides_none_behind_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(rig: Rig) -> None:
        clients, broken = rig.server.fronts[0].clients, list[bool]()
        accepted = frontend.accepted

        def breaks(sock: socket.socket) -> streams.IOStream:
            if not broken:
                broken.append(True)
                raise OSError(errno.EINVAL, "Invalid argument")
            return accepted(sock)

        monkeypatch.setattr(frontend, "accepted", breaks)
        pair = [socket.create_connection(("127.0.0.1", rig.port)) for _ in range(2)]
        await until(lambda: broken and len(clients) == 1)
        for sock in pair:
            sock.close()

    play(story)
