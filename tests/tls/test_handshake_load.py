"""Tests of the number of handshakes with a restarted storage node, and of connections opened in advance."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path

import pytest

from tests.standins.tls import TlsNode
from tests.tls.tls_server_rig import NODE, NODE_CONTEXT, TlsServerRig, run_scenario

SCHEDULER_COUNT = 20
REQUESTS_EACH = 10
CAPACITY_SHARE = 0.2  # share of its full capacity that a restarted node has
HANDSHAKE_SHARE = 0.05  # share of a node's capacity for handshakes
WARM_UP_MS = 10_000.0


def restart_node(rig: TlsServerRig) -> None:
    """Make a scheduler assume that its node has just restarted and that there are many schedulers."""
    rig.server.watch.watch = lambda **_: None  # type: ignore[method-assign] # keeps the start time set below
    nodes = rig.server.core.nodes
    nodes[NODE] = replace(nodes[NODE], started_ms=time.time() * 1000)
    admission = rig.extension.connector.admission
    admission.budget = replace(
        admission.budget,
        scheduler_count=SCHEDULER_COUNT,
        initial_capacity_share=CAPACITY_SHARE,
        warm_up_ms=WARM_UP_MS,
    )


def test_twenty_schedulers_do_not_overload_a_restarted_node_with_handshakes(tmp_path: Path) -> None:
    """Each scheduler uses only its share, so that the node is not overloaded and all requests succeed."""
    node = TlsNode(NODE_CONTEXT)

    async def start_rig(stack: AsyncExitStack, number: int) -> TlsServerRig:
        folder = tmp_path / str(number)
        folder.mkdir()
        changes = {"handshake_share": HANDSHAKE_SHARE}
        rig = await stack.enter_async_context(TlsServerRig(folder, node, changes, stops_node=False))
        restart_node(rig)
        return rig

    async def run() -> None:
        async with asyncio.timeout(120), AsyncExitStack() as stack:
            await node.open()
            stack.callback(node.die)
            rigs = [await start_rig(stack, number) for number in range(SCHEDULER_COUNT)]
            await asyncio.gather(*(rig.request() for rig in rigs for _ in range(REQUESTS_EACH)))
            # Bound for 200 simultaneous requests: the contents of each bucket plus its gain in one second, at
            # 20 to 30 % of the capacity and a handshake share of 5 %.
            bound = SCHEDULER_COUNT * (1 + 1000 * 0.3 * 2 * HANDSHAKE_SHARE / SCHEDULER_COUNT / 0.5) * 2
            assert node.handshakes <= bound  # the number admitted in time depends on the machine
            while set(await asyncio.gather(*(rig.request() for rig in rigs))) != {200}:
                await asyncio.sleep(0.1)  # all succeed within the timeout above

    asyncio.run(run())


def test_a_connection_to_a_recently_used_node_is_opened_in_advance(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("sabledyke.tls.extension.WARM_CHECK_INTERVAL_S", 0.05)

    async def scenario(rig: TlsServerRig) -> None:
        assert await rig.request() == 200
        rig.server.pool.close_idle(NODE)
        while not rig.idle_connections:
            await asyncio.sleep(0.01)
        handshakes = rig.handshake_count
        assert await rig.request() == 200  # uses the open connection, without a handshake
        assert rig.handshake_count == handshakes
        assert handshakes == 2
        rig.discovery.hosts.pop()
        rig.update_list()
        await asyncio.sleep(0.15)
        assert rig.open_connections == 0  # none to a removed node
        assert not rig.extension._last_used_ms

    run_scenario(tmp_path, TlsNode(NODE_CONTEXT), scenario)
