"""What fronts share: a listening socket, and clients' connections with their bound and their end."""

from __future__ import annotations

import asyncio
import socket
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from math import inf

from sabledyke import log
from sabledyke.core import Answer, ClientRequest
from sabledyke.net import streams
from sabledyke.shutdown.graceful_shutdown import Departure, Phase

Submit = Callable[[ClientRequest, Callable[[Answer], None]], int]
Guard = Callable[[streams.IOStream], Awaitable[streams.Stream | None]]  # see ``parts.Guard``
SWEEP = 0.25  # seconds between looks at who keeps a connection without asking
ASKING = 2.25  # seconds for the first request after connecting, and for each that has begun
IDLE, CROWDED = 10.0, 2.0  # seconds that a connection may rest between requests, and while it is crowded
ROOMY = 0.5  # part of the connections that clients may hold for requests up to which it is not crowded
TRIES = 4  # connections that are looked at where room must be made
GATE = 64  # handshakes of clients that may be unfinished at a time
YOUNG = 0.05  # seconds in which a new connection is spared where room must be made
FIRST_WORDS = 0.3  # seconds in which a new connection is spared by an end or a drain: its request may come


class Client(ABC):
    """One connection of a client."""

    def __init__(self, stream: streams.Stream) -> None:
        self.stream = stream
        self._reading: asyncio.Future[bytes] | None = None  # what ``serve`` waits for
        self.fresh = True  # no read or write was asked yet: it is silent, or looks at health alone
        self.since = asyncio.get_running_loop().time()  # it connected, began to ask, or took its last answer
        self.ended: Callable[[], None] = lambda: None  # what its front does when it ends

    @property
    @abstractmethod
    def idle(self) -> bool:
        """Nothing is asked, half asked or being answered."""

    @property
    @abstractmethod
    def owed(self) -> bool:
        """Something is taken and not answered to its last byte."""

    async def receive(self) -> bytes:
        """What comes next; a StreamClosedError at the end."""
        self._reading = asyncio.ensure_future(self.stream.read_bytes(streams.READ, partial=True))
        try:
            return await self._reading
        finally:
            self._reading = None

    @property
    def unread(self) -> bool:
        """Something has come, or its end has, that ``serve`` has not looked at yet.

        Guards against a close over a request that was read: the stream takes bytes out of the kernel one turn
        of the loop before ``serve`` goes on, and a look at the kernel alone would find nothing in between.
        """
        return self.taken or not streams.quiet(self.stream)

    @property
    def taken(self) -> bool:
        """The stream has read something that ``serve`` has not looked at yet."""
        return self._reading is not None and self._reading.done()

    @property
    def resting(self) -> bool:
        """Nothing is asked, and nothing has come that was not looked at: it may be closed."""
        return self.idle and not self.unread

    @abstractmethod
    def patience(self, idle: float) -> float:
        """For how many seconds it may stay as it is: ``idle`` between requests, inf without a bound."""

    def give_up(self) -> None:
        """Its patience is over: close, and first say so where it has begun to ask."""
        self.close()

    def read_no_more(self) -> None:  # noqa: B027 - a wire may have nothing to do here
        """The program ends: what comes from now on stays unread, what was read gets its answer."""

    def say_last(self) -> None:  # noqa: B027
        """Nothing more is read: refuse what is only half asked."""

    @property
    def settled(self) -> bool:
        """All that was read of it is answered, to the last byte."""
        return not self.owed and not self.taken

    @abstractmethod
    async def serve(self) -> None:
        """Read until the client has had enough."""

    @abstractmethod
    def departed(self) -> None:
        """The connection is gone: what it asked is not owed any more."""

    def close(self) -> None:
        """End the connection."""
        streams.abort(self.stream)
        self.ended()
        self.departed()


class Front:
    """All connections of clients that speak one protocol."""

    def __init__(
        self, name: str, most: int, make: Callable[[Front, streams.Stream], Client], room: streams.Room
    ) -> None:
        self.name, self.most, self._make, self.room = name, most, make, room
        self.guard: Guard | None = None  # what connections must pass before they count as clients
        self._at_the_gate: set[asyncio.Task[None]] = set()  # those that are passing it
        self.roomy = inf  # connections up to which it is not crowded
        self.reading = inf  # seconds for a client to take in an answer
        self.departure: Departure | None = None  # the program ends: when, and which answers say so
        self.closing = False  # nobody new is let in any more
        self.quiesced = False  # operators drain it: health says no, and connections end with their answers
        self.clients: OrderedDict[Client, None] = OrderedDict()  # the one used last is last
        self._sweeping: asyncio.TimerHandle | None = None

    def accept(self, sock: socket.socket, _address: object = None) -> None:
        """Serve a connection; the one idle for longest makes room where there are too many.

        Guards against clients that together hold more descriptors than the machine gives.
        """
        if self.guard is not None:
            return self._pass(sock, self.guard)
        if not self._room_for_one():
            return sock.close()
        self._let_in(accepted(sock))

    def _pass(self, sock: socket.socket, guard: Guard) -> None:
        """Let a connection pass the guard; a client only afterwards, so that who is in stays in meanwhile.

        Guards against a crowd of handshakes that never end, or that cost clients their places.
        """
        if self.closing or len(self._at_the_gate) >= GATE:
            log.emit("front", f"{len(self._at_the_gate)} {self.name} handshakes: a new one is closed")
            sock.close()
            return
        stream = accepted(sock)

        async def go() -> None:
            try:
                passed = await guard(stream)
            except BaseException:
                stream.close()
                raise
            if passed is None or self.closing or not self._room_for_one():
                stream.close()
            else:
                self._let_in(passed)

        task = asyncio.get_running_loop().create_task(go())
        self._at_the_gate.add(task)
        task.add_done_callback(self._at_the_gate.discard)

    def _let_in(self, stream: streams.Stream) -> None:
        client = self._make(self, stream)
        client.ended = lambda: self._forget(client)
        self.clients[client] = None
        if self._sweeping is None:
            self._sweeping = asyncio.get_running_loop().call_later(SWEEP, self._sweep)
        asyncio.get_running_loop().create_task(client.serve())

    def _room_for_one(self) -> bool:
        """Whether one more may come in, once an idle one has made room where there are too many."""
        if len(self.clients) < self.most:
            return True
        spare = self._spare()
        which = "an idle one" if spare else "a new one"
        log.emit("front", f"{len(self.clients)} {self.name} clients: {which} is closed")
        if spare is not None:
            spare.close()
        return spare is not None

    def _spare(self) -> Client | None:
        """The connection that can best be done without.

        Guards against a crowd that connects and says nothing, or looks at health alone, driving out those
        that do ask: even what they keep open between requests goes after the crowd.
        """
        before = asyncio.get_running_loop().time() - YOUNG
        crowd = [c for c in self.clients if c.idle and c.fresh]
        crowd.sort(key=lambda c: c.since)
        old = [c for c in crowd if c.since < before]
        for some in (old, [c for c in self.clients if c.idle and not c.fresh], crowd):
            for client in some[:TRIES]:  # each look asks the system: few, or a crowd would cost all the time
                if client.resting:
                    return client
        half_asked = (c for c in self.clients if not c.owed and not c.idle and not c.unread)
        return next(half_asked, None)  # for longest

    def _sweep(self) -> None:
        """Give up who rests for too long, and who begins and does not go on.

        Guards against clients that hold places and descriptors for good: the silent, those that stop
        halfway in a request, those that never read, and those that ask once and stay.
        """
        now = asyncio.get_running_loop().time()
        idle = CROWDED if self.crowded else IDLE
        for client in list(self.clients):
            overdue = now - client.since > client.patience(idle)
            if overdue and (client.owed or not client.unread):  # unread bytes come first
                client.give_up()
        self._sweeping = asyncio.get_running_loop().call_later(SWEEP, self._sweep) if self.clients else None

    @property
    def crowded(self) -> bool:
        """So many connections that answers end theirs.

        Guards against clients that have no connection left for a request: those who ask once and stay would
        hold all that they may have. Nobody is sent away to a listener that closes.
        """
        return self.departure is None and len(self.clients) > self.roomy

    @property
    def leaving(self) -> bool:
        """The program was told to end."""
        return self.departure is not None

    @property
    def parting(self) -> bool:
        """Whether an answer given now ends its connection, because of a drain or the end."""
        now = asyncio.get_running_loop().time()
        return self.quiesced or self.departure is not None and self.departure.ends(now)

    @property
    def over(self) -> bool:
        """The end is so near that nothing is taken any more."""
        now = asyncio.get_running_loop().time()
        return self.departure is not None and self.departure.phase(now) >= Phase.LAST

    def touch(self, client: Client) -> None:
        """Note that a connection was used."""
        if client in self.clients:
            self.clients.move_to_end(client)

    def close_idle(self, now: float, step: float = 0.0) -> None:
        """Close the connections on which nothing is asked, and nothing has come that was not read: all, or as
        the departure says, which is to be asked every ``step`` seconds.

        Guards against turning back unheard a request whose connection was just accepted: a client writes
        only once it is connected, so a new connection is spared for a moment.
        """
        young = now - FIRST_WORDS
        for client in list(self.clients):
            if not client.idle or client.fresh and client.since > young:
                continue
            if self.departure is not None and not self.departure.sheds(now, step):
                continue
            if client.resting:
                client.close()

    def read_no_more(self) -> None:
        """The program ends: read nothing more."""
        for client in list(self.clients):
            client.read_no_more()

    def say_last(self) -> None:
        """Nothing more is read: refuse who has asked only half."""
        for client in list(self.clients):
            client.say_last()

    @property
    def settled(self) -> bool:
        """All that was read is answered."""
        return all(client.settled for client in self.clients)

    def close(self) -> None:
        """Close all connections."""
        for task in self._at_the_gate:
            task.cancel()
        for client in list(self.clients):
            client.close()

    def _forget(self, client: Client) -> None:
        self.clients.pop(client, None)


def accepted(sock: socket.socket) -> streams.IOStream:
    """The stream of a connection that a listener accepted."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return streams.IOStream(sock, read_chunk_size=streams.READ)
