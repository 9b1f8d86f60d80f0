"""Tests of key rotation at run time: the scheduler's, the storage node's and the root's."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from tests.standins.tls import TlsNode, server_context
from tests.tls.tls_server_rig import (
    NODE,
    NODE_CHAIN,
    NODE_CONTEXT,
    NODE_KEY,
    OTHER_ROOT,
    ROOT,
    TlsServerRig,
    run_scenario,
    write_keys,
)

CLIENT_COUNT = 6


class ContinuousLoad:
    """Clients that each send requests one after another, every third one a write.

    Attributes:
        statuses: Statuses of all requests.
    """

    def __init__(self, rig: TlsServerRig) -> None:
        self._rig = rig
        self._stopped = asyncio.Event()
        self.statuses: list[int] = []
        self._clients = [asyncio.create_task(self._run_client(number)) for number in range(CLIENT_COUNT)]

    async def stop(self) -> None:
        """Stop the clients, after the requests in flight are answered."""
        self._stopped.set()
        await asyncio.gather(*self._clients)

    async def _run_client(self, client_number: int) -> None:
        request_number = 0
        while not self._stopped.is_set():
            request_number += 1
            key = f"{client_number}-{request_number}" if request_number % 3 == 0 else ""
            self.statuses.append(await self._rig.request(key))


def test_no_request_fails_while_keys_are_rotated_under_load(tmp_path: Path) -> None:
    """The scheduler's keys, the node's keys and the root change; the node's old connections stay open."""
    both_roots = ROOT.root + OTHER_ROOT.root
    node = TlsNode(server_context(NODE_CHAIN, NODE_KEY, both_roots))

    async def scenario(rig: TlsServerRig) -> None:
        load = ContinuousLoad(rig)
        await asyncio.sleep(0.3)
        new_chain, new_key = OTHER_ROOT.issue("scheduler")
        write_keys(tmp_path, new_chain, new_key, OTHER_ROOT.root + ROOT.root)  # adds the new root first
        rig.server.reload()
        await asyncio.sleep(0.2)
        await node.renew(server_context(*OTHER_ROOT.issue("plain"), both_roots))
        rig.server.pool.close_idle(NODE)
        await asyncio.sleep(0.3)
        write_keys(tmp_path, b"junk", b"junk", b"junk")  # invalid files are rejected
        rig.server.reload()
        await asyncio.sleep(0.2)
        await load.stop()
        assert set(load.statuses) == {200}
        assert len(load.statuses) > 50
        assert rig.extension.keyring.generation.number == 2
        assert rig.extension.connector.failed_handshakes == 0

    run_scenario(tmp_path, node, scenario)


def test_a_node_restarted_with_a_new_certificate_and_without_tickets_is_used_again(
    tmp_path: Path,
) -> None:
    node = TlsNode(NODE_CONTEXT)

    async def scenario(rig: TlsServerRig) -> None:
        assert await rig.request() == 200
        assert rig.extension.connector.tickets.ticket_count
        restarted_ms = int(time.time() * 1000)
        await node.renew(server_context(*ROOT.issue("plain")), reset=True)
        rig.discovery.hosts[0]["born_ms"] = restarted_ms
        rig.update_list()
        timeout_at_s = time.monotonic() + 5
        while await rig.request() != 200:
            assert time.monotonic() < timeout_at_s
        assert rig.extension.connector.full_handshakes == 2

    run_scenario(tmp_path, node, scenario)
