"""Pool of connections to storage nodes of any protocol; each connection carries one attempt at a time.

The pool is the core's innermost transport. It owns the connections and the timers of attempts; the core
decides whether an attempt is sent, and to which node.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from sabledyke import log
from sabledyke.core import AttemptResult, ClientRequest
from sabledyke.net import streams
from sabledyke.net.http_body_stream import HttpBodyStream
from sabledyke.net.link import Dial, Link, PeerProtocolError
from sabledyke.policy.events import Outcome
from sabledyke.policy.nodes import NodeId, node_name
from sabledyke.policy.settings import Settings
from sabledyke.protocol.discovery import Address

# Fraction of the nodes' idle time-out after which the pool closes a connection, before the node does.
IDLE_TIMEOUT_SHARE = 0.6
LONG_ANSWER_SHARE = 0.5  # share of all connections that long answers may hold
PRECONNECT_TIMEOUT_FACTOR = 2  # multiple of the connect time-out

# Reports a request's id, the attempt's number and its result.
ReportAttempt = Callable[[int, int, AttemptResult], None]
# Returns whether an attempt, given its request's id and its number, may be written now (``Core.may_write``).
MaySend = Callable[[int, int], bool]


class ConnectionPool:
    """Carries attempts to storage nodes over a bounded number of connections.

    Args:
        settings: The settings in force.
        report: Called once for each attempt, when it has ended.
        max_connections: Maximum number of connections, including those being opened.
        dial: Opens a connection.
        may_send: Checks, immediately before an attempt is written, whether it may still be sent.

    Attributes:
        settings: The settings in force.
        max_connections: Maximum number of connections, including those being opened.
        report: Called once for each attempt, when it has ended.
        addresses: Addresses of the nodes; removed nodes have none.
    """

    def __init__(
        self,
        settings: Settings,
        report: ReportAttempt,
        max_connections: int,
        dial: Dial,
        may_send: MaySend,
    ) -> None:
        self.settings = settings
        self.max_connections = max_connections
        self.report = report
        self._dial = dial
        self._may_send = may_send
        self.addresses: dict[NodeId, Address] = {}
        self._idle: dict[NodeId, list[_PooledConnection]] = {}
        self._attempts: dict[tuple[int, int], _Attempt] = {}
        self._open_count = 0
        self._long_answers = 0  # connections that long answers hold
        self._preconnects: dict[NodeId, asyncio.Task[None]] = {}  # at most one per node
        self._closed = False

    @property
    def long_answer_count(self) -> int:
        """Number of long answers that are being passed on."""
        return self._long_answers

    @property
    def open_connections(self) -> int:
        """Number of connections that are open or being opened."""
        return self._open_count

    def update_addresses(self, addresses: dict[NodeId, Address], removed: Iterable[NodeId] = ()) -> None:
        """Update the addresses of nodes, and close idle connections to removed nodes and former addresses."""
        for node in removed:
            if self.addresses.pop(node, None):
                self.close_idle(node)
        for node, address in addresses.items():
            if self.addresses.get(node, address) != address:
                self.close_idle(node)
            self.addresses[node] = address

    def start(
        self, request_id: int, number: int, node: NodeId, request: ClientRequest, timeout: float
    ) -> None:
        """Start an attempt on an idle or a new connection; it expires after ``timeout`` milliseconds."""
        loop = asyncio.get_running_loop()
        attempt = _Attempt(request_id, number, node, request)
        self._attempts[request_id, number] = attempt
        attempt.expires_at_s = loop.time() + timeout / 1000
        attempt.timer = loop.call_at(attempt.expires_at_s, self._expire, attempt)
        attempt.task = loop.create_task(self._run_attempt(attempt, timeout))

    def cancel(self, request_id: int, number: int) -> None:
        """Cancel an attempt and close its connection; an unknown attempt is ignored."""
        attempt = self._attempts.get((request_id, number))
        if attempt is not None:
            attempt.log_begun_answer("cancelled")
            self._complete(attempt, AttemptResult(Outcome.CANCELLED, attempt.abort()))

    def pass_on_begun_answers(self) -> None:
        """Pass on each answer that has begun and may be a long one, as the program is about to end.

        Guards against refusing requests whose answers their nodes are giving.
        """
        for attempt in list(self._attempts.values()):
            if attempt.connection is not None and attempt.connection.link.pass_on_begun_answer():
                assert attempt.timer is not None
                attempt.timer.cancel()

    def close_idle(self, node: NodeId) -> None:
        """Close all idle connections to a node."""
        for connection in self._idle.pop(node, []):
            self._discard(connection)

    def preconnect(self, node: NodeId) -> None:
        """Open a connection in advance, if none is idle and capacity remains; nothing is sent on it."""
        if self._idle.get(node) or node not in self.addresses:
            return
        if self._open_count >= self.max_connections or self._closed:
            return
        if node not in self._preconnects:
            self._preconnects[node] = asyncio.get_running_loop().create_task(self._preconnect(node))

    def close(self) -> None:
        """Close idle connections and stop opening connections in advance, at the end of the program."""
        self._closed = True
        for task in self._preconnects.values():
            task.cancel()
        for node in list(self._idle):
            self.close_idle(node)

    async def _preconnect(self, node: NodeId) -> None:
        timeout_ms = PRECONNECT_TIMEOUT_FACTOR * self.settings.connect_timeout_ms
        try:
            self._return_connection(await self._open(node, timeout_ms))
        except (streams.StreamClosedError, PeerProtocolError, OSError):
            return  # an attempt that needs a connection reports the error
        finally:
            del self._preconnects[node]

    async def _run_attempt(self, attempt: _Attempt, timeout_ms: float) -> None:
        try:
            connection = self._reuse(attempt.node) or await self._open(attempt.node, timeout_ms)
            if (attempt.request_id, attempt.number) not in self._attempts:  # completed meanwhile
                self._return_connection(connection)
                return
            # Guards against sending on conditions that held when the connection was requested: it may have
            # been established late.
            remaining_ms = (attempt.expires_at_s - asyncio.get_running_loop().time()) * 1000
            if remaining_ms <= 0 or not self._may_send(attempt.request_id, attempt.number):
                self._return_connection(connection)
                self._complete(attempt, AttemptResult(Outcome.EXPIRED, may_have_run=False))
                return
            attempt.connection = connection
            result = await connection.link.exchange(attempt.request, remaining_ms)
        except (streams.StreamClosedError, PeerProtocolError, OSError) as error:
            self._on_attempt_broken(attempt, error)
            return
        if isinstance(result.body_stream, HttpBodyStream):
            result = self._hand_over(attempt, connection, result)
        elif attempt.connection is not None and connection.link.reusable:
            attempt.connection = None
            self._return_connection(connection)
        self._complete(attempt, result)

    def _hand_over(
        self, attempt: _Attempt, connection: _PooledConnection, result: AttemptResult
    ) -> AttemptResult:
        """Let a long answer keep its connection until it has ended, and return the attempt's result.

        Guards against clients that read long answers slowly, and so hold the connections that the requests of
        others need: beyond ``LONG_ANSWER_SHARE`` of all connections a long answer is broken off.
        """
        body = result.body_stream
        assert isinstance(body, HttpBodyStream)
        if attempt.connection is None:  # the attempt has ended, which closed the connection
            body.close()
            return result
        if self._long_answers >= LONG_ANSWER_SHARE * self.max_connections:
            body.close()
            log.emit("pool", f"{self._long_answers} long answers hold connections: broke off another one")
            return AttemptResult(Outcome.RESET, may_have_run=True)
        attempt.connection = None
        self._long_answers += 1

        def on_end(reusable: bool) -> None:
            self._long_answers -= 1
            if reusable and connection.link.may_have_run:
                self._return_connection(connection)
            else:
                self._discard(connection)

        body.on_end = on_end
        return result

    def _on_attempt_broken(self, attempt: _Attempt, error: Exception) -> None:
        if isinstance(error, PeerProtocolError):
            log.emit(
                "box",
                f"{node_name(attempt.node)} violated its protocol: {error}",
                request=attempt.request.client_request_id,
            )
        ran = attempt.may_have_run
        self._complete(attempt, AttemptResult(Outcome.RESET if ran else Outcome.NO_CONNECTION, ran))

    async def _open(self, node: NodeId, timeout_ms: float) -> _PooledConnection:
        address = self.addresses.get(node)
        if self._open_count >= self.max_connections:
            self._evict_idle()
        if address is None or self._open_count >= self.max_connections:
            log.emit("pool", f"no connection available for {node_name(node)}")
            raise streams.StreamClosedError
        self._open_count += 1
        try:
            return _PooledConnection(node, address, await self._dial(node, address, timeout_ms))
        except BaseException:
            self._open_count -= 1
            raise

    def _evict_idle(self) -> None:
        """Close the oldest idle connection of the node that has the most idle connections."""
        if self._idle:
            node = max(self._idle, key=lambda candidate: len(self._idle[candidate]))
            self._drop_idle(self._idle[node][0])

    def _reuse(self, node: NodeId) -> _PooledConnection | None:
        while self._idle.get(node):
            connection = self._idle[node][-1]
            if self._remove_idle(connection):
                return connection
            self._discard(connection)
        return None

    def _return_connection(self, connection: _PooledConnection) -> None:
        """Keep a connection for later attempts, or close it if it cannot be used again."""
        moved = self.addresses.get(connection.node) != connection.address
        if self._closed or connection.link.closed or moved:
            self._discard(connection)
            return
        self._idle.setdefault(connection.node, []).append(connection)
        timeout_s = self.settings.idle_timeout_ms * IDLE_TIMEOUT_SHARE / 1000
        connection.expiry = asyncio.get_running_loop().call_later(timeout_s, self._drop_idle, connection)
        connection.link.enter_idle(lambda: self._drop_idle(connection))

    def _remove_idle(self, connection: _PooledConnection) -> bool:
        """Remove a connection from the idle connections; return whether it can be used."""
        self._idle[connection.node].remove(connection)
        if not self._idle[connection.node]:
            del self._idle[connection.node]
        if connection.expiry is not None:
            connection.expiry.cancel()
        return connection.link.leave_idle()

    def _drop_idle(self, connection: _PooledConnection) -> None:
        if connection in self._idle.get(connection.node, ()):
            self._remove_idle(connection)
            self._discard(connection)

    def _discard(self, connection: _PooledConnection) -> None:
        if connection.expiry is not None:
            connection.expiry.cancel()
        connection.link.close()
        self._open_count -= 1

    def _expire(self, attempt: _Attempt) -> None:
        """End an attempt whose time is over, unless its node is giving an answer that may be a long one.

        Guards against cutting off a long answer that began in time: it is passed on while it arrives.
        """
        if attempt.connection is not None and attempt.connection.link.pass_on_begun_answer():
            return
        attempt.log_begun_answer("timed out")
        ran = attempt.abort()
        self._complete(attempt, AttemptResult(Outcome.TIMEOUT if ran else Outcome.NO_CONNECTION, ran))

    def _complete(self, attempt: _Attempt, result: AttemptResult) -> None:
        """Report an attempt once; close the connection that it still holds, which cancels it at the node."""
        if self._attempts.pop((attempt.request_id, attempt.number), None) is None:
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        connection = attempt.connection
        attempt.connection = None
        if connection is not None:
            self._discard(connection)
        self.report(attempt.request_id, attempt.number, result)


class _PooledConnection:
    """A link with the node and address that it was opened to, and its idle timer."""

    def __init__(self, node: NodeId, address: Address, link: Link) -> None:
        self.node = node
        self.address = address
        self.link = link
        self.expiry: asyncio.TimerHandle | None = None


class _Attempt:
    """An attempt in flight."""

    def __init__(self, request_id: int, number: int, node: NodeId, request: ClientRequest) -> None:
        self.request_id = request_id
        self.number = number
        self.node = node
        self.request = request
        self.connection: _PooledConnection | None = None
        self.expires_at_s = 0.0  # event loop time
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def may_have_run(self) -> bool:
        return self.connection is not None and self.connection.link.may_have_run

    def log_begun_answer(self, end: str) -> None:
        """Log that the attempt ends while its node is giving an answer, if that has begun."""
        received_bytes = self.connection.link.begun_answer_bytes if self.connection is not None else None
        if received_bytes is None:
            return
        log.emit(
            "attempt",
            f"{self.request.client_request_id} {end} at {node_name(self.node)}"
            f" with {received_bytes} bytes of its answer",
            request=self.request.client_request_id,
            node=node_name(self.node),
            received_bytes=received_bytes,
        )

    def abort(self) -> bool:
        """Close the connection in use; return whether the attempt may have run, which is then final."""
        if self.connection is not None:
            self.connection.link.close()
        return self.may_have_run
