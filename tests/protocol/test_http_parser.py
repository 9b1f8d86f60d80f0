"""Tests of the HTTP parser with valid bytes in random chunks, and with damaged bytes."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sabledyke.protocol.http import (
    MAX_BODY_BYTES,
    HttpError,
    HttpParser,
    encode_request,
    encode_response,
)
from tests.protocol.support import parse_http
from tests.support.generated_bytes import FIXED, SIZES, damaged, pieces

REQUESTS = encode_request("PUT", "/api/1/2?x", [("Req-Id", "a"), ("X", "")], b"body") + encode_request(
    "GET", "/api/1/3", [("Req-Id", "b")], b""
)
CHUNKED_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3;x=y\r\nabc\r\n"
    b"0A\r\n0123456789\r\n"
    b"0\r\nT: v\r\n\r\n"
)
RESPONSES = (
    b"HTTP/1.1 100 Continue\r\n\r\n" + CHUNKED_RESPONSE + encode_response(503, [("Srv-Declined", "1")], b"no")
)


@FIXED
@given(SIZES)
def test_http_messages_are_the_same_in_any_chunks(sizes: list[int]) -> None:
    put, get = parse_http(HttpParser(), pieces(REQUESTS, sizes))
    assert (put.method, put.target, put.body) == ("PUT", "/api/1/2?x", b"body")
    assert put.headers["x"] == ""
    assert (get.method, get.headers["req-id"], get.body) == ("GET", "b", b"")
    chunked, rejection = parse_http(HttpParser(responses=True), pieces(RESPONSES, sizes))
    assert (chunked.status, chunked.body) == (200, b"abc0123456789")
    assert (rejection.status, rejection.body) == (503, b"no")


@FIXED
@given(data=st.one_of(damaged(REQUESTS), damaged(RESPONSES)), sizes=SIZES, responses=st.booleans())
def test_damaged_http_raises_an_http_error_or_gives_messages(
    data: bytes, sizes: list[int], *, responses: bool
) -> None:
    with contextlib.suppress(HttpError):
        for message in parse_http(HttpParser(responses=responses), pieces(data, sizes)):
            assert len(message.body) <= MAX_BODY_BYTES


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 100 Continue\r\n\r\n" * 1500,
        b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    ],
    ids=["interim", "old and chunked"],
)  # A response without a length is valid: it ends with its connection.
def test_a_response_whose_end_cannot_be_determined_is_an_error(head: bytes) -> None:
    with pytest.raises(HttpError):
        parse_http(HttpParser(responses=True), [head])
