"""Execution of admin commands, and of fabrics commands after Connect."""

from __future__ import annotations

from dataclasses import dataclass

from sabledyke.protocol.nvme.commands import AdminOpcode, Command, FabricsType, Property
from sabledyke.protocol.nvme.identify import IdentifyTarget, identify_page
from sabledyke.protocol.nvme.limits import MAX_IO_QUEUES
from sabledyke.protocol.nvme.status import Status
from sabledyke.protocol.nvme.subsystem import Controller, Subsystem

ADMIN_QUEUE_ID = 0

_FEATURE_NUMBER_OF_QUEUES = 0x07


@dataclass(slots=True, frozen=True)
class Reply:
    """Result of a command that is executed without a storage node.

    Attributes:
        status: Status of the completion; a failed command must not be retried.
        result: Result of the completion; 0 if the command has none.
        data: Data that is sent before the completion.
    """

    status: Status
    result: int = 0
    data: bytes = b""


def execute_fabrics_command(command: Command, controller: Controller, queue_id: int) -> Reply:
    """Execute a fabrics command on a connected queue."""
    if command.fabrics_type == FabricsType.CONNECT:
        return Reply(Status.SEQUENCE)
    if queue_id != ADMIN_QUEUE_ID:
        return Reply(Status.INVALID_OPCODE)
    if command.fabrics_type == FabricsType.PROPERTY_SET:
        return _set_property(command, controller)
    if command.fabrics_type == FabricsType.PROPERTY_GET:
        return _get_property(command, controller)
    return Reply(Status.INVALID_OPCODE)


def execute_admin_command(command: Command, subsystem: Subsystem, controller: Controller) -> Reply:
    """Execute a command of the admin queue other than a fabrics command."""
    if command.opcode == AdminOpcode.KEEP_ALIVE:
        return Reply(Status.OK)
    if not controller.enabled:
        return Reply(Status.SEQUENCE)
    if command.opcode == AdminOpcode.SET_FEATURES:
        return _set_features(command)
    if command.opcode == AdminOpcode.IDENTIFY:
        return _identify(command, subsystem, controller)
    return Reply(Status.INVALID_OPCODE)


def _set_property(command: Command, controller: Controller) -> Reply:
    if command.dwords[1] != Property.CC:
        return Reply(Status.INVALID_FIELD)
    controller.configuration = command.dwords[2]
    return Reply(Status.OK)


def _get_property(command: Command, controller: Controller) -> Reply:
    value = controller.property_value(command.dwords[1])
    if value is None:
        return Reply(Status.INVALID_FIELD)
    return Reply(Status.OK, value)


def _set_features(command: Command) -> Reply:
    """Grant I/O queues; their number is the only feature that can be set, and its counts are zero-based."""
    if command.dwords[0] & 0xFF != _FEATURE_NUMBER_OF_QUEUES:
        return Reply(Status.INVALID_FIELD)
    submission_queues = min(command.dwords[1] & 0xFFFF, MAX_IO_QUEUES - 1)
    completion_queues = min(command.dwords[1] >> 16, MAX_IO_QUEUES - 1)
    return Reply(Status.OK, submission_queues | completion_queues << 16)


def _identify(command: Command, subsystem: Subsystem, controller: Controller) -> Reply:
    cns = command.dwords[0] & 0xFF
    page = identify_page(cns, command.namespace_id, subsystem, controller)
    if page is None:
        is_namespace_page = cns in (IdentifyTarget.NAMESPACE, IdentifyTarget.NAMESPACE_DESCRIPTORS)
        return Reply(Status.INVALID_NAMESPACE if is_namespace_page else Status.INVALID_FIELD)
    if command.sgl_length < len(page):
        return Reply(Status.INVALID_FIELD)
    return Reply(Status.OK, data=page)
