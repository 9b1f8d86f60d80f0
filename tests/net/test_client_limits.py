"""How many client connections there may be, and which are closed first."""

from __future__ import annotations

import asyncio
import socket

import pytest

from sabledyke.net import frontend, http_frontend, listener, nvme_frontend
from tests.standins import send_request
from tests.support.server_rig import GET, INFO, Rig, play


def test_clients_stay_under_their_bound() -> None:
    async def scenario(rig: Rig) -> None:
        clients = rig.server.fronts[0].clients
        rig.server.fronts[0].max_clients = 1
        for said in (b"", b"GET /half"):
            reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
            writer.write(said)
            while not clients or bool(said) is next(iter(clients)).idle:
                await asyncio.sleep(0)
            assert (await send_request(rig.port, "GET /_health HTTP/1.1\n\n"))[0] == 200
            assert await reader.read() == b""  # the one that was owed nothing made room
            writer.close()
            while clients:
                await asyncio.sleep(0)

    play(scenario)


def test_a_client_that_connects_and_sends_no_request_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The silent and half-silent of both fronts get their error or close; a connected host stays."""

    async def scenario(rig: Rig) -> None:
        for module in (http_frontend, nvme_frontend):
            monkeypatch.setattr(module, "REQUEST_TIMEOUT_S", 0.2)
        host = await rig.host()
        web, nvme = rig.port, rig.nvme_port
        for port, said in ((web, b""), (web, b"GET /half"), (nvme, b""), (nvme, b"\0")):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(said)
            assert (await reader.read())[:12] == (b"HTTP/1.1 408" if b"half" in said else b"")
            writer.close()
        assert await host.admin(0x18) == 0
        host.io[1].write(b"\x04")  # half a PDU
        assert await host.io[0].read() == b""
        host.close()

    play(scenario)


def test_a_crowded_front_end_closes_connections_after_answers_and_sooner_when_idle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(rig: Rig) -> None:
        monkeypatch.setattr(frontend, "CROWDED_IDLE_TIMEOUT_S", 0.2)
        http_front = rig.server.fronts[0]
        stays, one = await asyncio.open_connection("127.0.0.1", rig.port)
        one.write(GET.format(1, "a", INFO).replace("\n", "\r\n").encode())
        assert b"connection: close" not in (await stays.readuntil(b"\r\n\r\n")).lower()
        await asyncio.sleep(3 * frontend.SWEEP_INTERVAL_S)
        assert len(http_front.clients) == 1  # it may rest while there is room
        http_front.crowded_above = 0
        status, headers, _ = await send_request(rig.port, GET.format(1, "b", INFO))
        assert (status, headers["connection"]) == (200, "close")
        assert await stays.read() == b""
        one.close()

    play(scenario)


def test_silent_and_health_checking_clients_are_evicted_before_those_with_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(rig: Rig) -> None:
        monkeypatch.setattr(frontend, "EVICTION_GRACE_S", 0.0)
        rig.server.fronts[0].max_clients = 3
        pairs = [await asyncio.open_connection("127.0.0.1", rig.port) for _ in range(3)]
        (asked, asker), (silent, _), (curious, looker) = pairs
        asker.write(GET.format(1, "a", INFO).replace("\n", "\r\n").encode())
        assert await asked.readuntil(b"\r\n\r\n")
        looker.write(b"GET /_health HTTP/1.1\r\n\r\n")
        assert await curious.readuntil(b"\r\n\r\n")
        for reader in (silent, curious):
            again = await asyncio.open_connection("127.0.0.1", rig.port)
            pairs.append(again)
            assert await reader.read() == b""
            again[1].write(GET.format(1, id(again), INFO).replace("\n", "\r\n").encode())
            assert await again[0].readuntil(b"\r\n\r\n")
        assert not asked.at_eof()
        assert len(rig.server.fronts[0].clients) == 3
        for _, writer in pairs:
            writer.close()

    play(scenario)


def test_a_crowd_of_connections_is_accepted_in_batches() -> None:
    async def scenario(rig: Rig) -> None:
        opened, clients = rig.server.listeners[0], rig.server.fronts[0].clients
        crowd = [
            socket.create_connection(("127.0.0.1", rig.port)) for _ in range(2 * listener.ACCEPT_BATCH + 1)
        ]
        opened._on_readable()
        assert len(clients) == listener.ACCEPT_BATCH
        while len(clients) < len(crowd):
            await asyncio.sleep(0)
        for sock in crowd:
            sock.close()

    play(scenario)
