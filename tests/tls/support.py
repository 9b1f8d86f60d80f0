"""Keys and connections that several of these tests use."""

from __future__ import annotations

import ssl
import time

from sabledyke.tls import contexts
from sabledyke.tls.key_material import KeyFiles
from sabledyke.tls.keyring import Keyring
from sabledyke.tls.tls_machine import TlsMachine, TlsState
from tests.standins.keys import Authority
from tests.standins.tls import server_context

ROOT, OTHER = Authority(), Authority("other")


CHAIN, KEY = ROOT.issue("box-0")


NOW = time.time() * 1000


DAY = 86_400_000.0


SERVER = server_context(CHAIN, KEY)


def ring(chain: bytes = b"", key: bytes = b"") -> Keyring:
    made = Keyring(1000)
    made.offer(NOW, KeyFiles(chain, key, ROOT.root))
    return made


CLIENT = contexts.client_context(ring().generation)


def pair(session: ssl.SSLSession | None = None) -> tuple[TlsMachine, TlsMachine]:
    client = TlsMachine(CLIENT, name="box-0", session=session)
    server = TlsMachine(SERVER, server=True)
    for _ in range(4):
        server.feed(client.output)
        client.feed(server.output)
    assert client.state is server.state is TlsState.OPEN
    return client, server
