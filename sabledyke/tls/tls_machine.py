"""TLS as a state machine that is fed bytes, on OpenSSL through memory buffers; either side.

Told: ciphertext as it comes, plaintext to send. Gives: plaintext, and ciphertext to write. Never knows a
socket. What it guards against: an answer that ends without TLS's own closing alert passing for a whole one,
a peer that sends without end before the handshake is done, and plaintext where TLS was asked for (nothing is
ever passed through).
"""

from __future__ import annotations

import contextlib
import ssl
from enum import Enum

from sabledyke.errors import Fault

MAX_HANDSHAKE_BYTES = (
    64 * 1024
)  # bytes that a peer may send before its handshake is done: chains are a few KB
READ = 64 * 1024  # plaintext bytes taken at a time


class TlsState(Enum):
    """How far it has come."""

    HANDSHAKE = "handshake"
    OPEN = "open"
    CLOSED = "closed"  # by the peer's closing alert: all that it sent is whole
    BROKEN = "broken"


class TlsError(Fault):
    """The bytes are no TLS, or the peer cannot be trusted; the text is in plain words."""

    code, remedy = "tls", "compare both sides' keys and names; tls check reads ours"


class TlsMachine:
    """One connection. Feed it ciphertext, take what ``out`` holds after every call; one that raised is of no
    use."""

    def __init__(
        self,
        context: ssl.SSLContext,
        *,
        server: bool = False,
        name: str | None = None,
        session: ssl.SSLSession | None = None,
    ) -> None:
        self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._tls = context.wrap_bio(self._in, self._out, server, name, session)
        self.state = TlsState.HANDSHAKE
        self._taken = 0  # bytes fed before the handshake was done
        self.plaintext = bytearray()  # what the peer said and nobody took yet
        if not server:
            self._shake()

    @property
    def output(self) -> bytes:
        """Ciphertext to write, taken away."""
        return self._out.read()

    @property
    def resumed(self) -> bool:
        """The handshake went on from a ticket."""
        return bool(self._tls.session_reused)

    @property
    def ticket(self) -> ssl.SSLSession | None:
        """The newest ticket: after the handshake with TLS 1.2, after the first answer with 1.3."""
        session = self._tls.session
        return session if session is not None and session.has_ticket else None

    @property
    def version(self) -> str:
        """What was agreed on, as ``TLSv1.3``."""
        return self._tls.version() or ""

    def peer_certificate(self) -> dict[str, object]:
        """The peer's certificate as ``ssl`` reads it; empty without one."""
        return dict(self._tls.getpeercert() or {})

    def feed(self, data: bytes) -> None:
        """Take ciphertext; a TlsError where it is not understood or not trusted."""
        if self.state is TlsState.HANDSHAKE:
            self._taken += len(data)
            if self._taken > MAX_HANDSHAKE_BYTES:
                self._break("a handshake that does not end")
        self._in.write(data)
        if self.state is TlsState.HANDSHAKE:
            self._shake()
        if self.state is TlsState.OPEN:
            self._read()

    def on_end_of_stream(self) -> None:
        """The connection ended; a TlsError unless the peer had said so before."""
        if self.state is not TlsState.CLOSED:
            self._break("cut off without a closing alert")

    def send(self, data: bytes) -> None:
        """Plaintext to go out; only after the handshake."""
        if self.state is not TlsState.OPEN:
            raise TlsError(f"nothing can be sent: {self.state.value}")
        view = memoryview(data)
        while view:
            view = view[self._tls.write(view) :]

    def close(self) -> None:
        """Say that nothing more comes; what it puts into ``out`` may be written."""
        if self.state in (TlsState.OPEN, TlsState.CLOSED):
            with contextlib.suppress(ssl.SSLError):  # the peer's own alert is not waited for
                self._tls.unwrap()
        self.state = TlsState.CLOSED if self.state is not TlsState.BROKEN else self.state

    def _shake(self) -> None:
        try:
            self._tls.do_handshake()
        except ssl.SSLWantReadError:
            return
        except ssl.SSLError as fault:
            self._break(describe_error(fault))
        self.state = TlsState.OPEN

    def _read(self) -> None:
        try:
            while True:
                part = self._tls.read(READ)
                if not part:
                    self.state = TlsState.CLOSED
                    return
                self.plaintext += part
        except ssl.SSLWantReadError:
            return
        except ssl.SSLZeroReturnError:
            self.state = TlsState.CLOSED
        except ssl.SSLError as fault:
            self._break(describe_error(fault))

    def _break(self, text: str) -> None:
        self.state = TlsState.BROKEN
        raise TlsError(text)


_WORDS = {
    "CERTIFICATE_VERIFY_FAILED": "its certificate is not accepted",
    "WRONG_VERSION_NUMBER": "it speaks no TLS",
    "UNSUPPORTED_PROTOCOL": "it speaks an old version of TLS",
    "TLSV1_ALERT_PROTOCOL_VERSION": "it does not speak this version of TLS",
    "TLSV13_ALERT_CERTIFICATE_REQUIRED": "it wants a certificate of ours",
    "SSLV3_ALERT_BAD_CERTIFICATE": "it does not accept our certificate",
    "SSLV3_ALERT_CERTIFICATE_EXPIRED": "it finds our certificate expired",
    "TLSV1_ALERT_UNKNOWN_CA": "it does not know who signed our certificate",
    "SSLV3_ALERT_HANDSHAKE_FAILURE": "it agrees to no way of encryption",
}


def describe_error(fault: ssl.SSLError) -> str:
    """What OpenSSL reports, for the on-call staff."""
    reason = fault.reason or ""
    text = _WORDS.get(reason, "not understood")
    detail = getattr(fault, "verify_message", "") or reason.replace("_", " ").lower()
    return f"{text}: {detail}" if detail else text


def certificate_names(certificate: dict[str, object]) -> set[str]:
    """The alternative and common names that a certificate, as ``Layer.peer`` gives it, was signed for."""
    names = {str(value) for _, value in _pairs(certificate.get("subjectAltName"))}
    subject = certificate.get("subject")
    for part in subject if isinstance(subject, tuple) else ():
        names |= {str(value) for key, value in _pairs(part) if key == "commonName"}
    return names


def _pairs(value: object) -> list[tuple[object, object]]:
    return [(p[0], p[1]) for p in value] if isinstance(value, tuple) else []
