"""Keys, keyrings and in-memory connections for the tests of TLS."""

from __future__ import annotations

import ssl
import time

from sabledyke.tls import contexts
from sabledyke.tls.key_material import KeyFiles
from sabledyke.tls.keyring import Keyring
from sabledyke.tls.tls_machine import TlsMachine, TlsState
from tests.standins.keys import Authority
from tests.standins.tls import server_context

ROOT, OTHER_ROOT = Authority(), Authority("other")


CHAIN, KEY = ROOT.issue("box-0")


NOW_MS = time.time() * 1000


DAY_MS = 86_400_000.0


SERVER_CONTEXT = server_context(CHAIN, KEY)


def make_keyring(chain: bytes = b"", key: bytes = b"") -> Keyring:
    keyring = Keyring(1000)
    keyring.offer(NOW_MS, KeyFiles(chain, key, ROOT.root))
    return keyring


CLIENT_CONTEXT = contexts.client_context(make_keyring().generation)


def connected_pair(session: ssl.SSLSession | None = None) -> tuple[TlsMachine, TlsMachine]:
    client = TlsMachine(CLIENT_CONTEXT, name="box-0", session=session)
    server = TlsMachine(SERVER_CONTEXT, server=True)
    for _ in range(4):
        server.feed(client.output)
        client.feed(server.output)
    assert client.state is server.state is TlsState.OPEN
    return client, server
