"""The TLS state machine, against itself and under spoilt bytes."""

from __future__ import annotations

import random
import ssl

import hypothesis
import pytest
from hypothesis import strategies as st

from sabledyke.tls.tls_machine import MAX_HANDSHAKE_BYTES, TlsError, TlsMachine, TlsState, certificate_names
from tests.standins.tls import server_context
from tests.support.generated_bytes import FIXED, SIZES, damaged, pieces
from tests.tls.support import CHAIN, CLIENT, KEY, SERVER, pair


@FIXED
@hypothesis.given(SIZES, st.binary(min_size=1, max_size=3000))
def test_what_is_sent_comes_out_the_same_in_any_cuts(sizes: list[int], body: bytes) -> None:
    client, server = TlsMachine(CLIENT, name="box-0"), TlsMachine(SERVER, server=True)
    chance = random.Random(len(body))
    while client.state is TlsState.HANDSHAKE or server.state is TlsState.HANDSHAKE:
        for piece in pieces(client.output, sizes):
            server.feed(piece)
        for piece in pieces(server.output, sizes):
            client.feed(piece)
    client.send(body)
    out = client.output
    for piece in pieces(out, [chance.randrange(1, 200) for _ in range(50)]):
        server.feed(piece)
    assert bytes(server.plaintext) == body and body not in out or len(body) < 8
    client.close()
    server.feed(client.output)
    server.on_end_of_stream()
    assert server.state is TlsState.CLOSED


@FIXED
@hypothesis.given(st.data(), SIZES)
def test_spoilt_bytes_are_a_tls_error_or_nothing_at_all(data: st.DataObject, sizes: list[int]) -> None:
    client, server = pair()
    server.send(b"a whole answer")
    spoil = data.draw(damaged(server.output))
    try:
        for piece in pieces(spoil, sizes):
            client.feed(piece)
    except TlsError:
        assert client.state is TlsState.BROKEN
    assert b"a whole answer".startswith(bytes(client.plaintext))


@FIXED
@hypothesis.given(st.binary(max_size=600), SIZES)
def test_garbage_in_a_handshake_is_a_tls_error_or_waits(garbage: bytes, sizes: list[int]) -> None:
    for layer in (TlsMachine(CLIENT, name="box-0"), TlsMachine(SERVER, server=True)):
        try:
            for piece in pieces(garbage, sizes):
                layer.feed(piece)
        except TlsError:
            pass
        assert layer.state in (TlsState.HANDSHAKE, TlsState.BROKEN)
        assert not layer.plaintext


def test_an_end_without_the_closing_alert_is_no_end() -> None:
    client, server = pair()
    server.send(b"half")
    client.feed(server.output)
    with pytest.raises(TlsError, match="closing alert"):
        client.on_end_of_stream()
    with pytest.raises(TlsError, match="does not end"):
        TlsMachine(SERVER, server=True).feed(bytes(MAX_HANDSHAKE_BYTES + 1))


def test_an_old_version_is_named() -> None:
    client = TlsMachine(CLIENT, name="box-0")
    server = TlsMachine(server_context(CHAIN, KEY, version=ssl.TLSVersion.TLSv1_2), server=True)
    with pytest.raises(TlsError, match="old version of TLS"):
        server.feed(client.output)
    with pytest.raises(TlsError, match="does not speak this version"):
        client.feed(server.output)


def test_tickets_resume_and_names_are_read() -> None:
    client, server = pair()
    server.send(b"x")
    client.feed(server.output)
    assert client.ticket is not None
    assert not client.resumed
    assert client.version == "TLSv1.3"
    again, _ = pair(client.ticket)
    assert again.resumed
    assert certificate_names(client.peer_certificate()) == {"box-0"}
