"""Benchmark of session resumption: the fraction of reconnections of the program's connector that resume."""

from __future__ import annotations

from benchmarks.tls_keys import NODE_NAME, SERVER_CONTEXT, make_keyring
from sabledyke.policy.nodes import NodeEntry, NodeState
from sabledyke.tls.connector import TlsConnector
from sabledyke.tls.handshake_admission import HandshakeBudget
from sabledyke.tls.section import KeyPaths, TlsSection
from tests.standins.tls import TlsNode

NODE = NodeEntry(NODE_NAME.encode(), 0, 0, 0, 0.0, 1.0, NodeState.READY)
UNLIMITED = HandshakeBudget(scheduler_count=1, handshake_share=1.0, cores=1000.0)
TIMEOUT_MS = 1000


async def resumed_fraction(count: int) -> float:
    """Connect once, then reconnect ``count`` times; return the fraction of resumed handshakes."""
    node = TlsNode(SERVER_CONTEXT)
    await node.open()
    connector = TlsConnector(TlsSection(KeyPaths(), name_template=NODE_NAME), UNLIMITED, 1)
    connector.use_generation(make_keyring().generation)
    await _exchange(connector, node.port)
    connector.full_handshakes = 0
    connector.resumed_handshakes = 0
    for _ in range(count):
        await _exchange(connector, node.port)
    node.die()
    return connector.resumed_handshakes / count


async def _exchange(connector: TlsConnector, port: int) -> None:
    """Connect, send one request and read its response."""
    stream = await connector.connect(NODE, ("127.0.0.1", port), TIMEOUT_MS, TIMEOUT_MS)
    await stream.write(b"GET / HTTP/1.1\r\n\r\n")
    await stream.read_bytes(100)
    stream.close()
