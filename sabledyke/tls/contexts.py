"""OpenSSL contexts for a generation of the keyring.

Keys are passed to OpenSSL through anonymous in-memory files and not through their named files, so that the
loaded bytes are exactly the bytes that were checked.
"""

from __future__ import annotations

import os
import ssl
from collections.abc import Iterator
from contextlib import contextmanager

from sabledyke.tls.keyring import Generation


def client_context(generation: Generation, *, allow_tls_1_2: bool = False) -> ssl.SSLContext:
    """Return the context for connections to storage nodes, which always verifies their chain and name."""
    context = _context(ssl.PROTOCOL_TLS_CLIENT, generation, allow_tls_1_2=allow_tls_1_2)
    context.check_hostname = True
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def server_context(
    generation: Generation, *, allow_tls_1_2: bool = False, require_client_certificates: bool = False
) -> ssl.SSLContext:
    """Return the context for connections from clients.

    Args:
        generation: The keys, chain and roots.
        allow_tls_1_2: True to accept TLS 1.2 besides TLS 1.3.
        require_client_certificates: True to require a client certificate signed by a trusted root.
    """
    context = _context(ssl.PROTOCOL_TLS_SERVER, generation, allow_tls_1_2=allow_tls_1_2)
    context.verify_mode = ssl.CERT_REQUIRED if require_client_certificates else ssl.CERT_NONE
    return context


def _context(protocol: int, generation: Generation, *, allow_tls_1_2: bool) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2 if allow_tls_1_2 else ssl.TLSVersion.TLSv1_3
    context.load_verify_locations(cadata=generation.roots.decode())
    files = generation.material.files
    if files.revocation_lists:
        with _anonymous_file(files.revocation_lists) as path:
            context.load_verify_locations(cafile=path)
        context.verify_flags |= ssl.VerifyFlags.VERIFY_CRL_CHECK_LEAF
    if files.chain:
        with _anonymous_file(files.key + b"\n" + files.chain) as path:
            context.load_cert_chain(path)
    return context


@contextmanager
def _anonymous_file(data: bytes) -> Iterator[str]:
    """Yield the path of an anonymous in-memory file that contains the data."""
    descriptor = os.memfd_create("keys", os.MFD_CLOEXEC)
    try:
        os.write(descriptor, data)
        yield f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)
