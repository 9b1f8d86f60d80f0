"""The operator's file: what is off on the platform, such as NVMe over TCP, the store of record and leases."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated, Any, Literal

from msgspec import Meta

from sabledyke.errors import OperatorError
from sabledyke.policy.nodes import NodeId
from sabledyke.policy.settings import Settings
from sabledyke.protocol.discovery import parse_address
from sabledyke.protocol.nvme import BLOCK_BYTES, MAX_DATA_BYTES
from sabledyke.protocol.nvme.blocks import NvmeVolume
from sabledyke.store import section
from sabledyke.store.section import StoreSection, Target
from sabledyke.toml_tables import Milliseconds, Table, convert, from_file, parsed

if TYPE_CHECKING:
    from sabledyke.compacted_log.section import LogSection as BoardSection
    from sabledyke.lease.section import LeaseSection as LeaseSection
    from sabledyke.placement.volume_placement import SiteMap
    from sabledyke.quota_sharing.section import Section as FleetSection
    from sabledyke.rollout.section import Section as RolloutSection
    from sabledyke.tls.section import TlsSection

NQN = 223  # bytes of a name
LARGEST = MAX_DATA_BYTES // BLOCK_BYTES  # blocks of one command


@dataclass(slots=True, frozen=True)
class OperatorConfig:
    """What the file says; without one, everything here is off."""

    listen: tuple[str, int] | None = None
    connections: int = 32
    nqn: str = ""
    host_nqn: str = ""
    volumes: tuple[NvmeVolume, ...] = ()
    boxes: tuple[tuple[NodeId, str], ...] = ()  # nodes that speak NVMe, and their subsystems
    store: StoreSection | None = None
    tls: TlsSection | None = None
    lease: LeaseSection | None = None
    board: BoardSection | None = None
    rollout: RolloutSection | None = None
    sites: SiteMap | None = None
    fleet: FleetSection | None = None
    json_log: bool = False


class BoxRow(Table, frozen=True, kw_only=True):
    """A node that speaks NVMe."""

    host: str
    nqn: Annotated[str, Meta(max_length=NQN)]


class VolumeRow(Table, frozen=True, kw_only=True):
    """A namespace that a volume is reached by; what is 0 for none takes the class's or the largest."""

    namespace: Annotated[int, Meta(ge=1, le=1024)]
    volume: Annotated[str, Meta(pattern="^[0-9a-fA-F]+$")]
    grade: str
    read_class: str
    write_class: str
    blocks: Annotated[int, Meta(ge=1, le=1 << 48)]
    stripe: Annotated[tuple[Annotated[int, Meta(ge=0, lt=65536)], ...], Meta(min_length=1)]
    stripe_blocks: Annotated[int, Meta(ge=1, le=65535)] = LARGEST
    hosts: Annotated[int, Meta(ge=1, le=1000)] = 1
    unit_bytes: Annotated[int, Meta(ge=BLOCK_BYTES, le=MAX_DATA_BYTES)] = 8192
    read_deadline_ms: Milliseconds | None = None
    write_deadline_ms: Milliseconds | None = None
    object_blocks: Annotated[int, Meta(ge=1, le=LARGEST)] = 8


class NvmeTable(Table, frozen=True, kw_only=True):
    """NVMe over TCP, on both sides."""

    listen: str = ""
    connections: Annotated[int, Meta(ge=1, le=256)] = 32
    nqn: Annotated[str, Meta(max_length=NQN)] = ""
    host_nqn: Annotated[str, Meta(max_length=NQN)] = "nqn.2026-12.example:sabledyke"
    volume: tuple[VolumeRow, ...] = ()
    box: tuple[BoxRow, ...] = ()

    def __post_init__(self) -> None:
        namespaces, volumes = {v.namespace for v in self.volume}, {int(v.volume, 16) for v in self.volume}
        for what, some in {"namespace": namespaces, "volume": volumes}.items():
            if len(some) < len(self.volume):
                raise ValueError(f"two volume rows have the same {what}")
        if self.listen and not (self.nqn and self.volume):
            raise ValueError("listen wants nqn and at least one volume")


class LogTable(Table, frozen=True, kw_only=True):
    """How lines are written."""

    format: Literal["plain", "json"] = "plain"


class File(Table, frozen=True, kw_only=True):
    """The whole file; what is loaded only where it is named is read in its own package."""

    nvme: NvmeTable = NvmeTable()
    log: LogTable = LogTable()
    store: dict[str, Any] = {}
    tls: dict[str, Any] = {}
    lease: dict[str, Any] = {}
    board: dict[str, Any] = {}
    rollout: dict[str, Any] = {}
    sites: dict[str, Any] = {}
    fleet: dict[str, Any] = {}


def load(path: str, settings: Settings) -> OperatorConfig:
    """The file at a path, under the deployment's settings."""
    return from_file(path, lambda text: read(text, settings))


def read(text: str, settings: Settings) -> OperatorConfig:
    """The text of such a file."""
    said = convert(parsed(text), File, "file")
    nvme, store = said.nvme, section.read(said.store, os.environ)
    lease = _lease(said.lease, store.record if store is not None else None)
    board, rollout, sites = _fleet(said, lease)
    operator = OperatorConfig(
        listen=parse_address(nvme.listen) if nvme.listen else None,
        connections=nvme.connections,
        nqn=nvme.nqn,
        host_nqn=nvme.host_nqn,
        volumes=tuple(_volume(row, i, settings) for i, row in enumerate(nvme.volume)),
        boxes=tuple((box.host.encode(), box.nqn) for box in nvme.box),
        store=store,
        tls=_tls(said.tls),
        lease=lease,
        board=board,
        rollout=rollout,
        sites=sites,
        fleet=_shares(said.fleet, board),
        json_log=said.log.format == "json",
    )
    if store is not None and {b.node for b in store.sql_nodes} & {n for n, _ in operator.boxes}:
        raise OperatorError("a host is named both in nvme.box and in store.box")
    return operator


def _lease(data: dict[str, Any], record: Target | None) -> LeaseSection | None:
    if not data:
        return None
    from sabledyke.lease import section as lease  # loaded only where it is wanted

    return lease.read(data, record)


def _fleet(
    said: File, lease: LeaseSection | None
) -> tuple[BoardSection | None, RolloutSection | None, SiteMap | None]:
    if not (said.board or said.rollout or said.sites):
        return None, None, None
    from sabledyke.compacted_log import section as boards  # loaded only where they are wanted
    from sabledyke.placement import section as sites
    from sabledyke.rollout import section as rollouts

    board, rollout, where = boards.read(said.board), rollouts.read(said.rollout), sites.read(said.sites)
    if board is not None and board.topics and rollout is None:
        raise OperatorError("board.topics wants [rollout], whose members clean them")
    if rollout is not None and (board is None or lease is None):
        raise OperatorError("rollout wants [board], where its plans stand, and [lease], for its coordinator")
    if where is not None and (rollout is None or rollout.site not in where.capacity):
        raise OperatorError("sites wants [rollout], whose site is one of sites.room")
    return board, rollout, where


def _shares(data: dict[str, Any], board: BoardSection | None) -> FleetSection | None:
    if not data:
        return None
    from sabledyke.quota_sharing import section as fleet  # loaded only where it is wanted

    if board is None:
        raise OperatorError("fleet wants [board], where its members tell their demands")
    return fleet.read(data)


def _tls(data: dict[str, Any]) -> TlsSection | None:
    if not data:
        return None
    try:
        from sabledyke.tls import section as tls  # its library is loaded only where it is wanted
    except ImportError:
        raise OperatorError("tls wants cryptography: pip install 'sabledyke[tls]'") from None
    return tls.read(data)


def _volume(row: VolumeRow, number: int, settings: Settings) -> NvmeVolume:
    def place(key: str, names: list[str]) -> int:
        if (name := str(getattr(row, key))) not in names:
            where = f"file.nvme.volume[{number}].{key}"
            raise OperatorError(f"{where} must be one of {', '.join(names)}, not {name!r}")
        return names.index(name)

    classes, plans = [c.name for c in settings.classes], [p.name for p in settings.plans]
    read_class, write_class = place("read_class", classes), place("write_class", classes)
    return NvmeVolume(
        namespace_id=row.namespace,
        volume_id=int(row.volume, 16),
        plan_index=place("grade", plans),
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


__all__ = ["OperatorConfig", "OperatorError", "load", "read"]
