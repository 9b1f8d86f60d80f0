"""NVMe over TCP with hosts and with storage nodes."""

from __future__ import annotations

import asyncio

import pytest

from sabledyke.net.nvme_extension import NvmeExtension
from sabledyke.net.nvme_frontend import NvmeClientConnection
from sabledyke.protocol import discovery
from tests.standins import NQN, NvmeNode, http, send_request
from tests.support.server_rig import DEPLOYMENT, INFO, PUT, Rig, play


@pytest.mark.parametrize("nsid", [1, 2])
def test_an_nvme_host_writes_and_reads_through_either_kind_of_node(nsid: int) -> None:
    async def scenario(rig: Rig) -> None:
        host, data = await rig.host(), bytes(range(256)) * 32
        assert await host.write(nsid, 16, data) == 0
        if nsid == 1:
            first, headers, body = rig.http.seen[-1]
            assert first == f"PUT /api/{1:016x}/{16:016x} HTTP/1.1"
            assert body == data
            assert len(headers["idempotency-key"]) == 16

            async def stored(_: object) -> bytes | None:
                return http(200, data)

            rig.http.answer = stored
        assert await host.read(nsid, 16, 16) == (0, data)
        host.close()

    play(scenario)


def test_unsupported_commands_get_their_error_status() -> None:
    async def scenario(rig: Rig) -> None:
        host = await rig.host()
        status, page = await host.identify(1)
        assert status == 0
        assert page[78:80] == host.cntlid.to_bytes(2, "little")
        assert (await host.identify(2))[1][:20] == b"".join(n.to_bytes(4, "little") for n in (1, 2, 3, 4, 0))
        assert (await host.identify(0, 1))[1][:8] == (4096).to_bytes(8, "little")
        dnr = 1 << 14
        assert (await host.identify(0, 99))[0] == 0x0B | dnr
        assert (await host.identify(0x1C))[0] == 0x02 | dnr
        assert await host.admin(0x18) == 0
        assert await host.admin(0x02) == 0x01 | dnr
        assert await host.admin(0x09, (6,)) == 0x02 | dnr
        assert (await host.read(9, 0, 1))[0] == 0x0B | dnr
        assert (await host.read(1, 4090, 7))[0] == 0x80 | dnr
        assert (await host.read(1, 120, 16))[0] == 0x02 | dnr  # a read across the end of a stripe
        assert (await host.command(host.io, 0, 1))[0] == 0  # Flush
        assert (await host.command(host.io, 8, 1))[0] == 0x01 | dnr
        host.close()

    play(scenario)


def test_rejected_commands_may_be_retried_and_failed_ones_may_not() -> None:
    async def scenario(rig: Rig) -> None:
        host = await rig.host()
        rig.nvme.status = 0x82
        status = await host.write(2, 0, bytes(512))
        assert status & 0x7FF == 0x82
        assert not status >> 14
        assert status >> 11 & 3
        rig.nvme.status = 0x06
        assert await host.write(2, 0, bytes(512)) == 0x06 | 1 << 14
        host.close()

    play(scenario)


def test_an_unresponsive_nvme_node_costs_a_host_no_more_than_its_deadline() -> None:
    async def scenario(rig: Rig) -> None:
        rig.nvme.stalled = True
        host = await rig.host()
        for status in (await host.write(2, 0, bytes(512)), (await host.read(2, 0, 1))[0]):
            assert status & 0x7FF in (0x82, 0x06)  # an answer, although the node gave none
        assert not rig.server.core.unanswered
        host.close()

    play(scenario)


@pytest.mark.parametrize("node_dies", [True, False])
def test_a_write_cut_off_mid_transfer_is_not_sent_outside_its_deduplication_scope(*, node_dies: bool) -> None:
    """A node that received part of the data may have begun the write: only its own cell may get a repeat."""

    async def scenario(rig: Rig) -> None:
        spare = NvmeNode()  # a node in another cell
        await spare.open()
        nvme = rig.server.extensions[-1]
        assert isinstance(nvme, NvmeExtension)
        nvme.dialer.nqn_by_node[b"spare"] = NQN
        rig.server.assembly.dialers[b"spare"] = nvme.dialer.dial
        rig.discovery.add("spare", spare.port, 2)
        rig.discovery.hosts = rig.discovery.hosts[1:]  # without the HTTP node
        rig.server.assembly.on_endpoint_list(discovery.read_listing(rig.discovery.listing(), DEPLOYMENT))
        for node in (rig.nvme, spare):
            node.write_bytes_until_fault, node.dies_at_fault = 1000, node_dies
        info = INFO.replace("shard=0", "shard=-1") + "Idempotency-Key: k\nContent-Length: 3000\n"
        text = PUT.format(1, "i", info)
        status, _, _ = await send_request(rig.port, text, bytes(3000))
        assert sorted((rig.nvme.started_writes, spare.started_writes)) == [0, 1 if node_dies else 2]
        assert len(rig.nvme.writes + spare.writes) == (0 if node_dies else 1)
        assert status == (500 if node_dies else 200)
        spare.die()

    play(scenario)


def test_http_and_nvme_nodes_serve_a_plan_alike() -> None:
    """Each plan gets as much service from HTTP nodes as from NVMe nodes, through both front ends."""

    async def scenario(rig: Rig) -> None:
        async def by_http(tier: str, volume: int, shard: int, n: int) -> bool:
            info = INFO.replace("shard=0", f"shard={shard}") + f"Idempotency-Key: {volume}-{n}\n"
            info += "Content-Length: 4\n"
            text = PUT.format(n, f"{volume}-{n}", info).replace("/1/", f"/{volume}/").replace("gold", tier)
            return (await send_request(rig.port, text, b"data"))[0] == 200

        async def by_nvme(volume: int, n: int) -> int:
            host = await rig.host()
            served_count = 0
            for i in range(n):
                served_count += await host.write(volume, 1024 + i, bytes(512)) == 0
            host.close()
            return served_count

        volumes = {("gold", 0): 1, ("gold", 1): 2, ("held", 0): 3, ("held", 1): 4}
        http_requests = [by_http(tier, v, shard, n) for (tier, shard), v in volumes.items() for n in range(3)]
        http_served = await asyncio.gather(*http_requests)
        nvme_served = await asyncio.gather(*(by_nvme(v, 3) for v in volumes.values()))
        served = {key: sum(http_served[3 * i : 3 * i + 3]) + nvme_served[i] for i, key in enumerate(volumes)}
        for grade in ("gold", "held"):
            assert served[grade, 0] == served[grade, 1] > 0
        assert len(rig.nvme.writes) == served["gold", 1] + served["held", 1]
        assert len(rig.http.seen) == served["gold", 0] + served["held", 0]

    play(scenario)


def test_a_host_past_its_keep_alive_time_is_disconnected() -> None:
    async def scenario(rig: Rig) -> None:
        host = await rig.host()
        target = next(
            c for c in rig.server.frontends[1].clients if isinstance(c, NvmeClientConnection)
        ).target
        target.keep_alive_ms = 50
        assert await host.admin(0x18) == 0
        assert await host.io[0].read() == b""  # the controller's I/O queues close with it
        assert not target.subsystem.controllers
        host.close()

    play(scenario)
