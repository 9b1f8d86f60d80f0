"""Parsers under random cuts of valid bytes, and under spoilt bytes: never anything but their own error."""

from __future__ import annotations

import contextlib
import struct
from dataclasses import replace

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sabledyke import operator_config
from sabledyke.core import Answer, Verdict
from sabledyke.protocol import discovery, gateway, nvme
from sabledyke.protocol.http import (
    MAX_BODY_BYTES,
    HttpError,
    HttpMessage,
    HttpParser,
    encode_request,
    encode_response,
)
from sabledyke.protocol.nvme.blocks import Translator
from sabledyke.protocol.request_ids import RequestIds
from tests.helpers import FIXED, SETTINGS, SIZES, pieces, spoilt

REQUESTS = encode_request("PUT", "/api/1/2?x", [("Req-Id", "a"), ("X", "")], b"body") + encode_request(
    "GET", "/api/1/3", [("Req-Id", "b")], b""
)
CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0A\r\n0123456789\r\n"
CHUNKS += b"0\r\nT: v\r\n\r\n"
RESPONSES = b"HTTP/1.1 100 Continue\r\n\r\n" + CHUNKS + encode_response(503, [("Srv-Declined", "1")], b"no")
LIST = orjson.dumps(
    {
        "seq": 4,
        "whole": False,
        "hosts": [
            {
                "host": "s1",
                "dial": "127.0.0.1:80",
                "site": "b",
                "class": "m",
                "block": 3,
                "health": "ready",
                "share": 1,
                "born_ms": 12,
            }
        ],
    }
)
HEADERS = {
    "req-id": "x",
    "req-kind": "read",
    "tier": "free",
    "req-deadline": "0.5",
    "io-info": "units=2,shard=5,hosts=2",
}
JSON = st.recursive(st.none() | st.integers(-9, 9) | st.text(max_size=3), st.lists)
NQN = "nqn.test"
HOST = nvme.HostIdentity(bytes(16), "nqn.host")


def http(parser: HttpParser, parts: list[bytes]) -> list[HttpMessage]:
    out = []
    for part in parts:
        parser.feed(part)
        while (message := parser.next_message()) is not None:
            out.append(message)
    return out


def session() -> bytes:
    """What a host says to set up its admin queue, and then to look at a namespace."""
    machine = nvme.Initiator()
    for command, data in (
        nvme.connect_command(NQN, 0, nvme.DYNAMIC_CONTROLLER_ID, HOST, 0),
        (nvme.property_set_command(nvme.Property.CC, 1), b""),
        (nvme.property_get_command(nvme.Property.CSTS), b""),
        (nvme.Command(nvme.AdminOpcode.IDENTIFY, 0, 1, sgl_length=4096), b""),
        (nvme.Command(nvme.AdminOpcode.KEEP_ALIVE, 0), b""),
    ):
        machine.submit(command, data, in_capsule=bool(data))
        machine._command = None  # only what it sends is wanted
    return bytes(machine.output)


def answers(parts: list[bytes]) -> tuple[nvme.Target, bytes]:
    target = nvme.Target(nvme.Subsystem(NQN, {1: nvme.Namespace(4096)}))
    for part in parts:
        target.feed(part)
    return target, bytes(target.output)


@FIXED
@given(SIZES)
def test_http_messages_are_the_same_in_any_cuts(sizes: list[int]) -> None:
    one, two = http(HttpParser(), pieces(REQUESTS, sizes))
    assert (one.method, one.target, one.body) == ("PUT", "/api/1/2?x", b"body") and one.headers["x"] == ""
    assert (two.method, two.headers["req-id"], two.body) == ("GET", "b", b"")
    one, two = http(HttpParser(responses=True), pieces(RESPONSES, sizes))
    assert (one.status, one.body, two.status, two.body) == (200, b"abc0123456789", 503, b"no")


@FIXED
@given(st.one_of(spoilt(REQUESTS), spoilt(RESPONSES)), SIZES, st.booleans())
def test_spoilt_http_is_an_http_error_or_a_message(data: bytes, sizes: list[int], responses: bool) -> None:
    with contextlib.suppress(HttpError):
        for message in http(HttpParser(responses=responses), pieces(data, sizes)):
            assert len(message.body) <= MAX_BODY_BYTES


@FIXED
@given(st.dictionaries(st.sampled_from([*HEADERS, "x"]), st.text(max_size=12)), st.text(max_size=30))
def test_spoilt_headers_are_an_http_error_or_work(changes: dict[str, str], target: str) -> None:
    reader = gateway.MessageReader(SETTINGS)
    good = reader.read_request(HttpMessage("GET", "/api/00000003b4d60021/7f", headers=HEADERS))
    assert (good.volume, good.key, good.units, good.shard, good.hosts) == (0x3B4D60021, 0x7F, 2, 5, 2)
    assert good.remaining == 500 and not good.write
    with contextlib.suppress(HttpError):
        assert reader.read_request(HttpMessage("PUT", target, headers={**HEADERS, **changes})).remaining > 0
    strange = {"srv-load": target, "volume-load": target, "other-hosts": target}
    assert reader.read_node_response(HttpMessage(status=200, headers=strange)).may_have_run


@pytest.mark.parametrize("text", ["TEXT concurrent=7, mean_ms=66.5", "TEXT inflight=7, latency_ms=66.5"])
def test_a_load_report_is_read_under_the_settings_names_and_the_simulators(text: str) -> None:
    """Guards against reports that are never read: boxes were seen to use either."""
    reader = gateway.MessageReader(replace(SETTINGS, report_fields=("concurrent", "mean_ms")))
    assert reader.read_node_response(HttpMessage(status=200, headers={"srv-load": text})).load == (7.0, 66.5)


@pytest.mark.parametrize("others, units", [("12", 12), (None, 0), *((t, 0) for t in ("-4", "1e300", "nan"))])
def test_figures_no_box_can_mean_are_set_aside(others: str | None, units: int) -> None:
    reader = gateway.MessageReader(replace(SETTINGS, report_fields=("latency_ms",)))
    strange = {} if others is None else {"other-hosts": others, "srv-load": f"TEXT latency_ms={others}"}
    got = reader.read_node_response(HttpMessage(status=200, headers=strange))
    assert got.others_units == units and got.load == ((12.0,) if units else ())


@FIXED
@given(SIZES)
def test_nvme_sessions_are_the_same_in_any_cuts(sizes: list[int]) -> None:
    whole = answers([session()])[1]
    assert answers(pieces(session(), sizes))[1] == whole
    machine = nvme.Initiator()
    machine.submit(*nvme.connect_command(NQN, 0, nvme.DYNAMIC_CONTROLLER_ID, HOST, 0), in_capsule=True)
    got = [d for p in pieces(whole[: 128 + 24], sizes) for d in machine.feed(p)]
    assert [(d.status, d.result) for d, _ in got] == [(nvme.Status.OK, 1)]


@FIXED
@given(spoilt(session()), spoilt(answers([session()])[1]), SIZES)
def test_spoilt_nvme_is_an_nvme_error_or_an_answer(host: bytes, box: bytes, sizes: list[int]) -> None:
    target = nvme.Target(nvme.Subsystem(NQN, {1: nvme.Namespace(4096)}))
    try:
        for part in pieces(host, sizes):
            target.feed(part)
    except nvme.NvmeError:
        assert nvme.PduType.C2H_TERM in target.output
    target.close()
    assert not target.subsystem.controllers
    machine = nvme.Initiator()
    machine.submit(nvme.Command(nvme.AdminOpcode.IDENTIFY, 0, 1, sgl_length=4096))
    with contextlib.suppress(nvme.NvmeError):
        for part in pieces(box, sizes):
            machine.feed(part)


@FIXED
@given(st.one_of(spoilt(LIST), JSON.map(orjson.dumps)))
def test_spoilt_lists_are_a_list_error_or_a_list(data: bytes) -> None:
    settings = replace(SETTINGS, kinds=("m",))
    good = discovery.parse_listing(LIST, settings)
    assert good.addresses == {b"s1": ("127.0.0.1", 80)} and good.update.entries[0].zone == 1
    with contextlib.suppress(discovery.ListError):
        assert discovery.parse_listing(data, settings).update.version is not None


@FIXED
@given(st.binary(max_size=2000), st.integers(0, 7), st.booleans())
def test_an_http_object_comes_back_from_blocks_as_it_was(body: bytes, piece: int, keyed: bool) -> None:
    text = """
[[nvme.volume]]
namespace = 5
volume = "9"
grade = "free"
read_class = "read"
write_class = "write"
blocks = 64
stripe = [0]
"""
    translator = Translator(SETTINGS, NQN, operator_config.read(text, SETTINGS).volumes)
    headers = {**HEADERS, "idempotency-key": "k" * keyed}
    reader = gateway.MessageReader(SETTINGS)
    work = reader.read_request(HttpMessage("PUT", f"/api/9/{piece}", headers=headers, body=body))
    command, data = translator.to_node_command(work)
    assert (
        command.start_block == piece * 8 and bool(command.idempotency_key) is keyed and len(data) % 512 == 0
    )
    read = reader.read_request(HttpMessage("GET", f"/api/9/{piece}", headers=headers))
    stored = data.ljust(translator.to_node_command(read)[0].sgl_length, b"\0")
    assert translator.from_node_completion(read, nvme.Completion(1, 0), stored).body == body
    done, _ = translator.to_completion(command, Answer(Verdict.REFUSED, retry_after=250))
    assert (done.status, done.do_not_retry, nvme.RETRY_DELAYS_MS[done.retry_delay_index - 1]) == (
        nvme.Status.NOT_READY,
        False,
        300,
    )


def test_a_host_with_more_commands_than_its_queue_is_cut_off() -> None:
    target, _ = answers([session()])
    assert target.controller is not None
    target.queue_id = 1
    read = nvme.transfer_command(nvme.IoOpcode.READ, 1, 0, 512)
    for read.command_id in range(1, nvme.QUEUE_ENTRIES + 1):
        assert len(target.feed(nvme.encode_pdu(nvme.PduType.COMMAND, read.pack()))) == 1
    read.command_id = nvme.QUEUE_ENTRIES + 1
    with pytest.raises(nvme.NvmeError, match="more commands"):
        target.feed(nvme.encode_pdu(nvme.PduType.COMMAND, read.pack()))


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 100 Continue\r\n\r\n" * 1500,
        b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    ],
    ids=["interim", "old and chunked"],
)  # one without a length ends with its connection
def test_an_answer_whose_end_cannot_be_told_is_an_error(head: bytes) -> None:
    with pytest.raises(HttpError):
        http(HttpParser(responses=True), [head])


def test_what_follows_a_completion_does_not_spoil_it() -> None:
    machine = nvme.Initiator()
    machine.submit(nvme.Command(nvme.AdminOpcode.KEEP_ALIVE, 0))
    ready, done = (
        nvme.encode_pdu(nvme.PduType.IC_RESP, struct.pack("<HBBI", 0, 0, 0, 4096)),
        nvme.Completion(1, 0),
    )
    whole = nvme.encode_pdu(nvme.PduType.RESPONSE, done.pack(0, 0))
    assert [d.command_id for d, _ in machine.feed(ready + whole)] == [1] and not machine.has_surplus_input
    machine.submit(nvme.Command(nvme.AdminOpcode.KEEP_ALIVE, 0))
    again = nvme.encode_pdu(nvme.PduType.RESPONSE, nvme.Completion(2, 0).pack(0, 0))
    assert [d.command_id for d, _ in machine.feed(again + whole)] == [2] and machine.has_surplus_input


def test_a_client_is_held_to_the_figures_of_the_settings() -> None:
    reader, ids = gateway.MessageReader(SETTINGS), RequestIds(2)
    info = {"io-info": "units=999999,hosts=999999,shard=1", "req-deadline": "999999999"}
    work = reader.read_request(HttpMessage("PUT", "/api/1/2", headers=HEADERS | info))
    assert (work.units, work.hosts) == (SETTINGS.most_units, SETTINGS.hosts)
    assert work.remaining == SETTINGS.classes[0].deadline
    for method, body, status in (("HEAD", b"", 405), ("GET", b"x", 400)):
        with pytest.raises(HttpError) as fault:
            reader.read_request(HttpMessage(method, "/api/1/2", headers=HEADERS, body=body))
        assert fault.value.status == status
    ids.claim(0, work)
    with pytest.raises(HttpError, match="not over"):
        ids.claim(work.remaining - 1, work)
    ids.claim(work.remaining, work)
    for ident in "abc":
        ids.claim(work.remaining, replace(work, ident=ident))
    assert len(ids._expires_ms) == 2
