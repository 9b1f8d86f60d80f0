"""NVMe over TCP, a subset, as state machines that are fed bytes.

``PduParser`` cuts the stream into PDUs; ``Target`` is the controller's side of one connection (what hosts
reach us by) and ``Initiator`` the host's side of one (how we reach boxes). Neither knows a socket: each
keeps what it wants written in ``output``. Written from the NVMe base, NVM command set and TCP transport
specifications; digests, authentication and discovery subsystems are not spoken.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import IntEnum

from sabledyke.errors import SabledykeError

MAX_DATA = 64 * 1024  # of one command, and of one data PDU
IN_CAPSULE = 8192  # data that may come inside a command's capsule
QUEUE = 32  # entries of a queue, and so commands that may be open on a connection
MAX_QUEUES = 16  # I/O queues of a controller
BLOCK = 512
VERSION = 0x00010400
RETRY_DELAYS = (100, 300, 500)  # ms that CRD 1, 2 and 3 stand for (CRDT1 to CRDT3)
DYNAMIC = 0xFFFF  # controller id with which a host asks for any controller
CDATA, H2C_LAST, SUCCESS = 0x5A, 0x04, 0x08  # transport SGL; flags of data PDUs
_COMMON = struct.Struct("<BBBBI")
_DATA = struct.Struct("<HHIII")
_SQE = struct.Struct("<BBHIQQQI3xB6I")
_CQE = struct.Struct("<QHHHH")


class Pdu(IntEnum):
    """PDU types."""

    IC_REQ, IC_RESP, H2C_TERM, C2H_TERM = 0x00, 0x01, 0x02, 0x03
    COMMAND, RESPONSE, H2C_DATA, C2H_DATA, R2T = 0x04, 0x05, 0x06, 0x07, 0x09


HEADERS = {
    Pdu.IC_REQ: 128,
    Pdu.IC_RESP: 128,
    Pdu.H2C_TERM: 24,
    Pdu.C2H_TERM: 24,
    Pdu.COMMAND: 72,
    Pdu.RESPONSE: 24,
    Pdu.H2C_DATA: 24,
    Pdu.C2H_DATA: 24,
    Pdu.R2T: 24,
}
_WITH_DATA = {
    Pdu.H2C_TERM: 128,
    Pdu.C2H_TERM: 128,
    Pdu.COMMAND: IN_CAPSULE,
    Pdu.H2C_DATA: MAX_DATA,
    Pdu.C2H_DATA: MAX_DATA,
}


class Op(IntEnum):
    """Opcodes of I/O queues."""

    FLUSH, WRITE, READ = 0x00, 0x01, 0x02


class Admin(IntEnum):
    """Opcodes of the admin queue, and the fabrics opcode of every queue."""

    IDENTIFY, SET_FEATURES, KEEP_ALIVE, FABRICS = 0x06, 0x09, 0x18, 0x7F


class Fabrics(IntEnum):
    """Types of fabrics commands."""

    PROPERTY_SET, CONNECT, PROPERTY_GET = 0x00, 0x01, 0x04


class Status(IntEnum):
    """Status code types and codes, as they stand in a completion above its phase bit."""

    OK, INVALID_OPCODE, INVALID_FIELD = 0x000, 0x001, 0x002
    INTERNAL, INVALID_NAMESPACE, SEQUENCE = 0x006, 0x00B, 0x00C
    LBA_RANGE, NOT_READY = 0x080, 0x082
    CONNECT_FORMAT, CONNECT_PARAMETERS = 0x180, 0x182
    ACCESS_DENIED = 0x286


class Prop(IntEnum):
    """Offsets of controller properties."""

    CAP, VS, CC, CSTS = 0x00, 0x08, 0x14, 0x1C


CAPABILITIES = (QUEUE - 1) | 1 << 16 | 20 << 24 | 1 << 37  # entries, contiguous queues, 10 s, NVM commands
DNR = 1 << 14


class NvmeError(SabledykeError):
    """The peer broke the protocol: the connection ends, with this fatal error status and field offset."""

    code, remedy = "nvme", "tell whoever runs that host or box"

    def __init__(self, text: str, fes: int = 1, fei: int = 0, header: bytes = b"") -> None:
        super().__init__(text)
        self.fes, self.fei, self.header = fes, fei, header


@dataclass(slots=True, frozen=True)
class Frame:
    """One PDU: its type, flags, what stands in its header after the common part, and its data."""

    kind: Pdu
    flags: int
    header: bytes
    data: bytes


def pdu(kind: Pdu, header: bytes, data: bytes = b"", flags: int = 0) -> bytes:
    """One PDU as bytes; the header is filled up with zeros."""
    size = HEADERS[kind]
    common = _COMMON.pack(kind, flags, size, size if data else 0, size + len(data))
    return common + header.ljust(size - _COMMON.size, b"\0") + data


class PduParser:
    """Feed it bytes in any cuts, take whole PDUs from ``next``; one that raised is of no more use."""

    def __init__(self) -> None:
        self._data = bytearray()

    def feed(self, data: bytes) -> None:
        """Take some bytes."""
        self._data += data

    @property
    def waiting(self) -> int:
        """Bytes of a PDU that is not whole yet."""
        return len(self._data)

    def next(self) -> Frame | None:
        """The next whole PDU, or None until more bytes come."""
        if len(self._data) < _COMMON.size:
            return None
        kind, flags, hlen, pdo, plen = _COMMON.unpack_from(self._data)
        seen = bytes(self._data[:128])
        if kind not in HEADERS:
            raise NvmeError(f"unknown PDU type {kind}", 1, 0, seen)
        if hlen != HEADERS[Pdu(kind)]:
            raise NvmeError(f"header of {hlen} bytes", 1, 2, seen)
        if flags & 0x03:
            raise NvmeError("digests were not agreed on", 1, 1, seen)
        start = pdo if plen > hlen else hlen
        if not hlen <= start <= plen or not plen - start <= _WITH_DATA.get(Pdu(kind), 0):
            raise NvmeError(f"PDU of {plen} bytes with data at {pdo}", 1, 4, seen)
        if len(self._data) < plen:
            return None
        frame = Frame(Pdu(kind), flags, bytes(self._data[8:hlen]), bytes(self._data[start:plen]))
        del self._data[:plen]
        return frame


@dataclass(slots=True)
class Command:
    """A submission queue entry; ``sgl_type`` and ``sgl_length`` say how its data travels."""

    opcode: int
    cid: int
    nsid: int = 0
    cdw2: int = 0  # CDW2 and CDW3 as one number: here a write's key
    sgl_address: int = 0
    sgl_length: int = 0
    sgl_type: int = 0
    cdw10: tuple[int, int, int, int, int, int] = (0, 0, 0, 0, 0, 0)  # to CDW15

    def pack(self) -> bytes:
        """Its 64 bytes; flags say that an SGL is used."""
        return _SQE.pack(
            self.opcode,
            0x40,
            self.cid,
            self.nsid,
            self.cdw2,
            0,
            self.sgl_address,
            self.sgl_length,
            self.sgl_type,
            *self.cdw10,
        )

    @classmethod
    def unpack(cls, data: bytes) -> Command:
        """From its 64 bytes."""
        opcode, _, cid, nsid, cdw2, _, address, length, kind, *words = _SQE.unpack(data)
        return cls(opcode, cid, nsid, cdw2, address, length, kind, tuple(words))

    @property
    def slba(self) -> int:
        """First block of a read or write."""
        return self.cdw10[0] | self.cdw10[1] << 32

    @property
    def blocks(self) -> int:
        """How many blocks a read or write is for."""
        return (self.cdw10[2] & 0xFFFF) + 1


@dataclass(slots=True, frozen=True)
class Completion:
    """A completion queue entry: its result, status with DNR, and retry delay."""

    cid: int
    status: int
    result: int = 0
    dnr: bool = False
    crd: int = 0

    def pack(self, head: int, queue: int) -> bytes:
        """Its 16 bytes."""
        field = self.status | self.crd << 11 | (DNR if self.dnr else 0)
        return _CQE.pack(self.result, head, queue, self.cid, field << 1)

    @classmethod
    def unpack(cls, data: bytes) -> Completion:
        """From its 16 bytes."""
        result, _, _, cid, field = _CQE.unpack(data)
        field >>= 1
        return cls(cid, field & 0x7FF, result, bool(field & DNR), field >> 11 & 3)


def retry_delay(milliseconds: float) -> int:
    """The CRD of the shortest delay that is long enough, or of the longest there is."""
    return next((i for i, d in enumerate(RETRY_DELAYS, 1) if d >= milliseconds), len(RETRY_DELAYS))


@dataclass(slots=True, frozen=True)
class Namespace:
    """What a host may know of a namespace; commands may not cross a multiple of ``boundary`` blocks."""

    blocks: int
    boundary: int = 0


@dataclass(slots=True)
class Subsystem:
    """What hosts connect to, and the controllers they were given; shared by the connections."""

    nqn: str
    namespaces: dict[int, Namespace]
    controllers: dict[int, Controller] = field(default_factory=dict)
    _last: int = 0

    def admit(self, host: bytes) -> Controller:
        """A controller for a host; an NvmeError where there are as many as may be."""
        if len(self.controllers) >= 1024:
            raise NvmeError("no controller to spare", 6)
        while True:
            self._last = self._last % 0xFFEF + 1
            if self._last not in self.controllers:
                break
        self.controllers[self._last] = Controller(self._last, host)
        return self.controllers[self._last]


@dataclass(slots=True)
class Controller:
    """One host's association."""

    cntlid: int
    host: bytes
    config: int = 0  # CC
    queues: set[int] = field(default_factory=set)

    @property
    def enabled(self) -> bool:
        """The host has set CC.EN."""
        return bool(self.config & 1)


@dataclass(slots=True)
class _Transfer:
    """A command whose data is on its way."""

    command: Command
    data: bytearray
    tag: int


class Target:
    """The controller's side of one connection: commands come out of ``feed``, ``complete`` answers them."""

    def __init__(self, subsystem: Subsystem) -> None:
        self.subsystem = subsystem
        self.output = bytearray()
        self.controller: Controller | None = None
        self.queue = -1  # the queue this connection carries, once it is connected
        self.keep_alive = 0  # ms without a command after which the host is taken for dead; 0 for never
        self._parser = PduParser()
        self._ready = False  # ICReq was answered
        self._transfers: dict[int, _Transfer] = {}  # by command id
        self._open: dict[int, Command] = {}  # given out and not completed, by command id
        self._size = QUEUE
        self._head = self._tags = 0
        self.frames = 0  # whole PDUs that came in

    @property
    def idle(self) -> bool:
        """No command is open, on its way, or half read."""
        return not self._open and not self._transfers and not self._parser.waiting

    @property
    def halfway(self) -> bool:
        """A PDU or the data of a write has come in part."""
        return bool(self._transfers or self._parser.waiting)

    def feed(self, data: bytes) -> list[tuple[Command, bytes]]:
        """Take some bytes; returns reads, and writes with their data. After an NvmeError write and close."""
        self._parser.feed(data)
        out: list[tuple[Command, bytes]] = []
        try:
            while (frame := self._parser.next()) is not None:
                self.frames += 1
                out += self._frame(frame)
        except NvmeError as fault:
            info = struct.pack("<HI", fault.fes, fault.fei)
            self.output += pdu(Pdu.C2H_TERM, info, fault.header[:128])
            raise
        return out

    def complete(self, done: Completion, data: bytes = b"") -> None:
        """Answer a command that ``feed`` gave out; data goes before its completion."""
        if self._open.pop(done.cid, None) is None:
            return
        self._reply(done, data)

    def close(self) -> None:
        """The connection is gone; with its admin queue goes the controller."""
        if self.controller is not None:
            self.controller.queues.discard(self.queue)
            if self.queue == 0:
                self.subsystem.controllers.pop(self.controller.cntlid, None)
            self.controller = None

    def _frame(self, frame: Frame) -> list[tuple[Command, bytes]]:
        if frame.kind is Pdu.H2C_TERM:
            raise NvmeError("the host ended the connection", 2)
        if (frame.kind is Pdu.IC_REQ) is self._ready:
            raise NvmeError("PDU out of sequence", 2)
        if frame.kind is Pdu.IC_REQ:
            version, alignment = struct.unpack_from("<HB", frame.header)
            if version != 0 or alignment != 0:
                raise NvmeError("unsupported parameters", 6, 8)
            self._ready = True
            self.output += pdu(Pdu.IC_RESP, struct.pack("<HBBI", 0, 0, 0, MAX_DATA))
            return []
        if frame.kind is Pdu.COMMAND:
            return self._command(Command.unpack(frame.header), frame.data)
        if frame.kind is Pdu.H2C_DATA:
            return self._data(frame)
        raise NvmeError("PDU of the wrong direction", 1, 0)

    def _command(self, command: Command, data: bytes) -> list[tuple[Command, bytes]]:
        if command.cid in self._open or command.cid in self._transfers:
            raise NvmeError(f"command id {command.cid} is in use", 2)
        if len(self._open) + len(self._transfers) >= self._size:
            raise NvmeError("more commands than the queue has entries", 2)
        self._head = (self._head + 1) % self._size
        if self.queue < 0:
            return self._before(command, data)
        if command.opcode == Admin.FABRICS:
            return self._fabrics(command)
        if self.queue == 0:
            return self._admin(command)
        return self._io(command, data)

    def _before(self, command: Command, data: bytes) -> list[tuple[Command, bytes]]:
        if command.opcode != Admin.FABRICS or command.nsid & 0xFF != Fabrics.CONNECT:
            return self._end(command, Status.SEQUENCE)
        return self._connect(command, data)

    def _connect(self, command: Command, data: bytes) -> list[tuple[Command, bytes]]:
        form, queue = command.cdw10[0] & 0xFFFF, command.cdw10[0] >> 16
        size, keep_alive = (command.cdw10[1] & 0xFFFF) + 1, command.cdw10[2]
        if form != 0:
            return self._end(command, Status.CONNECT_FORMAT)
        if len(data) != 1024 or not 2 <= size <= QUEUE:
            return self._end(command, Status.CONNECT_PARAMETERS)
        wanted = int.from_bytes(data[16:18], "little")
        if data[256:512].rstrip(b"\0").decode("utf-8", "replace") != self.subsystem.nqn:
            return self._end(command, Status.CONNECT_PARAMETERS)
        host = data[:16] + data[512:768]
        if queue == 0 and wanted == DYNAMIC:
            self.controller = self.subsystem.admit(host)
            self.keep_alive = keep_alive
        else:
            known = self.subsystem.controllers.get(wanted)
            if queue == 0 or known is None or known.host != host or not known.enabled:
                return self._end(command, Status.CONNECT_PARAMETERS)
            if queue in known.queues or queue > MAX_QUEUES:
                return self._end(command, Status.CONNECT_PARAMETERS)
            self.controller = known
        self.queue, self._size = queue, size
        self.controller.queues.add(queue)
        return self._end(command, Status.OK, self.controller.cntlid)

    def _fabrics(self, command: Command) -> list[tuple[Command, bytes]]:
        assert self.controller is not None
        kind, offset = command.nsid & 0xFF, command.cdw10[1]
        if self.queue != 0 or kind not in (Fabrics.PROPERTY_GET, Fabrics.PROPERTY_SET):
            return self._end(command, Status.SEQUENCE if kind == Fabrics.CONNECT else Status.INVALID_OPCODE)
        if kind == Fabrics.PROPERTY_SET:
            if offset != Prop.CC:
                return self._end(command, Status.INVALID_FIELD)
            self.controller.config = command.cdw10[2]
            return self._end(command, Status.OK)
        ready = self.controller.enabled and not self.controller.config >> 14 & 3
        status = int(ready) | (2 << 2 if self.controller.config >> 14 & 3 else 0)  # ready; shutdown complete
        values = {
            Prop.CAP: CAPABILITIES,
            Prop.VS: VERSION,
            Prop.CC: self.controller.config,
            Prop.CSTS: status,
        }
        if offset not in values:
            return self._end(command, Status.INVALID_FIELD)
        return self._end(command, Status.OK, values[Prop(offset)])

    def _admin(self, command: Command) -> list[tuple[Command, bytes]]:
        assert self.controller is not None
        if command.opcode == Admin.KEEP_ALIVE:
            return self._end(command, Status.OK)
        if not self.controller.enabled:
            return self._end(command, Status.SEQUENCE)
        if command.opcode == Admin.SET_FEATURES:
            if command.cdw10[0] & 0xFF != 0x07:  # the number of queues is all there is to set
                return self._end(command, Status.INVALID_FIELD)
            counts = [min(n, MAX_QUEUES - 1) for n in (command.cdw10[1] & 0xFFFF, command.cdw10[1] >> 16)]
            return self._end(command, Status.OK, counts[0] | counts[1] << 16)
        if command.opcode != Admin.IDENTIFY:
            return self._end(command, Status.INVALID_OPCODE)
        what = command.cdw10[0] & 0xFF
        page = self._identify(what, command.nsid)
        if page is None:
            wrong = what in (0, 3)
            return self._end(command, Status.INVALID_NAMESPACE if wrong else Status.INVALID_FIELD)
        if command.sgl_length < len(page):
            return self._end(command, Status.INVALID_FIELD)
        self._reply(Completion(command.cid, Status.OK), page)
        return []

    def _identify(self, what: int, nsid: int) -> bytes | None:
        spaces, page = self.subsystem.namespaces, bytearray(4096)
        if what == 1:
            assert self.controller is not None
            page[4:72] = b"sabledyke".ljust(20) + b"sabledyke I/O scheduler".ljust(40) + b"0.1".ljust(8)
            page[77] = 4  # transfers of at most 16 pages of 4 KiB
            struct.pack_into("<HI", page, 78, self.controller.cntlid, VERSION)
            page[111] = 1  # an I/O controller
            struct.pack_into("<HHH", page, 128, *(d // 100 for d in RETRY_DELAYS))
            struct.pack_into("<H", page, 320, 10)  # keep alive counts in seconds
            page[512:514] = b"\x66\x44"
            struct.pack_into("<HI", page, 514, QUEUE, max(spaces, default=0))
            struct.pack_into("<I", page, 536, 1 | 1 << 20)  # SGLs, with data inside capsules
            page[768 : 768 + len(self.subsystem.nqn)] = self.subsystem.nqn.encode()
            struct.pack_into("<IIHBB", page, 1792, (64 + IN_CAPSULE) // 16, 1, 0, 0, 1)
        elif what == 2:
            active = [n for n in sorted(spaces) if n > nsid][:1024]
            struct.pack_into(f"<{len(active)}I", page, 0, *active)
        elif nsid not in spaces:
            return None
        elif what == 0:
            space = spaces[nsid]
            struct.pack_into("<QQQ", page, 0, space.blocks, space.blocks, space.blocks)
            struct.pack_into("<H", page, 46, min(space.boundary, 0xFFFF))  # commands should not cross it
            page[130] = BLOCK.bit_length() - 1
        elif what == 3:
            page[0:20] = b"\x03\x10\0\0" + nsid.to_bytes(16, "big")  # a UUID of its own
        else:
            return None
        return bytes(page)

    def _io(self, command: Command, data: bytes) -> list[tuple[Command, bytes]]:
        if command.opcode not in (Op.READ, Op.WRITE, Op.FLUSH):
            return self._end(command, Status.INVALID_OPCODE)
        if self.controller is None or not self.controller.enabled:
            return self._end(command, Status.SEQUENCE)
        space = self.subsystem.namespaces.get(command.nsid)
        if space is None and not (command.opcode == Op.FLUSH and command.nsid == 0xFFFFFFFF):
            return self._end(command, Status.INVALID_NAMESPACE)
        if space is None or command.opcode == Op.FLUSH:  # no cache here: what was answered is at its box
            return self._end(command, Status.OK)
        size = command.blocks * BLOCK
        if command.slba + command.blocks > space.blocks:
            return self._end(command, Status.LBA_RANGE)
        crosses = space.boundary and command.slba % space.boundary + command.blocks > space.boundary
        if size > MAX_DATA or crosses or command.sgl_length != size:
            return self._end(command, Status.INVALID_FIELD)
        if command.opcode == Op.READ:
            self._open[command.cid] = command
            return [(command, b"")]
        if command.sgl_type == 0x01:  # its data is in the capsule
            if len(data) != size or command.sgl_address:
                return self._end(command, Status.INVALID_FIELD)
            self._open[command.cid] = command
            return [(command, data)]
        if command.sgl_type != CDATA or data:
            return self._end(command, Status.INVALID_FIELD)
        self._tags = (self._tags + 1) % 0x10000
        self._transfers[command.cid] = _Transfer(command, bytearray(), self._tags)
        self.output += pdu(Pdu.R2T, struct.pack("<HHII", command.cid, self._tags, 0, size))
        return []

    def _data(self, frame: Frame) -> list[tuple[Command, bytes]]:
        cid, tag, offset, length, _ = _DATA.unpack_from(frame.header)
        transfer = self._transfers.get(cid)
        if transfer is None or transfer.tag != tag:
            raise NvmeError("data that was not asked for", 1, 8)
        size = transfer.command.sgl_length
        if offset != len(transfer.data) or length != len(frame.data) or offset + length > size or not length:
            raise NvmeError("data out of range", 4)
        transfer.data += frame.data
        if bool(frame.flags & H2C_LAST) != (len(transfer.data) == size):
            raise NvmeError("last data PDU where it should not be", 4)
        if len(transfer.data) < size:
            return []
        del self._transfers[cid]
        self._open[cid] = transfer.command
        return [(transfer.command, bytes(transfer.data))]

    def _end(self, command: Command, status: Status, result: int = 0) -> list[tuple[Command, bytes]]:
        """Complete a command that is not given out; what is asked wrongly need not be asked again."""
        self._reply(Completion(command.cid, status, result, dnr=status is not Status.OK))
        return []

    def _reply(self, done: Completion, data: bytes = b"") -> None:
        if data:
            header = _DATA.pack(done.cid, 0, 0, len(data), 0)
            self.output += pdu(Pdu.C2H_DATA, header, data, H2C_LAST)
        self.output += pdu(Pdu.RESPONSE, done.pack(self._head, max(self.queue, 0)))


class Initiator:
    """The host's side of one connection: one command at a time, each with its completion and data."""

    def __init__(self) -> None:
        self.output = bytearray()
        self.data_out = False  # some of the command's data was handed out for writing
        self._parser = PduParser()
        self._ready = False
        self._max_data = MAX_DATA
        self._command: Command | None = None
        self._payload = b""
        self._read = bytearray()
        self._cid = 0
        self.output += pdu(Pdu.IC_REQ, b"")

    def submit(self, command: Command, payload: bytes = b"", *, inside: bool = False) -> None:
        """Send a command; a payload goes in its capsule, or when the controller is ready for it."""
        if self._command is not None:
            raise ValueError("a command is out already")
        self._cid = self._cid % 0xFFFE + 1
        command.cid = self._cid
        if payload:
            command.sgl_length, command.sgl_type = len(payload), 0x01 if inside else CDATA
        elif command.sgl_length:
            command.sgl_type = CDATA
        self._command, self._payload, self._read = command, payload, bytearray()
        self.data_out = False
        self.output += pdu(Pdu.COMMAND, command.pack(), payload if inside else b"")

    def feed(self, data: bytes) -> list[tuple[Completion, bytes]]:
        """Take some bytes; returns the completion that came, with what was read."""
        self._parser.feed(data)
        out: list[tuple[Completion, bytes]] = []
        # Guards against what comes after a completion spoiling it: that is left, and shows as surplus.
        while not out and (frame := self._parser.next()) is not None:
            done = self._frame(frame)
            out += [done] if done is not None else []
        return out

    @property
    def surplus(self) -> bool:
        """More came than belongs to the last command: the connection is not to be used again."""
        return self._parser.waiting > 0

    def _frame(self, frame: Frame) -> tuple[Completion, bytes] | None:
        if frame.kind is Pdu.IC_RESP and not self._ready:
            version, alignment, digests, self._max_data = struct.unpack_from("<HBBI", frame.header)
            if version or alignment or digests or self._max_data < 4096:
                raise NvmeError("unsupported parameters", 6, 8)
            self._ready = True
            return None
        command = self._command
        if not self._ready or command is None:
            raise NvmeError("PDU out of sequence", 2)
        if frame.kind is Pdu.RESPONSE:
            done = Completion.unpack(frame.header)
            if done.cid != command.cid:
                raise NvmeError("completion of no command", 2)
            wanted = command.sgl_length if not self._payload else 0
            if done.status == Status.OK and len(self._read) != wanted:
                raise NvmeError("completion before all data", 2)
            self._command = None
            return done, bytes(self._read)
        cid, tag, offset, length, _ = _DATA.unpack_from(frame.header)
        if cid != command.cid:
            raise NvmeError("PDU of no command", 1, 8)
        if frame.kind is Pdu.R2T:
            if not length or offset + length > len(self._payload):
                raise NvmeError("R2T out of range", 4)
            self.data_out = True
            for at in range(offset, offset + length, self._max_data):
                part = self._payload[at : min(at + self._max_data, offset + length)]
                last = H2C_LAST if at + len(part) == offset + length else 0
                self.output += pdu(Pdu.H2C_DATA, _DATA.pack(cid, tag, at, len(part), 0), part, last)
            return None
        if frame.kind is not Pdu.C2H_DATA:
            raise NvmeError("PDU of the wrong direction", 1, 0)
        if self._payload or offset != len(self._read) or length != len(frame.data):
            raise NvmeError("data out of range", 4)
        if len(self._read) + length > command.sgl_length:
            raise NvmeError("data out of range", 4)
        self._read += frame.data
        if frame.flags & SUCCESS and frame.flags & H2C_LAST:  # the completion is left out
            if len(self._read) != command.sgl_length:
                raise NvmeError("completion before all data", 2)
            self._command = None
            return Completion(cid, Status.OK), bytes(self._read)
        return None


def connect(
    nqn: str, queue: int, controller: int, host: tuple[bytes, str], keep_alive: int
) -> tuple[Command, bytes]:
    """A Connect command and its data."""
    data = bytearray(1024)
    data[0:16], data[16:18] = host[0], controller.to_bytes(2, "little")
    data[256 : 256 + len(nqn)], data[512 : 512 + len(host[1])] = nqn.encode(), host[1].encode()
    words = (queue << 16, QUEUE - 1, keep_alive, 0, 0, 0)
    return Command(Admin.FABRICS, 0, Fabrics.CONNECT, cdw10=words), bytes(data)


def property_get(offset: Prop) -> Command:
    """Reads a property."""
    wide = int(offset is Prop.CAP)
    return Command(Admin.FABRICS, 0, Fabrics.PROPERTY_GET, cdw10=(wide, offset, 0, 0, 0, 0))


def property_set(offset: Prop, value: int) -> Command:
    """Sets a property."""
    return Command(Admin.FABRICS, 0, Fabrics.PROPERTY_SET, cdw10=(0, offset, value, 0, 0, 0))


def transfer(opcode: Op, nsid: int, slba: int, size: int, key: int = 0) -> Command:
    """A read or write of whole blocks; FUA, so that what a box answers is not only in its cache."""
    unit_access = 1 << 30 if opcode is Op.WRITE else 0
    words = (slba & 0xFFFFFFFF, slba >> 32, size // BLOCK - 1 | unit_access, 0, 0, 0)
    return Command(opcode, 0, nsid, key, sgl_length=size, cdw10=words)
