"""A server that connects to one storage node by TLS, and the keys for its tests."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from sabledyke import invariants, log, operator_config
from sabledyke.application.server import Server
from sabledyke.config import Config
from sabledyke.protocol import discovery
from sabledyke.tls.extension import TlsExtension
from sabledyke.tls.section import KeyPaths, TlsSection
from tests.standins import Discovery, Service, read_http
from tests.standins.keys import Authority
from tests.standins.tls import server_context
from tests.support.server_rig import DEPLOYMENT, GET, INFO, PUT
from tests.support.settings import FAST_SHUTDOWN

NODE = b"plain"  # name of the storage node and of its certificate
ROOT = Authority()
OTHER_ROOT = Authority("other")
NODE_CHAIN, NODE_KEY = ROOT.issue("plain")
NODE_CONTEXT = server_context(NODE_CHAIN, NODE_KEY)
SCHEDULER_CHAIN, SCHEDULER_KEY = ROOT.issue("scheduler", "127.0.0.1")
NO_ANSWER = 0  # returned in place of a status
SCENARIO_TIMEOUT_S = 30


def write_keys(folder: Path, chain: bytes, key: bytes, roots: bytes, revoked: bytes = b"") -> None:
    """Write key files, replacing each atomically, as an operator's tool does."""
    for name, data in (("chain", chain), ("key", key), ("roots", roots), ("revoked", revoked)):
        temporary = folder / f"{name}.part"
        temporary.touch(0o600)
        temporary.write_bytes(data)
        temporary.rename(folder / name)


def client_context(folder: Path, pair: tuple[bytes, bytes] | None = None) -> ssl.SSLContext:
    """Return a client's context that trusts the scheduler and, given a chain and key, presents them."""
    context = ssl.create_default_context(cadata=ROOT.root.decode())
    if pair is not None:
        chain, key = pair
        path = folder / "client.pem"
        path.touch(0o600)
        path.write_bytes(key + chain)
        context.load_cert_chain(path)
    return context


class TlsServerRig:
    """A server with one storage node at shard 0, connected to by TLS.

    Attributes:
        folder: Folder of the key files.
        node: The storage node.
        discovery: The discovery stand-in, which lists the storage node.
        server: The server under test.
    """

    def __init__(
        self,
        folder: Path,
        node: Service,
        tls_changes: dict[str, Any] | None = None,
        operator_text: str = "",
        *,
        stops_node: bool = True,
    ) -> None:
        """Prepare a server.

        Args:
            folder: Folder of the key files; valid files are written on entry if it has none.
            node: The storage node, which already listens.
            tls_changes: Changed fields of the TLS section.
            operator_text: Further sections of the operator's file.
            stops_node: True to stop the storage node with the server.
        """
        self.folder = folder
        self.node = node
        self.discovery = Discovery()
        self._tls_changes = tls_changes or {}
        self._operator_text = operator_text
        self._stops_node = stops_node
        self._request_count = 0
        self._patch = pytest.MonkeyPatch()

    async def __aenter__(self) -> TlsServerRig:
        invariants.violations.clear()
        self._patch.setattr(log, "_limiter", log.Limiter())
        await self.discovery.open()
        self.discovery.add(NODE.decode(), self.node.port, 0)
        if not (self.folder / "roots").exists():
            write_keys(self.folder, SCHEDULER_CHAIN, SCHEDULER_KEY, ROOT.root)
        config, operator_settings = self._config()
        self.server = Server(config, operator_settings, FAST_SHUTDOWN)
        await self.server.open()
        self.server.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.begin_shutdown()
        await self.server.finish()
        if self._stops_node:
            self.node.die()
        self.discovery.die()
        self._patch.undo()
        assert not invariants.violations
        assert self.open_connections == 0  # no connection has leaked

    @property
    def extension(self) -> TlsExtension:
        """The TLS extension of the server."""
        extension = self.server.extensions[0]
        assert isinstance(extension, TlsExtension)
        return extension

    @property
    def handshake_count(self) -> int:
        """Number of successful handshakes with the storage node."""
        connector = self.extension.connector
        return connector.full_handshakes + connector.resumed_handshakes

    @property
    def open_connections(self) -> int:
        """Number of open connections to the storage node."""
        return self.server.pool.open_connections

    @property
    def idle_connections(self) -> int:
        """Number of idle connections to the storage node."""
        return len(self.server.pool._idle.get(NODE, ()))

    def update_list(self) -> None:
        """Pass the current list of the discovery stand-in to the server."""
        served = discovery.read_listing(self.discovery.listing(), DEPLOYMENT)
        self.server.assembly.on_endpoint_list(served)

    async def request(self, key: str = "", context: ssl.SSLContext | None = None, volume: int = 1) -> int:
        """Send a request on a new connection, and return its status, or NO_ANSWER if it got none.

        Args:
            key: Idempotency key of a write; empty for a read.
            context: TLS context of the client; None to connect in plaintext.
            volume: Number of the volume.
        """
        self._request_count += 1
        headers = f"{INFO}Idempotency-Key: {key}\nContent-Length: 1\n" if key else INFO
        text = (PUT if key else GET).format("1", f"i{self._request_count}", headers)
        text = text.replace("/api/1/", f"/api/{volume}/")
        server_name = "scheduler" if context else None
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.server.listeners[0].port, ssl=context, server_hostname=server_name
            )
            writer.write(text.replace("\n", "\r\n").encode() + (b"x" if key else b""))
            first_line, _, _ = await read_http(reader)
        except (OSError, asyncio.IncompleteReadError):
            return NO_ANSWER
        writer.close()
        return int(first_line.split()[1])

    def _config(self) -> tuple[Config, operator_config.OperatorConfig]:
        paths = KeyPaths(*(str(self.folder / name) for name in ("chain", "key", "roots", "revoked")))
        if not (self.folder / "revoked").read_bytes():
            paths = replace(paths, revocation_lists="")
        tls = TlsSection(paths, poll_interval_s=0, handshake_timeout_ms=400, **self._tls_changes)
        operator_settings = operator_config.OperatorConfig()
        if self._operator_text:
            operator_settings = operator_config.read(self._operator_text, DEPLOYMENT)
        nvme = operator_settings.nvme
        nvme_address = ("127.0.0.1", 0) if nvme.listen else None
        known = discovery.read_listing(self.discovery.listing(), DEPLOYMENT, cached=True)
        discovery_address = ("127.0.0.1", self.discovery.port)
        config = Config("n0", ("127.0.0.1", 0), discovery_address, 1, 256, 64 << 20, known, DEPLOYMENT)
        return config, replace(operator_settings, tls=tls, nvme=replace(nvme, listen=nvme_address))


Scenario = Callable[[TlsServerRig], Awaitable[None]]


def run_scenario(
    folder: Path, node: Service, scenario: Scenario, operator_text: str = "", **tls_changes: Any
) -> None:
    """Run a scenario on a server with one storage node and the given fields of the TLS section."""

    async def run() -> None:
        async with asyncio.timeout(SCENARIO_TIMEOUT_S):
            await node.open()
            async with TlsServerRig(folder, node, tls_changes, operator_text) as rig:
                await scenario(rig)

    asyncio.run(run())
