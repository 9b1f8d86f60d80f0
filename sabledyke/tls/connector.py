"""Opens verified connections to storage nodes: handshake admission, session tickets and the handshake.

The core receives each failure as NO_CONNECTION, since no part of a request can have been sent. A failure is
logged once per node and cause until a handshake with that node succeeds again.
"""

from __future__ import annotations

import asyncio
import itertools
import ssl
from collections.abc import Iterator
from contextlib import contextmanager
from math import inf

from sabledyke import log
from sabledyke.net import clock, streams
from sabledyke.policy.nodes import NodeEntry, NodeId, node_name
from sabledyke.tls import contexts
from sabledyke.tls.handshake_admission import HandshakeAdmission, HandshakeBudget
from sabledyke.tls.keyring import Generation
from sabledyke.tls.section import TlsSection
from sabledyke.tls.session_tickets import TicketCache
from sabledyke.tls.stream import TlsStream, complete_handshake
from sabledyke.tls.tls_machine import TlsError, TlsMachine

MAX_REPORTED_NODES = 4096
"""Maximum number of nodes whose last logged error is stored to suppress repeated log lines."""

_MIN_TIMEOUT_MS = 1.0


class TlsConnector:
    """Opens the TLS connections to all storage nodes, for HTTP and NVMe links alike.

    Attributes:
        admission: Admission of handshakes.
        tickets: Cache of the tickets from which sessions are resumed.
        full_handshakes: Number of full handshakes that succeeded.
        resumed_handshakes: Number of resumed handshakes that succeeded.
        failed_handshakes: Number of handshakes that failed.
        rejected_handshakes: Number of connection attempts that were not admitted before their deadline.
    """

    def __init__(
        self, section: TlsSection, budget: HandshakeBudget, seed: int, zones: tuple[str, ...] = ()
    ) -> None:
        self._section = section
        self._zones = zones
        self.admission = HandshakeAdmission(budget, seed)
        self.tickets: TicketCache[ssl.SSLSession] = TicketCache()
        self._generation = 0
        self._context: ssl.SSLContext | None = None
        self._attempt_numbers = itertools.count()
        self._waiters: dict[int, asyncio.Future[bool]] = {}
        self._timers: dict[NodeId, asyncio.TimerHandle] = {}
        self._reported_errors: dict[NodeId, str] = {}
        self.full_handshakes = 0
        self.resumed_handshakes = 0
        self.failed_handshakes = 0
        self.rejected_handshakes = 0

    def use_generation(self, generation: Generation) -> None:
        """Use these keys for new connections, and drop the tickets of older generations.

        Open connections are not affected.
        """
        self._context = contexts.client_context(generation, allow_tls_1_2=self._section.allow_tls_1_2)
        self._generation = generation.number
        self.tickets.drop_older_generations(generation.number)

    async def connect(
        self, entry: NodeEntry, address: tuple[str, int], connect_timeout_ms: float, remaining_ms: float
    ) -> TlsStream:
        """Open a verified connection to a storage node.

        Args:
            entry: The storage node.
            address: Host and port of the storage node.
            connect_timeout_ms: Timeout of the TCP connection.
            remaining_ms: Time until the attempt's deadline.

        Raises:
            StreamClosedError: The connection or its handshake failed, or was not admitted in time.
        """
        node = entry.node_id
        now_ms = clock.now()
        deadline_ms = now_ms + min(remaining_ms, self._section.handshake_timeout_ms)
        ticket = self.tickets.pop_newest(now_ms, node, entry.started_ms, self._generation)
        if not await self._wait_for_admission(now_ms, entry, deadline_ms, resumes=ticket is not None):
            self.rejected_handshakes += 1
            if ticket is not None:  # an unused ticket remains valid
                self.tickets.add(now_ms, node, entry.started_ms, self._generation, ticket)
            raise streams.StreamClosedError
        succeeded = False
        inner: streams.IOStream | None = None
        try:
            with self._errors_reported(node):
                inner = await streams.connect(address, min(connect_timeout_ms, _remaining_ms(deadline_ms)))
                stream = await self._handshake(inner, entry, ticket, deadline_ms)
            succeeded = True
            return stream
        finally:
            if not succeeded:
                self.failed_handshakes += 1
                if inner is not None:
                    streams.abort(inner)
            self.admission.on_handshake_completed(clock.now(), node, succeeded=succeeded)
            self._notify_due_attempts(node)

    def forget(self, node: NodeId) -> None:
        """Drop the state of a node that left the endpoint list, and reject its waiting attempts."""
        for attempt in self.admission.forget(node):
            self._notify(attempt, admitted=False)
        self._cancel_timer(node)
        self.tickets.forget(node)
        self._reported_errors.pop(node, None)

    def close(self) -> None:
        """Cancel all timers, at shutdown."""
        for timer in self._timers.values():
            timer.cancel()

    async def _handshake(
        self, inner: streams.IOStream, entry: NodeEntry, ticket: ssl.SSLSession | None, deadline_ms: float
    ) -> TlsStream:
        assert self._context is not None
        generation = self._generation
        machine = TlsMachine(self._context, name=self._certificate_name(entry), session=ticket)
        await complete_handshake(inner, machine, _remaining_ms(deadline_ms))
        if machine.resumed:
            self.resumed_handshakes += 1
        else:
            self.full_handshakes += 1
        self._reported_errors.pop(entry.node_id, None)

        def on_ticket(session: ssl.SSLSession) -> None:
            if generation == self._generation:
                self.tickets.add(clock.now(), entry.node_id, entry.started_ms, generation, session)

        return TlsStream(inner, machine, on_ticket)

    def _certificate_name(self, entry: NodeEntry) -> str:
        zone = self._zones[entry.zone] if 0 <= entry.zone < len(self._zones) else ""
        return self._section.certificate_name(node_name(entry.node_id), zone)

    async def _wait_for_admission(
        self, now_ms: float, entry: NodeEntry, deadline_ms: float, *, resumes: bool
    ) -> bool:
        """Wait until the handshake is admitted; return False if it was not admitted before the deadline."""
        attempt = next(self._attempt_numbers)
        node = entry.node_id
        admitted = self.admission.request(
            now_ms, node, entry.started_ms, attempt, deadline_ms, resumes=resumes
        )
        if admitted is not False:
            return bool(admitted)
        waiter: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiters[attempt] = waiter
        self._notify_due_attempts(node)
        try:
            return bool(await waiter)
        except asyncio.CancelledError:
            # The attempt may be cancelled in the same event loop iteration that admits it: release its slot.
            if waiter.done() and not waiter.cancelled() and waiter.result():
                self.admission.on_handshake_completed(clock.now(), node, succeeded=True)
            raise
        finally:
            del self._waiters[attempt]
            if waiter.cancelled():
                self.admission.withdraw(node, attempt)

    def _notify_due_attempts(self, node: NodeId) -> None:
        """Notify the attempts that are admitted or have expired, and schedule the next such check."""
        self._cancel_timer(node)
        now_ms = clock.now()
        due = self.admission.pop_due(now_ms, node)
        for attempt in due.admitted:
            if not self._notify(attempt, admitted=True):  # cancelled in the same event loop iteration
                self.admission.on_handshake_completed(now_ms, node, succeeded=True)
        for attempt in due.expired:
            self._notify(attempt, admitted=False)
        next_due_ms = self.admission.next_due_ms(now_ms, node)
        if next_due_ms < inf:
            delay_s = max(_MIN_TIMEOUT_MS, next_due_ms - now_ms) / 1000
            loop = asyncio.get_running_loop()
            self._timers[node] = loop.call_later(delay_s, self._notify_due_attempts, node)

    def _notify(self, attempt: int, *, admitted: bool) -> bool:
        """Notify an attempt; return False if it was no longer waiting."""
        waiter = self._waiters.get(attempt)
        if waiter is None or waiter.done():
            return False
        waiter.set_result(admitted)
        return True

    def _cancel_timer(self, node: NodeId) -> None:
        timer = self._timers.pop(node, None)
        if timer is not None:
            timer.cancel()

    @contextmanager
    def _errors_reported(self, node: NodeId) -> Iterator[None]:
        """Log TLS errors and timeouts, and raise them as StreamClosedError."""
        try:
            yield
        except TlsError as error:
            self._report(node, str(error))
            raise streams.StreamClosedError(error) from None
        except TimeoutError:
            self._report(node, "the handshake timed out")
            raise streams.StreamClosedError from None
        except ssl.SSLError as error:
            self._report(node, str(error))
            raise streams.StreamClosedError from None

    def _report(self, node: NodeId, text: str) -> None:
        """Log an error, unless it equals the last error that was logged for the node."""
        if self._reported_errors.get(node) == text:
            return
        self._reported_errors[node] = text
        if len(self._reported_errors) > MAX_REPORTED_NODES:
            del self._reported_errors[next(iter(self._reported_errors))]
        log.emit("tls", f"{node_name(node)}: {text}")


def _remaining_ms(deadline_ms: float) -> float:
    return max(_MIN_TIMEOUT_MS, deadline_ms - clock.now())
