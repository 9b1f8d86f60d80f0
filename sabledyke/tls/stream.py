"""The driver of the TLS layer: what links and clients need of a stream, over one of Tornado's.

A write is done once all ciphertext that holds it, and all before it, has been taken by the kernel: so the
line 'its last byte was certainly not written' stays where it is for plain streams.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

from sabledyke.tls.tls_machine import TlsError, TlsMachine, TlsState

READ = 64 * 1024


class TlsStream:
    """A stream whose handshake is done; see ``streams`` for what is asked of it."""

    def __init__(
        self, inner: IOStream, layer: TlsMachine, told: Callable[[ssl.SSLSession], None] = lambda _: None
    ) -> None:
        self._inner, self.machine, self._told = inner, layer, told
        self._has_told = False  # its ticket: once, since to take it from OpenSSL costs 0.3 ms
        self.rights: frozenset[int] | None = None  # volumes that its peer may touch, None for all

    @property
    def socket(self) -> socket.socket | None:
        """The socket underneath, None once closed."""
        return self._inner.socket

    def closed(self) -> bool:
        """It cannot be used any more."""
        return bool(self._inner.closed())

    def close(self) -> None:
        """End it; the closing alert goes out where the kernel takes it at once."""
        if not self._inner.closed():
            self._news()
            if self.machine.state is not TlsState.BROKEN and not self._inner.writing():
                self.machine.close()
                self._flush()
            self._inner.close()

    def write(self, data: bytes) -> asyncio.Future[None]:
        """Send plaintext; done once its ciphertext has left."""
        try:
            self.machine.send(data)
        except (TlsError, ssl.SSLError) as fault:
            self._inner.close()
            failed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            failed.set_exception(StreamClosedError(fault))
            return failed
        return asyncio.ensure_future(self._inner.write(self.machine.output))

    async def read_bytes(self, num_bytes: int, partial: bool = True) -> bytes:
        """Plaintext as it comes; a StreamClosedError at the end, whole or not."""
        layer = self.machine
        while not layer.plaintext:
            if layer.state is TlsState.CLOSED:
                self._inner.close()
                raise StreamClosedError
            try:
                layer.feed(await self._inner.read_bytes(READ, partial=True))
            except TlsError as fault:
                self._inner.close()
                raise StreamClosedError(fault) from None
            except StreamClosedError:
                if layer.state is TlsState.OPEN:  # cut off: what came is not a whole answer's end
                    layer.state = TlsState.BROKEN
                raise
            self._flush()
        out = bytes(layer.plaintext[:num_bytes])
        del layer.plaintext[: len(out)]
        self._news()
        return out

    @property
    def rested(self) -> bool:
        """Nothing was said that was not read: no plaintext, and no closing alert, wait here."""
        return self.machine.state is TlsState.OPEN and not self.machine.plaintext

    def _flush(self) -> None:
        """What the layer itself has to say: alerts, key updates."""
        out = self.machine.output
        if out and not self._inner.closed():
            asyncio.ensure_future(self._inner.write(out)).add_done_callback(
                lambda f: f.cancelled() or f.exception()
            )

    def _news(self) -> None:
        if not self._has_told and (session := self.machine.ticket) is not None:
            self._has_told = True
            self._told(session)


async def complete_handshake(inner: IOStream, layer: TlsMachine, timeout_ms: float) -> None:
    """Bring a handshake to its end; a TlsError, StreamClosedError or TimeoutError where it has none."""
    async with asyncio.timeout(timeout_ms / 1000):
        while layer.state is TlsState.HANDSHAKE:
            if out := layer.output:
                await inner.write(out)
            try:
                data = await inner.read_bytes(READ, partial=True)
            except StreamClosedError:
                raise TlsError("it ended the connection in the handshake") from None
            try:
                layer.feed(data)
            except TlsError:
                if alert := layer.output:  # say why, where the kernel takes it at once
                    asyncio.ensure_future(inner.write(alert)).add_done_callback(
                        lambda f: f.cancelled() or f.exception()
                    )
                raise
        if out := layer.output:
            await inner.write(out)
