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
from sabledyke.policy.nodes import NodeEntry, NodeId, node_name
from sabledyke.tls import contexts
from sabledyke.tls.handshake_admission import Admission, Terms
from sabledyke.tls.keyring import Generation
from sabledyke.tls.section import Section
from sabledyke.tls.session_tickets import Tickets
from sabledyke.tls.stream import TlsStream, shake
from sabledyke.tls.tls_machine import Layer, TlsError

MOST_TOLD = 4096  # boxes whose last fault is remembered, so as not to be told again


class Connector:
    """For all links to boxes, whatever they speak."""

    def __init__(self, section: Section, terms: Terms, seed: int, zones: tuple[str, ...] = ()) -> None:
        self._section, self._zones = section, zones
        self.admission = Admission(terms, seed)
        self.tickets: Tickets[ssl.SSLSession] = Tickets()
        self._generation = 0
        self._context: ssl.SSLContext | None = None
        self._attempts = itertools.count()
        self._waiting: dict[int, asyncio.Future[bool]] = {}
        self._timers: dict[NodeId, asyncio.TimerHandle] = {}
        self._faults: dict[NodeId, str] = {}
        self.full = self.resumed = self.failed = self.refused = 0

    def adopt(self, generation: Generation) -> None:
        """These keys from now on: open connections live on, tickets of a former generation do not."""
        self._context = contexts.towards_boxes(generation, allow_12=self._section.allow_12)
        self._generation = generation.number
        self.tickets.withdraw(generation.number)

    async def connect(
        self, entry: NodeEntry, address: tuple[str, int], connect_ms: float, patience: float
    ) -> TlsStream:
        """A verified stream; a StreamClosedError where there is none, or no room for its handshake in time.

        ``patience``: milliseconds that the attempt has for it.
        """
        node, now = entry.node_id, clock.now()
        deadline = now + min(patience, self._section.handshake)
        ticket = self.tickets.take(now, node, entry.started_ms, self._generation)
        if not await self._admitted(now, entry, deadline, resumes=ticket is not None):
            self.refused += 1
            if ticket is not None:  # it was not used: the next attempt may
                self.tickets.put(now, node, entry.started_ms, self._generation, ticket)
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
                self.failed += 1
                if inner is not None:
                    streams.abort(inner)
            self.admission.ended(clock.now(), node, good=good)
            self._look(node)

    async def _shaken(
        self, inner: streams.IOStream, entry: NodeEntry, ticket: ssl.SSLSession | None, deadline: float
    ) -> TlsStream:
        assert self._context is not None
        node, generation = entry.node_id, self._generation
        site = self._zones[entry.zone] if 0 <= entry.zone < len(self._zones) else ""
        name = self._section.name_of(node_name(node), site)
        layer = Layer(self._context, name=name, session=ticket)
        await shake(inner, layer, max(1.0, deadline - clock.now()))
        self.resumed += layer.resumed
        self.full += not layer.resumed
        self._faults.pop(node, None)

        def told(session: ssl.SSLSession) -> None:
            if generation == self._generation:
                self.tickets.put(clock.now(), node, entry.started_ms, generation, session)

        return TlsStream(inner, layer, told)

    async def _admitted(self, now: float, entry: NodeEntry, deadline: float, *, resumes: bool) -> bool:
        attempt, node = next(self._attempts), entry.node_id
        go = self.admission.ask(now, node, entry.started_ms, attempt, deadline, resumes)
        if go is not False:
            return bool(go)
        waiter = self._waiting[attempt] = asyncio.get_running_loop().create_future()
        self._look(node)
        try:
            return bool(await waiter)
        except asyncio.CancelledError:
            # Guards against an attempt that is called off in the turn in which it may go.
            if waiter.done() and not waiter.cancelled() and waiter.result():
                self.admission.ended(clock.now(), node, good=True)
            raise
        finally:
            del self._waiting[attempt]
            if waiter.cancelled():
                self.admission.withdrawn(node, attempt)

    def _look(self, node: NodeId) -> None:
        """Let go who may, tell who is out of time, and look again when that may change."""
        timer = self._timers.pop(node, None)
        if timer is not None:
            timer.cancel()
        now = clock.now()
        go, late = self.admission.due(now, node)
        for attempts, answer in ((go, True), (late, False)):
            for attempt in attempts:
                waiter = self._waiting.get(attempt)
                if waiter is not None and not waiter.done():
                    waiter.set_result(answer)
                elif answer:  # called off in this very turn: its place is given back
                    self.admission.ended(now, node, good=True)
        at = self.admission.next(now, node)
        if at < float("inf"):
            loop = asyncio.get_running_loop()
            self._timers[node] = loop.call_later(max(1.0, at - now) / 1000, self._look, node)

    def forget(self, node: NodeId) -> None:
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

    def _tell(self, node: NodeId, text: str) -> None:
        if self._faults.get(node) != text:
            self._faults[node] = text
            if len(self._faults) > MOST_TOLD:
                del self._faults[next(iter(self._faults))]
            log.emit("tls", f"{node_name(node)}: {text}")
