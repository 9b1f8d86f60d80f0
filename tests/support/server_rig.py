"""A server on loopback before stand-ins of storage nodes, hosts and discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from sabledyke import invariants, operator_config
from sabledyke.application.server import Server
from sabledyke.config import Config
from sabledyke.policy.settings import DeduplicationScope, RepeatSafety
from sabledyke.protocol import discovery
from tests.helpers import BRISK, HELD, READ, SETTINGS, WRITE
from tests.standins import NQN, Discovery, HttpBox, NvmeBox, NvmeHost, http

KEYED = replace(
    WRITE,
    latency_objective_ms=900,
    repeat_safety=RepeatSafety.DEDUPLICATED,
    deduplication_scope=DeduplicationScope.CELL,
    deduplication_window_ms=1500,
)


DEPLOYMENT = replace(
    SETTINGS,
    classes=(replace(READ, latency_objective_ms=900), KEYED),
    plans=(replace(HELD, name="gold"), HELD),
    polls_endpoint_list=True,
    scheduler_count=1,
    node_kinds=("m",),
)


NVME = f"""
[nvme]
listen = "127.0.0.1:1"
nqn = "nqn.2026-12.example:front"
box = [{{host = "block", nqn = "{NQN}"}}]
"""


VOLUME = """
[[nvme.volume]]
namespace = {0}
volume = "{0}"
grade = "{1}"
read_class = "read"
write_class = "write"
blocks = 4096
stripe = [{2}]
write_deadline_ms = 1000
"""


INFO = "IO-Info: units=1,shard=0,hosts=1\n"


GET = "GET /api/1/{} HTTP/1.1\nReq-Id: {}\nReq-Kind: read\nTier: gold\nReq-Deadline: 1.0\n{}\n"


PUT = "PUT /api/1/{}?q=1 HTTP/1.1\nReq-Id: {}\nReq-Kind: write\nTier: gold\nReq-Deadline: 1.0\n{}\n"
SHORT_SHUTDOWN = replace(BRISK, max_deadline_s=1.2)  # completed 1.5 s after it was requested


class Rig:
    """A server with an HTTP box (shard 0) and an NVMe box (shard 1), both fronts open."""

    def __init__(self, store: str = "", console: tuple[str, int] | None = None) -> None:
        self.http, self.nvme, self.discovery = HttpBox(), NvmeBox(), Discovery()
        self._store, self._console = store, console

    async def __aenter__(self) -> Rig:
        for service in (self.http, self.nvme, self.discovery):
            await service.open()
        self.discovery.add("plain", self.http.port, 0)
        self.discovery.add("block", self.nvme.port, 1)
        rows = VOLUME.format(1, "gold", 0) + VOLUME.format(2, "gold", 1) + VOLUME.format(3, "held", 0)
        text = NVME + rows + VOLUME.format(4, "held", 1) + f'[store]\npath = "{self._store}"\n'
        operator = operator_config.read(text, DEPLOYMENT)
        extras = replace(operator, nvme=replace(operator.nvme, listen=("127.0.0.1", 0)))
        known = discovery.read_listing(self.discovery.listing(), DEPLOYMENT, cached=True)
        here = ("127.0.0.1", self.discovery.port)
        self.config = Config("n0", ("127.0.0.1", 0), here, 1, 256, 1 << 22, known, DEPLOYMENT, self._console)
        self.server = Server(self.config, extras, BRISK, self.reread)
        await self.server.open()
        self.server.start()
        self.port, self.nvme_port = (opened.port for opened in self.server.listeners)
        return self

    def reread(self, _: Config) -> Config:
        return self.config

    async def host(self) -> NvmeHost:
        host = NvmeHost(self.nvme_port, "nqn.2026-12.example:front")
        await host.open()
        return host

    async def __aexit__(self, *_: object) -> None:
        self.server.leave()
        await self.server.finish()
        for service in (self.http, self.nvme, self.discovery):
            service.die()
        assert not invariants.violations


def play(scenario: Callable[[Rig], Awaitable[None]], store: str = "", console: bool = False) -> None:
    async def run() -> None:
        async with asyncio.timeout(30), Rig(store, ("127.0.0.1", 0) if console else None) as rig:
            await scenario(rig)

    asyncio.run(run())


def held_back(rig: Rig) -> tuple[asyncio.Event, asyncio.Event]:
    """The HTTP box answers ``late``, once the second event is set; the first says that it was asked."""
    asked, go = asyncio.Event(), asyncio.Event()

    async def slowly(_: object) -> bytes | None:
        asked.set()
        await go.wait()
        return http(200, b"late")

    rig.http.answer = slowly
    return asked, go
