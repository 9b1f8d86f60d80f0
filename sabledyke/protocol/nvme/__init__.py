"""A subset of NVMe over TCP as state machines that are fed bytes.

``Target`` is the controller's side of a connection from a host, and ``Initiator`` is the host's side of a
connection to a storage node. Neither uses a socket: each appends the bytes to send to ``output``. The
implementation follows the NVMe base, NVM command set and TCP transport specifications. Digests,
authentication and discovery subsystems are not supported.

``sabledyke.protocol.nvme.blocks`` translates between NVMe commands and scheduled requests. It is not exported
here, because it depends on the core and this package does not.
"""

from sabledyke.protocol.nvme.commands import (
    DYNAMIC_CONTROLLER_ID,
    AdminOpcode,
    Command,
    Completion,
    FabricsType,
    HostIdentity,
    IoOpcode,
    Property,
    Response,
    Submission,
    connect_command,
    property_get_command,
    property_set_command,
    transfer_command,
)
from sabledyke.protocol.nvme.initiator import Initiator
from sabledyke.protocol.nvme.limits import (
    BLOCK_BYTES,
    MAX_DATA_BYTES,
    MAX_IN_CAPSULE_BYTES,
    MAX_IO_QUEUES,
    QUEUE_ENTRIES,
)
from sabledyke.protocol.nvme.pdu import NvmeError, PduParser, PduType, ReceivedPdu, encode_pdu
from sabledyke.protocol.nvme.status import RETRY_DELAYS_MS, Status, retry_delay_index
from sabledyke.protocol.nvme.subsystem import Controller, Namespace, Subsystem
from sabledyke.protocol.nvme.target import Target

__all__ = [
    "BLOCK_BYTES",
    "DYNAMIC_CONTROLLER_ID",
    "MAX_DATA_BYTES",
    "MAX_IN_CAPSULE_BYTES",
    "MAX_IO_QUEUES",
    "QUEUE_ENTRIES",
    "RETRY_DELAYS_MS",
    "AdminOpcode",
    "Command",
    "Completion",
    "Controller",
    "FabricsType",
    "HostIdentity",
    "Initiator",
    "IoOpcode",
    "Namespace",
    "NvmeError",
    "PduParser",
    "PduType",
    "Property",
    "ReceivedPdu",
    "Response",
    "Status",
    "Submission",
    "Subsystem",
    "Target",
    "connect_command",
    "encode_pdu",
    "property_get_command",
    "property_set_command",
    "retry_delay_index",
    "transfer_command",
]
