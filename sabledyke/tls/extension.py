"""Set-up of TLS, towards storage nodes and on the fronts, as an extension of the application."""

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
"""How often connections that are to be kept warm are checked."""
WARM_PERIOD_MS = 60_000.0
"""For how long after its last use a storage node is kept warm."""
EVICTION_INTERVAL_S = 30.0
"""How often idle entries of admission are evicted."""


class TlsExtension(Extension):
    """See ``Extension``."""

    def __init__(self, context: ServerContext, section: TlsSection) -> None:
        self._context = context
        self._section = section
        context.connect_slack_ms = section.handshake_timeout_ms
        self.keyring = Keyring(section.overlap_s * 1000)
        self.connector = TlsConnector(
            section, self._budget(context.config), context.config.seed, context.config.settings.zones
        )
        self._client_facing: ssl.SSLContext | None = None
        self._last_used_ms: dict[NodeId, float] = {}  # when a connection was last requested
        self._timers: list[asyncio.TimerHandle] = []

    def wrap_connect(self, plain: Connect) -> Connect:
        """See ``Extension``: never plaintext where TLS is requested."""

        async def connect(
            node: NodeId, address: Address, connect_timeout_ms: float, remaining_ms: float
        ) -> Stream:
            if self._section.nodes and node not in self._section.nodes:
                return await plain(node, address, connect_timeout_ms, remaining_ms)
            self._last_used_ms[node] = clock.now()
            entry = self._context.node_entry(node)
            return await self.connector.connect(entry, address, connect_timeout_ms, remaining_ms)

        return connect

    def connection_guard(self, front: str) -> Guard | None:
        """See ``Extension``."""
        return self._accept_client if front in self._section.fronts else None

    async def open(self) -> None:
        """See ``Extension``."""
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
        """See ``Extension``: a reload checks the files too."""
        self.connector.admission.budget = self._budget(config)
        self._poll_files()

    def on_nodes_removed(self, gone: Iterable[NodeId]) -> None:
        """See ``Extension``."""
        for node in gone:
            self.connector.forget(node)
            self._last_used_ms.pop(node, None)

    async def close(self) -> None:
        """See ``Extension``."""
        for timer in self._timers:
            timer.cancel()
        self.connector.close()

    async def _accept_client(self, inner: streams.IOStream) -> Stream | None:
        """Complete a client's handshake in bounded time; None where it failed."""
        assert self._client_facing is not None
        machine = TlsMachine(self._client_facing, server=True)
        try:
            await complete_handshake(inner, machine, CLIENT_HANDSHAKE_TIMEOUT_MS)
        except (TlsError, TimeoutError, streams.StreamClosedError, ssl.SSLError) as error:
            log.emit("tls", f"a client's handshake failed: {str(error) or 'it does not end in time'}")
            return None
        stream = TlsStream(inner, machine)
        if self._section.client_rights:
            stream.rights = self._rights(certificate_names(machine.peer_certificate()))
        return stream

    def _rights(self, names: set[str]) -> frozenset[int]:
        """Return the volumes of all names of a certificate together; none for one without a name."""
        volumes: set[int] = set()
        for name in names:
            volumes |= self._section.client_rights.get(name, frozenset())
        return frozenset(volumes)

    def _use_generation(self, generation: Generation) -> None:
        self.connector.use_generation(generation)
        if self._section.fronts:
            self._client_facing = contexts.server_context(
                generation,
                allow_tls_1_2=self._section.allow_tls_1_2,
                require_client_certificates=self._section.require_client_certificates,
            )

    def _poll_files(self) -> None:
        try:
            update = self.keyring.offer(clock.now(), self._section.paths.read_files())
        except OperatorError as error:  # half a rotation: a file is missing for a moment
            log.emit("tls", f"new keys are not used: {error}; the old ones stay in force")
            return
        if update.changed:
            self._use_generation(self.keyring.generation)
        _log_messages(update.messages)

    def _keep_warm(self) -> None:
        """Keep a connection ahead of need to each node that was used lately, so that no request waits for it.

        It goes through admission like any other, and the idle timeout closes it like any other.
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
        """Run an action at this interval until the end."""
        index = len(self._timers)

        def run() -> None:
            action()
            self._timers[index] = asyncio.get_running_loop().call_later(interval_s, run)

        self._timers.append(asyncio.get_running_loop().call_later(interval_s, run))

    def _budget(self, config: Config) -> HandshakeBudget:
        """Return what a storage node can do under the settings in force."""
        settings = config.settings
        return HandshakeBudget(
            scheduler_count=settings.scheduler_count,
            initial_capacity_share=settings.slow_start_fraction,
            warm_up_ms=settings.warm_up_ms,
            handshake_share=self._section.handshake_share,
            cores=self._section.cores,
        )


def set_up(context: ServerContext, section: OperatorConfig) -> Extension | None:
    """Return the extension, where the operator's file requests it."""
    return TlsExtension(context, section.tls) if section.tls is not None else None


def _log_messages(messages: Iterable[str]) -> None:
    for message in messages:
        log.emit("tls", message)
