"""Submission and completion queue entries, and functions that build commands for an initiator."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from sabledyke.protocol.nvme.limits import BLOCK_BYTES, QUEUE_ENTRIES

DYNAMIC_CONTROLLER_ID = 0xFFFF
"""Controller id with which a host requests a new controller."""
SGL_IN_CAPSULE = 0x01
"""SGL type of data inside the command's capsule."""
SGL_TRANSPORT_DATA = 0x5A
"""SGL type of data in separate data PDUs."""
CONNECT_DATA_BYTES = 1024
"""Bytes of a Connect command's data."""

_SUBMISSION_ENTRY = struct.Struct("<BBHIQQQI3xB6I")
_COMPLETION_ENTRY = struct.Struct("<QHHHH")
_SGL_FLAGS = 0x40  # the command's data pointer is an SGL
_STATUS_MASK = 0x7FF
_RETRY_DELAY_SHIFT = 11
_RETRY_DELAY_MASK = 3
_DO_NOT_RETRY = 1 << 14
_FORCE_UNIT_ACCESS = 1 << 30

Dwords = tuple[int, int, int, int, int, int]


class IoOpcode(IntEnum):
    """Opcodes of I/O queues."""

    FLUSH = 0x00
    WRITE = 0x01
    READ = 0x02


class AdminOpcode(IntEnum):
    """Opcodes of the admin queue, and the fabrics opcode of every queue."""

    IDENTIFY = 0x06
    SET_FEATURES = 0x09
    KEEP_ALIVE = 0x18
    FABRICS = 0x7F


class FabricsType(IntEnum):
    """Types of fabrics commands."""

    PROPERTY_SET = 0x00
    CONNECT = 0x01
    PROPERTY_GET = 0x04


class Property(IntEnum):
    """Offsets of controller properties."""

    CAP = 0x00
    VS = 0x08
    CC = 0x14
    CSTS = 0x1C


@dataclass(slots=True)
class Command:
    """A submission queue entry.

    Attributes:
        opcode: An ``IoOpcode`` or ``AdminOpcode``, or another value that a host sent.
        command_id: Identifies the command on its queue until it is completed.
        namespace_id: The namespace; of a fabrics command, its type.
        idempotency_key: CDW2 and CDW3 as one number, which hold the idempotency key of a write.
        sgl_address: Offset of the data inside the capsule, in bytes.
        sgl_length: Bytes of data that the command transfers.
        sgl_type: ``SGL_IN_CAPSULE`` or ``SGL_TRANSPORT_DATA``, or another value that a host sent.
        dwords: CDW10 to CDW15.
    """

    opcode: int
    command_id: int
    namespace_id: int = 0
    idempotency_key: int = 0
    sgl_address: int = 0
    sgl_length: int = 0
    sgl_type: int = 0
    dwords: Dwords = (0, 0, 0, 0, 0, 0)

    def pack(self) -> bytes:
        """Return the entry as 64 bytes."""
        return _SUBMISSION_ENTRY.pack(
            self.opcode,
            _SGL_FLAGS,
            self.command_id,
            self.namespace_id,
            self.idempotency_key,
            0,
            self.sgl_address,
            self.sgl_length,
            self.sgl_type,
            *self.dwords,
        )

    @classmethod
    def unpack(cls, data: bytes) -> Command:
        """Parse an entry of 64 bytes."""
        opcode, _, command_id, namespace_id, key, _, *sgl_and_dwords = _SUBMISSION_ENTRY.unpack(data)
        sgl_address, sgl_length, sgl_type, *dwords = sgl_and_dwords
        return cls(opcode, command_id, namespace_id, key, sgl_address, sgl_length, sgl_type, tuple(dwords))

    @property
    def fabrics_type(self) -> int:
        """The type of a fabrics command."""
        return self.namespace_id & 0xFF

    @property
    def start_block(self) -> int:
        """First block of a read or write."""
        return self.dwords[0] | self.dwords[1] << 32

    @property
    def block_count(self) -> int:
        """Number of blocks of a read or write."""
        return (self.dwords[2] & 0xFFFF) + 1


@dataclass(slots=True, frozen=True)
class Completion:
    """A completion queue entry.

    Attributes:
        command_id: The command that is completed.
        status: A ``Status``, or another value that a controller sent.
        result: The command's result; 0 if it has none.
        do_not_retry: True if the same command would fail again.
        retry_delay_index: Number of the controller's retry delay that applies, from 1; 0 for none.
    """

    command_id: int
    status: int
    result: int = 0
    do_not_retry: bool = False
    retry_delay_index: int = 0

    def pack(self, queue_head: int, queue_id: int) -> bytes:
        """Return the entry as 16 bytes."""
        status = self.status | self.retry_delay_index << _RETRY_DELAY_SHIFT
        if self.do_not_retry:
            status |= _DO_NOT_RETRY
        return _COMPLETION_ENTRY.pack(self.result, queue_head, queue_id, self.command_id, status << 1)

    @classmethod
    def unpack(cls, data: bytes) -> Completion:
        """Parse an entry of 16 bytes."""
        result, _, _, command_id, status_and_phase = _COMPLETION_ENTRY.unpack(data)
        status = status_and_phase >> 1
        return cls(
            command_id,
            status & _STATUS_MASK,
            result,
            bool(status & _DO_NOT_RETRY),
            status >> _RETRY_DELAY_SHIFT & _RETRY_DELAY_MASK,
        )


class Submission(NamedTuple):
    """A command with the data that it transfers to the controller; empty for a read."""

    command: Command
    data: bytes


class Response(NamedTuple):
    """A completion with the data that the command returns; empty if it returns none."""

    completion: Completion
    data: bytes


@dataclass(slots=True, frozen=True)
class HostIdentity:
    """Identity that a host states when it connects.

    Attributes:
        host_id: The host identifier, 16 bytes.
        nqn: The host's NVMe qualified name.
    """

    host_id: bytes
    nqn: str


@dataclass(slots=True, frozen=True)
class ConnectRequest:
    """The fields of a Connect command, as parsed by a target.

    Attributes:
        record_format: Format of the command; only 0 is defined.
        queue_id: The queue that the connection carries; 0 for the admin queue.
        queue_entries: Number of entries of the queue.
        keep_alive_ms: Time without a command after which the host counts as failed; 0 for never.
        controller_id: The controller that the queue belongs to, or ``DYNAMIC_CONTROLLER_ID``.
        subsystem_nqn: Name of the subsystem to connect to.
        host_identity: The host's identifier and name, as received.
    """

    record_format: int
    queue_id: int
    queue_entries: int
    keep_alive_ms: int
    controller_id: int
    subsystem_nqn: str
    host_identity: bytes

    @classmethod
    def parse(cls, command: Command, data: bytes) -> ConnectRequest:
        """Parse a Connect command and its data; fields that the data lacks are empty."""
        return cls(
            record_format=command.dwords[0] & 0xFFFF,
            queue_id=command.dwords[0] >> 16,
            queue_entries=(command.dwords[1] & 0xFFFF) + 1,
            keep_alive_ms=command.dwords[2],
            controller_id=int.from_bytes(data[16:18], "little"),
            subsystem_nqn=data[256:512].rstrip(b"\0").decode("utf-8", "replace"),
            host_identity=data[:16] + data[512:768],
        )


def connect_command(
    nqn: str, queue_id: int, controller_id: int, host: HostIdentity, keep_alive_ms: int
) -> Submission:
    """Build a Connect command.

    Args:
        nqn: Name of the subsystem to connect to.
        queue_id: The queue that the connection carries; 0 for the admin queue.
        controller_id: The controller of an I/O queue, or ``DYNAMIC_CONTROLLER_ID`` for the admin queue.
        host: Identity of the connecting host.
        keep_alive_ms: Time without a command after which the controller may end the association.
    """
    data = bytearray(CONNECT_DATA_BYTES)
    data[0:16] = host.host_id
    data[16:18] = controller_id.to_bytes(2, "little")
    data[256 : 256 + len(nqn)] = nqn.encode()
    data[512 : 512 + len(host.nqn)] = host.nqn.encode()
    dwords = (queue_id << 16, QUEUE_ENTRIES - 1, keep_alive_ms, 0, 0, 0)
    command = Command(AdminOpcode.FABRICS, 0, FabricsType.CONNECT, dwords=dwords)
    return Submission(command, bytes(data))


def property_get_command(offset: Property) -> Command:
    """Build a command that reads a controller property."""
    is_64_bits_wide = int(offset is Property.CAP)
    dwords = (is_64_bits_wide, offset, 0, 0, 0, 0)
    return Command(AdminOpcode.FABRICS, 0, FabricsType.PROPERTY_GET, dwords=dwords)


def property_set_command(offset: Property, value: int) -> Command:
    """Build a command that sets a controller property."""
    dwords = (0, offset, value, 0, 0, 0)
    return Command(AdminOpcode.FABRICS, 0, FabricsType.PROPERTY_SET, dwords=dwords)


def transfer_command(
    opcode: IoOpcode, namespace_id: int, start_block: int, size_bytes: int, idempotency_key: int = 0
) -> Command:
    """Build a read or write of whole blocks.

    Writes set Force Unit Access, so that acknowledged data is not only in the storage node's cache.

    Args:
        opcode: ``READ`` or ``WRITE``.
        namespace_id: The namespace.
        start_block: First block.
        size_bytes: Bytes to transfer, a multiple of ``BLOCK_BYTES``.
        idempotency_key: Idempotency key of a write; 0 for none.
    """
    access = _FORCE_UNIT_ACCESS if opcode is IoOpcode.WRITE else 0
    block_count = size_bytes // BLOCK_BYTES
    dwords = (start_block & 0xFFFFFFFF, start_block >> 32, block_count - 1 | access, 0, 0, 0)
    return Command(opcode, 0, namespace_id, idempotency_key, sgl_length=size_bytes, dwords=dwords)
