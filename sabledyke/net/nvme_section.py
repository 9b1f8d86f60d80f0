"""Section ``[nvme]`` of the operator's file: NVMe over TCP with hosts and with storage nodes.

The fields of the tables are the keys of the file.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, NamedTuple

from msgspec import Meta

from sabledyke.errors import OperatorError
from sabledyke.policy.nodes import NodeId
from sabledyke.policy.settings import Settings
from sabledyke.protocol.discovery import parse_address
from sabledyke.protocol.nvme import BLOCK_BYTES, MAX_DATA_BYTES
from sabledyke.protocol.nvme.blocks import NvmeVolume
from sabledyke.toml_tables import Milliseconds, Table

MAX_NQN_BYTES = 223
MAX_COMMAND_BLOCKS = MAX_DATA_BYTES // BLOCK_BYTES
DEFAULT_CONNECTIONS = 32

Nqn = Annotated[str, Meta(max_length=MAX_NQN_BYTES)]


class NvmeNode(NamedTuple):
    """A storage node that speaks NVMe, and the name of its subsystem."""

    node: NodeId
    nqn: str


@dataclass(slots=True, frozen=True)
class NvmeSection:
    """Configuration of the section ``[nvme]``.

    Attributes:
        listen: Address of the listener for hosts; None for no listener.
        connections: Maximum number of open connections of hosts.
        nqn: NQN of the subsystem that is presented to hosts.
        host_nqn: NQN by which this scheduler identifies itself to storage nodes.
        volumes: The volumes that hosts may access.
        nodes: Storage nodes that speak NVMe.
    """

    listen: tuple[str, int] | None = None
    connections: int = DEFAULT_CONNECTIONS
    nqn: str = ""
    host_nqn: str = ""
    volumes: tuple[NvmeVolume, ...] = ()
    nodes: tuple[NvmeNode, ...] = ()

    @property
    def is_configured(self) -> bool:
        """True if a listener for hosts or an NVMe storage node is configured."""
        return bool(self.listen or self.nodes)


class NodeTable(Table, frozen=True, kw_only=True):
    """A table ``[[nvme.box]]``: a storage node that speaks NVMe."""

    host: str
    nqn: Nqn


class VolumeTable(Table, frozen=True, kw_only=True):
    """A table ``[[nvme.volume]]``: a volume that hosts access as a namespace.

    An unset deadline defaults to that of the request class.
    """

    namespace: Annotated[int, Meta(ge=1, le=1024)]
    volume: Annotated[str, Meta(pattern="^[0-9a-fA-F]+$")]
    grade: str
    read_class: str
    write_class: str
    blocks: Annotated[int, Meta(ge=1, le=1 << 48)]
    stripe: Annotated[tuple[Annotated[int, Meta(ge=0, lt=65536)], ...], Meta(min_length=1)]
    stripe_blocks: Annotated[int, Meta(ge=1, le=65535)] = MAX_COMMAND_BLOCKS
    hosts: Annotated[int, Meta(ge=1, le=1000)] = 1
    unit_bytes: Annotated[int, Meta(ge=BLOCK_BYTES, le=MAX_DATA_BYTES)] = 8192
    read_deadline_ms: Milliseconds | None = None
    write_deadline_ms: Milliseconds | None = None
    object_blocks: Annotated[int, Meta(ge=1, le=MAX_COMMAND_BLOCKS)] = 8


class NvmeTable(Table, frozen=True, kw_only=True):
    """The table ``[nvme]``."""

    listen: str = ""
    connections: Annotated[int, Meta(ge=1, le=256)] = DEFAULT_CONNECTIONS
    nqn: Nqn = ""
    host_nqn: Nqn = "nqn.2026-12.example:sabledyke"
    volume: tuple[VolumeTable, ...] = ()
    box: tuple[NodeTable, ...] = ()

    def __post_init__(self) -> None:
        """Check that the keys are consistent with each other.

        Raises:
            ValueError: They are not; ``convert`` turns it into an OperatorError.
        """
        if len({row.namespace for row in self.volume}) < len(self.volume):
            raise ValueError("two volume rows have the same namespace")
        if len({int(row.volume, 16) for row in self.volume}) < len(self.volume):
            raise ValueError("two volume rows have the same volume")
        if self.listen and not (self.nqn and self.volume):
            raise ValueError("listen wants nqn and at least one volume")


def read(table: NvmeTable, settings: Settings) -> NvmeSection:
    """Return the configuration of a parsed section, resolved against the deployment's settings.

    Raises:
        OperatorError: A volume names a plan or a class that is not in the settings.
        ListError: The listener's address is invalid.
    """
    return NvmeSection(
        listen=parse_address(table.listen) if table.listen else None,
        connections=table.connections,
        nqn=table.nqn,
        host_nqn=table.host_nqn,
        volumes=tuple(
            _volume(row, f"file.nvme.volume[{index}]", settings) for index, row in enumerate(table.volume)
        ),
        nodes=tuple(NvmeNode(row.host.encode(), row.nqn) for row in table.box),
    )


def _volume(row: VolumeTable, where: str, settings: Settings) -> NvmeVolume:
    class_names = [request_class.name for request_class in settings.classes]
    plan_names = [plan.name for plan in settings.plans]
    read_class = _index(row.read_class, class_names, f"{where}.read_class")
    write_class = _index(row.write_class, class_names, f"{where}.write_class")
    return NvmeVolume(
        namespace_id=row.namespace,
        volume_id=int(row.volume, 16),
        plan_index=_index(row.grade, plan_names, f"{where}.grade"),
        read_class=read_class,
        write_class=write_class,
        block_count=row.blocks,
        stripe_shards=row.stripe,
        stripe_blocks=row.stripe_blocks,
        host_count=float(row.hosts),
        unit_bytes=row.unit_bytes,
        read_deadline_ms=row.read_deadline_ms or settings.classes[read_class].deadline_ms,
        write_deadline_ms=row.write_deadline_ms or settings.classes[write_class].deadline_ms,
        object_blocks=row.object_blocks,
    )


def _index(name: str, names: list[str], where: str) -> int:
    """Return the index of a name in the settings; an OperatorError if it is not there."""
    if name not in names:
        raise OperatorError(f"{where} must be one of {', '.join(names)}, not {name!r}")
    return names.index(name)
