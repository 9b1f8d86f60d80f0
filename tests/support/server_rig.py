"""A server on loopback with stand-ins for storage nodes, NVMe hosts and discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from sabledyke import invariants, operator_config
from sabledyke.application.server import Server
from sabledyke.config import Config
from sabledyke.policy.settings import DeduplicationScope, RepeatSafety
from sabledyke.protocol import discovery
from tests.standins import NQN, Discovery, HttpNode, NvmeHost, NvmeNode, http
from tests.support.settings import FAST_SHUTDOWN, HELD, READ, SETTINGS, WRITE

KEYED_WRITE = replace(
    WRITE,
    latency_objective_ms=900,
    repeat_safety=RepeatSafety.DEDUPLICATED,
    deduplication_scope=DeduplicationScope.CELL,
    deduplication_window_ms=1500,
)

DEPLOYMENT = replace(
    SETTINGS,
    classes=(replace(READ, latency_objective_ms=900), KEYED_WRITE),
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
PLAY_TIMEOUT_S = 30
SHORT_SHUTDOWN = replace(FAST_SHUTDOWN, max_deadline_s=1.2)  # completes 1.5 s after the request


class Rig:
    """A server with an HTTP node (shard 0), an NVMe node (shard 1) and both frontends.

    Attributes:
        http: The stand-in for the HTTP node.
        nvme: The stand-in for the NVMe node.
        discovery: The stand-in for discovery, which lists both nodes.
        config: The configuration, which a reload reads again.
        server: The server under test.
        port: Port of the HTTP frontend.
        nvme_port: Port of the NVMe/TCP frontend.
    """

    def __init__(self, store: str = "", console: tuple[str, int] | None = None) -> None:
        self.http = HttpNode()
        self.nvme = NvmeNode()
        self.discovery = Discovery()
        self._store = store
        self._console = console

    async def __aenter__(self) -> Rig:
        for service in (self.http, self.nvme, self.discovery):
            await service.open()
        self.discovery.add("plain", self.http.port, 0)
        self.discovery.add("block", self.nvme.port, 1)
        known = discovery.read_listing(self.discovery.listing(), DEPLOYMENT, cached=True)
        discovery_address = ("127.0.0.1", self.discovery.port)
        self.config = Config(
            "n0", ("127.0.0.1", 0), discovery_address, 1, 256, 64 << 20, known, DEPLOYMENT, self._console
        )
        self.server = Server(self.config, self._operator_config(), FAST_SHUTDOWN, self.reread)
        await self.server.open()
        self.server.start()
        self.port, self.nvme_port = (opened.port for opened in self.server.listeners)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.begin_shutdown()
        await self.server.finish()
        for service in (self.http, self.nvme, self.discovery):
            service.die()
        assert not invariants.violations
        assert self.server.assembly.memory_budget.used_bytes == 0  # every use of memory was given back

    def reread(self, _: Config) -> Config:
        """Return the current configuration, as the function that a reload calls."""
        return self.config

    async def host(self) -> NvmeHost:
        """Connect an NVMe host to the server and return it."""
        host = NvmeHost(self.nvme_port, "nqn.2026-12.example:front")
        await host.open()
        return host

    def _operator_config(self) -> operator_config.OperatorConfig:
        volumes = (
            VOLUME.format(1, "gold", 0),
            VOLUME.format(2, "gold", 1),
            VOLUME.format(3, "held", 0),
            VOLUME.format(4, "held", 1),
        )
        text = NVME + "".join(volumes) + f'[store]\npath = "{self._store}"\n'
        operator = operator_config.read(text, DEPLOYMENT)
        return replace(operator, nvme=replace(operator.nvme, listen=("127.0.0.1", 0)))


def play(scenario: Callable[[Rig], Awaitable[None]], store: str = "", *, console: bool = False) -> None:
    """Run a scenario on a server with a store at this path, optionally with the operators' console."""
    console_address = ("127.0.0.1", 0) if console else None

    async def run() -> None:
        async with asyncio.timeout(PLAY_TIMEOUT_S), Rig(store, console_address) as rig:
            await scenario(rig)

    asyncio.run(run())


def hold_answers(rig: Rig) -> tuple[asyncio.Event, asyncio.Event]:
    """Have the HTTP node delay its response ``late``; return the events for request received and release."""
    requested = asyncio.Event()
    released = asyncio.Event()

    async def answer(_: object) -> bytes | None:
        requested.set()
        await released.wait()
        return http(200, b"late")

    rig.http.answer = answer
    return requested, released
