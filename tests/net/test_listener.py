"""A listener whose accept fails, or whose connection breaks as it is accepted."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any

import pytest

from sabledyke.net import frontend, listener, streams
from tests.support.request_steps import until
from tests.support.server_rig import Rig, play


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


@pytest.mark.parametrize("fault", sorted(listener.TRANSIENT_ACCEPT_ERRNOS) + HARD)
@pytest.mark.parametrize("closes", [False, True])
def test_a_failed_accept_hides_no_connection_and_never_spins(fault: int, *, closes: bool) -> None:
    async def scenario(rig: Rig) -> None:
        opened, clients = rig.server.listeners[0], rig.server.frontends[0].clients
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
        if fault in listener.TRANSIENT_ACCEPT_ERRNOS:
            assert opened._retry_timer is None  # no pause: what failed was that connection alone
        if closes:
            while not opened.closed:
                await asyncio.sleep(0.001)
        sock.close()

    play(scenario)


def test_a_connection_that_breaks_as_it_is_accepted_hides_none_behind_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(rig: Rig) -> None:
        clients, broken = rig.server.frontends[0].clients, list[bool]()
        accepted = frontend.stream_of

        def breaks(sock: socket.socket) -> streams.IOStream:
            if not broken:
                broken.append(True)
                raise OSError(errno.EINVAL, "Invalid argument")
            return accepted(sock)

        monkeypatch.setattr(frontend, "stream_of", breaks)
        pair = [socket.create_connection(("127.0.0.1", rig.port)) for _ in range(2)]
        await until(lambda: broken and len(clients) == 1)
        for sock in pair:
            sock.close()

    play(scenario)
