"""Tests of clients that connect by TLS: certificates, access rights and incomplete handshakes."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from sabledyke.protocol.nvme import Status
from tests.standins import NvmeHost, Reader, Writer, read_http
from tests.standins.tls import TlsNode
from tests.support.server_rig import GET, INFO, NVME, VOLUME
from tests.tls.tls_server_rig import (
    NO_ANSWER,
    NODE,
    NODE_CONTEXT,
    OTHER_ROOT,
    ROOT,
    TlsServerRig,
    client_context,
    run_scenario,
)

CLIENT_RIGHTS = {"till-1": frozenset([1])}
FRONT_NQN = "nqn.2026-12.example:front"
MAX_PENDING_HANDSHAKES = 8
STATUS_MASK = 0x7FF  # status code and type


def test_clients_access_only_the_volumes_that_their_certificates_allow(tmp_path: Path) -> None:
    node = TlsNode(NODE_CONTEXT)
    known = ROOT.issue("till-1")
    unknown = OTHER_ROOT.issue("till-1")

    async def scenario(rig: TlsServerRig) -> None:
        assert await rig.request("a", client_context(tmp_path, known)) == 200
        seen_requests = len(node.seen)
        assert await rig.request("b", client_context(tmp_path, known), volume=2) == 403
        assert await rig.request("c", client_context(tmp_path, unknown)) == NO_ANSWER
        assert await rig.request("d", client_context(tmp_path)) == NO_ANSWER
        assert await rig.request("e") == NO_ANSWER  # without TLS
        assert len(node.seen) == seen_requests  # no rejected request reached the node

    run_scenario(
        tmp_path,
        node,
        scenario,
        tls_frontends=("HTTP",),
        require_client_certificates=True,
        client_rights=CLIENT_RIGHTS,
    )


async def read_status(reader: Reader) -> int:
    """Return the status of the next response."""
    first_line, _, _ = await read_http(reader)
    return int(first_line.split()[1])


def test_incomplete_handshakes_do_not_displace_connected_clients(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("sabledyke.net.frontend.MAX_PENDING_HANDSHAKES", MAX_PENDING_HANDSHAKES)
    monkeypatch.setattr("sabledyke.tls.extension.CLIENT_HANDSHAKE_TIMEOUT_MS", 300.0)

    async def scenario(rig: TlsServerRig) -> None:
        port = rig.server.listeners[0].port
        frontend = rig.server.frontends[0]
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", port, ssl=client_context(tmp_path), server_hostname="scheduler"
        )
        request = GET.format("1", "in", INFO).replace("\n", "\r\n").encode()
        writer.write(request)
        assert await read_status(reader) == 200
        unresponsive = [await asyncio.open_connection("127.0.0.1", port) for _ in range(30)]
        while len(frontend._pending_handshakes) < MAX_PENDING_HANDSHAKES:
            await asyncio.sleep(0.005)
        assert len(frontend.clients) == 1
        writer.write(request.replace(b"Req-Id: in", b"Req-Id: again"))
        assert await read_status(reader) == 200
        while frontend._pending_handshakes:  # until all have timed out
            await asyncio.sleep(0.01)
        for _, unresponsive_writer in unresponsive:
            unresponsive_writer.close()
        writer.close()

    run_scenario(tmp_path, TlsNode(NODE_CONTEXT), scenario, tls_frontends=("HTTP",))


def connect_by_tls(monkeypatch: pytest.MonkeyPatch, folder: Path) -> None:
    """Make NVMe hosts connect by TLS and present a client certificate."""
    context = client_context(folder, ROOT.issue("till-1"))
    open_connection = asyncio.open_connection

    async def connect(*address: Any) -> tuple[Reader, Writer]:
        return await open_connection(*address, ssl=context, server_hostname="scheduler")

    monkeypatch.setattr(asyncio, "open_connection", connect)


def test_an_nvme_host_without_access_to_a_volume_receives_access_denied(tmp_path: Path) -> None:
    node = TlsNode(NODE_CONTEXT)

    async def scenario(rig: TlsServerRig) -> None:
        with pytest.MonkeyPatch.context() as patch:
            connect_by_tls(patch, tmp_path)
            host = NvmeHost(rig.server.listeners[1].port, FRONT_NQN)
            await host.open()
            assert await host.write(1, 0, bytes(512)) & STATUS_MASK == 0
            assert len(node.seen) == 1
            assert await host.write(2, 0, bytes(512)) & STATUS_MASK == Status.ACCESS_DENIED
            assert len(node.seen) == 1
            host.close()

    run_scenario(
        tmp_path,
        node,
        scenario,
        NVME + VOLUME.format(1, "gold", 0) + VOLUME.format(2, "gold", 0),
        nodes=(NODE,),
        tls_frontends=("NVMe",),
        require_client_certificates=True,
        client_rights=CLIENT_RIGHTS,
    )
