"""Tests of both sides of an NVMe connection with valid bytes in random chunks, and with damaged bytes."""

from __future__ import annotations

import contextlib
import struct

import pytest
from hypothesis import given

from sabledyke.protocol import nvme
from tests.protocol.support import HOST, NQN, feed_target, host_session, new_target
from tests.support.generated_bytes import FIXED, SIZES, damaged, pieces

HOST_BYTES = host_session()
TARGET_BYTES = bytes(feed_target([HOST_BYTES]).output)
CONNECT_RESPONSE_BYTES = 128 + 24  # an ICResp PDU and a response PDU


@FIXED
@given(SIZES)
def test_nvme_sessions_are_the_same_in_any_chunks(sizes: list[int]) -> None:
    assert feed_target(pieces(HOST_BYTES, sizes)).output == TARGET_BYTES
    initiator = nvme.Initiator()
    connect = nvme.connect_command(NQN, 0, nvme.DYNAMIC_CONTROLLER_ID, HOST, 0)
    initiator.submit(*connect, in_capsule=True)
    responses = []
    for chunk in pieces(TARGET_BYTES[:CONNECT_RESPONSE_BYTES], sizes):
        responses += initiator.feed(chunk)
    assert [(done.status, done.result) for done, _ in responses] == [(nvme.Status.OK, 1)]


@FIXED
@given(damaged(HOST_BYTES), damaged(TARGET_BYTES), SIZES)
def test_damaged_nvme_bytes_raise_an_nvme_error_or_get_a_response(
    host_bytes: bytes, target_bytes: bytes, sizes: list[int]
) -> None:
    target = new_target()
    try:
        for chunk in pieces(host_bytes, sizes):
            target.feed(chunk)
    except nvme.NvmeError:
        target.terminate()
        assert nvme.PduType.C2H_TERM in target.output
    target.close()
    assert not target.subsystem.controllers
    initiator = nvme.Initiator()
    initiator.submit(nvme.Command(nvme.AdminOpcode.IDENTIFY, 0, 1, sgl_length=4096))
    with contextlib.suppress(nvme.NvmeError):
        for chunk in pieces(target_bytes, sizes):
            initiator.feed(chunk)


def test_more_commands_than_the_queue_has_entries_are_an_error() -> None:
    target = feed_target([HOST_BYTES])
    assert target.controller is not None
    target.queue_id = 1
    read = nvme.transfer_command(nvme.IoOpcode.READ, 1, 0, 512)
    for command_id in range(1, nvme.QUEUE_ENTRIES + 1):
        read.command_id = command_id
        assert len(target.feed(nvme.encode_pdu(nvme.PduType.COMMAND, read.pack()))) == 1
    read.command_id = nvme.QUEUE_ENTRIES + 1
    with pytest.raises(nvme.NvmeError, match="more commands"):
        target.feed(nvme.encode_pdu(nvme.PduType.COMMAND, read.pack()))


def test_bytes_after_a_completion_do_not_discard_it() -> None:
    initiator = nvme.Initiator()
    initiator.submit(nvme.Command(nvme.AdminOpcode.KEEP_ALIVE, 0))
    initialized = nvme.encode_pdu(nvme.PduType.IC_RESP, struct.pack("<HBBI", 0, 0, 0, 4096))
    first = nvme.encode_pdu(nvme.PduType.RESPONSE, nvme.Completion(1, 0).pack(0, 0))
    assert [done.command_id for done, _ in initiator.feed(initialized + first)] == [1]
    assert not initiator.has_surplus_input
    initiator.submit(nvme.Command(nvme.AdminOpcode.KEEP_ALIVE, 0))
    second = nvme.encode_pdu(nvme.PduType.RESPONSE, nvme.Completion(2, 0).pack(0, 0))
    assert [done.command_id for done, _ in initiator.feed(second + first)] == [2]
    assert initiator.has_surplus_input
