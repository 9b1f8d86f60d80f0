"""The one place where these tests name what is inside the NVMe module: adjust it when names change."""

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

NAMESPACES = {1: (4096, 128), 7: (1 << 33, 0)}  # number: blocks, and blocks that commands may not cross
NQN, HOST_NQN, HOST_ID = "nqn.2026-12.example:front", "nqn.2026-12.example:host", bytes(range(16))
HOST = HostIdentity(HOST_ID, HOST_NQN)
ProtocolError = NvmeError


class TargetMachine:
    """Our side where hosts connect: bytes in, bytes out, and the commands that wait for an answer."""

    def __init__(self, subsystem: Subsystem | None = None) -> None:
        spaces = {number: Namespace(*sizes) for number, sizes in NAMESPACES.items()}
        self.subsystem = subsystem or Subsystem(NQN, spaces)
        self._target = Target(self.subsystem)
        self.waiting: list[tuple[int, bytes]] = []  # command ids with the data of writes

    def receive(self, data: bytes) -> bytes:
        """Take a host's bytes and return what is sent back; a protocol error only ends the connection."""
        try:
            taken = self._target.feed(data)
        except NvmeError:
            taken = []
        self.waiting += [(command.command_id, payload) for command, payload in taken]
        return self.sent()

    def sent(self) -> bytes:
        """What is to be sent since the last look."""
        data, self._target.output = bytes(self._target.output), bytearray()
        return data

    def served(self, cid: int, data: bytes = b"") -> bytes:
        """Complete a command with success."""
        self._target.complete(Completion(cid, Status.OK), data)
        return self.sent()

    def rejected(self, cid: int, delay: int) -> bytes:
        """Complete a command with Namespace Not Ready, to come again after a delay by its index."""
        self._target.complete(Completion(cid, Status.NOT_READY, retry_delay_index=delay))
        return self.sent()

    def failed(self, cid: int) -> bytes:
        """Complete a command with Internal Error, not to come again."""
        self._target.complete(Completion(cid, Status.INTERNAL, do_not_retry=True))
        return self.sent()


class InitiatorMachine:
    """Our side where we connect to a storage node: commands in, bytes out."""

    def __init__(self) -> None:
        self._initiator = Initiator()

    def _submit(self, command: Command, data: bytes = b"", *, inside: bool = False) -> bytes:
        self._initiator.submit(command, data, in_capsule=inside)
        return self.sent()

    def sent(self) -> bytes:
        """What is to be sent since the last look."""
        data, self._initiator.output = bytes(self._initiator.output), bytearray()
        return data

    def connect(self, queue: int, controller: int = DYNAMIC_CONTROLLER_ID) -> bytes:
        """Connect a queue."""
        return self._submit(*connect_command(NQN, queue, controller, HOST, 15000), inside=True)

    def read_property(self, offset: int) -> bytes:
        """Property Get."""
        return self._submit(property_get_command(Property(offset)))

    def write_property(self, offset: int, value: int) -> bytes:
        """Property Set."""
        return self._submit(property_set_command(Property(offset), value))

    def admin(self, opcode: int, namespace: int = 0, size: int = 0, *words: int) -> bytes:
        """Any other command of the admin queue, with its CDW10 and up."""
        padded = (*words, *(0 for _ in range(6 - len(words))))
        first, second, third, fourth, fifth, sixth = padded
        command = Command(opcode, 0, namespace, sgl_length=size)
        command.dwords = (first, second, third, fourth, fifth, sixth)
        return self._submit(command)

    def read(self, namespace: int, block: int, size: int) -> bytes:
        """Read whole blocks."""
        return self._submit(transfer_command(Opcode.READ, namespace, block, size))

    def write(self, namespace: int, block: int, data: bytes, key: int, *, inside: bool = False) -> bytes:
        """Write whole blocks under an idempotency key."""
        return self._submit(
            transfer_command(Opcode.WRITE, namespace, block, len(data), key), data, inside=inside
        )

    def receive(self, data: bytes) -> list[tuple[int, bool, int, int, bytes]]:
        """Take a node's bytes; returns completions: status, DNR, retry delay, result, and data read."""
        return [
            (done.status, done.do_not_retry, done.retry_delay_index, done.result, read)
            for done, read in self._initiator.feed(data)
        ]
