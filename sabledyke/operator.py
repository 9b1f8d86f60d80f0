"""The operator's file: what is off on the platform, such as NVMe over TCP, the store of record and leases."""

from __future__ import annotations

import os
import tomllib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from sabledyke import interface as api
from sabledyke.protocol.blocks import MAX_DATA, Volume
from sabledyke.protocol.discovery import address
from sabledyke.protocol.nvme import BLOCK
from sabledyke.store import section
from sabledyke.store.section import Section, Target
from sabledyke.tables import OperatorError, Table, from_file

if TYPE_CHECKING:
    from sabledyke.board.section import Section as BoardSection
    from sabledyke.lease.section import Section as LeaseSection
    from sabledyke.rollout.section import Section as RolloutSection
    from sabledyke.sites.homes import Map
    from sabledyke.tls.section import Section as TlsSection


@dataclass(slots=True, frozen=True)
class Operator:
    """What the file says; without one, everything here is off."""

    listen: tuple[str, int] | None = None
    connections: int = 32
    nqn: str = ""
    host_nqn: str = ""
    volumes: tuple[Volume, ...] = ()
    boxes: tuple[tuple[api.NodeId, str], ...] = ()  # nodes that speak NVMe, and their subsystems
    store: Section | None = None
    tls: TlsSection | None = None
    lease: LeaseSection | None = None
    board: BoardSection | None = None
    rollout: RolloutSection | None = None
    sites: Map | None = None
    json_log: bool = False


def load(path: str, settings: api.Settings) -> Operator:
    """The file at a path, under the deployment's settings."""
    return from_file(path, lambda text: read(text, settings))


def read(text: str, settings: api.Settings) -> Operator:
    """The text of such a file."""
    whole = Table(tomllib.loads(text), "file")
    nvme = Table(whole.take("nvme", dict, {}), "nvme")
    store = section.read(Table(whole.take("store", dict, {}), "store"), os.environ)
    tls = _tls(whole.take("tls", dict, {}))
    lease = _lease(whole.take("lease", dict, {}), store.record if store is not None else None)
    board, rollout, sites = _fleet({what: whole.take(what, dict, {}) for what in SHARED}, lease)
    logs = Table(whole.take("log", dict, {}), "log")
    json_log = not logs.empty and logs.name("format", ["plain", "json"]) == 1
    logs.end()
    whole.end()
    listen = nvme.take("listen", str, "")
    volumes = tuple(_volume(v, i, settings) for i, v in enumerate(nvme.take("volume", list, [])))
    boxes = []
    for i, data in enumerate(nvme.take("box", list, [])):
        box = Table(data, f"nvme.box[{i}]")
        boxes.append((box.take("host", str).encode(), box.take("nqn", str)))
        box.end()
    operator = Operator(
        listen=address(listen) if listen else None,
        connections=nvme.whole("connections", 1, 256, 32),
        nqn=nvme.take("nqn", str, ""),
        host_nqn=nvme.take("host_nqn", str, "nqn.2026-12.example:sabledyke"),
        volumes=volumes,
        boxes=tuple(boxes),
        store=store,
        tls=tls,
        lease=lease,
        board=board,
        rollout=rollout,
        sites=sites,
        json_log=json_log,
    )
    nvme.end()
    if store is not None and {b.node for b in store.boxes} & {n for n, _ in boxes}:
        raise OperatorError("a host is named both in nvme.box and in store.box")
    for what in ("namespace", "volume"):
        if len({getattr(v, what) for v in volumes}) < len(volumes):
            raise OperatorError(f"two nvme.volume rows have the same {what}")
    if operator.listen and not (operator.nqn and volumes):
        raise OperatorError("nvme.listen wants nvme.nqn and at least one nvme.volume")
    if max(len(n) for n in (operator.nqn, operator.host_nqn, *(n for _, n in boxes))) > 223:
        raise OperatorError("a name (nqn) is longer than 223 bytes")
    return operator


def _lease(data: dict[str, Any], record: Target | None) -> LeaseSection | None:
    if not data:
        return None
    from sabledyke.lease import section as lease  # loaded only where it is wanted

    return lease.read(Table(data, "lease"), record)


SHARED = ("board", "rollout", "sites")  # what processes share


def _fleet(
    data: dict[str, dict[str, Any]], lease: LeaseSection | None
) -> tuple[BoardSection | None, RolloutSection | None, Map | None]:
    if not any(data.values()):
        return None, None, None
    from sabledyke.board import section as boards  # loaded only where they are wanted
    from sabledyke.rollout import section as rollouts
    from sabledyke.sites import section as sites

    tables = [Table(data[what], what) for what in SHARED]
    board, rollout, where = boards.read(tables[0]), rollouts.read(tables[1]), sites.read(tables[2])
    if board is not None and board.topics and rollout is None:
        raise OperatorError("board.topics wants [rollout], whose members clean them")
    if rollout is not None and (board is None or lease is None):
        raise OperatorError("rollout wants [board], where its plans stand, and [lease], for its coordinator")
    if where is not None and (rollout is None or rollout.site not in where.room):
        raise OperatorError("sites wants [rollout], whose site is one of sites.room")
    return board, rollout, where


def _tls(data: dict[str, Any]) -> TlsSection | None:
    if not data:
        return None
    try:
        from sabledyke.tls import section as tls  # its library is loaded only where it is wanted
    except ImportError:
        raise OperatorError("tls wants cryptography: pip install 'sabledyke[tls]'") from None
    return tls.read(Table(data, "tls"))


def _volume(data: object, number: int, settings: api.Settings) -> Volume:
    row = Table(data, f"nvme.volume[{number}]")
    classes, plans = [c.name for c in settings.classes], [p.name for p in settings.plans]
    read_class, write_class = row.name("read_class", classes), row.name("write_class", classes)
    volume = row.take("volume", str)
    try:
        number = int(volume, 16)
    except ValueError:
        raise OperatorError(f"a volume is 16 hex digits, not {volume!r}") from None
    stripe = row.take("stripe", list)
    if not stripe or not all(isinstance(s, int) and 0 <= s < 65536 for s in stripe):
        raise OperatorError("a stripe is a list of shards")
    largest = MAX_DATA // BLOCK
    made = Volume(
        namespace=row.whole("namespace", 1, 1024),
        volume=number,
        plan=row.name("grade", plans),
        read_class=read_class,
        write_class=write_class,
        blocks=row.whole("blocks", 1, 1 << 48),
        stripe=tuple(stripe),
        stripe_blocks=row.whole("stripe_blocks", 1, 65535, largest),
        hosts=float(row.whole("hosts", 1, 1000, 1)),
        unit_bytes=row.whole("unit_bytes", BLOCK, MAX_DATA, 8192),
        read_deadline=row.milliseconds("read_deadline_ms", settings.classes[read_class].deadline),
        write_deadline=row.milliseconds("write_deadline_ms", settings.classes[write_class].deadline),
        object_blocks=row.whole("object_blocks", 1, largest, 8),
    )
    row.end()
    return made


__all__ = ["Operator", "OperatorError", "load", "read"]
