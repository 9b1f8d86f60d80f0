"""Opens verified connections to boxes: the driver of admission, tickets and the handshake.

What fails here is NO_CONNECTION to the core, since nothing of a request can have left. It is told once a box
and cause, in plain words, until a handshake with that box succeeds again.
"""

from __future__ import annotations

import asyncio
import itertools
import ssl

from sabledyke import log
from sabledyke.net import clock, streams
from sabledyke.policy import interface as api
from sabledyke.tls import contexts
from sabledyke.tls.handshake_admission import HandshakeAdmission, HandshakeBudget
from sabledyke.tls.keyring import Generation
from sabledyke.tls.section import TlsSection
from sabledyke.tls.session_tickets import TicketCache
from sabledyke.tls.stream import TlsStream, complete_handshake
from sabledyke.tls.tls_machine import TlsError, TlsMachine

MAX_REPORTED_NODES = 4096  # boxes whose last fault is remembered, so as not to be told again


class TlsConnector:
    """For all links to boxes, whatever they speak."""

    def __init__(
        self, section: TlsSection, terms: HandshakeBudget, seed: int, zones: tuple[str, ...] = ()
    ) -> None:
        self._section, self._zones = section, zones
        self.admission = HandshakeAdmission(terms, seed)
        self.tickets: TicketCache[ssl.SSLSession] = TicketCache()
        self._generation = 0
        self._context: ssl.SSLContext | None = None
        self._attempts = itertools.count()
        self._waiting: dict[int, asyncio.Future[bool]] = {}
        self._timers: dict[api.NodeId, asyncio.TimerHandle] = {}
        self._faults: dict[api.NodeId, str] = {}
        self.full_handshakes = self.resumed_handshakes = self.failed_handshakes = self.rejected_handshakes = 0

    def use_generation(self, generation: Generation) -> None:
        """These keys from now on: open connections live on, tickets of a former generation do not."""
        self._context = contexts.client_context(generation, allow_tls_1_2=self._section.allow_tls_1_2)
        self._generation = generation.number
        self.tickets.drop_older_generations(generation.number)

    async def connect(
        self, entry: api.NodeEntry, address: tuple[str, int], connect_ms: float, patience: float
    ) -> TlsStream:
        """A verified stream; a StreamClosedError where there is none, or no room for its handshake in time.

        ``patience``: milliseconds that the attempt has for it.
        """
        node, now = entry.node, clock.now()
        deadline = now + min(patience, self._section.handshake_timeout_ms)
        ticket = self.tickets.pop_newest(now, node, entry.started, self._generation)
        if not await self._admitted(now, entry, deadline, resumes=ticket is not None):
            self.rejected_handshakes += 1
            if ticket is not None:  # it was not used: the next attempt may
                self.tickets.add(now, node, entry.started, self._generation, ticket)
            raise streams.StreamClosedError
        good = False
        inner: streams.IOStream | None = None
        try:
            inner = await streams.connect(address, min(connect_ms, max(1.0, deadline - clock.now())))
            stream = await self._shaken(inner, entry, ticket, deadline)
            good = True
            return stream
        except TlsError as fault:
            self._tell(node, str(fault))
            raise streams.StreamClosedError(fault) from None
        except (TimeoutError, ssl.SSLError) as fault:
            late = isinstance(fault, TimeoutError)
            self._tell(node, "the handshake does not end in time" if late else str(fault))
            raise streams.StreamClosedError from None
        finally:
            if not good:
                self.failed_handshakes += 1
                if inner is not None:
                    streams.abort(inner)
            self.admission.on_handshake_completed(clock.now(), node, good=good)
            self._look(node)

    async def _shaken(
        self, inner: streams.IOStream, entry: api.NodeEntry, ticket: ssl.SSLSession | None, deadline: float
    ) -> TlsStream:
        assert self._context is not None
        node, generation = entry.node, self._generation
        site = self._zones[entry.zone] if 0 <= entry.zone < len(self._zones) else ""
        name = self._section.certificate_name(api.name_of(node), site)
        layer = TlsMachine(self._context, name=name, session=ticket)
        await complete_handshake(inner, layer, max(1.0, deadline - clock.now()))
        self.resumed_handshakes += layer.resumed
        self.full_handshakes += not layer.resumed
        self._faults.pop(node, None)

        def told(session: ssl.SSLSession) -> None:
            if generation == self._generation:
                self.tickets.add(clock.now(), node, entry.started, generation, session)

        return TlsStream(inner, layer, told)

    async def _admitted(self, now: float, entry: api.NodeEntry, deadline: float, *, resumes: bool) -> bool:
        attempt, node = next(self._attempts), entry.node
        go = self.admission.request(now, node, entry.started, attempt, deadline, resumes)
        if go is not False:
            return bool(go)
        waiter = self._waiting[attempt] = asyncio.get_running_loop().create_future()
        self._look(node)
        try:
            return bool(await waiter)
        except asyncio.CancelledError:
            # Guards against an attempt that is called off in the turn in which it may go.
            if waiter.done() and not waiter.cancelled() and waiter.result():
                self.admission.on_handshake_completed(clock.now(), node, good=True)
            raise
        finally:
            del self._waiting[attempt]
            if waiter.cancelled():
                self.admission.withdraw(node, attempt)

    def _look(self, node: api.NodeId) -> None:
        """Let go who may, tell who is out of time, and look again when that may change."""
        timer = self._timers.pop(node, None)
        if timer is not None:
            timer.cancel()
        now = clock.now()
        go, late = self.admission.pop_due(now, node)
        for attempts, answer in ((go, True), (late, False)):
            for attempt in attempts:
                waiter = self._waiting.get(attempt)
                if waiter is not None and not waiter.done():
                    waiter.set_result(answer)
                elif answer:  # called off in this very turn: its place is given back
                    self.admission.on_handshake_completed(now, node, good=True)
        at = self.admission.next_due_ms(now, node)
        if at < float("inf"):
            loop = asyncio.get_running_loop()
            self._timers[node] = loop.call_later(max(1.0, at - now) / 1000, self._look, node)

    def forget(self, node: api.NodeId) -> None:
        """The box is gone from the list."""
        for attempt in self.admission.forget(node):
            waiter = self._waiting.get(attempt)
            if waiter is not None and not waiter.done():
                waiter.set_result(False)
        timer = self._timers.pop(node, None)
        if timer is not None:
            timer.cancel()
        self.tickets.forget(node)
        self._faults.pop(node, None)

    def close(self) -> None:
        """The program ends."""
        for timer in self._timers.values():
            timer.cancel()

    def _tell(self, node: api.NodeId, text: str) -> None:
        if self._faults.get(node) != text:
            self._faults[node] = text
            if len(self._faults) > MAX_REPORTED_NODES:
                del self._faults[next(iter(self._faults))]
            log.say("tls", f"{api.name_of(node)}: {text}")
