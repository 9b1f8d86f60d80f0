"""HTTP messages that arrive slowly, without a stated length, or after 100 Continue."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sabledyke.net import http_frontend
from sabledyke.protocol.http import HttpError, HttpParser
from tests.standins import read_http, send_request
from tests.support.server_rig import GET, INFO, PUT, Rig, play


def test_a_body_that_arrives_slowly_but_steadily_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(rig: Rig) -> None:
        monkeypatch.setattr(http_frontend, "REQUEST_TIMEOUT_S", 0.2)
        head = PUT.format(1, "slow", INFO + "Idempotency-Key: s\nContent-Length: 8\n").replace("\n", "\r\n")
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        writer.write(head.encode())
        for byte in b"12345678":  # 8 parts over 0.8 s: four times the time-out in all, but never 0.2 s apart
            await asyncio.sleep(0.1)
            writer.write(bytes([byte]))
        first, _, body = await read_http(reader)
        assert first.startswith("HTTP/1.1 200")
        assert body == b"12345678"
        writer.write(head.replace("Req-Id: slow", "Req-Id: stops").encode() + b"1234")
        assert (await reader.read()).startswith(b"HTTP/1.1 408")  # a body that stops times out
        writer.close()

    play(scenario)


@settings(max_examples=40, derandomize=True, deadline=None)
@given(st.binary(max_size=300), st.lists(st.integers(1, 50), max_size=8))
def test_an_answer_without_length_is_complete_only_at_the_end_of_the_stream(
    body: bytes, part_sizes: list[int]
) -> None:
    response = b"HTTP/1.1 200 OK\r\nX: y\r\n\r\n" + body
    parser, offset = HttpParser(responses=True), 0
    for part_size in [*part_sizes, len(response)]:
        parser.feed(response[offset : offset + part_size])
        offset += part_size
        assert parser.next_message() is None  # not complete before the end of the stream
    message = parser.on_end_of_stream()
    assert message is not None
    assert message.body == body
    assert not message.keep_alive
    for truncated in (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1234", b"HTTP/1.1 200 OK\r\nX:"):
        parser_of_truncated = HttpParser(responses=True)
        parser_of_truncated.feed(truncated)
        assert parser_of_truncated.next_message() is None
        with pytest.raises(HttpError):
            parser_of_truncated.on_end_of_stream()


def test_a_close_completes_an_answer_without_length_and_a_reset_does_not() -> None:
    async def scenario(rig: Rig) -> None:
        async def closes(writer: asyncio.StreamWriter) -> bytes | None:
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil the end")
            await writer.drain()
            writer.close()
            return b""

        rig.http.answer = closes
        assert (await send_request(rig.port, GET.format(1, "c", INFO)))[::2] == (200, b"until the end")

        async def resets(writer: asyncio.StreamWriter) -> bytes | None:
            writer.write(b"HTTP/1.1 200 OK\r\n\r\ncut")
            await writer.drain()
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
            return b""

        rig.http.answer = resets
        assert (await send_request(rig.port, GET.format(1, "r", INFO)))[0] in (500, 503)

    play(scenario)


def test_a_client_that_expects_100_continue_gets_it() -> None:
    async def scenario(rig: Rig) -> None:
        head = PUT.format(1, "e", INFO + "Idempotency-Key: e\nExpect: 100-continue\nContent-Length: 5\n")
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        writer.write(head.replace("\n", "\r\n").encode())
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"hello")
        first, _, body = await read_http(reader)
        assert first.startswith("HTTP/1.1 200")
        assert body == b"hello"
        too_large = head.replace("Content-Length: 5", f"Content-Length: {1 << 25}").replace("Id: e", "Id: f")
        writer.write(too_large.replace("\n", "\r\n").encode())
        assert (await reader.read()).startswith(b"HTTP/1.1 413")  # rejected before its body is sent
        writer.close()

    play(scenario)
