"""The host's side of one NVMe/TCP connection."""

from __future__ import annotations

import struct

from sabledyke.protocol.nvme.commands import (
    SGL_IN_CAPSULE,
    SGL_TRANSPORT_DATA,
    Command,
    Completion,
    Response,
)
from sabledyke.protocol.nvme.limits import MAX_DATA_BYTES
from sabledyke.protocol.nvme.pdu import (
    FLAG_LAST_PDU,
    FLAG_SUCCESS,
    DataHeader,
    FatalStatus,
    NvmeError,
    PduParser,
    PduType,
    ReceivedPdu,
    encode_pdu,
)
from sabledyke.protocol.nvme.status import Status

_MAX_COMMAND_ID = 0xFFFE
_MIN_DATA_PDU_BYTES = 4096
_VERSION_OFFSET = 8  # offset of the protocol version in the header of an ICResp
_COMMAND_ID_OFFSET = 8  # offset in the header of a data PDU
_MAX_PDUS_PER_CALL = 64  # limit of the PDUs that one call of ``feed`` processes


class Initiator:
    """Sends one command at a time, and receives its completion and data.

    Attributes:
        output: Bytes to write to the connection; the caller writes and clears them.
        paused: True if the last call of ``feed`` ended before it had processed all PDUs, so that others have
            their turn; the caller calls it again, without further bytes.
        write_data_sent: True if data of the current command was added to ``output`` in data PDUs.
    """

    def __init__(self) -> None:
        self.output = bytearray(encode_pdu(PduType.IC_REQ, b""))
        self.paused = False
        self.write_data_sent = False
        self._parser = PduParser()
        self._initialized = False  # the ICResp was received
        self._max_data_pdu_bytes = MAX_DATA_BYTES
        self._command: Command | None = None
        self._write_data = b""
        self._requested_bytes = 0  # data of the command that the controller has requested
        self._read_data = bytearray()
        self._last_command_id = 0

    @property
    def has_surplus_input(self) -> bool:
        """True if bytes follow the response to the last command; the connection cannot be reused then."""
        return self._parser.pending_bytes > 0

    def submit(self, command: Command, data: bytes = b"", *, in_capsule: bool = False) -> None:
        """Send a command, and set its id and the type of its SGL.

        Args:
            command: The command.
            data: The data that it transfers to the controller.
            in_capsule: Whether the data is sent in the command's capsule; otherwise it is sent when the
                controller requests it.

        Raises:
            ValueError: Another command is in flight.
        """
        if self._command is not None:
            raise ValueError("another command is in flight")
        self._last_command_id = self._last_command_id % _MAX_COMMAND_ID + 1
        command.command_id = self._last_command_id
        if data:
            command.sgl_length = len(data)
        if command.sgl_length:
            command.sgl_type = SGL_IN_CAPSULE if data and in_capsule else SGL_TRANSPORT_DATA
        self._command = command
        self._write_data = data
        self._requested_bytes = 0
        self._read_data = bytearray()
        self.write_data_sent = False
        self.output += encode_pdu(PduType.COMMAND, command.pack(), data if in_capsule else b"")

    def feed(self, data: bytes) -> list[Response]:
        """Process received bytes.

        Returns:
            The response to the command if it is complete, otherwise an empty list. Bytes after the response
            are not parsed, so that an error in them cannot discard it; see ``has_surplus_input``.

        Raises:
            NvmeError: The controller violated the protocol.
        """
        self._parser.feed(data)
        self.paused = False
        for _ in range(_MAX_PDUS_PER_CALL):
            pdu = self._parser.next_pdu()
            if pdu is None:
                return []
            response = self._on_pdu(pdu)
            if response is not None:
                return [response]
        self.paused = True
        return []

    def _on_pdu(self, pdu: ReceivedPdu) -> Response | None:
        if pdu.pdu_type is PduType.IC_RESP and not self._initialized:
            self._on_connection_initialized(pdu)
            return None
        command = self._command
        if not self._initialized or command is None:
            raise NvmeError("PDU out of sequence", FatalStatus.SEQUENCE_ERROR)
        if pdu.pdu_type is PduType.RESPONSE:
            return self._on_response(command, Completion.unpack(pdu.header))
        header = DataHeader.unpack(pdu.header)
        if header.command_id != command.command_id:
            raise NvmeError(
                "PDU for a command that is not in flight",
                FatalStatus.INVALID_HEADER_FIELD,
                _COMMAND_ID_OFFSET,
            )
        if pdu.pdu_type is PduType.R2T:
            self._send_write_data(header)
            return None
        if pdu.pdu_type is PduType.C2H_DATA:
            return self._on_read_data(command, header, pdu)
        raise NvmeError("PDU type is not valid from controller to host", FatalStatus.INVALID_HEADER_FIELD)

    def _on_connection_initialized(self, pdu: ReceivedPdu) -> None:
        version, alignment, digests, max_data_pdu_bytes = struct.unpack_from("<HBBI", pdu.header)
        if version or alignment or digests or max_data_pdu_bytes < _MIN_DATA_PDU_BYTES:
            raise NvmeError(
                "unsupported parameters in ICResp", FatalStatus.UNSUPPORTED_PARAMETER, _VERSION_OFFSET
            )
        self._max_data_pdu_bytes = max_data_pdu_bytes
        self._initialized = True

    def _on_response(self, command: Command, completion: Completion) -> Response:
        if completion.command_id != command.command_id:
            raise NvmeError("completion for a command that is not in flight", FatalStatus.SEQUENCE_ERROR)
        expected_bytes = 0 if self._write_data else command.sgl_length
        if completion.status == Status.OK and len(self._read_data) != expected_bytes:
            raise NvmeError("completion before all data", FatalStatus.SEQUENCE_ERROR)
        return self._finish(completion)

    def _send_write_data(self, request: DataHeader) -> None:
        end_bytes = request.offset_bytes + request.length_bytes
        if not request.length_bytes or end_bytes > len(self._write_data):
            raise NvmeError("R2T is empty or exceeds the data of the command", FatalStatus.OUT_OF_RANGE)
        self._requested_bytes += request.length_bytes
        if self._requested_bytes > len(self._write_data):
            raise NvmeError("R2Ts request data of the command again", FatalStatus.OUT_OF_RANGE)
        self.write_data_sent = True
        for offset_bytes in range(request.offset_bytes, end_bytes, self._max_data_pdu_bytes):
            chunk = self._write_data[offset_bytes : min(offset_bytes + self._max_data_pdu_bytes, end_bytes)]
            flags = FLAG_LAST_PDU if offset_bytes + len(chunk) == end_bytes else 0
            header = DataHeader(request.command_id, request.tag, offset_bytes, len(chunk))
            self.output += encode_pdu(PduType.H2C_DATA, header.pack(), chunk, flags)

    def _on_read_data(self, command: Command, header: DataHeader, pdu: ReceivedPdu) -> Response | None:
        in_order = header.offset_bytes == len(self._read_data)
        if self._write_data or not in_order or header.length_bytes != len(pdu.data):
            raise NvmeError("data out of range", FatalStatus.OUT_OF_RANGE)
        if len(self._read_data) + header.length_bytes > command.sgl_length:
            raise NvmeError("data out of range", FatalStatus.OUT_OF_RANGE)
        self._read_data += pdu.data
        if not (pdu.flags & FLAG_SUCCESS and pdu.flags & FLAG_LAST_PDU):
            return None
        if len(self._read_data) != command.sgl_length:
            raise NvmeError("completion before all data", FatalStatus.SEQUENCE_ERROR)
        return self._finish(Completion(header.command_id, Status.OK))

    def _finish(self, completion: Completion) -> Response:
        self._command = None
        return Response(completion, bytes(self._read_data))
