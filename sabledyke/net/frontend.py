"""A front end: the client connections of one protocol, how many there may be, and when they are closed."""

from __future__ import annotations

import asyncio
import socket
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from math import inf

from sabledyke import log
from sabledyke.net import streams
from sabledyke.net.client_connection import ClientConnection
from sabledyke.shutdown.graceful_shutdown import GracefulShutdown, ShutdownPhase

SWEEP_INTERVAL_S = 0.25  # between checks for connections that have timed out
IDLE_TIMEOUT_S = 10.0  # between requests
CROWDED_IDLE_TIMEOUT_S = 2.0  # between requests, while the front end is crowded
CROWDED_SHARE = 0.5  # of the connections that clients may use for requests; above it the front end is crowded
MAX_EVICTION_CHECKS = 4  # connections of each kind that are checked where one must be evicted
MAX_PENDING_HANDSHAKES = 64
EVICTION_GRACE_S = 0.05  # a new connection is not evicted before
FIRST_REQUEST_GRACE_S = 0.3  # a new connection is not closed by a drain before: its request may come

# Checks a connection before it counts as a client; see ``application.extensions``:
# ``Extension.connection_guard``.
Guard = Callable[[streams.IOStream], Awaitable[streams.Stream | None]]


class Frontend:
    """All connections of clients that speak one protocol.

    Args:
        name: The protocol, for the log.
        max_clients: How many connections there may be.
        make_connection: Makes the connection of an accepted stream.
        response_memory: The memory for answers on their way.

    Attributes:
        guard: What connections must pass before they count as clients.
        crowded_above: The number of connections above which the front end is crowded.
        write_timeout_s: For a client to read an answer.
        shutdown: The graceful shutdown, once one was requested.
        closing: No connection is admitted any more.
        quiesced: Operators drain it: health says no, and connections end with their answers.
        clients: The connections; the one used last is last.
    """

    def __init__(
        self,
        name: str,
        max_clients: int,
        make_connection: Callable[[Frontend, streams.Stream], ClientConnection],
        response_memory: streams.ResponseMemory,
    ) -> None:
        self.name = name
        self.max_clients = max_clients
        self.response_memory = response_memory
        self.guard: Guard | None = None
        self.crowded_above = inf
        self.write_timeout_s = inf
        self.shutdown: GracefulShutdown | None = None
        self.closing = False
        self.quiesced = False
        self.clients: OrderedDict[ClientConnection, None] = OrderedDict()
        self._make_connection = make_connection
        self._pending_handshakes: set[asyncio.Task[None]] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None

    @property
    def crowded(self) -> bool:
        """Whether there are so many connections that answers end theirs.

        Guards against clients that have no connection left for a request: those that request once and stay
        would hold all that they may have. No client is sent away to a listener that closes.
        """
        return self.shutdown is None and len(self.clients) > self.crowded_above

    @property
    def shutting_down(self) -> bool:
        """Whether the program was told to stop."""
        return self.shutdown is not None

    @property
    def ends_connections(self) -> bool:
        """Whether an answer given now ends its connection, because of a drain or a shutdown."""
        now = asyncio.get_running_loop().time()
        return self.quiesced or (self.shutdown is not None and self.shutdown.ends_connection(now))

    @property
    def rejects_requests(self) -> bool:
        """Whether the end is so near that no request is accepted any more."""
        now = asyncio.get_running_loop().time()
        return self.shutdown is not None and self.shutdown.phase(now) >= ShutdownPhase.FINAL_ANSWERS

    @property
    def settled(self) -> bool:
        """Whether all that was read is answered."""
        return all(client.settled for client in self.clients)

    def accept(self, sock: socket.socket, _address: object = None) -> None:
        """Serve a connection; where there are too many, the one idle for longest is closed.

        Guards against clients that together hold more descriptors than the machine gives.
        """
        if self.guard is not None:
            self._run_guard(sock, self.guard)
        elif self._ensure_capacity():
            self._admit(stream_of(sock))
        else:
            sock.close()

    def mark_used(self, client: ClientConnection) -> None:
        """Note that a connection was used."""
        if client in self.clients:
            self.clients.move_to_end(client)

    def close_idle(self, now_s: float, poll_interval_s: float = 0.0) -> None:
        """Close connections without a request and without unread bytes: all, or as the shutdown decides.

        Guards against closing over a request whose connection was just accepted: a client writes only once
        it is connected, so a new connection is spared for a moment.

        Args:
            now_s: The loop's time.
            poll_interval_s: How often this is called while the program shuts down.
        """
        spared_since_s = now_s - FIRST_REQUEST_GRACE_S
        for client in list(self.clients):
            if not client.idle:
                continue
            if client.never_requested and client.last_activity_s > spared_since_s:
                continue
            if self.shutdown is not None and not self.shutdown.closes_idle(now_s, poll_interval_s):
                continue
            if client.closable:
                client.close()

    def stop_reading(self) -> None:
        """Read nothing more from any connection: the program stops."""
        for client in list(self.clients):
            client.stop_reading()

    def reject_partial_requests(self) -> None:
        """Reject requests of which only a part was read, once nothing more is read."""
        for client in list(self.clients):
            client.reject_partial_request()

    def close(self) -> None:
        """Close all connections."""
        for task in self._pending_handshakes:
            task.cancel()
        for client in list(self.clients):
            client.close()

    def _run_guard(self, sock: socket.socket, guard: Guard) -> None:
        """Admit a connection once it has passed the guard, so that no client is evicted for it before.

        Guards against a crowd of handshakes that never end, or that cost clients their connections.
        """
        if self.closing or len(self._pending_handshakes) >= MAX_PENDING_HANDSHAKES:
            log.emit("front", f"{len(self._pending_handshakes)} {self.name} handshakes: a new one is closed")
            sock.close()
            return
        task = asyncio.get_running_loop().create_task(self._admit_guarded(stream_of(sock), guard))
        self._pending_handshakes.add(task)
        task.add_done_callback(self._pending_handshakes.discard)

    async def _admit_guarded(self, stream: streams.IOStream, guard: Guard) -> None:
        try:
            passed = await guard(stream)
        except BaseException:
            stream.close()
            raise
        if passed is None or self.closing or not self._ensure_capacity():
            stream.close()
        else:
            self._admit(passed)

    def _admit(self, stream: streams.Stream) -> None:
        client = self._make_connection(self, stream)
        client.on_closed = lambda: self._remove(client)
        self.clients[client] = None
        if self._sweep_timer is None:
            self._schedule_sweep()
        asyncio.get_running_loop().create_task(client.serve())

    def _ensure_capacity(self) -> bool:
        """Tell whether one more client may be admitted, after evicting one where there are too many."""
        if len(self.clients) < self.max_clients:
            return True
        evicted = self._find_evictable()
        closed = "an idle one" if evicted else "a new one"
        log.emit("front", f"{len(self.clients)} {self.name} clients: {closed} is closed")
        if evicted is None:
            return False
        evicted.close()
        return True

    def _find_evictable(self) -> ClientConnection | None:
        """Return the connection that can best be done without.

        Guards against a crowd that connects and stays silent, or checks health alone, evicting clients with
        requests: even what they keep open between requests is evicted after the crowd.
        """
        spared_since_s = asyncio.get_running_loop().time() - EVICTION_GRACE_S
        silent = [client for client in self.clients if client.idle and client.never_requested]
        silent.sort(key=lambda client: client.last_activity_s)
        long_silent = [client for client in silent if client.last_activity_s < spared_since_s]
        between_requests = [client for client in self.clients if client.idle and not client.never_requested]
        for candidates in (long_silent, between_requests, silent):
            for client in candidates[:MAX_EVICTION_CHECKS]:  # each check is a system call
                if client.closable:
                    return client
        return next((client for client in self.clients if _is_halfway(client)), None)

    def _schedule_sweep(self) -> None:
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._close_overdue)

    def _close_overdue(self) -> None:
        """Close connections that are idle for too long, and those that begin a request and do not go on.

        Guards against clients that hold connections and descriptors for good: the silent, those that stop
        halfway in a request, those that never read, and those that request once and stay.
        """
        now_s = asyncio.get_running_loop().time()
        idle_timeout_s = CROWDED_IDLE_TIMEOUT_S if self.crowded else IDLE_TIMEOUT_S
        for client in list(self.clients):
            overdue = now_s - client.last_activity_s > client.timeout_s(idle_timeout_s)
            if overdue and (client.busy or not client.has_unread):  # unread bytes come first
                client.time_out()
        if self.clients:
            self._schedule_sweep()
        else:
            self._sweep_timer = None

    def _remove(self, client: ClientConnection) -> None:
        self.clients.pop(client, None)


def stream_of(sock: socket.socket) -> streams.IOStream:
    """Return the stream of a connection that a listener accepted."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return streams.IOStream(sock, read_chunk_size=streams.READ_SIZE_BYTES)


def _is_halfway(client: ClientConnection) -> bool:
    """Tell whether a client has begun a request and sends nothing more for now."""
    return not client.busy and not client.idle and not client.has_unread
