"""Answers over 64 KiB are passed on while they arrive, and never completed if their node breaks them off."""

from __future__ import annotations

import asyncio
import socket
import ssl
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from sabledyke.errors import AnswerBrokenError
from sabledyke.net.fair_queue import FairQueue
from sabledyke.net.http_body_stream import HttpBodyStream
from sabledyke.net.memory_budget import MemoryBudget, MemoryUse
from sabledyke.protocol.http import HttpParser
from tests.standins import Reader, Writer, read_http
from tests.standins.tls import TlsNode
from tests.support.server_rig import GET, INFO, Rig, play
from tests.tls.tls_server_rig import NODE_CONTEXT, TlsServerRig, client_context, run_scenario

BODY = bytes(range(256)) * 1024  # 256 KiB
PART_BYTES = 8 * 1024
DEADLINE_S = 1.0  # of the reads of these tests
LATE_S = 0.5  # time after the deadline from which an answer counts as lost
FIRST_BYTES_S = 0.9  # the objective of the class of these reads, after which an attempt ends
READ = GET.format(1, "{}", INFO).replace("\n", "\r\n")
FRAMINGS = ("length", "chunked", "connection")
MAX_HELD_BYTES = 512 * 1024  # in this process: two reads, and what Tornado's stream holds
CHUNK_BYTES = 0x4000


def _frame(framing: str, part: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(part), part) if framing == "chunked" else part


def _head(framing: str) -> bytes:
    fields = {"length": b"Content-Length: %d\r\n" % len(BODY), "chunked": b"Transfer-Encoding: chunked\r\n"}
    return b"HTTP/1.1 200 OK\r\n" + fields.get(framing, b"") + b"\r\n"


def _node(
    framing: str, pause_s: float = 0.0, break_after: int | None = None
) -> Callable[[Writer], Awaitable[bytes | None]]:
    """Return the answer of a node that writes ``BODY`` in parts, and may reset within it."""

    async def answer(writer: Writer) -> bytes | None:
        writer.write(_head(framing))
        for offset in range(0, len(BODY), PART_BYTES):
            if break_after is not None and offset >= break_after:
                await writer.drain()
                await asyncio.sleep(0.05)
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
                return None
            writer.write(_frame(framing, BODY[offset : offset + PART_BYTES]))
            await writer.drain()
            await asyncio.sleep(pause_s)
        if framing == "chunked":
            return b"0\r\n\r\n"
        return b"" if framing == "length" else None

    return answer


async def _read_body(reader: Reader, head: bytes) -> bytes:
    """Return the body of a response in any framing.

    Raises:
        IncompleteReadError: The connection ended within the body.
        ConnectionResetError: The connection was reset within the body.
    """
    if b"Content-Length" in head:
        return await reader.readexactly(int(head.partition(b"Content-Length: ")[2].split()[0]))
    if b"chunked" not in head:
        return await reader.read()
    body = b""
    while size := int((await reader.readuntil(b"\r\n")), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


async def _ask(reader: Reader, writer: Writer, ident: str, version: str = "1.1") -> bytes:
    """Send a read, and return the head of its response."""
    writer.write(READ.replace("{}", ident).replace("HTTP/1.1", f"HTTP/{version}").encode())
    return await reader.readuntil(b"\r\n\r\n")


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_long_answer_that_takes_longer_than_the_objective_is_served_whole(
    framing: str, version: str
) -> None:
    """Guards against cutting off a long answer that its node is still giving."""

    async def scenario(rig: Rig) -> None:
        rig.http.answer = _node(framing, pause_s=0.06)  # 2 s in all, the first half within the objective
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        began_s = asyncio.get_running_loop().time()
        head = await _ask(reader, writer, "slow", version)
        assert head.startswith(b"HTTP/1.1 200")
        assert asyncio.get_running_loop().time() - began_s < FIRST_BYTES_S
        assert await _read_body(reader, head) == BODY
        assert asyncio.get_running_loop().time() - began_s > FIRST_BYTES_S
        writer.close()

    play(scenario)


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_long_answer_that_its_node_breaks_off_is_not_completed(framing: str, version: str) -> None:
    """Guards against a client that takes a part of a long answer for the whole."""

    async def scenario(rig: Rig) -> None:
        rig.http.answer = _node(framing, break_after=len(BODY) // 2)
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        head = await _ask(reader, writer, "broken", version)
        assert head.startswith(b"HTTP/1.1 200")
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
            await _read_body(reader, head)
        writer.close()
        rig.http.answer = None
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        assert (await _ask(reader, writer, "next")).startswith(b"HTTP/1.1 200")
        writer.close()
        assert rig.server.pool.open_connections <= 1

    play(scenario)


def test_an_answer_that_never_ends_is_broken_off_at_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("sabledyke.net.http_link.MAX_STREAMED_BODY_BYTES", 1 << 20)

    async def never_ends(writer: Writer) -> bytes | None:
        writer.write(_head("chunked"))
        while not writer.transport.is_closing():
            writer.write(_frame("chunked", b"x" * CHUNK_BYTES))
            await writer.drain()
        return None

    async def scenario(rig: Rig) -> None:
        rig.http.answer = never_ends
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        head = await _ask(reader, writer, "endless")
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
            await _read_body(reader, head)
        writer.close()
        assert not rig.server.core.unanswered

    play(scenario)


def test_a_node_that_stops_within_a_long_answer_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("sabledyke.net.http_body_stream.STALL_TIMEOUT_S", 0.2)

    async def stops(writer: Writer) -> bytes | None:
        writer.write(_head("length") + BODY[:PART_BYTES])
        await asyncio.sleep(20)
        return None

    async def scenario(rig: Rig) -> None:
        rig.http.answer = stops
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        head = await _ask(reader, writer, "stops")
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
            await _read_body(reader, head)
        writer.close()

    play(scenario)


def test_a_client_that_reads_slowly_slows_the_node_down() -> None:
    """Guards against a long answer that is held in memory for a client that does not read it."""

    async def scenario(rig: Rig) -> None:
        written_bytes = 0

        async def endless(writer: Writer) -> bytes | None:
            nonlocal written_bytes
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n")
            while written_bytes < 30_000_000:
                writer.write(b"x" * CHUNK_BYTES)
                await writer.drain()
                written_bytes += CHUNK_BYTES
            return None

        rig.http.answer = endless
        budget = rig.server.assembly.memory_budget
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port, limit=CHUNK_BYTES)
        await _ask(reader, writer, "unread")
        highest_bytes = 0
        for _ in range(20):
            await asyncio.sleep(0.05)
            highest_bytes = max(highest_bytes, budget.used_bytes)
        assert highest_bytes < MAX_HELD_BYTES
        assert written_bytes < 30_000_000  # the rest waits at the node
        writer.transport.abort()
        while rig.server.pool.open_connections:  # the client's end closes the connection to the node
            await asyncio.sleep(0.01)

    play(scenario)


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_connections_are_used_again_after_long_answers(framing: str) -> None:
    async def scenario(rig: Rig) -> None:
        rig.http.answer = _node(framing)
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        for number in range(4):
            head = await _ask(reader, writer, f"i{number}")
            assert await _read_body(reader, head) == BODY
        assert rig.server.pool.open_connections == 1
        rig.http.answer = None
        writer.write(READ.replace("{}", "short").encode())
        assert (await read_http(reader))[0].startswith("HTTP/1.1 200")
        writer.close()

    play(scenario)


def test_a_long_answer_to_an_nvme_host_is_a_failure() -> None:
    """Guards against a connection to a node that is kept for an answer that nobody reads."""

    async def scenario(rig: Rig) -> None:
        rig.http.answer = _node("length")
        host = await rig.host()
        status, data = await host.read(1, 0, 8)
        assert status != 0
        assert not data
        while rig.server.pool.open_connections:
            await asyncio.sleep(0.01)
        host.io[1].close()
        host.admin_queue[1].close()

    play(scenario)


def test_long_answers_that_are_read_slowly_leave_connections_for_other_requests() -> None:
    """Guards against slow readers of long answers that hold all connections to the nodes."""

    async def scenario(rig: Rig) -> None:
        rig.http.answer = _node("length", pause_s=0.5)
        rig.server.pool.max_connections = 4
        slow = [await asyncio.open_connection("127.0.0.1", rig.port) for _ in range(6)]
        statuses = []
        for number, (reader, writer) in enumerate(slow):
            statuses.append((await _ask(reader, writer, f"slow{number}")).split()[1])
        assert statuses == [b"200", b"200", b"503", b"503", b"503", b"503"]
        rig.http.answer = None
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        assert (await _ask(reader, writer, "short")).startswith(b"HTTP/1.1 200")
        for _, open_writer in (*slow, (reader, writer)):
            open_writer.transport.abort()

    play(scenario)


def test_a_body_that_was_closed_is_not_read_to_an_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against completing an answer that was held until it was closed for not being read."""

    async def run() -> None:
        monkeypatch.setattr("sabledyke.net.http_body_stream.UNUSED_TIMEOUT_S", 0.01)
        parser = HttpParser(responses=True)
        parser.feed(_head("length") + BODY[:PART_BYTES])
        assert parser.next_message() is None

        async def never() -> bytes:
            raise AssertionError("a closed body is not received")

        use = MemoryUse(MemoryBudget(1))
        body = HttpBodyStream(parser, never, FairQueue(), use, lambda: False)
        await asyncio.sleep(0.05)
        with pytest.raises(AnswerBrokenError):
            await body.read()

    asyncio.run(run())


def test_a_long_answer_that_breaks_off_ends_without_the_alert_for_a_client_with_tls(tmp_path: Path) -> None:
    """Guards against telling a client with TLS that the part of an answer is the whole."""

    class BreakingNode(TlsNode):
        async def serve_connection(self, reader: Reader, writer: Writer) -> None:
            await read_http(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + BODY[: len(BODY) // 2])
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.transport.abort()

    async def scenario(rig: TlsServerRig) -> None:
        context = client_context(tmp_path)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", rig.server.listeners[0].port, ssl=context, server_hostname="scheduler"
        )
        head = await _ask(reader, writer, "broken", "1.0")
        assert head.startswith(b"HTTP/1.1 200")
        with pytest.raises((ssl.SSLError, ConnectionResetError)):
            await _read_body(reader, head)
        writer.transport.abort()

    run_scenario(tmp_path, BreakingNode(NODE_CONTEXT), scenario, tls_frontends=("HTTP",))


@pytest.mark.parametrize("framing", ["chunked", "connection"])
def test_a_short_answer_without_a_length_that_never_ends_is_broken_off(framing: str) -> None:
    """Guards against a client that waits for the end of an answer long after its deadline."""

    async def stops(writer: Writer) -> bytes | None:
        writer.write(_head(framing) + _frame(framing, b"part"))
        await asyncio.sleep(20)
        return None

    async def scenario(rig: Rig) -> None:
        rig.http.answer = stops
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        began_s = asyncio.get_running_loop().time()
        head = await _ask(reader, writer, "stops")
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
            await _read_body(reader, head)
        assert asyncio.get_running_loop().time() - began_s < DEADLINE_S + LATE_S
        writer.close()

    play(scenario)


@pytest.mark.parametrize("size_bytes", [len(BODY) // 8, len(BODY)])
def test_an_answer_with_a_length_is_given_up_at_the_objective_if_it_is_short(size_bytes: int) -> None:
    async def late(writer: Writer) -> bytes | None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size_bytes)
        await writer.drain()
        await asyncio.sleep(FIRST_BYTES_S + 0.3)
        return BODY[:size_bytes]

    async def scenario(rig: Rig) -> None:
        rig.http.answer = late
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        head = await _ask(reader, writer, "late")
        if size_bytes == len(BODY):
            assert await _read_body(reader, head) == BODY
        else:
            assert head.startswith(b"HTTP/1.1 503")
        writer.close()

    play(scenario)
