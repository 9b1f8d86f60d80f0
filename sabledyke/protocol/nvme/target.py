"""The controller's side of one NVMe/TCP connection."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

from sabledyke.protocol.nvme.admin import (
    ADMIN_QUEUE_ID,
    Reply,
    execute_admin_command,
    execute_fabrics_command,
)
from sabledyke.protocol.nvme.commands import (
    CONNECT_DATA_BYTES,
    DYNAMIC_CONTROLLER_ID,
    SGL_IN_CAPSULE,
    SGL_TRANSPORT_DATA,
    AdminOpcode,
    Command,
    Completion,
    ConnectRequest,
    FabricsType,
    IoOpcode,
    Submission,
)
from sabledyke.protocol.nvme.io_checks import immediate_status
from sabledyke.protocol.nvme.limits import MAX_DATA_BYTES, MAX_IO_QUEUES, QUEUE_ENTRIES
from sabledyke.protocol.nvme.pdu import (
    FLAG_LAST_PDU,
    DataHeader,
    FatalStatus,
    NvmeError,
    PduParser,
    PduType,
    ReceivedPdu,
    encode_pdu,
    encode_termination,
)
from sabledyke.protocol.nvme.status import Status
from sabledyke.protocol.nvme.subsystem import Controller, Subsystem

_NOT_CONNECTED = -1
_TAGS = 0x10000
_MIN_QUEUE_ENTRIES = 2
_VERSION_OFFSET = 8  # offset of the protocol version in the header of an ICReq
_COMMAND_ID_OFFSET = 8  # offset in the header of a data PDU
_MAX_PDUS_PER_CALL = 64  # limit of the PDUs that one call of ``feed`` processes


@dataclass(slots=True)
class _WriteTransfer:
    """A write whose data is being received."""

    command: Command
    tag: int
    data: bytearray = field(default_factory=bytearray)


class Target:
    """Receives the commands of one queue of a host, and answers them.

    ``feed`` takes the connection's bytes and returns the reads and writes that a storage node has to execute.
    The caller completes these with ``complete``, in any order. The target answers all other commands itself.

    Attributes:
        subsystem: The subsystem that the host connects to.
        output: Bytes to write to the connection; the caller writes and clears them.
        controller: The host's controller; None before the queue is connected and after ``close``.
        queue_id: The queue that the connection carries; negative before it is connected.
        keep_alive_ms: Time without a command after which the host counts as failed; 0 for never.
        paused: True if the last call of ``feed`` ended before it had processed all PDUs, so that others have
            their turn; the caller calls it again, without further bytes.
        pdus_received: Number of complete PDUs received.
        violation: The host's violation of the protocol; None without one.
    """

    def __init__(self, subsystem: Subsystem) -> None:
        self.subsystem = subsystem
        self.output = bytearray()
        self.controller: Controller | None = None
        self.queue_id = _NOT_CONNECTED
        self.keep_alive_ms = 0
        self.paused = False
        self.pdus_received = 0
        self.violation: NvmeError | None = None
        self._parser = PduParser()
        self._initialized = False  # the ICReq was answered
        self._transfers: dict[int, _WriteTransfer] = {}  # by command id
        self._outstanding: dict[
            int, Command
        ] = {}  # commands returned by feed and not completed, by command id
        self._queue_entries = QUEUE_ENTRIES
        self._queue_head = 0
        self._last_tag = 0

    @property
    def idle(self) -> bool:
        """True if no command is outstanding or partly received."""
        return not self._outstanding and not self.has_partial_input

    @property
    def has_partial_input(self) -> bool:
        """True if a PDU or the data of a write is incomplete."""
        return bool(self._transfers or self._parser.pending_bytes)

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that are buffered: input, data of incomplete writes, and output."""
        transfer_bytes = sum(len(transfer.data) for transfer in self._transfers.values())
        return self._parser.pending_bytes + transfer_bytes + len(self.output)

    def feed(self, data: bytes) -> list[Submission]:
        """Process received bytes.

        Returns:
            The reads, and the writes with their data, which the caller has to execute and complete; those
            that precede a violation of the protocol in ``data`` as well.

        Raises:
            NvmeError: The host violated the protocol, and no read or write precedes that in ``data``. The
                caller completes outstanding commands, calls ``terminate`` and closes the connection.
        """
        self._parser.feed(data)
        submissions: list[Submission] = []
        last_pdu = self.pdus_received + _MAX_PDUS_PER_CALL
        self.paused = False
        try:
            while (pdu := self._parser.next_pdu()) is not None:
                self.pdus_received += 1
                submissions += self._on_pdu(pdu)
                if self.pdus_received == last_pdu:
                    self.paused = True
                    break
        except NvmeError as error:
            self.violation = error
            if not submissions:
                raise
        return submissions

    def terminate(self) -> None:
        """Notify the host that the connection is terminated because of its violation of the protocol."""
        if self.violation is not None:
            self.output += encode_termination(self.violation)

    def complete(self, completion: Completion, data: bytes = b"") -> None:
        """Answer a command that ``feed`` returned; a completion of any other command is ignored.

        Args:
            completion: The completion of the command.
            data: Data of a read, which is sent before the completion.
        """
        if self._outstanding.pop(completion.command_id, None) is not None:
            self._send_response(completion, data)

    def close(self) -> None:
        """Release the queue after its connection has ended, and the controller if it is the admin queue."""
        self.violation = None  # the traceback of the error refers to the connection
        if self.controller is None:
            return
        self.controller.queue_ids.discard(self.queue_id)
        if self.queue_id == ADMIN_QUEUE_ID:
            self.subsystem.controllers.pop(self.controller.controller_id, None)
        self.controller = None

    def _on_pdu(self, pdu: ReceivedPdu) -> list[Submission]:
        if pdu.pdu_type is PduType.H2C_TERM:
            raise NvmeError("the host terminated the connection (H2CTermReq)", FatalStatus.SEQUENCE_ERROR)
        if (pdu.pdu_type is PduType.IC_REQ) is self._initialized:
            raise NvmeError("PDU out of sequence", FatalStatus.SEQUENCE_ERROR)
        if pdu.pdu_type is PduType.IC_REQ:
            self._on_initialize_connection(pdu)
            return []
        if pdu.pdu_type is PduType.COMMAND:
            return self._on_command(Command.unpack(pdu.header), pdu.data)
        if pdu.pdu_type is PduType.H2C_DATA:
            return self._on_write_data(pdu)
        raise NvmeError("PDU type is not valid from host to controller", FatalStatus.INVALID_HEADER_FIELD)

    def _on_initialize_connection(self, pdu: ReceivedPdu) -> None:
        version, alignment = struct.unpack_from("<HB", pdu.header)
        if version != 0 or alignment != 0:
            raise NvmeError(
                "unsupported parameters in ICReq", FatalStatus.UNSUPPORTED_PARAMETER, _VERSION_OFFSET
            )
        self._initialized = True
        self.output += encode_pdu(PduType.IC_RESP, struct.pack("<HBBI", 0, 0, 0, MAX_DATA_BYTES))

    def _on_command(self, command: Command, data: bytes) -> list[Submission]:
        command_id = command.command_id
        if command_id in self._outstanding or command_id in self._transfers:
            raise NvmeError(f"command id {command_id} is in use", FatalStatus.SEQUENCE_ERROR)
        if len(self._outstanding) + len(self._transfers) >= self._queue_entries:
            raise NvmeError("more commands than the queue has entries", FatalStatus.SEQUENCE_ERROR)
        self._queue_head = (self._queue_head + 1) % self._queue_entries
        if self.queue_id == _NOT_CONNECTED:
            self._reply(command, self._execute_before_connect(command, data))
            return []
        if self.controller is None:  # ``close`` was called
            self._reply(command, Reply(Status.SEQUENCE))
            return []
        if command.opcode == AdminOpcode.FABRICS:
            self._reply(command, execute_fabrics_command(command, self.controller, self.queue_id))
            return []
        if self.queue_id == ADMIN_QUEUE_ID:
            self._reply(command, execute_admin_command(command, self.subsystem, self.controller))
            return []
        return self._on_io_command(command, data, self.controller)

    def _execute_before_connect(self, command: Command, data: bytes) -> Reply:
        if command.opcode != AdminOpcode.FABRICS or command.fabrics_type != FabricsType.CONNECT:
            return Reply(Status.SEQUENCE)
        request = ConnectRequest.parse(command, data)
        if request.record_format != 0:
            return Reply(Status.CONNECT_FORMAT)
        if len(data) != CONNECT_DATA_BYTES:
            return Reply(Status.CONNECT_PARAMETERS)
        if not _MIN_QUEUE_ENTRIES <= request.queue_entries <= QUEUE_ENTRIES:
            return Reply(Status.CONNECT_PARAMETERS)
        if request.subsystem_nqn != self.subsystem.nqn:
            return Reply(Status.CONNECT_PARAMETERS)
        controller = self._controller_for(request)
        if controller is None:
            return Reply(Status.CONNECT_PARAMETERS)
        controller.queue_ids.add(request.queue_id)
        self.controller = controller
        self.queue_id = request.queue_id
        self._queue_entries = request.queue_entries
        return Reply(Status.OK, controller.controller_id)

    def _controller_for(self, request: ConnectRequest) -> Controller | None:
        """Create the controller of an admin queue, or return the existing one of an I/O queue."""
        if request.queue_id == ADMIN_QUEUE_ID:
            if request.controller_id != DYNAMIC_CONTROLLER_ID:
                return None
            self.keep_alive_ms = request.keep_alive_ms
            return self.subsystem.create_controller(request.host_identity)
        controller = self.subsystem.controllers.get(request.controller_id)
        if controller is None or controller.host_identity != request.host_identity:
            return None
        if not controller.enabled or request.queue_id in controller.queue_ids:
            return None
        return controller if request.queue_id <= MAX_IO_QUEUES else None

    def _on_io_command(self, command: Command, data: bytes, controller: Controller) -> list[Submission]:
        status = immediate_status(command, self.subsystem, controller)
        if status is not None:
            self._reply(command, Reply(status))
            return []
        if command.opcode == IoOpcode.READ:
            return [self._submit(command, b"")]
        in_capsule = command.sgl_type == SGL_IN_CAPSULE
        if in_capsule and len(data) == command.sgl_length and not command.sgl_address:
            return [self._submit(command, data)]
        if command.sgl_type == SGL_TRANSPORT_DATA and not data:
            self._request_write_data(command)
            return []
        self._reply(command, Reply(Status.INVALID_FIELD))
        return []

    def _request_write_data(self, command: Command) -> None:
        self._last_tag = (self._last_tag + 1) % _TAGS
        self._transfers[command.command_id] = _WriteTransfer(command, self._last_tag)
        header = DataHeader(command.command_id, self._last_tag, 0, command.sgl_length)
        self.output += encode_pdu(PduType.R2T, header.pack())

    def _on_write_data(self, pdu: ReceivedPdu) -> list[Submission]:
        header = DataHeader.unpack(pdu.header)
        transfer = self._transfers.get(header.command_id)
        if transfer is None or transfer.tag != header.tag:
            error = "data PDU for a transfer that was not requested"
            raise NvmeError(error, FatalStatus.INVALID_HEADER_FIELD, _COMMAND_ID_OFFSET)
        size_bytes = transfer.command.sgl_length
        end_bytes = header.offset_bytes + header.length_bytes
        in_order = header.offset_bytes == len(transfer.data)
        if not in_order or not 0 < header.length_bytes == len(pdu.data) or end_bytes > size_bytes:
            raise NvmeError("data out of range", FatalStatus.OUT_OF_RANGE)
        transfer.data += pdu.data
        complete = len(transfer.data) == size_bytes
        if bool(pdu.flags & FLAG_LAST_PDU) != complete:
            raise NvmeError(
                "the flag of the last data PDU does not match the end of the data", FatalStatus.OUT_OF_RANGE
            )
        if not complete:
            return []
        del self._transfers[header.command_id]
        return [self._submit(transfer.command, bytes(transfer.data))]

    def _submit(self, command: Command, data: bytes) -> Submission:
        self._outstanding[command.command_id] = command
        return Submission(command, data)

    def _reply(self, command: Command, reply: Reply) -> None:
        """Complete a command that ``feed`` does not return to the caller."""
        failed = reply.status is not Status.OK
        completion = Completion(command.command_id, reply.status, reply.result, do_not_retry=failed)
        self._send_response(completion, reply.data)

    def _send_response(self, completion: Completion, data: bytes) -> None:
        if data:
            header = DataHeader(completion.command_id, 0, 0, len(data))
            self.output += encode_pdu(PduType.C2H_DATA, header.pack(), data, FLAG_LAST_PDU)
        queue_id = max(self.queue_id, ADMIN_QUEUE_ID)
        self.output += encode_pdu(PduType.RESPONSE, completion.pack(self._queue_head, queue_id))
