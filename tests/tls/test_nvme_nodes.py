"""Tests of NVMe/TCP storage nodes that are connected to by TLS."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.standins import NvmeHost, NvmeNode
from tests.support.server_rig import NVME, VOLUME
from tests.tls.tls_server_rig import NODE_CONTEXT, TlsServerRig, run_scenario


class TlsNvmeNode(NvmeNode):
    """An NVMe/TCP controller that accepts TLS connections only."""

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._client, "127.0.0.1", 0, ssl=NODE_CONTEXT)
        self.port = int(self._server.sockets[0].getsockname()[1])


def test_nvme_nodes_serve_reads_and_writes_over_tls(tmp_path: Path) -> None:
    node = TlsNvmeNode()

    async def scenario(rig: TlsServerRig) -> None:
        host = NvmeHost(rig.server.listeners[1].port, "nqn.2026-12.example:front")
        await host.open()
        assert await host.write(1, 8, b"\x07" * 1024, key=5) == 0
        assert await host.read(1, 8, 2) == (0, b"\x07" * 1024)
        assert node.writes == [(1, 8, 5)]
        assert rig.handshake_count >= 2
        host.close()

    run_scenario(tmp_path, node, scenario, NVME.replace('"block"', '"plain"') + VOLUME.format(1, "gold", 0))
