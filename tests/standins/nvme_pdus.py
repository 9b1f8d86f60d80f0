"""Encoding and decoding of NVMe/TCP PDUs."""

from __future__ import annotations

import struct
from enum import IntEnum

from tests.standins.service import Reader

COMMON_HEADER = "<BBBBI"
COMMON_HEADER_SIZE = 8
LAST_PDU = 4  # flag of the last data PDU of a command


class Pdu(IntEnum):
    """PDU types of NVMe/TCP."""

    INITIALIZE_REQUEST = 0
    INITIALIZE_RESPONSE = 1
    COMMAND = 4
    RESPONSE = 5
    HOST_TO_CONTROLLER_DATA = 6
    CONTROLLER_TO_HOST_DATA = 7
    READY_TO_TRANSFER = 9


HEADER_SIZES: dict[int, int] = {Pdu.INITIALIZE_REQUEST: 128, Pdu.INITIALIZE_RESPONSE: 128, Pdu.COMMAND: 72}
OTHER_HEADER_SIZE = 24


def pdu(kind: int, header: bytes, data: bytes = b"", flags: int = 0) -> bytes:
    """Return a PDU; ``header`` is the type-specific header after the common header."""
    size = HEADER_SIZES.get(kind, OTHER_HEADER_SIZE)
    start = struct.pack(COMMON_HEADER, kind, flags, size, size if data else 0, size + len(data))
    return (start + header).ljust(size, b"\0") + data


async def read_pdu(reader: Reader) -> tuple[int, bytes, bytes]:
    """Read a PDU; return its type, its type-specific header and its data."""
    kind, _, header_size, _, total_size = struct.unpack(
        COMMON_HEADER, await reader.readexactly(COMMON_HEADER_SIZE)
    )
    body = await reader.readexactly(total_size - COMMON_HEADER_SIZE)
    data_offset = header_size - COMMON_HEADER_SIZE
    return kind, body[:data_offset], body[data_offset:]
