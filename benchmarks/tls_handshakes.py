"""Benchmark of the client side of TLS handshakes, in the program's layer and in the bare library."""

from __future__ import annotations

import contextlib
import ssl
import time
from collections.abc import Callable
from typing import Protocol

from benchmarks.tls_keys import NODE_NAME, SERVER_CONTEXT, make_keyring
from sabledyke.tls import contexts
from sabledyke.tls.tls_machine import TlsMachine

READ_BYTES = 10


class HandshakeClient(Protocol):
    """The client side of one connection on memory buffers."""

    def start(self) -> bytes:
        """Return the first bytes to send."""

    def feed(self, data: bytes) -> bytes:
        """Process received bytes; return the bytes to send."""

    def session(self) -> ssl.SSLSession | None:
        """Return the latest session ticket, or None."""


MakeClient = Callable[[ssl.SSLContext, ssl.SSLSession | None], HandshakeClient]


class BareClient:
    """A ``HandshakeClient`` that uses the standard library directly."""

    def __init__(self, context: ssl.SSLContext, session: ssl.SSLSession | None) -> None:
        self._incoming = ssl.MemoryBIO()
        self._outgoing = ssl.MemoryBIO()
        self._tls = context.wrap_bio(
            self._incoming,
            self._outgoing,
            server_side=False,
            server_hostname=NODE_NAME,
            session=session,
        )

    def start(self) -> bytes:
        """Start the handshake; return the ClientHello."""
        return self.feed(b"")

    def feed(self, data: bytes) -> bytes:
        """Continue the handshake, and read once it is complete."""
        self._incoming.write(data)
        with contextlib.suppress(ssl.SSLWantReadError):
            self._tls.do_handshake()
            self._tls.read(READ_BYTES)
        return self._outgoing.read()

    def session(self) -> ssl.SSLSession | None:
        """Return the session of the SSL object."""
        return self._tls.session


class ProgramClient:
    """A ``HandshakeClient`` that uses the program's TLS layer."""

    def __init__(self, context: ssl.SSLContext, session: ssl.SSLSession | None) -> None:
        self._machine = TlsMachine(context, name=NODE_NAME, session=session)

    def start(self) -> bytes:
        """Return the ClientHello, which the layer has already created."""
        return self._machine.output

    def feed(self, data: bytes) -> bytes:
        """Pass the bytes to the layer; return its output."""
        self._machine.feed(data)
        return self._machine.output

    def session(self) -> ssl.SSLSession | None:
        """Return the latest ticket that the layer received."""
        return self._machine.ticket


def handshake_cpu_us(make_client: MakeClient, count: int, *, resume: bool) -> float:
    """Return the mean CPU time in us of the client side of a handshake and one answer."""
    context = contexts.client_context(make_keyring().generation)
    session: ssl.SSLSession | None = None
    cpu_s = 0.0
    for _ in range(count):
        to_server = ssl.MemoryBIO()
        to_client = ssl.MemoryBIO()
        server = SERVER_CONTEXT.wrap_bio(to_server, to_client, server_side=True)
        began_s = time.process_time()
        client = make_client(context, session if resume else None)
        hello = client.start()
        cpu_s += time.process_time() - began_s
        to_server.write(hello)
        with contextlib.suppress(ssl.SSLWantReadError):
            server.do_handshake()
        server_hello = to_client.read()
        began_s = time.process_time()
        finished = client.feed(server_hello)
        cpu_s += time.process_time() - began_s
        to_server.write(finished)
        server.do_handshake()
        server.write(b"x")
        answer = to_client.read()
        began_s = time.process_time()
        client.feed(answer)
        session = client.session()
        cpu_s += time.process_time() - began_s
    return cpu_s / count * 1e6
