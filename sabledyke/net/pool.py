"""HTTP connections to boxes, and the attempts on them: one at a time on each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sabledyke import interface as api
from sabledyke import log
from sabledyke.core import Ended, Work
from sabledyke.interface import Outcome
from sabledyke.net import streams
from sabledyke.protocol.gateway import Reader, to_box
from sabledyke.protocol.http import HttpError, Message, Parser

Report = Callable[[int, int, Ended], None]
IDLE_PART = 0.6  # of the time after which boxes close idle connections: ours are closed by then


class _Link:
    """An open connection to a box."""

    def __init__(self, node: api.NodeId, address: tuple[str, int], stream: streams.IOStream) -> None:
        self.node, self.address, self.stream = node, address, stream
        self.parser = Parser(responses=True)
        self.expiry: asyncio.TimerHandle | None = None


class _Flight:
    """An attempt under way."""

    def __init__(self, rid: int, number: int, node: api.NodeId, work: Work) -> None:
        self.rid, self.number, self.node, self.work = rid, number, node, work
        self.link: _Link | None = None
        self.written: asyncio.Future[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether its last byte may have left: a write that is done tells so, one that failed never did."""
        return self.written is not None and self.written.done() and self.written.exception() is None


class HttpPool:
    """The core's transport to boxes that speak HTTP."""

    def __init__(self, settings: api.Settings, report: Report, most: int) -> None:
        self._settings, self._report, self._most = settings, report, most
        self._reader = Reader(settings)
        self._dials: dict[api.NodeId, tuple[str, int]] = {}
        self._idle: dict[api.NodeId, list[_Link]] = {}
        self._flights: dict[tuple[int, int], _Flight] = {}
        self._links = 0

    def dial(self, dials: dict[api.NodeId, tuple[str, int]]) -> None:
        """Learn where nodes listen; connections to a former address are not used again."""
        for node, address in dials.items():
            if self._dials.get(node, address) != address:
                self.close_idle(node)
            self._dials[node] = address

    def start(self, rid: int, number: int, node: api.NodeId, work: Work, timeout: float) -> None:
        """See ``core.Transport``."""
        flight = _Flight(rid, number, node, work)
        self._flights[rid, number] = flight
        loop = asyncio.get_running_loop()
        flight.timer = loop.call_later(timeout / 1000, self._expire, flight)
        flight.task = loop.create_task(self._fly(flight, timeout))

    def cancel(self, rid: int, number: int) -> None:
        """See ``core.Transport``."""
        flight = self._flights.get((rid, number))
        if flight is not None:
            self._end(flight, Ended(Outcome.CANCELLED, flight.may_have_run))

    def close_idle(self, node: api.NodeId) -> None:
        """See ``core.Transport``."""
        for link in self._idle.pop(node, []):
            self._discard(link)

    def close(self) -> None:
        """Close what is idle, at the end."""
        for node in list(self._idle):
            self.close_idle(node)

    async def _fly(self, flight: _Flight, timeout: float) -> None:
        try:
            link = self._reuse(flight.node) or await self._open(flight.node)
            if (flight.rid, flight.number) not in self._flights:  # cancelled while the connection came up
                self._keep(link)
                return
            flight.link = link
            data = to_box(flight.work, f"{link.address[0]}:{link.address[1]}", timeout)
            flight.written = asyncio.ensure_future(link.stream.write(data))
            answer = await self._answer(link)
        except (streams.StreamClosedError, HttpError, OSError) as fault:
            if isinstance(fault, HttpError):
                log.say("box", f"{flight.node.decode(errors='replace')} answered no HTTP: {fault}")
            ran = flight.may_have_run
            self._end(flight, Ended(Outcome.RESET if ran else Outcome.NO_CONNECTION, ran))
            return
        whole = flight.may_have_run
        if answer.keep_alive and whole and link.parser.idle:
            flight.link = None
            self._keep(link)
        self._end(flight, self._reader.ended(answer))

    async def _answer(self, link: _Link) -> Message:
        while True:
            try:
                link.parser.feed(await link.stream.read_bytes(streams.READ, partial=True))
            except streams.StreamClosedError:
                link.parser.eof()
                answer = link.parser.next()
                if answer is None:
                    raise
                return answer
            answer = link.parser.next()
            if answer is not None:
                return answer

    async def _open(self, node: api.NodeId) -> _Link:
        address = self._dials.get(node)
        if self._links >= self._most:
            self._make_room()
        if address is None or self._links >= self._most:
            log.say("pool", f"no connection to spare for {node.decode(errors='replace')}")
            raise streams.StreamClosedError
        self._links += 1
        try:
            stream = await streams.connect(address, self._settings.connect_timeout)
        except BaseException:
            self._links -= 1
            raise
        return _Link(node, address, stream)

    def _make_room(self) -> None:
        """Close the idle connection of the node that has most of them."""
        if self._idle:
            node = max(self._idle, key=lambda n: len(self._idle[n]))
            self._discard(self._idle[node].pop(0))
            if not self._idle[node]:
                del self._idle[node]

    def _reuse(self, node: api.NodeId) -> _Link | None:
        while self._idle.get(node):
            link = self._idle[node].pop()
            if link.expiry is not None:
                link.expiry.cancel()
            link.stream.set_close_callback(None)
            if streams.quiet(link.stream):
                return link
            self._discard(link)
        return None

    def _keep(self, link: _Link) -> None:
        if link.stream.closed() or self._dials.get(link.node) != link.address:
            self._discard(link)
            return
        self._idle.setdefault(link.node, []).append(link)
        after = self._settings.idle_timeout * IDLE_PART / 1000
        link.expiry = asyncio.get_running_loop().call_later(after, self._drop_idle, link)
        link.stream.set_close_callback(lambda: self._drop_idle(link))

    def _drop_idle(self, link: _Link) -> None:
        if link in self._idle.get(link.node, ()):
            self._idle[link.node].remove(link)
            self._discard(link)

    def _discard(self, link: _Link) -> None:
        if link.expiry is not None:
            link.expiry.cancel()
        link.stream.set_close_callback(None)
        streams.abort(link.stream)
        self._links -= 1

    def _expire(self, flight: _Flight) -> None:
        ran = flight.may_have_run
        self._end(flight, Ended(Outcome.TIMEOUT if ran else Outcome.NO_CONNECTION, ran))

    def _end(self, flight: _Flight, ended: Ended) -> None:
        """The one report of an attempt; a connection it still holds is closed, which gives it up."""
        if self._flights.pop((flight.rid, flight.number), None) is None:
            return
        if flight.timer is not None:
            flight.timer.cancel()
        link, flight.link = flight.link, None
        if link is not None:
            self._discard(link)
        self._report(flight.rid, flight.number, ended)
