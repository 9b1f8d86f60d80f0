"""OpenSSL's contexts from a generation of the keyring.

The bytes that were checked are the bytes that are loaded: they go through anonymous memory, never a file by
name.
"""

from __future__ import annotations

import os
import ssl
from collections.abc import Iterator
from contextlib import contextmanager

from sabledyke.tls.keyring import Generation


@contextmanager
def _in_memory(data: bytes) -> Iterator[str]:
    handle = os.memfd_create("keys", os.MFD_CLOEXEC)
    try:
        os.write(handle, data)
        yield f"/proc/self/fd/{handle}"
    finally:
        os.close(handle)


def _context(protocol: int, generation: Generation, *, allow_12: bool) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2 if allow_12 else ssl.TLSVersion.TLSv1_3
    context.load_verify_locations(cadata=generation.roots.decode())
    files = generation.material.files
    if files.revocation_lists:
        with _in_memory(files.revocation_lists) as path:
            context.load_verify_locations(cafile=path)
        context.verify_flags |= ssl.VerifyFlags.VERIFY_CRL_CHECK_LEAF
    if files.chain:
        with _in_memory(files.key + b"\n" + files.chain) as path:
            context.load_cert_chain(path)
    return context


def client_context(generation: Generation, *, allow_12: bool = False) -> ssl.SSLContext:
    """For our side as a client: chain and name of the box are always verified."""
    context = _context(ssl.PROTOCOL_TLS_CLIENT, generation, allow_12=allow_12)
    context.check_hostname, context.verify_mode = True, ssl.CERT_REQUIRED
    return context


def server_context(generation: Generation, *, allow_12: bool = False, ask: bool = False) -> ssl.SSLContext:
    """For our side as a server; ``ask`` wants a certificate that a trusted root has signed."""
    context = _context(ssl.PROTOCOL_TLS_SERVER, generation, allow_12=allow_12)
    context.verify_mode = ssl.CERT_REQUIRED if ask else ssl.CERT_NONE
    return context
