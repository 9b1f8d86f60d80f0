"""A stand-in for an NVMe/TCP host."""

from __future__ import annotations

import asyncio
import struct

from tests.standins.nvme_commands import (
    BLOCK_SIZE,
    FABRICS_CONNECT,
    FABRICS_PROPERTY_GET,
    FABRICS_PROPERTY_SET,
    FEATURE_NUMBER_OF_QUEUES,
    OPCODE_FABRICS,
    OPCODE_IDENTIFY,
    OPCODE_READ,
    OPCODE_SET_FEATURES,
    OPCODE_WRITE,
    PROPERTY_CONFIGURATION,
    PROPERTY_STATUS,
)
from tests.standins.nvme_pdus import LAST_PDU, Pdu, pdu, read_pdu
from tests.standins.service import Reader, Writer

NEW_CONTROLLER = 0xFFFF
QUEUE_SIZE_MINUS_ONE = 31
ENABLE = 0x460001
SGL_IN_CAPSULE = 1
SGL_BY_TRANSPORT = 0x5A
SGL_TRANSFER = 0x40


class NvmeHost:
    """A host with one I/O queue and at most one command in flight on each queue.

    Attributes:
        result: Dword 0 and 1 of the last completion.
        cntlid: The controller identifier that Connect returned.
        admin_queue: Reader and writer of the admin queue's connection.
        io: Reader and writer of the I/O queue's connection.
    """

    def __init__(self, port: int, nqn: str) -> None:
        self._port = port
        self._nqn = nqn
        self._command_id = 0

    async def open(self) -> None:
        """Connect to the controller, enable it and create the I/O queue."""
        self.admin_queue = await self._connect_queue(0, NEW_CONTROLLER)
        self.cntlid = self.result & 0xFFFF
        enable = (0, PROPERTY_CONFIGURATION, ENABLE)
        assert await self.command(self.admin_queue, OPCODE_FABRICS, FABRICS_PROPERTY_SET, words=enable) == (
            0,
            b"",
        )
        status, _ = await self.command(
            self.admin_queue, OPCODE_FABRICS, FABRICS_PROPERTY_GET, words=(0, PROPERTY_STATUS)
        )
        assert status == 0
        assert self.result & 1
        status, _ = await self.command(
            self.admin_queue, OPCODE_SET_FEATURES, words=(FEATURE_NUMBER_OF_QUEUES, 0)
        )
        assert status == 0
        self.io = await self._connect_queue(1, self.cntlid)

    async def add_io_queue(self, number: int) -> tuple[Reader, Writer]:
        """Create a further I/O queue; return its reader and writer."""
        return await self._connect_queue(number, self.cntlid)

    async def identify(self, cns: int, nsid: int = 0) -> tuple[int, bytes]:
        """Send Identify with this CNS value; return its status and data."""
        return await self.command(self.admin_queue, OPCODE_IDENTIFY, nsid, size=4096, words=(cns,))

    async def admin(self, opcode: int, words: tuple[int, ...] = ()) -> int:
        """Send an admin command; return its status."""
        status, _ = await self.command(self.admin_queue, opcode, words=words)
        return status

    async def read(self, nsid: int, slba: int, count: int) -> tuple[int, bytes]:
        """Read blocks; return the status and the data."""
        words = (slba, 0, count - 1)
        return await self.command(self.io, OPCODE_READ, nsid, size=count * BLOCK_SIZE, words=words)

    async def write(self, nsid: int, slba: int, data: bytes, key: int = 0) -> int:
        """Write blocks; return the status."""
        words = (slba, 0, len(data) // BLOCK_SIZE - 1)
        status, _ = await self.command(
            self.io, OPCODE_WRITE, nsid, key=key, payload=data, size=len(data), words=words
        )
        return status

    async def command(
        self,
        queue: tuple[Reader, Writer],
        opcode: int,
        nsid: int = 0,
        *,
        key: int = 0,
        payload: bytes = b"",
        in_capsule_data: bytes = b"",
        size: int = 0,
        words: tuple[int, ...] = (),
    ) -> tuple[int, bytes]:
        """Send a command; return its status field without the phase bit, and the data of a read.

        Args:
            queue: The queue on which the command is sent.
            opcode: The opcode of the command.
            nsid: The namespace identifier, or the type of a fabrics command.
            key: The idempotency key of a write; 0 for none.
            payload: Data that is sent when the controller requests it (R2T).
            in_capsule_data: Data inside the command capsule.
            size: Size in bytes of the data that is transferred outside the capsule.
            words: Command Dwords, starting with Dword 10.
        """
        reader, writer = queue
        self._command_id += 1
        command_id = self._command_id
        sgl = (len(in_capsule_data), SGL_IN_CAPSULE) if in_capsule_data else (size, SGL_BY_TRANSPORT)
        entry = struct.pack("<BBHIQQQI3xB", opcode, SGL_TRANSFER, command_id, nsid, key, 0, 0, *sgl)
        writer.write(pdu(Pdu.COMMAND, entry + struct.pack(f"<{len(words)}I", *words), in_capsule_data))
        data = b""
        while True:
            kind, header, part = await read_pdu(reader)
            if kind == Pdu.READY_TO_TRANSFER:
                self._send_data(writer, header, payload)
            elif kind == Pdu.CONTROLLER_TO_HOST_DATA:
                data += part
            else:
                assert kind == Pdu.RESPONSE, kind
                return self._status(header, command_id), data

    def close(self) -> None:
        """Close both queues."""
        for _, writer in (self.admin_queue, self.io):
            writer.close()

    async def _connect_queue(self, number: int, cntlid: int) -> tuple[Reader, Writer]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        writer.write(pdu(Pdu.INITIALIZE_REQUEST, b""))
        kind, _, _ = await read_pdu(reader)
        assert kind == Pdu.INITIALIZE_RESPONSE
        data = bytearray(1024)
        data[16:18] = cntlid.to_bytes(2, "little")
        data[256 : 256 + len(self._nqn)] = self._nqn.encode()
        data[512:515] = b"nqn"
        words = (number << 16, QUEUE_SIZE_MINUS_ONE)
        queue = reader, writer
        status, _ = await self.command(
            queue, OPCODE_FABRICS, FABRICS_CONNECT, in_capsule_data=bytes(data), words=words
        )
        assert status == 0, hex(status)
        return queue

    def _send_data(self, writer: Writer, request: bytes, payload: bytes) -> None:
        command_id, transfer_tag, offset, length = struct.unpack_from("<HHII", request)
        data = payload[offset : offset + length]
        header = struct.pack("<HHII", command_id, transfer_tag, offset, length)
        writer.write(pdu(Pdu.HOST_TO_CONTROLLER_DATA, header, data, LAST_PDU))

    def _status(self, header: bytes, sent_command_id: int) -> int:
        self.result, _, _, command_id, field = struct.unpack("<QHHHH", header)
        assert command_id == sent_command_id
        return int(field >> 1)
