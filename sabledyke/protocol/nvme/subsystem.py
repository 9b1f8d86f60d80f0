"""The subsystem that hosts connect to, its namespaces, and the controllers of the connected hosts."""

from __future__ import annotations

from dataclasses import dataclass, field

from sabledyke.protocol.nvme.commands import Property
from sabledyke.protocol.nvme.limits import QUEUE_ENTRIES
from sabledyke.protocol.nvme.pdu import FatalStatus, NvmeError

NVME_VERSION = 0x00010400

_MAX_CONTROLLERS = 1024
_MAX_CONTROLLER_ID = 0xFFEF
_CAP_CONTIGUOUS_QUEUES = 1 << 16
_CAP_TIMEOUT_10_S = 20 << 24
_CAP_NVM_COMMAND_SET = 1 << 37
_CAPABILITIES = (QUEUE_ENTRIES - 1) | _CAP_CONTIGUOUS_QUEUES | _CAP_TIMEOUT_10_S | _CAP_NVM_COMMAND_SET
_CONFIGURATION_ENABLE = 1
_CONFIGURATION_SHUTDOWN_SHIFT = 14
_CONFIGURATION_SHUTDOWN_MASK = 3
_STATUS_READY = 1
_STATUS_SHUTDOWN_COMPLETE = 2 << 2


@dataclass(slots=True, frozen=True)
class Namespace:
    """Properties of a namespace that hosts can query.

    Attributes:
        block_count: Size in blocks.
        boundary_blocks: Commands must not cross a multiple of this number of blocks; 0 for no boundary.
    """

    block_count: int
    boundary_blocks: int = 0

    def has_range(self, start_block: int, block_count: int) -> bool:
        """Return whether the range lies within the namespace."""
        return start_block + block_count <= self.block_count

    def crosses_boundary(self, start_block: int, block_count: int) -> bool:
        """Return whether the range crosses a multiple of ``boundary_blocks``."""
        if not self.boundary_blocks:
            return False
        return start_block % self.boundary_blocks + block_count > self.boundary_blocks


@dataclass(slots=True)
class Controller:
    """The controller of one host's association.

    Attributes:
        controller_id: Id within the subsystem.
        host_identity: The host's identifier and name, as received when it connected.
        configuration: The Controller Configuration property.
        queue_ids: Ids of the connected queues.
    """

    controller_id: int
    host_identity: bytes
    configuration: int = 0
    queue_ids: set[int] = field(default_factory=set)

    @property
    def enabled(self) -> bool:
        """True if the host has enabled the controller."""
        return bool(self.configuration & _CONFIGURATION_ENABLE)

    @property
    def _shutdown_requested(self) -> bool:
        return bool(self.configuration >> _CONFIGURATION_SHUTDOWN_SHIFT & _CONFIGURATION_SHUTDOWN_MASK)

    @property
    def status(self) -> int:
        """The Controller Status property."""
        if self._shutdown_requested:
            return _STATUS_SHUTDOWN_COMPLETE
        return _STATUS_READY if self.enabled else 0

    def property_value(self, offset: int) -> int | None:
        """Return the value of a property, or None if there is no property at this offset."""
        values = {
            Property.CAP: _CAPABILITIES,
            Property.VS: NVME_VERSION,
            Property.CC: self.configuration,
            Property.CSTS: self.status,
        }
        return values[Property(offset)] if offset in values else None


@dataclass(slots=True)
class Subsystem:
    """The NVM subsystem that hosts connect to; shared by all connections.

    Attributes:
        nqn: NVMe qualified name of the subsystem.
        namespaces: Namespaces by namespace id.
        controllers: Controllers of the connected hosts, by controller id.
    """

    nqn: str
    namespaces: dict[int, Namespace]
    controllers: dict[int, Controller] = field(default_factory=dict)
    _last_controller_id: int = 0

    def create_controller(self, host_identity: bytes) -> Controller:
        """Create a controller for a host.

        Raises:
            NvmeError: The limit of controllers is reached.
        """
        if len(self.controllers) >= _MAX_CONTROLLERS:
            raise NvmeError("the limit of controllers is reached", FatalStatus.UNSUPPORTED_PARAMETER)
        controller = Controller(self._unused_controller_id(), host_identity)
        self.controllers[controller.controller_id] = controller
        return controller

    def _unused_controller_id(self) -> int:
        while True:
            self._last_controller_id = self._last_controller_id % _MAX_CONTROLLER_ID + 1
            if self._last_controller_id not in self.controllers:
                return self._last_controller_id
