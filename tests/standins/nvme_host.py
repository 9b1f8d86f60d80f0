"""A host that sends commands by NVMe/TCP."""

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
    """A host with one I/O queue and one command at a time.

    Attributes:
        result: Dword 0 and 1 of the last completion.
        cntlid: The controller's identifier.
        io: The I/O queue.
    """

    def __init__(self, port: int, nqn: str) -> None:
        self._port = port
        self._nqn = nqn
        self._command_id = 0

    async def open(self) -> None:
        """Connect to the controller, enable it and create the I/O queue."""
        self._admin = await self._connect_queue(0, NEW_CONTROLLER)
        self.cntlid = self.result & 0xFFFF
        enable = (0, PROPERTY_CONFIGURATION, ENABLE)
        assert await self.command(self._admin, OPCODE_FABRICS, FABRICS_PROPERTY_SET, words=enable) == (0, b"")
        status, _ = await self.command(
            self._admin, OPCODE_FABRICS, FABRICS_PROPERTY_GET, words=(0, PROPERTY_STATUS)
        )
        assert status == 0
        assert self.result & 1
        status, _ = await self.command(self._admin, OPCODE_SET_FEATURES, words=(FEATURE_NUMBER_OF_QUEUES, 0))
        assert status == 0
        self.io = await self._connect_queue(1, self.cntlid)

    async def identify(self, what: int, nsid: int = 0) -> tuple[int, bytes]:
        """Return the status and the data of Identify."""
        return await self.command(self._admin, OPCODE_IDENTIFY, nsid, size=4096, words=(what,))

    async def admin(self, opcode: int, words: tuple[int, ...] = ()) -> int:
        """Return the status of an admin command."""
        status, _ = await self.command(self._admin, opcode, words=words)
        return status

    async def read(self, nsid: int, slba: int, count: int) -> tuple[int, bytes]:
        """Return the status and the data of a read."""
        words = (slba, 0, count - 1)
        return await self.command(self.io, OPCODE_READ, nsid, size=count * BLOCK_SIZE, words=words)

    async def write(self, nsid: int, slba: int, data: bytes, key: int = 0) -> int:
        """Return the status of a write."""
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
        inside: bytes = b"",
        size: int = 0,
        words: tuple[int, ...] = (),
    ) -> tuple[int, bytes]:
        """Send a command; return its status field without the phase bit, and what was read.

        Args:
            queue: The queue on which it is sent.
            opcode: Its opcode.
            nsid: Its namespace, or the type of a fabrics command.
            key: Its idempotency key.
            payload: Data that the controller requests.
            inside: Data inside the capsule.
            size: The size of the data that is transferred outside the capsule.
            words: Command Dwords from 10 on.
        """
        reader, writer = queue
        self._command_id += 1
        sgl = (len(inside), SGL_IN_CAPSULE) if inside else (size, SGL_BY_TRANSPORT)
        entry = struct.pack("<BBHIQQQI3xB", opcode, SGL_TRANSFER, self._command_id, nsid, key, 0, 0, *sgl)
        writer.write(pdu(Pdu.COMMAND, entry + struct.pack(f"<{len(words)}I", *words), inside))
        data = b""
        while True:
            kind, header, part = await read_pdu(reader)
            if kind == Pdu.READY_TO_TRANSFER:
                self._send_data(writer, header, payload)
            elif kind == Pdu.CONTROLLER_TO_HOST_DATA:
                data += part
            else:
                assert kind == Pdu.RESPONSE, kind
                return self._status(header), data

    def close(self) -> None:
        """Close both queues."""
        for _, writer in (self._admin, self.io):
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
            queue, OPCODE_FABRICS, FABRICS_CONNECT, inside=bytes(data), words=words
        )
        assert status == 0, hex(status)
        return queue

    def _send_data(self, writer: Writer, request: bytes, payload: bytes) -> None:
        command_id, transfer_tag, offset, length = struct.unpack_from("<HHII", request)
        data = payload[offset : offset + length]
        header = struct.pack("<HHII", command_id, transfer_tag, offset, length)
        writer.write(pdu(Pdu.HOST_TO_CONTROLLER_DATA, header, data, LAST_PDU))

    def _status(self, header: bytes) -> int:
        self.result, _, _, command_id, field = struct.unpack("<QHHHH", header)
        assert command_id == self._command_id
        return int(field >> 1)
