"""A stand-in for a storage node with NVMe/TCP."""

from __future__ import annotations

import asyncio
import struct
from dataclasses import dataclass

from tests.standins.nvme_commands import (
    BLOCK_SIZE,
    FABRICS_CONNECT,
    FABRICS_PROPERTY_GET,
    FEATURE_NUMBER_OF_QUEUES,
    OPCODE_FABRICS,
    OPCODE_READ,
    OPCODE_SET_FEATURES,
    OPCODE_WRITE,
    PROPERTY_CAPABILITIES,
    PROPERTY_STATUS,
)
from tests.standins.nvme_pdus import LAST_PDU, Pdu, pdu, read_pdu
from tests.standins.service import FOREVER_S, Reader, Service, Writer

NQN = "nqn.2026-12.example:box"
CONTROLLER_ID = 7
MAX_DATA_SIZE = 4096
NO_FAULT_BYTES = 1 << 40

QUEUE_COUNTS = 0x00030003  # four submission and four completion queues, as zero-based counts
PROPERTY_VALUES = {PROPERTY_CAPABILITIES: 1 << 37, PROPERTY_STATUS: 1}  # CSTS.RDY is set


@dataclass(slots=True, frozen=True)
class Command:
    """A submission queue entry.

    Attributes:
        key: The idempotency key of a write.
        words: Command Dwords 10 to 15.
    """

    opcode: int
    command_id: int
    namespace: int
    key: int
    words: tuple[int, ...]

    @classmethod
    def unpack(cls, entry: bytes) -> Command:
        opcode, command_id, namespace, key = struct.unpack_from("<BxHIQ", entry)
        return cls(opcode, command_id, namespace, key, struct.unpack_from("<6I", entry, 40))

    @property
    def first_block(self) -> int:
        return self.words[0] | self.words[1] << 32

    @property
    def block_count(self) -> int:
        return (self.words[2] & 0xFFFF) + 1


class NvmeNode(Service):
    """A controller that stores blocks in memory, with faults that a test configures.

    Attributes:
        blocks: Block contents by namespace and block number.
        writes: Namespace, first block and key of each completely received write.
        started_writes: Number of writes whose data the node requested.
        write_bytes_until_fault: The fault occurs when a write has received more bytes than this.
        dies_at_fault: True if the node stops at the fault; otherwise only the connection is aborted.
        status: Status of reads and writes; with 0 they are executed.
        stalled: True if reads and writes are received and never answered.
        keys: Idempotency keys of executed writes.
    """

    def __init__(self) -> None:
        super().__init__()
        self.blocks: dict[tuple[int, int], bytes] = {}
        self.writes: list[tuple[int, int, int]] = []
        self.started_writes = 0
        self.write_bytes_until_fault = NO_FAULT_BYTES
        self.dies_at_fault = True
        self.status = 0
        self.stalled = False
        self.keys: set[int] = set()

    async def serve_connection(self, reader: Reader, writer: Writer) -> None:
        kind, _, _ = await read_pdu(reader)
        assert kind == Pdu.INITIALIZE_REQUEST
        writer.write(pdu(Pdu.INITIALIZE_RESPONSE, struct.pack("<HBBI", 0, 0, 0, MAX_DATA_SIZE)))
        while True:
            kind, entry, data = await read_pdu(reader)
            assert kind == Pdu.COMMAND
            command = Command.unpack(entry)
            result, status = 0, 0
            if command.opcode == OPCODE_FABRICS:
                result = self._fabrics_result(command, data)
            elif command.words[0] == FEATURE_NUMBER_OF_QUEUES and command.opcode == OPCODE_SET_FEATURES:
                result = QUEUE_COUNTS
            elif command.opcode in (OPCODE_WRITE, OPCODE_READ):
                await asyncio.sleep(FOREVER_S * self.stalled)
                status = self.status or await self._carry_out(reader, writer, command)
            response = struct.pack("<QHHHH", result, 0, 0, command.command_id, status << 1)
            writer.write(pdu(Pdu.RESPONSE, response))

    def _fabrics_result(self, command: Command, data: bytes) -> int:
        kind = command.namespace & 0xFF  # the type of a fabrics command is in the namespace field
        if kind == FABRICS_CONNECT:
            assert len(data) == 1024
            assert data[256:].startswith(NQN.encode())
            return CONTROLLER_ID
        return PROPERTY_VALUES[command.words[1]] if kind == FABRICS_PROPERTY_GET else 0

    async def _carry_out(self, reader: Reader, writer: Writer, command: Command) -> int:
        """Execute a read or a write; return its status."""
        if command.opcode == OPCODE_READ:
            self._read(writer, command)
        else:
            self._store(command, await self._receive_data(reader, writer, command))
        return 0

    def _read(self, writer: Writer, command: Command) -> None:
        numbers = range(command.first_block, command.first_block + command.block_count)
        data = b"".join(self.blocks.get((command.namespace, number), bytes(BLOCK_SIZE)) for number in numbers)
        header = struct.pack("<HHIII", command.command_id, 0, 0, len(data), 0)
        writer.write(pdu(Pdu.CONTROLLER_TO_HOST_DATA, header, data, LAST_PDU))

    async def _receive_data(self, reader: Reader, writer: Writer, command: Command) -> bytes:
        self.started_writes += 1
        size = command.block_count * BLOCK_SIZE
        transfer_tag = 1
        request = struct.pack("<HHII", command.command_id, transfer_tag, 0, size)
        writer.write(pdu(Pdu.READY_TO_TRANSFER, request))
        data = b""
        while len(data) < size:
            kind, header, part = await read_pdu(reader)
            assert kind == Pdu.HOST_TO_CONTROLLER_DATA
            expected = (command.command_id, transfer_tag, len(data), len(part))
            assert struct.unpack_from("<HHII", header) == expected
            data += part
            if len(data) > self.write_bytes_until_fault:
                self._fault(writer)
        return data

    def _fault(self, writer: Writer) -> None:
        self.write_bytes_until_fault = NO_FAULT_BYTES
        if self.dies_at_fault:
            self.die()
        writer.transport.abort()
        raise ConnectionResetError

    def _store(self, command: Command, data: bytes) -> None:
        self.writes.append((command.namespace, command.first_block, command.key))
        if command.key in self.keys:
            return
        self.keys.add(command.key)
        for index in range(command.block_count):
            block = data[index * BLOCK_SIZE : (index + 1) * BLOCK_SIZE]
            self.blocks[command.namespace, command.first_block + index] = block
