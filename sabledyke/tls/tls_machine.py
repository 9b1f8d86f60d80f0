"""Sans-I/O TLS state machine for clients and servers, on OpenSSL memory buffers.

It uses no socket. It does not accept a stream without a close_notify alert as complete, limits the bytes of a
handshake that does not complete, and never passes unencrypted input on as plaintext.
"""

from __future__ import annotations

import contextlib
import ssl
from enum import Enum
from typing import NoReturn

from sabledyke.errors import SabledykeError

MAX_HANDSHAKE_BYTES = 64 * 1024
"""Maximum number of bytes that a peer may send before its handshake is complete; chains are a few KB."""

_READ_BYTES = 64 * 1024

_ERROR_DESCRIPTIONS = {
    "CERTIFICATE_VERIFY_FAILED": "its certificate was rejected",
    "WRONG_VERSION_NUMBER": "it does not speak TLS",
    "UNSUPPORTED_PROTOCOL": "it supports only an old version of TLS",
    "TLSV1_ALERT_PROTOCOL_VERSION": "it does not support this version of TLS",
    "TLSV13_ALERT_CERTIFICATE_REQUIRED": "it requires a client certificate",
    "SSLV3_ALERT_BAD_CERTIFICATE": "it rejected our certificate",
    "SSLV3_ALERT_CERTIFICATE_EXPIRED": "it rejected our certificate as expired",
    "TLSV1_ALERT_UNKNOWN_CA": "it does not trust the authority that signed our certificate",
    "SSLV3_ALERT_HANDSHAKE_FAILURE": "it accepts none of the offered security parameters",
}


class TlsState(Enum):
    """State of a TLS connection."""

    HANDSHAKE = "handshake"
    OPEN = "open"
    CLOSED = "closed"
    """Closed by the peer's close_notify alert, after all of its data was received, or by ``close``."""
    BROKEN = "broken"


class TlsError(SabledykeError):
    """The peer violated the TLS protocol or could not be verified; the text states the reason."""

    code = "tls"
    remedy = "compare the keys and names of both sides; run tls check for the scheduler's"


class TlsMachine:
    """TLS of one connection.

    The caller feeds it received ciphertext, and after each call writes the bytes of ``output`` to the peer. A
    machine that has raised an error cannot be used any further.

    Attributes:
        state: State of the connection.
        plaintext: Decrypted bytes from the peer; the caller removes the bytes that it has read.
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
            context: The OpenSSL context.
            server: True for the server's side of the connection.
            name: The name that the peer's certificate must have.
            session: The session to resume.
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
        """Pending ciphertext for the peer; reading this property removes it from the buffer."""
        return self._output.read()

    @property
    def resumed(self) -> bool:
        """True if the handshake resumed a session."""
        return bool(self._tls.session_reused)

    @property
    def ticket(self) -> ssl.SSLSession | None:
        """The newest session ticket, or None.

        It is available after the handshake with TLS 1.2, and after the first response with TLS 1.3.
        """
        session = self._tls.session
        return session if session is not None and session.has_ticket else None

    @property
    def version(self) -> str:
        """The negotiated protocol version, for example ``TLSv1.3``; empty before the handshake."""
        return self._tls.version() or ""

    def peer_certificate(self) -> dict[str, object]:
        """Return the peer's certificate as ``ssl.SSLObject.getpeercert`` decodes it; empty without one."""
        return dict(self._tls.getpeercert() or {})

    def feed(self, data: bytes) -> None:
        """Process received ciphertext.

        Raises:
            TlsError: The bytes violate the TLS protocol, or the peer could not be verified.
        """
        if self.state is TlsState.HANDSHAKE:
            self._handshake_bytes += len(data)
            if self._handshake_bytes > MAX_HANDSHAKE_BYTES:
                self._fail("the handshake exceeds the size limit")
        self._input.write(data)
        if self.state is TlsState.HANDSHAKE:
            self._continue_handshake()
        if self.state is TlsState.OPEN:
            self._decrypt()

    def on_end_of_stream(self) -> None:
        """Handle the end of the byte stream.

        Raises:
            TlsError: The peer has not sent a close_notify alert.
        """
        if self.state is not TlsState.CLOSED:
            self._fail("the connection ended without a close_notify alert")

    def send(self, data: bytes) -> None:
        """Encrypt plaintext.

        Raises:
            TlsError: The handshake is not complete, or the connection is closed.
        """
        if self.state is not TlsState.OPEN:
            raise TlsError(f"cannot send data in connection state {self.state.value}")
        remaining = memoryview(data)
        while remaining:
            written_bytes = self._tls.write(remaining)
            remaining = remaining[written_bytes:]

    def close(self) -> None:
        """Append a close_notify alert to ``output``."""
        if self.state in (TlsState.OPEN, TlsState.CLOSED):
            with contextlib.suppress(ssl.SSLError):  # does not wait for the peer's close_notify alert
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
    """Return a description of an OpenSSL error for operators."""
    reason = error.reason or ""
    text = _ERROR_DESCRIPTIONS.get(reason, "TLS protocol error")
    detail = getattr(error, "verify_message", "") or reason.replace("_", " ").lower()
    return f"{text}: {detail}" if detail else text


def certificate_names(certificate: dict[str, object]) -> set[str]:
    """Return the subject alternative names and the common name of a certificate.

    Args:
        certificate: A certificate in the form that ``TlsMachine.peer_certificate`` returns.
    """
    names = {str(value) for _, value in _pairs(certificate.get("subjectAltName"))}
    subject = certificate.get("subject")
    for relative_name in subject if isinstance(subject, tuple) else ():
        names |= {str(value) for key, value in _pairs(relative_name) if key == "commonName"}
    return names


def _pairs(value: object) -> list[tuple[object, object]]:
    return [(pair[0], pair[1]) for pair in value] if isinstance(value, tuple) else []
