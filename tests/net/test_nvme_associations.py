"""The program ends an NVMe host's queues only together, and only when its commands are answered."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

import pytest

from sabledyke.net import eviction, frontend, nvme_association, nvme_frontend
from sabledyke.net.nvme_frontend import NvmeClientConnection
from sabledyke.protocol.nvme import Completion
from tests.standins import NvmeHost, http
from tests.support.console_calls import call
from tests.support.server_rig import Rig, hold_answers, play

BLOCK = bytes(512)
TRIGGER_S = 0.6  # time for the program to act on a trigger while a command is in flight
DRAIN_LIMIT_S = 4.0  # DAYS, "Sending clients away"
UNKNOWN_PDU = bytes([77]) * 24
HALF_PDU = b"\x04"


@dataclass
class Busy:
    """A host with one write in flight, whose node answers after ``release``."""

    rig: Rig
    host: NvmeHost
    write: asyncio.Task[int]
    release: asyncio.Event
    crowd: list[asyncio.StreamWriter] = field(default_factory=list)


async def busy_host(rig: Rig) -> Busy:
    """Connect a host, and wait until its write has arrived at the storage node."""
    requested, release = hold_answers(rig)
    host = await rig.host()
    write = asyncio.create_task(host.write(1, 0, BLOCK))
    await requested.wait()
    return Busy(rig, host, write, release)


def queues(rig: Rig) -> list[NvmeClientConnection]:
    return [c for c in rig.server.frontends[1].clients if isinstance(c, NvmeClientConnection)]


async def drain(busy: Busy) -> None:
    assert (await call(busy.rig.server.console_port, "POST", "/admin/quiesce"))[0] == 200


async def crowd(busy: Busy) -> None:
    """Open connections that send nothing, four times as many as the front end may hold."""
    limit = busy.rig.server.frontends[1].max_clients = 8
    for _ in range(4 * limit):
        _, writer = await asyncio.open_connection("127.0.0.1", busy.rig.nvme_port)
        busy.crowd.append(writer)


async def half_admin_command(busy: Busy) -> None:
    busy.host.admin_queue[1].write(HALF_PDU)


async def half_io_command(busy: Busy) -> None:
    busy.host.io[1].write(HALF_PDU)


async def bad_admin_bytes(busy: Busy) -> None:
    busy.host.admin_queue[1].write(UNKNOWN_PDU)


async def bad_io_bytes(busy: Busy) -> None:
    busy.host.io[1].write(UNKNOWN_PDU)


async def keep_alive_timeout(busy: Busy) -> None:
    """Shorten the keep-alive time, so that it passes while the write is in flight."""
    admin = next(queue for queue in queues(busy.rig) if queue.target.queue_id == 0)
    admin.target.keep_alive_ms = 100
    assert await busy.host.admin(0x18) == 0


async def unread_admin_answers(busy: Busy) -> None:
    """Have the admin queue exceed the time for its host to read answers."""
    busy.rig.server.frontends[1].write_timeout_s = 0.1
    admin = next(queue for queue in queues(busy.rig) if queue.target.queue_id == 0)
    admin._flush_count += 1


async def crowd_behind_half_admin_command(busy: Busy) -> None:
    await half_admin_command(busy)
    await crowd(busy)


# Review case 3: a drain, or a crowd, closed the idle admin queue of a host, and with it its I/O queues: 12
# of 12 writes in flight were never answered.
@pytest.mark.parametrize(
    "trigger",
    [
        drain,
        crowd,
        crowd_behind_half_admin_command,
        half_admin_command,
        half_io_command,
        bad_admin_bytes,
        bad_io_bytes,
        keep_alive_timeout,
        unread_admin_answers,
    ],
    ids=lambda trigger: trigger.__name__,
)
def test_a_command_in_flight_is_answered_whatever_ends_its_association(
    trigger: Callable[[Busy], Coroutine[None, None, None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(nvme_frontend, "REQUEST_TIMEOUT_S", 0.2)

    async def scenario(rig: Rig) -> None:
        busy = await busy_host(rig)
        await trigger(busy)
        await asyncio.sleep(TRIGGER_S)
        busy.release.set()
        assert await busy.write == 0
        if trigger not in (crowd, crowd_behind_half_admin_command):
            async with asyncio.timeout(DRAIN_LIMIT_S):
                await busy.host.io[0].read()  # until the association, or its I/O queue, ends
        if trigger in (drain, bad_admin_bytes, keep_alive_timeout):
            assert not rig.server.frontends[1].clients
            assert not queues(rig)
        for writer in (*busy.crowd, busy.host.io[1], busy.host.admin_queue[1]):
            writer.close()

    play(scenario, console=True)


@pytest.mark.parametrize("planned", [True, False])
def test_a_shutdown_answers_commands_in_flight_before_it_closes_their_queues(*, planned: bool) -> None:
    """A planned shutdown closes idle connections as it drains, among them the admin queues of busy hosts."""

    async def scenario(rig: Rig) -> None:
        busy = await busy_host(rig)
        rig.server.begin_shutdown(planned=planned)
        await rig.server.finish()
        status = await busy.write
        assert status & 0x7FF in (0x82, 0x06)  # rejected or failed, but answered
        assert await busy.host.io[0].read() == b""
        busy.host.close()

    play(scenario)


def test_a_drain_ends_idle_hosts_at_once_and_others_after_their_last_command() -> None:
    async def scenario(rig: Rig) -> None:
        idle, busy = await rig.host(), await busy_host(rig)
        assert (await call(rig.server.console_port, "POST", "/admin/quiesce"))[0] == 200
        async with asyncio.timeout(0.2):
            assert await idle.io[0].read() == b""
            assert await idle.admin_queue[0].read() == b""
        busy.release.set()
        assert await busy.write == 0
        async with asyncio.timeout(0.2):
            assert await busy.host.io[0].read() == b""
            assert await busy.host.admin_queue[0].read() == b""
        late = await rig.host()  # connects during the drain
        assert await late.write(1, 0, BLOCK) == 0
        async with asyncio.timeout(DRAIN_LIMIT_S):
            assert await late.io[0].read() == b""
        unused = await rig.host()
        async with asyncio.timeout(DRAIN_LIMIT_S):
            assert await unused.admin_queue[0].read() == b""
        assert (await call(rig.server.console_port, "POST", "/admin/resume"))[0] == 200
        resumed = await rig.host()
        assert await resumed.write(1, 0, BLOCK) == 0
        await asyncio.sleep(3 * frontend.SWEEP_INTERVAL_S)
        assert await resumed.admin(0x18) == 0
        for host in (idle, busy.host, late, unused, resumed):
            host.close()

    play(scenario, console=True)


def test_a_drain_ends_a_host_that_always_has_a_command_in_flight(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each command that a node got is answered; later ones are rejected, until none is in flight."""
    monkeypatch.setattr(nvme_association, "DRAIN_ACCEPT_S", 0.3)
    statuses: list[int] = []
    cut_off: list[str] = []

    async def keep_writing(host: NvmeHost, queue: tuple[asyncio.StreamReader, asyncio.StreamWriter]) -> None:
        with contextlib.suppress(ConnectionError):
            while True:
                try:
                    statuses.append((await host.command(queue, 1, 1, payload=BLOCK, size=512, words=(8,)))[0])
                except asyncio.IncompleteReadError as error:
                    cut_off.append(error.partial.hex())
                    return

    async def scenario(rig: Rig) -> None:
        async def slow(_: object) -> bytes | None:
            await asyncio.sleep(0.05)
            return http(200)

        rig.http.answer = slow
        host = await rig.host()
        writers = [host.io] + [await host.add_io_queue(number) for number in (2, 3)]
        tasks = []
        for queue in writers:
            tasks.append(asyncio.create_task(keep_writing(host, queue)))
            await asyncio.sleep(0.015)  # staggered, so that one command at least is always in flight
        await asyncio.sleep(0.2)
        began_s = asyncio.get_running_loop().time()
        assert (await call(rig.server.console_port, "POST", "/admin/quiesce"))[0] == 200
        async with asyncio.timeout(DRAIN_LIMIT_S):
            await asyncio.gather(*tasks)
        assert asyncio.get_running_loop().time() - began_s < 1.0
        assert set(statuses) - {0} <= {status for status in statuses if status & 0x7FF == 0x82}
        assert not rig.server.core.unanswered
        assert len(rig.http.seen) == statuses.count(0)
        assert set(cut_off) <= {""}  # no completion was cut off
        host.close()

    play(scenario, console=True)


def test_a_drain_between_an_answer_and_its_write_does_not_discard_the_answer() -> None:
    async def scenario(rig: Rig) -> None:
        busy = await busy_host(rig)
        target = next(queue for queue in queues(rig) if queue.target.queue_id).target
        complete = target.complete

        def complete_and_drain(completion: Completion, data: bytes = b"") -> None:
            complete(completion, data)
            rig.server.quiesce()

        setattr(target, "complete", complete_and_drain)  # noqa: B010
        busy.release.set()
        assert await busy.write == 0
        assert await busy.host.io[0].read() == b""
        busy.host.close()

    play(scenario)


def test_at_the_limit_an_idle_host_is_evicted_with_all_its_queues() -> None:
    async def scenario(rig: Rig) -> None:
        rig.server.frontends[1].max_clients = 4
        idle = await rig.host()
        busy = await busy_host(rig)
        await asyncio.sleep(2 * eviction.UNUSED_GRACE_S)
        _, new = await asyncio.open_connection("127.0.0.1", rig.nvme_port)
        assert await idle.io[0].read() == b""
        assert await idle.admin_queue[0].read() == b""
        busy.release.set()
        assert await busy.write == 0
        assert await busy.host.admin(0x18) == 0
        new.close()
        idle.close()
        busy.host.close()

    play(scenario)


def test_commands_before_bytes_that_violate_the_protocol_are_answered() -> None:
    async def scenario(rig: Rig) -> None:
        host = await rig.host()
        write = asyncio.create_task(host.command(host.io, 1, 1, in_capsule_data=BLOCK, words=(0,)))
        await asyncio.sleep(0)
        host.io[1].write(UNKNOWN_PDU)  # reaches the program together with the command
        assert await write == (0, b"")
        assert len(await host.io[0].read()) >= 24  # the request to terminate, before the end
        host.close()

    play(scenario)
