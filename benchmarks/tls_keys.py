"""Keys of the benchmarks of TLS: one authority, one server, and a keyring that trusts them."""

from __future__ import annotations

import time

from sabledyke.tls.key_material import KeyFiles
from sabledyke.tls.keyring import Keyring
from tests.standins.keys import Authority
from tests.standins.tls import server_context

NODE_NAME = "box"
AUTHORITY = Authority()
SERVER_CONTEXT = server_context(*AUTHORITY.issue(NODE_NAME))


def make_keyring() -> Keyring:
    """Return a keyring with the authority's root."""
    keyring = Keyring(0)
    keyring.offer(time.time() * 1000, KeyFiles(roots=AUTHORITY.root))
    return keyring
