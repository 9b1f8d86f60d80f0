"""Encoding of NVMe/TCP PDUs, and parsing of PDUs from a stream of bytes."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from sabledyke.errors import SabledykeError
from sabledyke.protocol.nvme.limits import MAX_DATA_BYTES, MAX_IN_CAPSULE_BYTES

FLAG_LAST_PDU = 0x04
"""This data PDU is the last of its transfer."""
FLAG_SUCCESS = 0x08
"""The command succeeded, and no response PDU follows this data PDU."""

_COMMON_HEADER = struct.Struct("<BBBBI")
_DATA_HEADER = struct.Struct("<HHIII")
_DIGEST_FLAGS = 0x03
_MAX_REPORTED_BYTES = 128  # limit for the part of an invalid PDU that is returned in a termination PDU


class PduType(IntEnum):
    """PDU types of the NVMe/TCP transport."""

    IC_REQ = 0x00
    IC_RESP = 0x01
    H2C_TERM = 0x02
    C2H_TERM = 0x03
    COMMAND = 0x04
    RESPONSE = 0x05
    H2C_DATA = 0x06
    C2H_DATA = 0x07
    R2T = 0x09


class FatalStatus(IntEnum):
    """The Fatal Error Status of a termination PDU: the reason for ending the connection."""

    INVALID_HEADER_FIELD = 1
    SEQUENCE_ERROR = 2
    OUT_OF_RANGE = 4
    UNSUPPORTED_PARAMETER = 6


HEADER_BYTES = {
    PduType.IC_REQ: 128,
    PduType.IC_RESP: 128,
    PduType.H2C_TERM: 24,
    PduType.C2H_TERM: 24,
    PduType.COMMAND: 72,
    PduType.RESPONSE: 24,
    PduType.H2C_DATA: 24,
    PduType.C2H_DATA: 24,
    PduType.R2T: 24,
}
_MAX_PAYLOAD_BYTES = {
    PduType.H2C_TERM: 128,
    PduType.C2H_TERM: 128,
    PduType.COMMAND: MAX_IN_CAPSULE_BYTES,
    PduType.H2C_DATA: MAX_DATA_BYTES,
    PduType.C2H_DATA: MAX_DATA_BYTES,
}


class NvmeError(SabledykeError):
    """The peer violated the protocol, and the connection must be terminated.

    Attributes:
        fatal_status: The Fatal Error Status of the termination PDU.
        fatal_information: Offset of the invalid field in the PDU's header; 0 if there is none.
        header: The start of the invalid PDU, which the termination PDU returns; empty if it does not.
    """

    code = "nvme"
    remedy = "notify the operator of that host or storage node"

    def __init__(
        self,
        text: str,
        fatal_status: FatalStatus = FatalStatus.INVALID_HEADER_FIELD,
        fatal_information: int = 0,
        header: bytes = b"",
    ) -> None:
        super().__init__(text)
        self.fatal_status = fatal_status
        self.fatal_information = fatal_information
        self.header = header


@dataclass(slots=True, frozen=True)
class ReceivedPdu:
    """A received PDU.

    Attributes:
        pdu_type: Type of the PDU.
        flags: Flags of the common header.
        header: Header after the common header.
        data: Payload.
    """

    pdu_type: PduType
    flags: int
    header: bytes
    data: bytes


@dataclass(slots=True, frozen=True)
class DataHeader:
    """The type-specific header of data PDUs and R2T PDUs.

    Attributes:
        command_id: The command that the data belongs to.
        tag: The transfer tag with which a controller identifies data that it requested; 0 in C2H data.
        offset_bytes: Offset of the data within the command's data.
        length_bytes: Length of the data.
    """

    command_id: int
    tag: int
    offset_bytes: int
    length_bytes: int

    def pack(self) -> bytes:
        """Return the header as bytes."""
        return _DATA_HEADER.pack(self.command_id, self.tag, self.offset_bytes, self.length_bytes, 0)

    @classmethod
    def unpack(cls, header: bytes) -> DataHeader:
        """Parse a PDU's header, without the common header."""
        command_id, tag, offset_bytes, length_bytes, _ = _DATA_HEADER.unpack_from(header)
        return cls(command_id, tag, offset_bytes, length_bytes)


def encode_pdu(pdu_type: PduType, header: bytes, data: bytes = b"", flags: int = 0) -> bytes:
    """Return one PDU as bytes.

    Args:
        pdu_type: Type of the PDU.
        header: Header after the common header; it is padded with zeros.
        data: Payload.
        flags: Flags of the common header.
    """
    header_bytes = HEADER_BYTES[pdu_type]
    data_offset = header_bytes if data else 0
    common = _COMMON_HEADER.pack(pdu_type, flags, header_bytes, data_offset, header_bytes + len(data))
    return common + header.ljust(header_bytes - _COMMON_HEADER.size, b"\0") + data


def encode_termination(error: NvmeError) -> bytes:
    """Return the C2HTermReq PDU that states the reason for ending a host's connection."""
    information = struct.pack("<HI", error.fatal_status, error.fatal_information)
    return encode_pdu(PduType.C2H_TERM, information, error.header[:_MAX_REPORTED_BYTES])


class PduParser:
    """Splits a stream of bytes into PDUs.

    Feed it bytes in chunks of any size and call ``next_pdu`` until it returns None. After an error the
    parser cannot be used any more.
    """

    def __init__(self) -> None:
        self._data = bytearray()

    @property
    def pending_bytes(self) -> int:
        """Number of buffered bytes that were not parsed yet."""
        return len(self._data)

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._data += data

    def next_pdu(self) -> ReceivedPdu | None:
        """Return the next complete PDU, or None if more bytes are needed.

        Raises:
            NvmeError: The bytes are not a valid or supported PDU.
        """
        if len(self._data) < _COMMON_HEADER.size:
            return None
        type_number, flags, header_bytes, data_offset, pdu_bytes = _COMMON_HEADER.unpack_from(self._data)
        if type_number not in HEADER_BYTES:
            raise self._header_error(f"unknown PDU type {type_number}", 0)
        pdu_type = PduType(type_number)
        if header_bytes != HEADER_BYTES[pdu_type]:
            raise self._header_error(f"invalid PDU header length of {header_bytes} bytes", 2)
        if flags & _DIGEST_FLAGS:
            raise self._header_error("digest flags are set, but digests were not negotiated", 1)
        data_start = data_offset if pdu_bytes > header_bytes else header_bytes
        too_long = pdu_bytes - data_start > _MAX_PAYLOAD_BYTES.get(pdu_type, 0)
        if not header_bytes <= data_start <= pdu_bytes or too_long:
            raise self._header_error(
                f"invalid PDU length of {pdu_bytes} bytes with data offset {data_offset}", 4
            )
        if len(self._data) < pdu_bytes:
            return None
        header = bytes(self._data[_COMMON_HEADER.size : header_bytes])
        data = bytes(self._data[data_start:pdu_bytes])
        del self._data[:pdu_bytes]
        return ReceivedPdu(pdu_type, flags, header, data)

    def _header_error(self, text: str, field_offset: int) -> NvmeError:
        start_of_pdu = bytes(self._data[:_MAX_REPORTED_BYTES])
        return NvmeError(text, FatalStatus.INVALID_HEADER_FIELD, field_offset, start_of_pdu)
