"""Where TLS towards boxes is set up."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Iterable
from typing import TYPE_CHECKING

from sabledyke import log
from sabledyke.application.extensions import Host, Part
from sabledyke.config import ConfigError
from sabledyke.errors import OperatorError
from sabledyke.net import clock, streams
from sabledyke.net.connection_pool import Connect
from sabledyke.net.streams import Stream
from sabledyke.policy import interface as api
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
    from sabledyke.operator_config import Operator

CLIENT_HANDSHAKE_TIMEOUT_MS = 2000.0  # for a client's handshake
WARM_CHECK_INTERVAL_S, WARM_PERIOD_MS = (
    2.0,
    60_000.0,
)  # between looks at what is to be kept warm, and for how long after a use
EVICTION_INTERVAL_S = 30.0  # seconds between looks at what admission can forget


class TlsExtension(Part):
    """See ``parts.Part``."""

    def __init__(self, host: Host, section: TlsSection) -> None:
        self._host, self._section = host, section
        host.slack = section.handshake_timeout_ms
        self.keyring = Keyring(section.overlap_s * 1000)
        self.connector = TlsConnector(
            section, self._terms(host.config), host.config.seed, host.config.settings.zones
        )
        self._for_clients: ssl.SSLContext | None = None
        self._used: dict[api.NodeId, float] = {}  # when a connection to a box was last asked for
        self._timers: list[asyncio.TimerHandle] = []

    def connect(self, plain: Connect) -> Connect:
        """See ``parts.Part``: never plaintext where TLS is asked for."""

        async def connect(
            node: api.NodeId, address: tuple[str, int], connect_ms: float, patience: float
        ) -> Stream:
            if self._section.nodes and node not in self._section.nodes:
                return await plain(node, address, connect_ms, patience)
            self._used[node] = clock.now()
            return await self.connector.connect(self._host.entry(node), address, connect_ms, patience)

        return connect

    def _keep_warm(self) -> None:
        """A connection ahead of need to each box that was used lately: its handshake is nobody's wait.

        It goes through admission like any other, and the idle time closes it like any other.
        """
        now = clock.now()
        for node, at in list(self._used.items()):
            if now - at > WARM_PERIOD_MS:
                del self._used[node]
            else:
                self._host.warm(node)

    def guard(self, front: str) -> Guard | None:
        """See ``parts.Part``."""
        return self._terminate if front in self._section.fronts else None

    async def _terminate(self, inner: streams.IOStream) -> Stream | None:
        """A client's handshake, bounded in time; who shows no certificate that is wanted is not let in."""
        assert self._for_clients is not None
        layer = TlsMachine(self._for_clients, server=True)
        try:
            await complete_handshake(inner, layer, CLIENT_HANDSHAKE_TIMEOUT_MS)
        except (TlsError, TimeoutError, streams.StreamClosedError, ssl.SSLError) as fault:
            log.say("tls", f"a client's handshake failed: {str(fault) or 'it does not end in time'}")
            return None
        made = TlsStream(inner, layer)
        if self._section.client_rights:
            # A certificate with several names has the rights of all of them, one with none has no right.
            names = certificate_names(layer.peer_certificate())
            made.rights = frozenset[int]().union(
                *(self._section.client_rights.get(n, frozenset()) for n in names)
            )
        return made

    def _adopt(self, generation: Generation) -> None:
        self.connector.use_generation(generation)
        if self._section.fronts:
            section = self._section
            self._for_clients = contexts.server_context(
                generation,
                allow_tls_1_2=section.allow_tls_1_2,
                require_client_certificates=section.require_client_certificates,
            )

    async def open(self) -> None:
        """See ``parts.Part``."""
        try:
            news = self.keyring.offer(clock.now(), self._section.paths.read_files())
        except (MaterialError, OperatorError) as fault:
            raise ConfigError(f"tls: {fault}") from None
        self._adopt(self.keyring.generation)
        for line in news.messages:
            log.say("tls", line)
        if self._section.poll_interval_s:
            self._again(self._section.poll_interval_s, self._look)
        if self._section.keep_warm:
            self._again(WARM_CHECK_INTERVAL_S, self._keep_warm)
        self._again(EVICTION_INTERVAL_S, lambda: self.connector.admission.evict_idle(clock.now()))

    def _again(self, seconds: float, what: object) -> None:
        """``what`` every so many seconds, until the end."""
        assert callable(what)
        place = len(self._timers)

        def run() -> None:
            what()
            self._timers[place] = asyncio.get_running_loop().call_later(seconds, run)

        self._timers.append(asyncio.get_running_loop().call_later(seconds, run))

    def _look(self) -> None:
        try:
            news = self.keyring.offer(clock.now(), self._section.paths.read_files())
        except OperatorError as fault:  # half a rotation: a file is missing for a moment
            log.say("tls", f"new keys are not used: {fault}; the old ones stay in force")
            return
        if news.changed:
            self._adopt(self.keyring.generation)
        for line in news.messages:
            log.say("tls", line)

    def adopt(self, config: Config) -> None:
        """See ``parts.Part``: SIGHUP looks at the files too."""
        self.connector.admission.budget = self._terms(config)
        self._look()

    def _terms(self, config: Config) -> HandshakeBudget:
        """What a box bears, and how many schedulers come to it, by the settings in force."""
        s, section = config.settings, self._section
        return HandshakeBudget(
            scheduler_count=s.hosts,
            initial_capacity_share=s.cold_share,
            warm_up_ms=s.warm_up,
            handshake_share=section.handshake_share,
            cores=section.cores,
        )

    def listed(self, gone: Iterable[api.NodeId]) -> None:
        """See ``parts.Part``."""
        for node in gone:
            self.connector.forget(node)
            self._used.pop(node, None)

    async def close(self) -> None:
        """See ``parts.Part``."""
        for timer in self._timers:
            timer.cancel()
        self.connector.close()


def set_up(host: Host, section: Operator) -> Part | None:
    """The part, where the operator's file asks for it."""
    return TlsExtension(host, section.tls) if section.tls is not None else None
