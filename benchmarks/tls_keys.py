"""Key material for the TLS benchmarks: an authority, a server certificate, and a keyring that trusts it."""

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
    """Return a keyring that contains the authority's root."""
    keyring = Keyring(0)
    keyring.offer(time.time() * 1000, KeyFiles(roots=AUTHORITY.root))
    return keyring
