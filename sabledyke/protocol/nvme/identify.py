"""The data structures that Identify commands return."""

from __future__ import annotations

import struct
from enum import IntEnum

from sabledyke.protocol.nvme.limits import BLOCK_BYTES, MAX_IN_CAPSULE_BYTES, QUEUE_ENTRIES
from sabledyke.protocol.nvme.status import RETRY_DELAYS_MS
from sabledyke.protocol.nvme.subsystem import NVME_VERSION, Controller, Namespace, Subsystem

_PAGE_BYTES = 4096
_MAX_LISTED_NAMESPACES = 1024
_SERIAL_NUMBER = b"sabledyke"
_MODEL_NUMBER = b"sabledyke I/O scheduler"
_FIRMWARE_REVISION = b"0.1"
_MAX_TRANSFER_EXPONENT = 4  # 16 pages of 4 KiB
_IO_CONTROLLER = 1
_RETRY_DELAY_UNIT_MS = 100
_KEEP_ALIVE_UNITS_OF_100_MS = 10
_QUEUE_ENTRY_SIZES = b"\x66\x44"  # 64 and 16 bytes
_SGL_SUPPORT = 1 | 1 << 20  # SGLs, including data inside capsules
_CAPSULE_UNIT_BYTES = 16
_SUBMISSION_ENTRY_BYTES = 64
_COMPLETION_ENTRY_UNITS = 1
_MAX_DATA_DESCRIPTORS = 1
_MAX_BOUNDARY_BLOCKS = 0xFFFF
_UUID_DESCRIPTOR_HEADER = b"\x03\x10\0\0"


class IdentifyTarget(IntEnum):
    """Values of the CNS field of an Identify command: the requested data structure."""

    NAMESPACE = 0
    CONTROLLER = 1
    ACTIVE_NAMESPACES = 2
    NAMESPACE_DESCRIPTORS = 3


def identify_page(cns: int, namespace_id: int, subsystem: Subsystem, controller: Controller) -> bytes | None:
    """Return the data structure that an Identify command requests.

    Args:
        cns: The command's CNS field.
        namespace_id: The command's namespace id.
        subsystem: The subsystem that the host is connected to.
        controller: The host's controller.

    Returns:
        The page; None if the namespace does not exist or the data structure is not supported.
    """
    if cns == IdentifyTarget.CONTROLLER:
        return _controller_page(subsystem, controller)
    if cns == IdentifyTarget.ACTIVE_NAMESPACES:
        return _active_namespaces_page(subsystem, namespace_id)
    namespace = subsystem.namespaces.get(namespace_id)
    if namespace is None:
        return None
    if cns == IdentifyTarget.NAMESPACE:
        return _namespace_page(namespace)
    if cns == IdentifyTarget.NAMESPACE_DESCRIPTORS:
        return _namespace_descriptors_page(namespace_id)
    return None


def _controller_page(subsystem: Subsystem, controller: Controller) -> bytes:
    page = bytearray(_PAGE_BYTES)
    page[4:24] = _SERIAL_NUMBER.ljust(20)
    page[24:64] = _MODEL_NUMBER.ljust(40)
    page[64:72] = _FIRMWARE_REVISION.ljust(8)
    page[77] = _MAX_TRANSFER_EXPONENT
    struct.pack_into("<HI", page, 78, controller.controller_id, NVME_VERSION)
    page[111] = _IO_CONTROLLER
    retry_delays = (delay_ms // _RETRY_DELAY_UNIT_MS for delay_ms in RETRY_DELAYS_MS)
    struct.pack_into("<HHH", page, 128, *retry_delays)
    struct.pack_into("<H", page, 320, _KEEP_ALIVE_UNITS_OF_100_MS)
    page[512:514] = _QUEUE_ENTRY_SIZES
    struct.pack_into("<HI", page, 514, QUEUE_ENTRIES, max(subsystem.namespaces, default=0))
    struct.pack_into("<I", page, 536, _SGL_SUPPORT)
    page[768 : 768 + len(subsystem.nqn)] = subsystem.nqn.encode()
    command_capsule_units = (_SUBMISSION_ENTRY_BYTES + MAX_IN_CAPSULE_BYTES) // _CAPSULE_UNIT_BYTES
    in_capsule_data_offset = 0
    controller_attributes = 0
    struct.pack_into(
        "<IIHBB",
        page,
        1792,
        command_capsule_units,
        _COMPLETION_ENTRY_UNITS,
        in_capsule_data_offset,
        controller_attributes,
        _MAX_DATA_DESCRIPTORS,
    )
    return bytes(page)


def _active_namespaces_page(subsystem: Subsystem, after_namespace_id: int) -> bytes:
    page = bytearray(_PAGE_BYTES)
    active = [number for number in sorted(subsystem.namespaces) if number > after_namespace_id]
    reported = active[:_MAX_LISTED_NAMESPACES]
    struct.pack_into(f"<{len(reported)}I", page, 0, *reported)
    return bytes(page)


def _namespace_page(namespace: Namespace) -> bytes:
    page = bytearray(_PAGE_BYTES)
    size = capacity = utilization = namespace.block_count
    struct.pack_into("<QQQ", page, 0, size, capacity, utilization)
    optimal_boundary = min(namespace.boundary_blocks, _MAX_BOUNDARY_BLOCKS)
    struct.pack_into("<H", page, 46, optimal_boundary)
    page[130] = BLOCK_BYTES.bit_length() - 1
    return bytes(page)


def _namespace_descriptors_page(namespace_id: int) -> bytes:
    page = bytearray(_PAGE_BYTES)
    page[0:20] = _UUID_DESCRIPTOR_HEADER + namespace_id.to_bytes(16, "big")
    return bytes(page)
