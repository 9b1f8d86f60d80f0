"""TLS as a state machine that is fed bytes, on OpenSSL through memory buffers; for either side.

It never knows a socket. It guards against a response that ends without TLS's own closing alert being taken
for a complete one, against a peer that sends without end before the handshake is complete, and against
plaintext where TLS was requested: nothing is ever passed through.
"""

from __future__ import annotations

import contextlib
import ssl
from enum import Enum
from typing import NoReturn

from sabledyke.errors import SabledykeError

MAX_HANDSHAKE_BYTES = 64 * 1024
"""What a peer may send before its handshake is complete; chains are a few KB."""

_READ_BYTES = 64 * 1024

_DESCRIPTIONS = {
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


class TlsState(Enum):
    """State of a connection."""

    HANDSHAKE = "handshake"
    OPEN = "open"
    CLOSED = "closed"
    """Closed by the peer's closing alert: all that it sent is complete."""
    BROKEN = "broken"


class TlsError(SabledykeError):
    """The bytes are no TLS, or the peer cannot be trusted; the text says which in plain words."""

    code = "tls"
    remedy = "compare both sides' keys and names; tls check reads ours"


class TlsMachine:
    """One connection.

    Feed it ciphertext, and write what ``output`` holds after every call. A machine that raised cannot be used
    any further.

    Attributes:
        state: The connection's state.
        plaintext: What the peer sent and nobody has taken yet; the caller takes it.
    """

    def __init__(
        self,
        context: ssl.SSLContext,
        *,
        server: bool = False,
        name: str | None = None,
        session: ssl.SSLSession | None = None,
    ) -> None:
        """Start a connection.

        Args:
            context: OpenSSL's context.
            server: Whether this is the server's side.
            name: The name that the peer's certificate must have.
            session: The ticket to resume from.
        """
        self._input = ssl.MemoryBIO()
        self._output = ssl.MemoryBIO()
        self._tls = context.wrap_bio(self._input, self._output, server, name, session)
        self.state = TlsState.HANDSHAKE
        self.plaintext = bytearray()
        self._handshake_bytes = 0
        if not server:
            self._continue_handshake()

    @property
    def output(self) -> bytes:
        """Ciphertext to write; reading it takes it away."""
        return self._output.read()

    @property
    def resumed(self) -> bool:
        """Whether the handshake resumed a session."""
        return bool(self._tls.session_reused)

    @property
    def ticket(self) -> ssl.SSLSession | None:
        """The newest ticket: after the handshake with TLS 1.2, after the first response with TLS 1.3."""
        session = self._tls.session
        return session if session is not None and session.has_ticket else None

    @property
    def version(self) -> str:
        """The version that was agreed on, as ``TLSv1.3``."""
        return self._tls.version() or ""

    def peer_certificate(self) -> dict[str, object]:
        """Return the peer's certificate as ``ssl`` reads it; empty without one."""
        return dict(self._tls.getpeercert() or {})

    def feed(self, data: bytes) -> None:
        """Process received ciphertext.

        Raises:
            TlsError: It is not understood, or the peer is not trusted.
        """
        if self.state is TlsState.HANDSHAKE:
            self._handshake_bytes += len(data)
            if self._handshake_bytes > MAX_HANDSHAKE_BYTES:
                self._fail("a handshake that does not end")
        self._input.write(data)
        if self.state is TlsState.HANDSHAKE:
            self._continue_handshake()
        if self.state is TlsState.OPEN:
            self._decrypt()

    def on_end_of_stream(self) -> None:
        """Note that the connection has ended.

        Raises:
            TlsError: The peer had not sent its closing alert.
        """
        if self.state is not TlsState.CLOSED:
            self._fail("cut off without a closing alert")

    def send(self, data: bytes) -> None:
        """Encrypt plaintext.

        Raises:
            TlsError: The handshake is not complete, or the connection is closed.
        """
        if self.state is not TlsState.OPEN:
            raise TlsError(f"nothing can be sent: {self.state.value}")
        remaining = memoryview(data)
        while remaining:
            written_bytes = self._tls.write(remaining)
            remaining = remaining[written_bytes:]

    def close(self) -> None:
        """Put the closing alert into ``output``."""
        if self.state in (TlsState.OPEN, TlsState.CLOSED):
            with contextlib.suppress(ssl.SSLError):  # the peer's own alert is not waited for
                self._tls.unwrap()
        if self.state is not TlsState.BROKEN:
            self.state = TlsState.CLOSED

    def _continue_handshake(self) -> None:
        try:
            self._tls.do_handshake()
        except ssl.SSLWantReadError:
            return
        except ssl.SSLError as error:
            self._fail(describe_error(error))
        self.state = TlsState.OPEN

    def _decrypt(self) -> None:
        try:
            while chunk := self._tls.read(_READ_BYTES):
                self.plaintext += chunk
            self.state = TlsState.CLOSED
        except ssl.SSLWantReadError:
            return
        except ssl.SSLZeroReturnError:
            self.state = TlsState.CLOSED
        except ssl.SSLError as error:
            self._fail(describe_error(error))

    def _fail(self, text: str) -> NoReturn:
        self.state = TlsState.BROKEN
        raise TlsError(text)


def describe_error(error: ssl.SSLError) -> str:
    """Return what OpenSSL reports in plain words, for the on-call staff."""
    reason = error.reason or ""
    text = _DESCRIPTIONS.get(reason, "not understood")
    detail = getattr(error, "verify_message", "") or reason.replace("_", " ").lower()
    return f"{text}: {detail}" if detail else text


def certificate_names(certificate: dict[str, object]) -> set[str]:
    """Return the alternative and common names that a certificate was signed for.

    Args:
        certificate: As ``TlsMachine.peer_certificate`` returns it.
    """
    names = {str(value) for _, value in _pairs(certificate.get("subjectAltName"))}
    subject = certificate.get("subject")
    for relative_name in subject if isinstance(subject, tuple) else ():
        names |= {str(value) for key, value in _pairs(relative_name) if key == "commonName"}
    return names


def _pairs(value: object) -> list[tuple[object, object]]:
    return [(pair[0], pair[1]) for pair in value] if isinstance(value, tuple) else []
