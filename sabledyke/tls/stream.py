"""TLS over a Tornado stream, with the stream interface that links and client connections use.

A write is complete once the kernel has accepted all of its ciphertext and everything before it. Until then,
its last byte was certainly not sent, as with a plaintext stream.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

from sabledyke.net import streams
from sabledyke.tls.tls_machine import TlsError, TlsMachine, TlsState

_READ_BYTES = 64 * 1024


def _ignore_ticket(_: ssl.SSLSession) -> None:
    return


class TlsStream:
    """A stream whose TLS handshake is complete; implements the ``Stream`` protocol of ``net.streams``.

    Attributes:
        machine: The TLS state machine of the connection.
        rights: Volumes that the peer may access; None for all.
    """

    def __init__(
        self,
        inner: IOStream,
        machine: TlsMachine,
        on_ticket: Callable[[ssl.SSLSession], None] = _ignore_ticket,
    ) -> None:
        """Wrap a stream.

        Args:
            inner: The underlying stream.
            machine: The TLS state machine, after the handshake.
            on_ticket: Callback that receives a session ticket, at most once per connection, since reading a
                ticket from OpenSSL takes 0.3 ms.
        """
        self._inner = inner
        self.machine = machine
        self._on_ticket = on_ticket
        self._ticket_delivered = False
        self.rights: frozenset[int] | None = None

    @property
    def socket(self) -> socket.socket | None:
        """The underlying socket; None once the stream is closed."""
        return self._inner.socket

    @property
    def error(self) -> BaseException | None:
        """The error that ended the underlying stream; None without one."""
        return self._inner.error

    @property
    def rested(self) -> bool:
        """True if the connection is open and no received plaintext is unread."""
        return self.machine.state is TlsState.OPEN and not self.machine.plaintext

    def closed(self) -> bool:
        """Return True if the stream is closed."""
        return bool(self._inner.closed())

    def close(self) -> None:
        """Close the stream; the close_notify alert is sent only if the kernel accepts it at once."""
        if self._inner.closed():
            return
        self._deliver_ticket()
        if self.machine.state is not TlsState.BROKEN and not self._inner.writing():
            self.machine.close()
            self._flush()
        self._inner.close()

    def prevent_orderly_end(self) -> None:
        """Have ``close`` send no close_notify alert, which would tell the peer that all data has come."""
        self.machine.state = TlsState.BROKEN

    def write(self, data: bytes) -> asyncio.Future[None]:
        """Send plaintext; the future is done once the kernel has accepted all of its ciphertext."""
        try:
            self.machine.send(data)
        except (TlsError, ssl.SSLError) as error:
            self._inner.close()
            failed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            failed.set_exception(StreamClosedError(error))
            return failed
        return asyncio.ensure_future(self._inner.write(self.machine.output))

    async def read_bytes(self, num_bytes: int, *, partial: bool = True) -> bytes:
        """Wait for plaintext, and return at most ``num_bytes`` of it.

        Raises:
            StreamClosedError: The stream has ended; without a ``real_error`` only after a close_notify alert
                or a local close.
            ValueError: ``partial`` is False; only partial reads are supported.
        """
        if not partial:
            raise ValueError("a TLS stream supports only partial reads")
        while not self.machine.plaintext:
            if self.machine.state is TlsState.CLOSED:
                self._inner.close()
                raise StreamClosedError
            await self._receive()
        data = bytes(self.machine.plaintext[:num_bytes])
        del self.machine.plaintext[: len(data)]
        self._deliver_ticket()
        return data

    async def _receive(self) -> None:
        try:
            self.machine.feed(await streams.receive(self._inner))
        except TlsError as error:
            self._inner.close()
            raise StreamClosedError(error) from None
        except StreamClosedError as end:
            self._on_end_of_stream()
            raise end
        self._flush()

    def _on_end_of_stream(self) -> None:
        """Handle the end of the underlying stream.

        Guards against taking a truncated stream for a complete one: the end of the TCP connection is not the
        end of the data, which only a close_notify alert states (RFC 8446, section 6.1).

        Raises:
            StreamClosedError: The peer has not sent the alert.
        """
        try:
            self.machine.on_end_of_stream()
        except TlsError as error:
            raise StreamClosedError(error) from None

    def _flush(self) -> None:
        """Send pending TLS records that carry no plaintext: alerts and key updates."""
        output = self.machine.output
        if output and not self._inner.closed():
            _write_in_background(self._inner, output)

    def _deliver_ticket(self) -> None:
        if self._ticket_delivered:
            return
        ticket = self.machine.ticket
        if ticket is not None:
            self._ticket_delivered = True
            self._on_ticket(ticket)


async def complete_handshake(inner: IOStream, machine: TlsMachine, timeout_ms: float) -> None:
    """Complete a handshake.

    Raises:
        TlsError: The handshake failed.
        StreamClosedError: The stream was closed.
        TimeoutError: The handshake was not completed in time.
    """
    async with asyncio.timeout(timeout_ms / 1000):
        while machine.state is TlsState.HANDSHAKE:
            if output := machine.output:
                await inner.write(output)
            try:
                data = await inner.read_bytes(_READ_BYTES, partial=True)
            except StreamClosedError:
                raise TlsError("it closed the connection during the handshake") from None
            try:
                machine.feed(data)
            except TlsError:
                if alert := machine.output:
                    _write_in_background(inner, alert)
                raise
        if output := machine.output:
            await inner.write(output)


def _write_in_background(inner: IOStream, data: bytes) -> None:
    """Write without waiting, and ignore errors: the next read or write on the stream reports them."""
    written = asyncio.ensure_future(inner.write(data))
    written.add_done_callback(lambda future: future.cancelled() or future.exception())
