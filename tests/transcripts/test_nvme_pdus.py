"""NVMe/TCP without sockets: the hex of each PDU that either side of the program sends."""

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


def hexadecimal(data: bytes) -> str:
    """Offsets and bytes; a star stands for lines like the one before, as other hex dumps have it."""
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
    """Both machines of the program talk to each other, and what they send is kept."""

    def __init__(self, initiator: InitiatorMachine, target: TargetMachine) -> None:
        self.initiator, self.target, self.text = initiator, target, ""

    def note(self, title: str, data: bytes) -> bytes:
        """Keep some bytes in the transcript."""
        self.text += f"== {title}\n{hexadecimal(data)}"
        return data

    def say(self, title: str, sent: bytes) -> None:
        """The initiator's bytes go to the target, and the target's answer back."""
        self.answer(title, self.target.receive(self.note(f"host: {title}", sent)))

    def answer(self, title: str, sent: bytes) -> None:
        """The target's bytes go to the initiator, which may have more to send."""
        for status, dnr, delay, result, data in self.initiator.receive(self.note(f"target: {title}", sent)):
            self.text += f"-- completion: status {status:#05x}, DNR {dnr}, CRD {delay}, result {result:#x}, "
            self.text += f"{len(data)} bytes\n"
        if more := self.initiator.sent():
            self.say(f"{title}, continued", more)


def admin_session() -> Conversation:
    """An admin queue, set up as the program does with storage nodes."""
    talk = Conversation(InitiatorMachine(), TargetMachine())
    host = talk.initiator
    talk.say("ICReq", host.sent())
    talk.say("Connect of the admin queue", host.connect(0))
    talk.say("Property Get CAP", host.read_property(0x00))
    talk.say("Property Get VS", host.read_property(0x08))
    talk.say("Identify before the controller is enabled", host.admin(0x06, 0, 4096, 1))
    talk.say("Property Set CC", host.write_property(0x14, 0x460001))
    talk.say("Property Set of what cannot be set", host.write_property(0x1C, 1))
    talk.say("Property Get CC", host.read_property(0x14))
    talk.say("Property Get CSTS", host.read_property(0x1C))
    talk.say("Set Features, number of queues", host.admin(0x09, 0, 0, 7, 0x000F000F))
    return talk


def test_the_admin_queue_has_the_approved_bytes() -> None:
    talk = admin_session()
    host = talk.initiator
    talk.say("Identify controller", host.admin(0x06, 0, 4096, 1))
    talk.say("Identify namespace 1", host.admin(0x06, 1, 4096, 0))
    talk.say("Identify namespace 7", host.admin(0x06, 7, 4096, 0))
    talk.say("Identify active namespaces", host.admin(0x06, 0, 4096, 2))
    talk.say("Identify namespace descriptors", host.admin(0x06, 7, 4096, 3))
    talk.say("Identify of an unknown namespace", host.admin(0x06, 99, 4096, 0))
    talk.say("Identify of an unknown structure", host.admin(0x06, 1, 4096, 0x1C))
    talk.say("Keep Alive", host.admin(0x18))
    talk.say("Get Log Page, not supported", host.admin(0x02))
    talk.say("Set Features, not supported", host.admin(0x09, 0, 0, 6))
    talk.say("Connect once more", host.connect(0))
    talk.say("Property Set CC, shutdown", host.write_property(0x14, 0x464001))
    talk.say("Property Get CSTS after shutdown", host.read_property(0x1C))
    check_approved("nvme-admin.hex", talk.text)


def io_session() -> Conversation:
    """An I/O queue of a controller that is enabled."""
    target = TargetMachine(admin_session().target.subsystem)
    talk = Conversation(InitiatorMachine(), target)
    talk.say("ICReq", talk.initiator.sent())
    talk.say("Connect of I/O queue 1", talk.initiator.connect(1, 1))
    return talk


def test_an_io_queue_has_the_approved_bytes() -> None:
    talk = io_session()
    host, target = talk.initiator, talk.target

    def command(title: str, sent: bytes, answer: Callable[[int], bytes]) -> None:
        talk.say(title, sent)
        (cid, payload) = target.waiting.pop()
        talk.text += f"-- given out: {len(payload)} bytes written\n"
        talk.answer(title, answer(cid))

    block = b"a block".ljust(512, b".")
    command("read", host.read(1, 16, 512), lambda cid: target.served(cid, block))
    command("read past 32 bits", host.read(7, 0x1_2345_6789, 512), lambda cid: target.served(cid, block))
    command("write by R2T", host.write(1, 16, block * 2, 0x1122334455667788), target.served)
    command("write in its capsule", host.write(1, 17, block, 0x99, inside=True), target.served)
    for delay in (1, 2, 3):
        command(f"rejected with CRD {delay}", host.read(1, 0, 512), partial(target.rejected, delay=delay))
    command("write rejected", host.write(1, 0, block, 5), lambda cid: target.rejected(cid, 1))
    command("failed", host.read(1, 0, 512), target.failed)
    talk.say("Flush", host.admin(0x00, 1))
    talk.say("Flush of all namespaces", host.admin(0x00, 0xFFFFFFFF))
    talk.say("unknown opcode", host.admin(0x08, 1))
    talk.say("read of an unknown namespace", host.read(9, 0, 512))
    talk.say("read past the end", host.read(1, 4095, 1024))
    talk.say("read across a boundary", host.read(1, 120, 16 * 512))
    check_approved("nvme-io.hex", talk.text)


def test_a_connect_that_is_refused_has_the_approved_bytes() -> None:
    subsystem = admin_session().target.subsystem
    text = ""
    for title, queue, controller in (
        ("unknown controller", 1, 9),
        ("queue past the last", 17, 1),
        ("id", 0, 1),
    ):
        talk = Conversation(InitiatorMachine(), TargetMachine(subsystem))
        talk.say("ICReq", talk.initiator.sent())
        talk.text = f"#### {title}\n"
        talk.say("Connect", talk.initiator.connect(queue, controller))
        text += talk.text
    check_approved("nvme-connect-refused.hex", text)


def test_the_initiator_sends_no_more_data_in_a_pdu_than_a_node_allows() -> None:
    host = InitiatorMachine()
    talk = Conversation(host, TargetMachine())
    host.sent()
    host.receive(pdu(1, struct.pack("<HBBI", 0, 0, 0, 4096)))
    talk.note(
        "host: write",
        host.write(1, 0, b"".join((b"%04d" % number).ljust(512, b".") for number in range(20)), 3),
    )
    for offset, length in ((0, 6144), (6144, 4096)):
        host.receive(talk.note("node: R2T", pdu(9, struct.pack("<HHII", 1, 5, offset, length))))
        talk.note("host: H2CData", host.sent())
    check_approved("nvme-h2c-data.hex", talk.text)


def test_the_initiator_takes_data_that_completes_its_command() -> None:
    host = InitiatorMachine()
    host.receive(pdu(1, struct.pack("<HBBI", 0, 0, 0, 4096)))
    host.read(1, 0, 512)
    data = pdu(7, struct.pack("<HHIII", 1, 0, 0, 512, 0), bytes(512), 0x0C)
    assert host.receive(data) == [(0, False, 0, 0, bytes(512))]
    with pytest.raises(ProtocolError):
        host.receive(data)


# Bytes that end a connection: what came before them, and they themselves.
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
        text += f"#### {title}\n{hexadecimal(bad)}== target\n{hexadecimal(target.receive(bad))}"
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
        talk = io_session()
        talk.target.receive(talk.initiator.write(1, 0, bytes(512), 3))
        bad = pdu(6, struct.pack("<HHII", *header), bytes(512), 0 if title == "not the last" else 4)
        text += f"#### {title}\n{hexadecimal(talk.target.receive(bad))}"
    check_approved("nvme-data-out-of-range.hex", text)


def test_a_command_before_connect_gets_the_approved_completion() -> None:
    target = TargetMachine()
    target.receive(IC_REQ)
    check_approved("nvme-before-connect.hex", hexadecimal(target.receive(pdu(4, READ_BLOCK))))
