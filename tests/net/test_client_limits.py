"""The limit of client connections, the order of their eviction, and their time-outs."""

from __future__ import annotations

import asyncio
import socket

import pytest

from sabledyke.net import eviction, frontend, http_frontend, listener, nvme_frontend
from tests.standins import send_request
from tests.support.server_rig import GET, INFO, Rig, play


def test_at_the_limit_an_idle_or_incomplete_connection_is_closed_for_a_new_one() -> None:
    async def scenario(rig: Rig) -> None:
        clients = rig.server.frontends[0].clients
        rig.server.frontends[0].max_clients = 1
        for sent in (b"", b"GET /half"):
            reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
            writer.write(sent)
            while not clients or bool(sent) is next(iter(clients)).idle:
                await asyncio.sleep(0)
            assert (await send_request(rig.port, "GET /_health HTTP/1.1\n\n"))[0] == 200
            evicted = await reader.read()  # the connection without a complete request was closed
            assert evicted.startswith(b"HTTP/1.1 503") if sent else evicted == b""
            writer.close()
            while clients:
                await asyncio.sleep(0)

    play(scenario)


def test_a_client_without_a_complete_request_is_closed_after_the_time_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Both front ends close clients that send nothing or a partial request; a connected NVMe host stays."""

    async def scenario(rig: Rig) -> None:
        for module in (http_frontend, nvme_frontend):
            monkeypatch.setattr(module, "REQUEST_TIMEOUT_S", 0.2)
        host = await rig.host()
        http, nvme = rig.port, rig.nvme_port
        for port, sent in ((http, b""), (http, b"GET /half"), (nvme, b""), (nvme, b"\0")):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(sent)
            assert (await reader.read())[:12] == (b"HTTP/1.1 408" if b"half" in sent else b"")
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
        http_front = rig.server.frontends[0]
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        writer.write(GET.format(1, "a", INFO).replace("\n", "\r\n").encode())
        assert b"connection: close" not in (await reader.readuntil(b"\r\n\r\n")).lower()
        await asyncio.sleep(3 * frontend.SWEEP_INTERVAL_S)
        assert len(http_front.clients) == 1  # idle connections stay open until the front end is crowded
        http_front.crowded_above = 0
        status, headers, _ = await send_request(rig.port, GET.format(1, "b", INFO))
        assert (status, headers["connection"]) == (200, "close")
        assert await reader.read() == b""
        writer.close()

    play(scenario)


def test_unused_and_health_checking_connections_are_evicted_before_those_with_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(rig: Rig) -> None:
        monkeypatch.setattr(eviction, "UNUSED_GRACE_S", 0.0)
        rig.server.frontends[0].max_clients = 3
        pairs = [await asyncio.open_connection("127.0.0.1", rig.port) for _ in range(3)]
        (request_reader, request_writer), (unused_reader, _), (health_reader, health_writer) = pairs
        request_writer.write(GET.format(1, "a", INFO).replace("\n", "\r\n").encode())
        assert await request_reader.readuntil(b"\r\n\r\n")
        health_writer.write(b"GET /_health HTTP/1.1\r\n\r\n")
        assert await health_reader.readuntil(b"\r\n\r\n")
        for reader in (unused_reader, health_reader):
            new = await asyncio.open_connection("127.0.0.1", rig.port)
            pairs.append(new)
            assert await reader.read() == b""
            new[1].write(GET.format(1, id(new), INFO).replace("\n", "\r\n").encode())
            assert await new[0].readuntil(b"\r\n\r\n")
        assert not request_reader.at_eof()
        assert len(rig.server.frontends[0].clients) == 3
        for _, writer in pairs:
            writer.close()

    play(scenario)


def test_many_connections_at_once_are_accepted_in_batches() -> None:
    async def scenario(rig: Rig) -> None:
        opened, clients = rig.server.listeners[0], rig.server.frontends[0].clients
        sockets = [
            socket.create_connection(("127.0.0.1", rig.port)) for _ in range(2 * listener.ACCEPT_BATCH + 1)
        ]
        opened._on_readable()
        assert len(clients) == listener.ACCEPT_BATCH
        while len(clients) < len(sockets):
            await asyncio.sleep(0)
        for sock in sockets:
            sock.close()

    play(scenario)
