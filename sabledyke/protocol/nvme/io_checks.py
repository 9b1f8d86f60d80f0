"""Checks of I/O commands before they are sent to a storage node."""

from __future__ import annotations

from sabledyke.protocol.nvme.commands import Command, IoOpcode
from sabledyke.protocol.nvme.limits import BLOCK_BYTES, MAX_DATA_BYTES
from sabledyke.protocol.nvme.status import Status
from sabledyke.protocol.nvme.subsystem import Controller, Subsystem

_ALL_NAMESPACES = 0xFFFFFFFF
_OPCODES = (IoOpcode.READ, IoOpcode.WRITE, IoOpcode.FLUSH)


def immediate_status(command: Command, subsystem: Subsystem, controller: Controller) -> Status | None:
    """Return the status of an I/O command that is completed without a storage node.

    A flush succeeds immediately: nothing is cached here, and acknowledged data is on its storage node.

    Returns:
        The status, or None for a read or write that a storage node has to execute.
    """
    if command.opcode not in _OPCODES:
        return Status.INVALID_OPCODE
    if not controller.enabled:
        return Status.SEQUENCE
    namespace = subsystem.namespaces.get(command.namespace_id)
    if command.opcode == IoOpcode.FLUSH:
        known = namespace is not None or command.namespace_id == _ALL_NAMESPACES
        return Status.OK if known else Status.INVALID_NAMESPACE
    if namespace is None:
        return Status.INVALID_NAMESPACE
    if not namespace.has_range(command.start_block, command.block_count):
        return Status.LBA_RANGE
    if namespace.crosses_boundary(command.start_block, command.block_count):
        return Status.INVALID_FIELD
    size_bytes = command.block_count * BLOCK_BYTES
    if size_bytes > MAX_DATA_BYTES or command.sgl_length != size_bytes:
        return Status.INVALID_FIELD
    return None
