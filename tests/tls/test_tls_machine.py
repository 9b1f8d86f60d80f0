"""Tests of the TLS state machine: two machines connected to each other, and damaged input."""

from __future__ import annotations

import random
import ssl

import hypothesis
import pytest
from hypothesis import strategies as st

from sabledyke.tls.tls_machine import MAX_HANDSHAKE_BYTES, TlsError, TlsMachine, TlsState, certificate_names
from tests.standins.tls import server_context
from tests.support.generated_bytes import FIXED, SIZES, damaged, pieces
from tests.tls.support import CHAIN, CLIENT_CONTEXT, KEY, SERVER_CONTEXT, connected_pair


@FIXED
@hypothesis.given(SIZES, st.binary(min_size=1, max_size=3000))
def test_plaintext_is_received_unchanged_however_the_ciphertext_is_split(
    sizes: list[int], body: bytes
) -> None:
    client, server = TlsMachine(CLIENT_CONTEXT, name="box-0"), TlsMachine(SERVER_CONTEXT, server=True)
    generator = random.Random(len(body))
    while client.state is TlsState.HANDSHAKE or server.state is TlsState.HANDSHAKE:
        for piece in pieces(client.output, sizes):
            server.feed(piece)
        for piece in pieces(server.output, sizes):
            client.feed(piece)
    client.send(body)
    ciphertext = client.output
    for piece in pieces(ciphertext, [generator.randrange(1, 200) for _ in range(50)]):
        server.feed(piece)
    assert bytes(server.plaintext) == body and body not in ciphertext or len(body) < 8
    client.close()
    server.feed(client.output)
    server.on_end_of_stream()
    assert server.state is TlsState.CLOSED


@FIXED
@hypothesis.given(st.data(), SIZES)
def test_damaged_ciphertext_raises_tls_error_and_never_yields_altered_plaintext(
    data: st.DataObject, sizes: list[int]
) -> None:
    client, server = connected_pair()
    server.send(b"a whole answer")
    damaged_output = data.draw(damaged(server.output))
    try:
        for piece in pieces(damaged_output, sizes):
            client.feed(piece)
    except TlsError:
        assert client.state is TlsState.BROKEN
    assert b"a whole answer".startswith(bytes(client.plaintext))


@FIXED
@hypothesis.given(st.binary(max_size=600), SIZES)
def test_garbage_in_a_handshake_raises_tls_error_or_leaves_it_incomplete(
    garbage: bytes, sizes: list[int]
) -> None:
    for machine in (TlsMachine(CLIENT_CONTEXT, name="box-0"), TlsMachine(SERVER_CONTEXT, server=True)):
        try:
            for piece in pieces(garbage, sizes):
                machine.feed(piece)
        except TlsError:
            pass
        assert machine.state in (TlsState.HANDSHAKE, TlsState.BROKEN)
        assert not machine.plaintext


def test_an_end_without_close_notify_and_an_oversized_handshake_raise_tls_error() -> None:
    client, server = connected_pair()
    server.send(b"half")
    client.feed(server.output)
    with pytest.raises(TlsError, match="without a close_notify alert"):
        client.on_end_of_stream()
    with pytest.raises(TlsError, match="handshake exceeds the size limit"):
        TlsMachine(SERVER_CONTEXT, server=True).feed(bytes(MAX_HANDSHAKE_BYTES + 1))


def test_the_error_names_an_unsupported_version_of_tls() -> None:
    client = TlsMachine(CLIENT_CONTEXT, name="box-0")
    server = TlsMachine(server_context(CHAIN, KEY, version=ssl.TLSVersion.TLSv1_2), server=True)
    with pytest.raises(TlsError, match="old version of TLS"):
        server.feed(client.output)
    with pytest.raises(TlsError, match="does not support this version"):
        client.feed(server.output)


def test_a_ticket_resumes_a_session_and_certificate_names_are_read() -> None:
    client, server = connected_pair()
    server.send(b"x")
    client.feed(server.output)
    assert client.ticket is not None
    assert not client.resumed
    assert client.version == "TLSv1.3"
    resumed_client, _ = connected_pair(client.ticket)
    assert resumed_client.resumed
    assert certificate_names(client.peer_certificate()) == {"box-0"}
