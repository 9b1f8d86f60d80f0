"""NVMe/TCP without sockets: hex dumps of each PDU that the program's initiator and target send."""

from __future__ import annotations

import struct
from collections.abc import Callable
from functools import partial

import pytest

from tests.standins import pdu
from tests.transcripts.nvme_names import InitiatorMachine, ProtocolError, TargetMachine
from tests.transcripts.support import check_approved

COLUMNS = 32
IC_REQ = pdu(0, b"")
READ_BLOCK = struct.pack("<BBHIQQQI3xB6I", 2, 0x40, 1, 1, 0, 0, 0, 512, 0x5A, 0, 0, 0, 0, 0, 0)


def hex_dump(data: bytes) -> str:
    """Return a hex dump with offsets, where a star replaces repetitions of the line before."""
    lines: list[str] = []
    before = b""
    for at in range(0, len(data), COLUMNS):
        part = data[at : at + COLUMNS]
        if part != before:
            lines.append(f"{at:04x}  {part.hex(' ')}")
        elif lines[-1] != "*":
            lines.append("*")
        before = part
    return "\n".join([*lines, f"{len(data):04x}"]) + "\n"


class Conversation:
    """An exchange between the program's initiator and target, with a transcript of their bytes."""

    def __init__(self, initiator: InitiatorMachine, target: TargetMachine) -> None:
        self.initiator, self.target, self.text = initiator, target, ""

    def record(self, title: str, data: bytes) -> bytes:
        """Add bytes to the transcript, and return them."""
        self.text += f"== {title}\n{hex_dump(data)}"
        return data

    def send(self, title: str, sent: bytes) -> None:
        """Pass bytes of the initiator to the target, and the target's answer back."""
        self.respond(title, self.target.receive(self.record(f"host: {title}", sent)))

    def respond(self, title: str, sent: bytes) -> None:
        """Pass bytes of the target to the initiator, and any further bytes of the initiator to the target."""
        for status, dnr, delay, result, data in self.initiator.receive(self.record(f"target: {title}", sent)):
            self.text += f"-- completion: status {status:#05x}, DNR {dnr}, CRD {delay}, result {result:#x}, "
            self.text += f"{len(data)} bytes\n"
        if more := self.initiator.take_output():
            self.send(f"{title}, continued", more)


def admin_session() -> Conversation:
    """Set up an admin queue as the program does with storage nodes."""
    conversation = Conversation(InitiatorMachine(), TargetMachine())
    host = conversation.initiator
    conversation.send("ICReq", host.take_output())
    conversation.send("Connect of the admin queue", host.connect(0))
    conversation.send("Property Get CAP", host.read_property(0x00))
    conversation.send("Property Get VS", host.read_property(0x08))
    conversation.send("Identify before the controller is enabled", host.admin(0x06, 0, 4096, 1))
    conversation.send("Property Set CC", host.write_property(0x14, 0x460001))
    conversation.send("Property Set of what cannot be set", host.write_property(0x1C, 1))
    conversation.send("Property Get CC", host.read_property(0x14))
    conversation.send("Property Get CSTS", host.read_property(0x1C))
    conversation.send("Set Features, number of queues", host.admin(0x09, 0, 0, 7, 0x000F000F))
    return conversation


def test_the_admin_queue_has_the_approved_bytes() -> None:
    conversation = admin_session()
    host = conversation.initiator
    conversation.send("Identify controller", host.admin(0x06, 0, 4096, 1))
    conversation.send("Identify namespace 1", host.admin(0x06, 1, 4096, 0))
    conversation.send("Identify namespace 7", host.admin(0x06, 7, 4096, 0))
    conversation.send("Identify active namespaces", host.admin(0x06, 0, 4096, 2))
    conversation.send("Identify namespace descriptors", host.admin(0x06, 7, 4096, 3))
    conversation.send("Identify of an unknown namespace", host.admin(0x06, 99, 4096, 0))
    conversation.send("Identify of an unknown structure", host.admin(0x06, 1, 4096, 0x1C))
    conversation.send("Keep Alive", host.admin(0x18))
    conversation.send("Get Log Page, not supported", host.admin(0x02))
    conversation.send("Set Features, not supported", host.admin(0x09, 0, 0, 6))
    conversation.send("Connect once more", host.connect(0))
    conversation.send("Property Set CC, shutdown", host.write_property(0x14, 0x464001))
    conversation.send("Property Get CSTS after shutdown", host.read_property(0x1C))
    check_approved("nvme-admin.hex", conversation.text)


def io_session() -> Conversation:
    """Connect an I/O queue of an enabled controller."""
    target = TargetMachine(admin_session().target.subsystem)
    conversation = Conversation(InitiatorMachine(), target)
    conversation.send("ICReq", conversation.initiator.take_output())
    conversation.send("Connect of I/O queue 1", conversation.initiator.connect(1, 1))
    return conversation


def test_an_io_queue_has_the_approved_bytes() -> None:
    conversation = io_session()
    host, target = conversation.initiator, conversation.target

    def command(title: str, sent: bytes, answer: Callable[[int], bytes]) -> None:
        conversation.send(title, sent)
        (cid, payload) = target.pending.pop()
        conversation.text += f"-- given out: {len(payload)} bytes written\n"
        conversation.respond(title, answer(cid))

    block = b"a block".ljust(512, b".")
    command("read", host.read(1, 16, 512), lambda cid: target.complete(cid, block))
    command("read past 32 bits", host.read(7, 0x1_2345_6789, 512), lambda cid: target.complete(cid, block))
    command("write by R2T", host.write(1, 16, block * 2, 0x1122334455667788), target.complete)
    command("write in its capsule", host.write(1, 17, block, 0x99, in_capsule=True), target.complete)
    for delay in (1, 2, 3):
        command(f"rejected with CRD {delay}", host.read(1, 0, 512), partial(target.reject, delay=delay))
    command("write rejected", host.write(1, 0, block, 5), lambda cid: target.reject(cid, 1))
    command("failed", host.read(1, 0, 512), target.fail)
    conversation.send("Flush", host.admin(0x00, 1))
    conversation.send("Flush of all namespaces", host.admin(0x00, 0xFFFFFFFF))
    conversation.send("unknown opcode", host.admin(0x08, 1))
    conversation.send("read of an unknown namespace", host.read(9, 0, 512))
    conversation.send("read past the end", host.read(1, 4095, 1024))
    conversation.send("read across a boundary", host.read(1, 120, 16 * 512))
    check_approved("nvme-io.hex", conversation.text)


def test_a_connect_that_is_refused_has_the_approved_bytes() -> None:
    subsystem = admin_session().target.subsystem
    text = ""
    for title, queue, controller in (
        ("unknown controller", 1, 9),
        ("queue past the last", 17, 1),
        ("id", 0, 1),
    ):
        conversation = Conversation(InitiatorMachine(), TargetMachine(subsystem))
        conversation.send("ICReq", conversation.initiator.take_output())
        conversation.text = f"#### {title}\n"
        conversation.send("Connect", conversation.initiator.connect(queue, controller))
        text += conversation.text
    check_approved("nvme-connect-refused.hex", text)


def test_the_initiator_sends_no_more_data_in_a_pdu_than_a_node_allows() -> None:
    host = InitiatorMachine()
    conversation = Conversation(host, TargetMachine())
    host.take_output()
    host.receive(pdu(1, struct.pack("<HBBI", 0, 0, 0, 4096)))
    conversation.record(
        "host: write",
        host.write(1, 0, b"".join((b"%04d" % number).ljust(512, b".") for number in range(20)), 3),
    )
    for offset, length in ((0, 6144), (6144, 4096)):
        host.receive(conversation.record("node: R2T", pdu(9, struct.pack("<HHII", 1, 5, offset, length))))
        conversation.record("host: H2CData", host.take_output())
    check_approved("nvme-h2c-data.hex", conversation.text)


def test_the_initiator_accepts_data_that_completes_its_command() -> None:
    host = InitiatorMachine()
    host.receive(pdu(1, struct.pack("<HBBI", 0, 0, 0, 4096)))
    host.read(1, 0, 512)
    data = pdu(7, struct.pack("<HHIII", 1, 0, 0, 512, 0), bytes(512), 0x0C)
    assert host.receive(data) == [(0, False, 0, 0, bytes(512))]
    with pytest.raises(ProtocolError):
        host.receive(data)


# Pairs of the bytes that precede invalid bytes, and the invalid bytes, which end the connection.
BAD_BYTES: dict[str, tuple[bytes, bytes]] = {
    "unknown type": (b"", bytes([77]) * 200),
    "wrong header length": (b"", b"\x00\x00\x7f\x00\x80\x00\x00\x00" + bytes(120)),
    "digests": (IC_REQ, pdu(4, READ_BLOCK, flags=1)),
    "data too large": (IC_REQ, struct.pack("<BBBBI", 4, 0, 72, 72, 1 << 30)),
    "command before ICReq": (b"", pdu(4, READ_BLOCK)),
    "second ICReq": (IC_REQ, IC_REQ),
    "unsupported version": (b"", pdu(0, b"\x01\x00")),
    "PDU of the wrong direction": (IC_REQ, pdu(9, bytes(16))),
    "data not asked for": (IC_REQ, pdu(6, struct.pack("<HHII", 1, 1, 0, 4), b"data", 4)),
    "H2CTermReq": (IC_REQ, pdu(2, bytes(6))),
}


def test_bad_bytes_get_the_approved_c2h_term_request() -> None:
    text = ""
    for title, (before, bad) in BAD_BYTES.items():
        target = TargetMachine()
        target.receive(before)
        text += f"#### {title}\n{hex_dump(bad)}== target\n{hex_dump(target.receive(bad))}"
    check_approved("nvme-c2h-term.hex", text)


def test_data_out_of_range_gets_the_approved_c2h_term_request() -> None:
    text = ""
    headers = {
        "offset": (2, 1, 4, 512),
        "tag": (2, 9, 0, 512),
        "length": (2, 1, 0, 8),
        "not the last": (2, 1, 0, 512),
    }
    for title, header in headers.items():
        conversation = io_session()
        conversation.target.receive(conversation.initiator.write(1, 0, bytes(512), 3))
        bad = pdu(6, struct.pack("<HHII", *header), bytes(512), 0 if title == "not the last" else 4)
        text += f"#### {title}\n{hex_dump(conversation.target.receive(bad))}"
    check_approved("nvme-data-out-of-range.hex", text)


def test_a_command_before_connect_gets_the_approved_completion() -> None:
    target = TargetMachine()
    target.receive(IC_REQ)
    check_approved("nvme-before-connect.hex", hex_dump(target.receive(pdu(4, READ_BLOCK))))
