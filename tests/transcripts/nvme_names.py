"""Adapter of the NVMe module for the transcript tests: only this file changes when names in the module do."""

from __future__ import annotations

from sabledyke.protocol.nvme import (
    DYNAMIC_CONTROLLER_ID,
    Command,
    Completion,
    HostIdentity,
    Initiator,
    Namespace,
    NvmeError,
    Property,
    Status,
    Subsystem,
    Target,
    connect_command,
    property_get_command,
    property_set_command,
    transfer_command,
)
from sabledyke.protocol.nvme import IoOpcode as Opcode

NAMESPACES = {1: (4096, 128), 7: (1 << 33, 0)}  # by number: size and I/O boundary in blocks
NQN, HOST_NQN, HOST_ID = "nqn.2026-12.example:front", "nqn.2026-12.example:host", bytes(range(16))
HOST = HostIdentity(HOST_ID, HOST_NQN)
ProtocolError = NvmeError


class TargetMachine:
    """The program's target side without a socket: bytes in and out, and commands that await completion."""

    def __init__(self, subsystem: Subsystem | None = None) -> None:
        spaces = {number: Namespace(*sizes) for number, sizes in NAMESPACES.items()}
        self.subsystem = subsystem or Subsystem(NQN, spaces)
        self._target = Target(self.subsystem)
        self.pending: list[tuple[int, bytes]] = []  # command id and data of a write

    def receive(self, data: bytes) -> bytes:
        """Process a host's bytes, and return the bytes to send back, also after a protocol error."""
        try:
            commands = self._target.feed(data)
        except NvmeError:
            commands = []
        self.pending += [(command.command_id, payload) for command, payload in commands]
        self._target.terminate()
        return self.take_output()

    def take_output(self) -> bytes:
        """Return the bytes to send, and clear the output buffer."""
        data, self._target.output = bytes(self._target.output), bytearray()
        return data

    def complete(self, cid: int, data: bytes = b"") -> bytes:
        """Complete a command with success."""
        self._target.complete(Completion(cid, Status.OK), data)
        return self.take_output()

    def reject(self, cid: int, delay: int) -> bytes:
        """Complete a command with Namespace Not Ready and the index of a retry delay."""
        self._target.complete(Completion(cid, Status.NOT_READY, retry_delay_index=delay))
        return self.take_output()

    def fail(self, cid: int) -> bytes:
        """Complete a command with Internal Error and Do Not Retry."""
        self._target.complete(Completion(cid, Status.INTERNAL, do_not_retry=True))
        return self.take_output()


class InitiatorMachine:
    """The program's initiator side without a socket: commands in, bytes out."""

    def __init__(self) -> None:
        self._initiator = Initiator()

    def _submit(self, command: Command, data: bytes = b"", *, in_capsule: bool = False) -> bytes:
        self._initiator.submit(command, data, in_capsule=in_capsule)
        return self.take_output()

    def take_output(self) -> bytes:
        """Return the bytes to send, and clear the output buffer."""
        data, self._initiator.output = bytes(self._initiator.output), bytearray()
        return data

    def connect(self, queue: int, controller: int = DYNAMIC_CONTROLLER_ID) -> bytes:
        """Submit a Connect command for a queue."""
        return self._submit(*connect_command(NQN, queue, controller, HOST, 15000), in_capsule=True)

    def read_property(self, offset: int) -> bytes:
        """Submit a Property Get command."""
        return self._submit(property_get_command(Property(offset)))

    def write_property(self, offset: int, value: int) -> bytes:
        """Submit a Property Set command."""
        return self._submit(property_set_command(Property(offset), value))

    def admin(self, opcode: int, namespace: int = 0, size: int = 0, *words: int) -> bytes:
        """Submit any other command of the admin queue, with its dwords from CDW10 on."""
        padded = (*words, *(0 for _ in range(6 - len(words))))
        first, second, third, fourth, fifth, sixth = padded
        command = Command(opcode, 0, namespace, sgl_length=size)
        command.dwords = (first, second, third, fourth, fifth, sixth)
        return self._submit(command)

    def read(self, namespace: int, block: int, size: int) -> bytes:
        """Submit a read of whole blocks."""
        return self._submit(transfer_command(Opcode.READ, namespace, block, size))

    def write(self, namespace: int, block: int, data: bytes, key: int, *, in_capsule: bool = False) -> bytes:
        """Submit a write of whole blocks with an idempotency key."""
        return self._submit(
            transfer_command(Opcode.WRITE, namespace, block, len(data), key), data, in_capsule=in_capsule
        )

    def receive(self, data: bytes) -> list[tuple[int, bool, int, int, bytes]]:
        """Process a node's bytes; return completions: status, DNR, retry delay index, result, data read."""
        return [
            (done.status, done.do_not_retry, done.retry_delay_index, done.result, read)
            for done, read in self._initiator.feed(data)
        ]
