"""Tests of faults on TLS connections to storage nodes: resets and stalls after any number of bytes."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.standins import Reader, Writer, read_http
from tests.standins.tls import CuttingProxy, TlsNode
from tests.tls.tls_server_rig import NODE_CONTEXT, SCENARIO_TIMEOUT_S, TlsServerRig, run_scenario


@pytest.mark.parametrize("how", ["reset", "stall"])
@pytest.mark.parametrize("after", [0, 1, 5, 60, 127, 300, 700, 900, 1100, 1250, 1400, 1700])
def test_a_cut_or_a_stall_at_any_byte_runs_no_write_beyond_its_key(
    tmp_path: Path, after: int, how: str
) -> None:
    """Faults in the handshake, the tickets or the response: one answer each, and no write under two keys."""
    node = TlsNode(NODE_CONTEXT)

    async def run() -> None:
        async with asyncio.timeout(SCENARIO_TIMEOUT_S):
            await node.open()
            proxy = CuttingProxy(node.port, after, how)
            await proxy.open()
            async with TlsServerRig(tmp_path, proxy) as rig:
                status = await rig.request("k")
                check_writes(status)
            node.die()

    def check_writes(status: int) -> None:
        writes = [headers for first_line, headers, _ in node.seen if first_line.startswith("PUT")]
        assert status in (200, 500, 503)
        if status == 503:
            assert not writes  # a rejected write has not run
        if status == 200:
            assert writes
        assert len({headers["idempotency-key"] for headers in writes}) <= 1

    asyncio.run(run())


class TruncatingNode(TlsNode):
    """Aborts the connection within a response, without a close_notify alert."""

    async def serve_connection(self, reader: Reader, writer: Writer) -> None:
        await read_http(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it")
        await writer.drain()
        writer.transport.abort()


def test_a_response_that_ends_without_close_notify_is_not_complete(tmp_path: Path) -> None:
    """Guards against taking an aborted connection for the regular end of a response."""

    async def scenario(rig: TlsServerRig) -> None:
        assert await rig.request("k") == 500

    run_scenario(tmp_path, TruncatingNode(NODE_CONTEXT), scenario)
