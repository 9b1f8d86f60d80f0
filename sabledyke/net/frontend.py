"""What fronts share: a listening socket, and clients' connections with their bound and their end."""

from __future__ import annotations

import asyncio
import socket
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from math import inf

from sabledyke import log
from sabledyke.core import Answer, Work
from sabledyke.net import streams
from sabledyke.shutdown.graceful_shutdown import GracefulShutdown, ShutdownPhase

Submit = Callable[[Work, Callable[[Answer], None]], int]
Guard = Callable[[streams.IOStream], Awaitable[streams.Stream | None]]  # see ``parts.Guard``
SWEEP_INTERVAL_S = 0.25  # seconds between looks at who keeps a connection without asking
REQUEST_TIMEOUT_S = 2.25  # seconds for the first request after connecting, and for each that has begun
IDLE_TIMEOUT_S = 10.0  # a connection may rest so long between requests
CROWDED_IDLE_TIMEOUT_S = 2.0  # the same, while the front end is crowded
CROWDED_SHARE = (
    0.5  # part of the connections that clients may hold for requests up to which it is not crowded
)
MAX_EVICTION_CHECKS = 4  # connections that are looked at where room must be made
MAX_PENDING_HANDSHAKES = 64  # handshakes of clients that may be unfinished at a time
EVICTION_GRACE_S = 0.05  # seconds in which a new connection is spared where room must be made
FIRST_REQUEST_GRACE_S = (
    0.3  # seconds in which a new connection is spared by an end or a drain: its request may come
)


class ClientConnection(ABC):
    """One connection of a client."""

    def __init__(self, stream: streams.Stream) -> None:
        self.stream = stream
        self._pending_read: asyncio.Future[bytes] | None = None  # what ``serve`` waits for
        self.never_requested = True  # no read or write was asked yet: it is silent, or looks at health alone
        self.last_activity_s = (
            asyncio.get_running_loop().time()
        )  # it connected, began to ask, or took its last answer
        self.on_closed: Callable[[], None] = lambda: None  # what its front does when it ends

    @property
    @abstractmethod
    def idle(self) -> bool:
        """Nothing is asked, half asked or being answered."""

    @property
    @abstractmethod
    def busy(self) -> bool:
        """Something is taken and not answered to its last byte."""

    async def receive(self) -> bytes:
        """What comes next; a StreamClosedError at the end."""
        self._pending_read = asyncio.ensure_future(
            self.stream.read_bytes(streams.READ_SIZE_BYTES, partial=True)
        )
        try:
            return await self._pending_read
        finally:
            self._pending_read = None

    @property
    def has_unread(self) -> bool:
        """Something has come, or its end has, that ``serve`` has not looked at yet.

        Guards against a close over a request that was read: the stream takes bytes out of the kernel one turn
        of the loop before ``serve`` goes on, and a look at the kernel alone would find nothing in between.
        """
        return self.has_unprocessed or not streams.is_silent(self.stream)

    @property
    def has_unprocessed(self) -> bool:
        """The stream has read something that ``serve`` has not looked at yet."""
        return self._pending_read is not None and self._pending_read.done()

    @property
    def closable(self) -> bool:
        """Nothing is asked, and nothing has come that was not looked at: it may be closed."""
        return self.idle and not self.has_unread

    @abstractmethod
    def timeout_s(self, idle: float) -> float:
        """For how many seconds it may stay as it is: ``idle`` between requests, inf without a bound."""

    def time_out(self) -> None:
        """Its patience is over: close, and first say so where it has begun to ask."""
        self.close()

    def stop_reading(self) -> None:  # noqa: B027 - a wire may have nothing to do here
        """The program ends: what comes from now on stays unread, what was read gets its answer."""

    def reject_partial_request(self) -> None:  # noqa: B027
        """Nothing more is read: refuse what is only half asked."""

    @property
    def settled(self) -> bool:
        """All that was read of it is answered, to the last byte."""
        return not self.busy and not self.has_unprocessed

    @abstractmethod
    async def serve(self) -> None:
        """Read until the client has had enough."""

    @abstractmethod
    def on_client_gone(self) -> None:
        """The connection is gone: what it asked is not owed any more."""

    def close(self) -> None:
        """End the connection."""
        streams.abort(self.stream)
        self.on_closed()
        self.on_client_gone()


class Frontend:
    """All connections of clients that speak one protocol."""

    def __init__(
        self,
        name: str,
        most: int,
        make: Callable[[Frontend, streams.Stream], ClientConnection],
        room: streams.ResponseMemory,
    ) -> None:
        self.name, self.max_clients, self._make_connection, self.response_memory = name, most, make, room
        self.guard: Guard | None = None  # what connections must pass before they count as clients
        self._pending_handshakes: set[asyncio.Task[None]] = set()  # those that are passing it
        self.crowded_above = inf  # connections up to which it is not crowded
        self.write_timeout_s = inf  # seconds for a client to take in an answer
        self.shutdown: GracefulShutdown | None = None  # the program ends: when, and which answers say so
        self.closing = False  # nobody new is let in any more
        self.quiesced = False  # operators drain it: health says no, and connections end with their answers
        self.clients: OrderedDict[ClientConnection, None] = OrderedDict()  # the one used last is last
        self._sweep_timer: asyncio.TimerHandle | None = None

    def accept(self, sock: socket.socket, _address: object = None) -> None:
        """Serve a connection; the one idle for longest makes room where there are too many.

        Guards against clients that together hold more descriptors than the machine gives.
        """
        if self.guard is not None:
            return self._run_guard(sock, self.guard)
        if not self._ensure_capacity():
            return sock.close()
        self._admit(stream_of(sock))

    def _run_guard(self, sock: socket.socket, guard: Guard) -> None:
        """Let a connection pass the guard; a client only afterwards, so that who is in stays in meanwhile.

        Guards against a crowd of handshakes that never end, or that cost clients their places.
        """
        if self.closing or len(self._pending_handshakes) >= MAX_PENDING_HANDSHAKES:
            log.say("front", f"{len(self._pending_handshakes)} {self.name} handshakes: a new one is closed")
            sock.close()
            return
        stream = stream_of(sock)

        async def go() -> None:
            try:
                passed = await guard(stream)
            except BaseException:
                stream.close()
                raise
            if passed is None or self.closing or not self._ensure_capacity():
                stream.close()
            else:
                self._admit(passed)

        task = asyncio.get_running_loop().create_task(go())
        self._pending_handshakes.add(task)
        task.add_done_callback(self._pending_handshakes.discard)

    def _admit(self, stream: streams.Stream) -> None:
        client = self._make_connection(self, stream)
        client.on_closed = lambda: self._remove(client)
        self.clients[client] = None
        if self._sweep_timer is None:
            self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._close_overdue)
        asyncio.get_running_loop().create_task(client.serve())

    def _ensure_capacity(self) -> bool:
        """Whether one more may come in, once an idle one has made room where there are too many."""
        if len(self.clients) < self.max_clients:
            return True
        spare = self._find_evictable()
        which = "an idle one" if spare else "a new one"
        log.say("front", f"{len(self.clients)} {self.name} clients: {which} is closed")
        if spare is not None:
            spare.close()
        return spare is not None

    def _find_evictable(self) -> ClientConnection | None:
        """The connection that can best be done without.

        Guards against a crowd that connects and says nothing, or looks at health alone, driving out those
        that do ask: even what they keep open between requests goes after the crowd.
        """
        before = asyncio.get_running_loop().time() - EVICTION_GRACE_S
        crowd = [c for c in self.clients if c.idle and c.never_requested]
        crowd.sort(key=lambda c: c.last_activity_s)
        old = [c for c in crowd if c.last_activity_s < before]
        for some in (old, [c for c in self.clients if c.idle and not c.never_requested], crowd):
            for client in some[
                :MAX_EVICTION_CHECKS
            ]:  # each look asks the system: few, or a crowd would cost all the time
                if client.closable:
                    return client
        half_asked = (c for c in self.clients if not c.busy and not c.idle and not c.has_unread)
        return next(half_asked, None)  # for longest

    def _close_overdue(self) -> None:
        """Give up who rests for too long, and who begins and does not go on.

        Guards against clients that hold places and descriptors for good: the silent, those that stop
        halfway in a request, those that never read, and those that ask once and stay.
        """
        now = asyncio.get_running_loop().time()
        idle_timeout_s = CROWDED_IDLE_TIMEOUT_S if self.crowded else IDLE_TIMEOUT_S
        for client in list(self.clients):
            overdue = now - client.last_activity_s > client.timeout_s(idle_timeout_s)
            if overdue and (client.busy or not client.has_unread):  # unread bytes come first
                client.time_out()
        self._sweep_timer = (
            asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._close_overdue)
            if self.clients
            else None
        )

    @property
    def crowded(self) -> bool:
        """So many connections that answers end theirs.

        Guards against clients that have no connection left for a request: those who ask once and stay would
        hold all that they may have. Nobody is sent away to a listener that closes.
        """
        return self.shutdown is None and len(self.clients) > self.crowded_above

    @property
    def shutting_down(self) -> bool:
        """The program was told to end."""
        return self.shutdown is not None

    @property
    def ends_connections(self) -> bool:
        """Whether an answer given now ends its connection, because of a drain or the end."""
        now = asyncio.get_running_loop().time()
        return self.quiesced or self.shutdown is not None and self.shutdown.ends_connection(now)

    @property
    def rejects_requests(self) -> bool:
        """The end is so near that nothing is taken any more."""
        now = asyncio.get_running_loop().time()
        return self.shutdown is not None and self.shutdown.phase(now) >= ShutdownPhase.FINAL_ANSWERS

    def mark_used(self, client: ClientConnection) -> None:
        """Note that a connection was used."""
        if client in self.clients:
            self.clients.move_to_end(client)

    def close_idle(self, now: float, step: float = 0.0) -> None:
        """Close the connections on which nothing is asked, and nothing has come that was not read: all, or as
        the departure says, which is to be asked every ``step`` seconds.

        Guards against turning back unheard a request whose connection was just accepted: a client writes
        only once it is connected, so a new connection is spared for a moment.
        """
        young = now - FIRST_REQUEST_GRACE_S
        for client in list(self.clients):
            if not client.idle or client.never_requested and client.last_activity_s > young:
                continue
            if self.shutdown is not None and not self.shutdown.closes_idle(now, step):
                continue
            if client.closable:
                client.close()

    def stop_reading(self) -> None:
        """The program ends: read nothing more."""
        for client in list(self.clients):
            client.stop_reading()

    def reject_partial_requests(self) -> None:
        """Nothing more is read: refuse who has asked only half."""
        for client in list(self.clients):
            client.reject_partial_request()

    @property
    def settled(self) -> bool:
        """All that was read is answered."""
        return all(client.settled for client in self.clients)

    def close(self) -> None:
        """Close all connections."""
        for task in self._pending_handshakes:
            task.cancel()
        for client in list(self.clients):
            client.close()

    def _remove(self, client: ClientConnection) -> None:
        self.clients.pop(client, None)


def stream_of(sock: socket.socket) -> streams.IOStream:
    """The stream of a connection that a listener accepted."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return streams.IOStream(sock, read_chunk_size=streams.READ_SIZE_BYTES)
