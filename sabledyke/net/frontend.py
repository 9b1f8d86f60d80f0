"""Front end: the client connections of one protocol, with their limit, time-outs and eviction."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter, OrderedDict
from collections.abc import Awaitable, Callable
from math import inf

from sabledyke import log
from sabledyke.net import streams
from sabledyke.net.client_connection import ClientConnection
from sabledyke.net.close_reason import CloseReason
from sabledyke.net.eviction import Evictor
from sabledyke.net.fair_queue import FairQueue
from sabledyke.net.memory_budget import MemoryBudget
from sabledyke.shutdown.graceful_shutdown import GracefulShutdown, ShutdownPhase

SWEEP_INTERVAL_S = 0.25  # interval between checks for connections that have timed out
IDLE_TIMEOUT_S = 10.0  # time-out between requests
CROWDED_IDLE_TIMEOUT_S = 2.0  # time-out between requests while the front end is crowded
CROWDED_SHARE = 0.5  # fraction of the connections usable for requests, above which the front end is crowded
MAX_PENDING_HANDSHAKES = 64
FIRST_REQUEST_GRACE_S = 0.3  # minimum age before a drain closes a connection that may still send a request

# Checks a connection before it counts as a client, and returns the stream to serve or None to reject it;
# provided by ``Extension.connection_guard`` in ``application.extensions``.
Guard = Callable[[streams.IOStream], Awaitable[streams.Stream | None]]


class Frontend:
    """All connections of clients that speak one protocol.

    Args:
        name: Name of the protocol in the log.
        max_clients: Maximum number of connections.
        make_connection: Creates the client connection for an accepted stream.
        memory_budget: Budget of the memory for requests and answers.

    Attributes:
        name: Name of the protocol in the log.
        max_clients: Maximum number of connections.
        memory_budget: Budget of the memory for requests and answers.
        guard: Check that connections must pass before they count as clients; None for no check.
        crowded_above: Number of connections above which the front end is crowded.
        write_timeout_s: Time for a client to read an answer, in seconds.
        shutdown: The graceful shutdown, once one was requested.
        closing: True once no further connection is admitted.
        quiesced_at_s: Event loop time at which operators began to drain the scheduler; None without a drain.
        fair_queue: Turns of the connections to process their input.
        clients: The connections, in ascending order of last use.
        closed_connections: Number of connections that were closed, by reason.
    """

    def __init__(
        self,
        name: str,
        max_clients: int,
        make_connection: Callable[[Frontend, streams.Stream], ClientConnection],
        memory_budget: MemoryBudget,
    ) -> None:
        self.name = name
        self.max_clients = max_clients
        self.memory_budget = memory_budget
        self.guard: Guard | None = None
        self.crowded_above = inf
        self.write_timeout_s = inf
        self.shutdown: GracefulShutdown | None = None
        self.closing = False
        self.quiesced_at_s: float | None = None
        self.fair_queue = FairQueue()
        self.clients: OrderedDict[ClientConnection, None] = OrderedDict()
        self.closed_connections: Counter[CloseReason] = Counter()
        self._evictor = Evictor(self.clients)
        self._make_connection = make_connection
        self._pending_handshakes: set[asyncio.Task[None]] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None

    @property
    def crowded(self) -> bool:
        """True if there are so many connections that each closes after its answer.

        Guards against clients that find no free connection for a request, because others stay connected
        after a single request. During a shutdown it is False: the clients would reconnect to a listener that
        closes.
        """
        return self.shutdown is None and len(self.clients) > self.crowded_above

    @property
    def quiesced(self) -> bool:
        """True during a drain: health checks fail, and each connection closes after its answer."""
        return self.quiesced_at_s is not None

    @property
    def shutting_down(self) -> bool:
        """True once a graceful shutdown was requested."""
        return self.shutdown is not None

    @property
    def ends_connections(self) -> bool:
        """True if a drain or a shutdown requires that an answer given now closes its connection."""
        now = asyncio.get_running_loop().time()
        return self.quiesced or (self.shutdown is not None and self.shutdown.ends_connection(now))

    @property
    def rejects_requests(self) -> bool:
        """True in the last phases of a shutdown, in which no request is accepted."""
        now = asyncio.get_running_loop().time()
        return self.shutdown is not None and self.shutdown.phase(now) >= ShutdownPhase.FINAL_ANSWERS

    @property
    def settled(self) -> bool:
        """True if every request that was read is answered."""
        return all(client.settled for client in self.clients)

    def accept(self, sock: socket.socket, _address: object = None) -> None:
        """Serve a new connection; at the limit, evict an idle connection or close the new one.

        Guards against clients that together hold more file descriptors than the process may open.
        """
        if self.guard is not None:
            self._run_guard(sock, self.guard)
        elif self._ensure_capacity():
            self._admit(stream_from_socket(sock))
        else:
            sock.close()

    def can_accept(self) -> bool:
        """Return whether a connection should be accepted now, rather than wait in the listener's backlog.

        Guards against closing a new connection, or one whose request is on its way, while others without any
        request can be closed a moment later.
        """
        if self.guard is not None or len(self.clients) < self.max_clients:
            return True
        now_s = asyncio.get_running_loop().time()
        return self._evictor.has_candidate(now_s) or not self._evictor.awaits_candidates

    def mark_used(self, client: ClientConnection) -> None:
        """Move a connection to the most recently used position."""
        if client in self.clients:
            self.clients.move_to_end(client)

    def quiesce(self) -> None:
        """Begin a drain: close idle connections now, and busy ones after their answers.

        A second call has no effect on the drain.
        """
        now_s = asyncio.get_running_loop().time()
        if self.quiesced_at_s is None:
            self.quiesced_at_s = now_s
        self.close_idle(now_s)

    def resume(self) -> None:
        """End a drain."""
        self.quiesced_at_s = None

    def relieve_memory(self) -> None:
        """Reject partly received requests, the largest first, once they exceed the memory for them.

        Guards against running out of memory because of many clients that stop, or send slowly, within large
        requests. Several are rejected at a time, as each time all connections are looked through.
        """
        if not self.memory_budget.refuses_partial_requests:
            return
        partial = [client for client in self.clients if client.partial_bytes]
        partial.sort(key=lambda client: client.partial_bytes, reverse=True)
        for client in partial:
            if not self.memory_budget.refuses_long_answers:
                return
            client.set_close_reason(CloseReason.MEMORY)
            client.reject_for_memory()

    def close_idle(self, now_s: float, poll_interval_s: float = 0.0) -> None:
        """Close connections that are idle without unread bytes: all of them, or those the shutdown selects.

        Guards against closing a connection just before its first request: a client writes only once it is
        connected, so new connections are kept for ``FIRST_REQUEST_GRACE_S``.

        Args:
            now_s: The event loop's time.
            poll_interval_s: Seconds between calls of this method during a shutdown.
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
                client.set_close_reason(CloseReason.DRAIN)
                client.close_together()

    def stop_reading(self) -> None:
        """Stop reading from all connections, as the program stops."""
        for client in list(self.clients):
            client.stop_reading()

    def reject_partial_requests(self) -> None:
        """Reject all partly received requests, after reading has stopped."""
        for client in list(self.clients):
            client.reject_partial_request()

    def close(self, *, keep_long_answers: bool = False) -> bool:
        """Close all connections and cancel pending handshakes.

        Args:
            keep_long_answers: Whether connections that pass on a long answer stay open.

        Returns:
            True if a connection stays open.
        """
        for task in self._pending_handshakes:
            task.cancel()
        for client in list(self.clients):
            if keep_long_answers and client.passes_on_answer:
                continue
            client.set_close_reason(CloseReason.END)
            client.close()
        return bool(self.clients)

    def _run_guard(self, sock: socket.socket, guard: Guard) -> None:
        """Admit a connection after it has passed the guard; no client is evicted for it earlier.

        Guards against many handshakes that never complete, or that evict clients.
        """
        if self.closing or len(self._pending_handshakes) >= MAX_PENDING_HANDSHAKES:
            log.emit(
                "front",
                f"{len(self._pending_handshakes)} {self.name} handshakes pending: closed the new connection",
            )
            sock.close()
            return
        task = asyncio.get_running_loop().create_task(self._admit_guarded(stream_from_socket(sock), guard))
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
        """Return whether another client may be admitted, after evicting one if the limit is reached."""
        if len(self.clients) < self.max_clients:
            return True
        evicted = self._evictor.choose(asyncio.get_running_loop().time())
        closed = "an idle connection" if evicted else "the new connection"
        log.emit("front", f"{len(self.clients)} {self.name} clients: closed {closed}")
        if evicted is None:
            self.closed_connections[CloseReason.NOT_ADMITTED] += 1
            return False
        evicted.set_close_reason(_eviction_reason(evicted))
        evicted.evict()
        return True

    def _schedule_sweep(self) -> None:
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._close_overdue)

    def _close_overdue(self) -> None:
        """Close connections that have exceeded their time-out.

        Guards against clients that hold connections and file descriptors permanently: those that never send,
        those that stop in the middle of a request, those that never read, and those that stay connected after
        a single request.
        """
        now_s = asyncio.get_running_loop().time()
        idle_timeout_s = CROWDED_IDLE_TIMEOUT_S if self.crowded else IDLE_TIMEOUT_S
        for client in list(self.clients):
            overdue = now_s - client.last_activity_s > client.timeout_s(idle_timeout_s)
            if overdue and (client.busy or not client.has_unread_input):  # unread bytes are processed first
                client.set_close_reason(client.timeout_reason)
                client.on_timeout()
        if self.quiesced:
            self._close_drained(now_s)
        if self.clients:
            self._schedule_sweep()
        else:
            self._sweep_timer = None

    def _close_drained(self, now_s: float) -> None:
        """Close connections that are idle in a drain, although no answer closes them.

        Guards against holding the queues of an NVMe host that connected after the drain began, or whose last
        command was never completed. A new connection is kept for ``FIRST_REQUEST_GRACE_S``.
        """
        spared_since_s = now_s - FIRST_REQUEST_GRACE_S
        for client in list(self.clients):
            if client.never_requested or client.last_activity_s > spared_since_s:
                continue
            if client.closable:
                client.set_close_reason(CloseReason.DRAIN)
                client.close_together()

    def _remove(self, client: ClientConnection) -> None:
        if client in self.clients:
            del self.clients[client]
            self.closed_connections[client.close_reason or CloseReason.CLIENT] += 1


def stream_from_socket(sock: socket.socket) -> streams.IOStream:
    """Return the stream of a connection that a listener accepted."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return streams.IOStream(sock, read_chunk_size=streams.READ_SIZE_BYTES)


def _eviction_reason(client: ClientConnection) -> CloseReason:
    if not client.idle:
        return CloseReason.EVICTED_PARTIAL
    return CloseReason.EVICTED_UNUSED if client.never_requested else CloseReason.EVICTED_IDLE
