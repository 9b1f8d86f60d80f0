"""Extension that sets up TLS to storage nodes and for clients of the frontends."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from sabledyke import log
from sabledyke.application.extensions import Extension, ServerContext
from sabledyke.config import ConfigError
from sabledyke.errors import OperatorError
from sabledyke.net import clock, streams
from sabledyke.net.link import Connect
from sabledyke.net.streams import Stream
from sabledyke.policy.nodes import NodeId
from sabledyke.protocol.discovery import Address
from sabledyke.tls import contexts
from sabledyke.tls.connector import TlsConnector
from sabledyke.tls.handshake_admission import HandshakeBudget
from sabledyke.tls.key_material import MaterialError
from sabledyke.tls.keyring import Generation, Keyring
from sabledyke.tls.section import TlsSection
from sabledyke.tls.stream import TlsStream, complete_handshake
from sabledyke.tls.tls_machine import TlsError, TlsMachine, certificate_names

if TYPE_CHECKING:
    from sabledyke.config import Config
    from sabledyke.net.frontend import Guard
    from sabledyke.operator_config import OperatorConfig

CLIENT_HANDSHAKE_TIMEOUT_MS = 2000.0
WARM_CHECK_INTERVAL_S = 2.0
"""Interval of the check that each recently used node has an open connection."""
WARM_PERIOD_MS = 60_000.0
"""Time after the last use of a storage node for which a connection to it is kept open."""
EVICTION_INTERVAL_S = 30.0
"""Interval at which idle entries of handshake admission are evicted."""


class TlsExtension(Extension):
    """TLS for connections to storage nodes and from clients.

    Attributes:
        keyring: The keys in use and their rotation.
        connector: Opens the connections to storage nodes.
    """

    def __init__(self, context: ServerContext, section: TlsSection) -> None:
        self._context = context
        self._section = section
        context.connect_slack_ms = section.handshake_timeout_ms
        self.keyring = Keyring(section.overlap_s * 1000)
        self.connector = TlsConnector(
            section, self._budget(context.config), context.config.seed, context.config.settings.zones
        )
        self._server_context: ssl.SSLContext | None = None
        self._last_used_ms: dict[NodeId, float] = {}  # time of the last connection request
        self._timers: list[asyncio.TimerHandle] = []

    def wrap_connect(self, connect_plaintext: Connect) -> Connect:
        """Connect by TLS to the nodes that the section selects, without a fallback to plaintext."""

        async def connect(
            node: NodeId, address: Address, connect_timeout_ms: float, remaining_ms: float
        ) -> Stream:
            if self._section.nodes and node not in self._section.nodes:
                return await connect_plaintext(node, address, connect_timeout_ms, remaining_ms)
            self._last_used_ms[node] = clock.now()
            entry = self._context.node_entry(node)
            return await self.connector.connect(entry, address, connect_timeout_ms, remaining_ms)

        return connect

    def connection_guard(self, frontend_name: str) -> Guard | None:
        """Require a TLS handshake of each client of the frontends that use TLS."""
        return self._accept_client if frontend_name in self._section.tls_frontends else None

    async def open(self) -> None:
        """Load the keys and start the periodic tasks.

        Raises:
            ConfigError: The key files cannot be used.
        """
        try:
            update = self.keyring.offer(clock.now(), self._section.paths.read_files())
        except (MaterialError, OperatorError) as error:
            raise ConfigError(f"tls: {error}") from None
        self._use_generation(self.keyring.generation)
        _log_messages(update.messages)
        if self._section.poll_interval_s:
            self._repeat(self._section.poll_interval_s, self._poll_files)
        if self._section.keep_warm:
            self._repeat(WARM_CHECK_INTERVAL_S, self._keep_warm)
        self._repeat(EVICTION_INTERVAL_S, self._evict_idle)

    def apply_config(self, config: Config) -> None:
        """Apply the new handshake budget, and check the key files for changes."""
        self.connector.admission.budget = self._budget(config)
        self._poll_files()

    def on_nodes_removed(self, removed: Iterable[NodeId]) -> None:
        """Drop the state of the removed storage nodes."""
        for node in removed:
            self.connector.forget(node)
            self._last_used_ms.pop(node, None)

    async def close(self) -> None:
        """Cancel all timers."""
        for timer in self._timers:
            timer.cancel()
        self.connector.close()

    async def _accept_client(self, inner: streams.IOStream) -> Stream | None:
        """Complete a client's handshake within the timeout; return None if it failed."""
        assert self._server_context is not None
        machine = TlsMachine(self._server_context, server=True)
        try:
            await complete_handshake(inner, machine, CLIENT_HANDSHAKE_TIMEOUT_MS)
        except (TlsError, TimeoutError, streams.StreamClosedError, ssl.SSLError) as error:
            log.emit("tls", f"a client's handshake failed: {str(error) or 'it timed out'}")
            return None
        stream = TlsStream(inner, machine)
        if self._section.client_rights:
            stream.rights = self._rights(certificate_names(machine.peer_certificate()))
        return stream

    def _rights(self, names: set[str]) -> frozenset[int]:
        """Return the union of the volumes that the names of a certificate may access."""
        volumes: set[int] = set()
        for name in names:
            volumes |= self._section.client_rights.get(name, frozenset())
        return frozenset(volumes)

    def _use_generation(self, generation: Generation) -> None:
        self.connector.use_generation(generation)
        if self._section.tls_frontends:
            self._server_context = contexts.server_context(
                generation,
                allow_tls_1_2=self._section.allow_tls_1_2,
                require_client_certificates=self._section.require_client_certificates,
            )

    def _poll_files(self) -> None:
        try:
            update = self.keyring.offer(clock.now(), self._section.paths.read_files())
        except OperatorError as error:  # a file may be missing briefly during a rotation
            log.emit("tls", f"new keys were rejected: {error}; the current keys stay in use")
            return
        if update.changed:
            self._use_generation(self.keyring.generation)
        _log_messages(update.messages)

    def _keep_warm(self) -> None:
        """Keep a connection open to each recently used node, so that requests do not wait for a handshake.

        Handshake admission and the idle timeout apply to these connections as to all others.
        """
        now_ms = clock.now()
        for node, last_used_ms in list(self._last_used_ms.items()):
            if now_ms - last_used_ms > WARM_PERIOD_MS:
                del self._last_used_ms[node]
            else:
                self._context.preconnect(node)

    def _evict_idle(self) -> None:
        self.connector.admission.evict_idle(clock.now())

    def _repeat(self, interval_s: float, action: Callable[[], None]) -> None:
        """Run an action periodically until the extension is closed."""
        index = len(self._timers)

        def run() -> None:
            action()
            self._timers[index] = asyncio.get_running_loop().call_later(interval_s, run)

        self._timers.append(asyncio.get_running_loop().call_later(interval_s, run))

    def _budget(self, config: Config) -> HandshakeBudget:
        """Return the handshake budget of a storage node under the current settings."""
        settings = config.settings
        return HandshakeBudget(
            scheduler_count=settings.scheduler_count,
            initial_capacity_share=settings.slow_start_fraction,
            warm_up_ms=settings.warm_up_ms,
            handshake_share=self._section.handshake_share,
            cores=self._section.cores,
        )


def set_up(context: ServerContext, section: OperatorConfig) -> Extension | None:
    """Return the extension, or None if the operator's file has no ``[tls]`` section."""
    return TlsExtension(context, section.tls) if section.tls is not None else None


def _log_messages(messages: Iterable[str]) -> None:
    for message in messages:
        log.emit("tls", message)
