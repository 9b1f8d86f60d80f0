"""A listener whose accept call fails, or whose connection breaks while it is being accepted."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any

import pytest

from sabledyke.net import frontend, listener, streams
from tests.support.request_steps import until
from tests.support.server_rig import Rig, play


class FaultySocket:
    """A listening socket whose accept fails with the given errors in turn, and then works."""

    def __init__(self, real: socket.socket, faults: list[int]) -> None:
        self._real, self.faults, self.calls = real, faults, 0

    def accept(self) -> tuple[socket.socket, Any]:
        """Raise the next error, or accept a connection once there is none."""
        self.calls += 1
        if self.faults:
            raise OSError(fault := self.faults.pop(0), errno.errorcode[fault])
        return self._real.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._real, name)


EXHAUSTION_ERRNOS = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


@pytest.mark.parametrize("fault", sorted(listener.TRANSIENT_ACCEPT_ERRNOS) + EXHAUSTION_ERRNOS)
@pytest.mark.parametrize("closes", [False, True])
def test_a_failed_accept_loses_no_connection_and_causes_no_busy_loop(fault: int, *, closes: bool) -> None:
    async def scenario(rig: Rig) -> None:
        opened, clients = rig.server.listeners[0], rig.server.frontends[0].clients
        opened._socket = faulty = FaultySocket(opened._socket, [fault])  # type: ignore[assignment]
        known_clients = set(clients)
        sock = socket.create_connection(("127.0.0.1", rig.port))
        if closes:
            rig.server.listeners.remove(opened)
            opened.close()
        if fault in EXHAUSTION_ERRNOS and not closes:
            await until(lambda: faulty.calls)
            assert not asyncio.get_running_loop().remove_reader(faulty.fileno())  # the listener pauses
        while not set(clients) - known_clients:
            await asyncio.sleep(0.001)
        assert faulty.calls <= 4  # the failure, the connection, and one or two on an empty backlog
        if fault in listener.TRANSIENT_ACCEPT_ERRNOS:
            assert opened._retry_timer is None  # no pause after the error of a single connection
        if closes:
            while not opened.closed:
                await asyncio.sleep(0.001)
        sock.close()

    play(scenario)


def test_a_connection_that_breaks_while_being_accepted_does_not_block_the_next(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(rig: Rig) -> None:
        clients, broken = rig.server.frontends[0].clients, list[bool]()
        stream_from_socket = frontend.stream_from_socket

        def fail_once(sock: socket.socket) -> streams.IOStream:
            if not broken:
                broken.append(True)
                raise OSError(errno.EINVAL, "Invalid argument")
            return stream_from_socket(sock)

        monkeypatch.setattr(frontend, "stream_from_socket", fail_once)
        sockets = [socket.create_connection(("127.0.0.1", rig.port)) for _ in range(2)]
        await until(lambda: broken and len(clients) == 1)
        for sock in sockets:
            sock.close()

    play(scenario)
