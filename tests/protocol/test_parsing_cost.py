"""Parsers take time linear in the bytes, and pause so that others have their turn."""

from __future__ import annotations

import struct
import time
from collections.abc import Callable

import pytest

from sabledyke.protocol import nvme
from sabledyke.protocol.http import HttpError, HttpParser
from sabledyke.protocol.http.message import MAX_HEADER_LINES
from sabledyke.protocol.http.parser import MAX_STEPS_PER_CALL
from tests.protocol.support import feed_target, host_session, new_target, parse_http

SMALL, LARGE = 4_000, 32_000  # numbers of units, of which the larger takes 8 times as long if cost is linear
MAX_COST_RATIO = 24.0  # a cost that grows with the square has a ratio of 64
TRIALS = 3
READ_BYTES = 64 * 1024  # size of one read from a connection
REQUEST = b"PUT /api/1/1 HTTP/1.1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
MAX_PDUS_PER_CALL = 64


@pytest.fixture(autouse=True)
def _any_number_of_header_lines(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Lift the limit of header lines, below which the cost of many cannot be seen."""
    if request.node.get_closest_marker("header_limit") is None:
        monkeypatch.setattr("sabledyke.protocol.http.head.MAX_HEADER_LINES", LARGE)


def _parse(data: bytes, read_bytes: int = READ_BYTES, *, responses: bool = False) -> None:
    parser = HttpParser(responses=responses)
    reads = [data[offset : offset + read_bytes] for offset in range(0, len(data), read_bytes)]
    parse_http(parser, reads)


def _chunked_request(count: int) -> None:
    _parse(REQUEST + CHUNKED + b"1\r\nx\r\n" * count + b"0\r\n\r\n")


def _chunked_response(count: int) -> None:
    _parse(b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"1\r\nx\r\n" * (8 * count) + b"0\r\n\r\n", responses=True)


def _chunked_response_in_tiny_reads(count: int) -> None:
    body = b"%x\r\n%s\r\n0\r\n\r\n" % (8 * count, b"x" * (8 * count))
    _parse(b"HTTP/1.1 200 OK\r\n" + CHUNKED + body, read_bytes=8, responses=True)


def _body_in_tiny_reads(count: int) -> None:
    _parse(REQUEST + b"Content-Length: %d\r\n\r\n%s" % (count, b"x" * count), read_bytes=1)


def _head_in_tiny_reads(count: int) -> None:
    _parse(REQUEST + b"X: %s\r\n\r\n" % (b"x" * (count // 3)), read_bytes=1)


def _many_fields(count: int) -> None:
    _parse(REQUEST + b"".join(b"%x:\r\n" % number for number in range(count // 16)) + b"\r\n")


def _one_field_repeated(count: int) -> None:
    _parse(REQUEST + b"a:b\r\n" * (count // 10) + b"\r\n")


def _write_in_tiny_pdus(count: int) -> None:
    target = feed_target([host_session()])
    target.queue_id = 1
    write = nvme.transfer_command(nvme.IoOpcode.WRITE, 1, 0, count // 512 * 512)
    write.sgl_type = 0x5A
    target.feed(nvme.encode_pdu(nvme.PduType.COMMAND, write.pack()))
    tag = struct.unpack_from("<HHIII", target.output, len(target.output) - 16)[1]
    pdus = [
        _data_pdu(0, tag, offset, last=offset + 1 == write.sgl_length) for offset in range(write.sgl_length)
    ]
    received = target.feed(b"".join(pdus))
    while target.paused:
        received += target.feed(b"")
    assert len(received) == 1


def _data_pdu(command_id: int, tag: int, offset: int, *, last: bool) -> bytes:
    header = struct.pack("<HHIII", command_id, tag, offset, 1, 0)
    return nvme.encode_pdu(nvme.PduType.H2C_DATA, header, b"x", 0x04 if last else 0)


COSTS: list[Callable[[int], None]] = [
    _chunked_request,
    _chunked_response,
    _chunked_response_in_tiny_reads,
    _body_in_tiny_reads,
    _head_in_tiny_reads,
    _many_fields,
    _one_field_repeated,
    _write_in_tiny_pdus,
]


def _fastest_s(parse: Callable[[int], None], count: int) -> float:
    durations = []
    for _ in range(TRIALS):
        began_s = time.process_time()
        parse(count)
        durations.append(time.process_time() - began_s)
    return min(durations)


@pytest.mark.parametrize("parse", COSTS)
def test_the_cost_of_parsing_is_linear_in_the_bytes(parse: Callable[[int], None]) -> None:
    """Guards against input in tiny parts whose cost grows with the square of its size."""
    assert _fastest_s(parse, LARGE) < MAX_COST_RATIO * max(_fastest_s(parse, SMALL), 1e-4)


def test_a_chunk_costs_the_same_whatever_part_of_the_body_precedes_it() -> None:
    """Guards against copying the body so far for each chunk."""

    def parse_after(first_bytes: int) -> float:
        first = b"%x\r\n%s\r\n" % (first_bytes, b"x" * first_bytes)
        head = b"HTTP/1.1 200 OK\r\n" + CHUNKED + first
        return _fastest_s(lambda count: _parse(head + b"1\r\nx\r\n" * count, responses=True), LARGE)

    assert parse_after(900_000) < MAX_COST_RATIO / 8 * parse_after(1)


@pytest.mark.parametrize(
    ("data", "responses"),
    [
        (REQUEST + CHUNKED + b"1\r\nx\r\n" * 8000 + b"0\r\n\r\n", False),
        (REQUEST + CHUNKED + b"0\r\n" + b"T:\r\n" * 4000 + b"\r\n", False),
        (REQUEST + b"".join(b"%x:\r\n" % number for number in range(2500)) + b"\r\n", False),
        (b"\r\n" * 4000 + REQUEST + b"\r\n", False),
        (b"HTTP/1.1 100 C\r\n\r\n" * 800 + b"HTTP/1.1 204 N\r\n\r\n", True),
    ],
    ids=["chunks", "trailer lines", "fields", "line ends", "interim responses"],
)
def test_a_parser_pauses_after_a_limited_number_of_lines_and_chunks(data: bytes, *, responses: bool) -> None:
    """Guards against the input of one read that keeps all others waiting."""
    parser = HttpParser(responses=responses)
    parser.feed(data)
    pauses, message = 0, parser.next_message()
    while message is None:
        assert parser.paused
        assert parser.steps <= MAX_STEPS_PER_CALL
        pauses += 1
        message = parser.next_message()
    assert pauses >= 2
    assert parser.idle


def test_line_ends_without_a_request_are_limited() -> None:
    """Guards against a connection that occupies the program with line ends alone."""
    with pytest.raises(HttpError, match="head too large"):
        parse_http(HttpParser(), [b"\r\n" * 200] * 100)


@pytest.mark.header_limit
@pytest.mark.parametrize("responses", [False, True])
def test_the_lines_of_a_head_are_limited(*, responses: bool) -> None:
    """Guards against heads of very many short fields, each of which costs much more time than its bytes."""
    head = b"HTTP/1.1 200 OK\r\n" if responses else REQUEST
    (message,) = parse_http(
        HttpParser(responses=responses),
        [head + b"a:\r\n" * (MAX_HEADER_LINES - 1) + b"Content-Length: 0\r\n\r\n"],
    )
    assert message.headers["content-length"] == "0"
    with pytest.raises(HttpError, match="too many header lines") as error:
        parse_http(HttpParser(responses=responses), [head + b"a:\r\n" * (MAX_HEADER_LINES + 1)])
    assert error.value.status == 431


def test_the_headers_that_are_not_kept_take_no_memory() -> None:
    """Guards against heads of very many short fields, whose objects take many times their bytes."""
    parser = HttpParser(header_names=frozenset({"req-id"}))
    head = REQUEST + b"Req-Id: a\r\n" + b"".join(b"%x:\r\n" % number for number in range(2000))
    (message,) = parse_http(parser, [head + b"Content-Length: 0\r\n\r\n"])
    assert message.headers == {"req-id": "a", "content-length": "0"}
    with pytest.raises(HttpError, match="malformed header line"):
        parse_http(HttpParser(header_names=frozenset()), [REQUEST + b"no colon\r\n\r\n"])


def test_an_nvme_connection_pauses_after_a_limited_number_of_pdus() -> None:
    target = new_target()
    keep_alive = nvme.Command(nvme.AdminOpcode.KEEP_ALIVE, 0)
    count = 3 * MAX_PDUS_PER_CALL
    pdus = nvme.encode_pdu(nvme.PduType.COMMAND, keep_alive.pack()) * count
    target.feed(nvme.encode_pdu(nvme.PduType.IC_REQ, b"") + pdus)
    calls = 1
    while target.paused:
        target.feed(b"")
        calls += 1
    assert target.pdus_received == count + 1
    assert calls > count // MAX_PDUS_PER_CALL


def test_a_controller_cannot_request_the_data_of_a_write_again() -> None:
    """Guards against a node whose requests for the same data make this program buffer it many times."""
    initiator = nvme.Initiator()
    initiator.feed(nvme.encode_pdu(nvme.PduType.IC_RESP, struct.pack("<HBBI", 0, 0, 0, 4096)))
    write = nvme.transfer_command(nvme.IoOpcode.WRITE, 1, 0, 4096)
    initiator.submit(write, b"x" * 4096)
    request = nvme.encode_pdu(nvme.PduType.R2T, struct.pack("<HHIII", write.command_id, 1, 0, 4096, 0))
    initiator.feed(request)
    with pytest.raises(nvme.NvmeError, match="again"):
        initiator.feed(request)
    assert len(initiator.output) < 3 * 4096
