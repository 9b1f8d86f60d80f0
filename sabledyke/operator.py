"""The operator's file: what is off on the platform, NVMe over TCP and the store of record."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from math import inf
from pathlib import Path
from typing import Any

from sabledyke import interface as api
from sabledyke.config import ConfigError
from sabledyke.protocol.blocks import MAX_DATA, Volume
from sabledyke.protocol.discovery import ListError, address
from sabledyke.protocol.nvme import BLOCK


class OperatorError(ConfigError):
    """The file cannot be used; the text is the one line that says why."""


@dataclass(slots=True, frozen=True)
class Operator:
    """What the file says; without one, everything here is off."""

    listen: tuple[str, int] | None = None
    connections: int = 32
    nqn: str = ""
    host_nqn: str = ""
    volumes: tuple[Volume, ...] = ()
    boxes: tuple[tuple[api.NodeId, str], ...] = ()  # nodes that speak NVMe, and their subsystems
    store: str = ""


class _Table:
    """A table of the file, read key by key; what it does not know is an error, not silence."""

    def __init__(self, data: object, where: str) -> None:
        if not isinstance(data, dict):
            raise OperatorError(f"{where} is no table")
        self._data, self._where = dict(data), where

    def take(self, key: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
        value = self._data.pop(key, default)
        if value is None:
            raise OperatorError(f"{self._where}.{key} is missing")
        if not isinstance(value, kind) or isinstance(value, bool):
            raise OperatorError(f"{self._where}.{key} is of the wrong kind: {value!r}")
        return value

    def whole(self, key: str, low: int, high: int, default: int | None = None) -> int:
        value = self.take(key, int, default)
        if not low <= value <= high:
            raise OperatorError(f"{self._where}.{key} must be from {low} to {high}, not {value}")
        return int(value)

    def milliseconds(self, key: str, default: float) -> float:
        value = float(self.take(key, (int, float), default))
        if not 0 < value < inf:
            raise OperatorError(f"{self._where}.{key} must be above 0, not {value}")
        return value

    def name(self, key: str, names: list[str]) -> int:
        value = self.take(key, str)
        if value not in names:
            raise OperatorError(f"{self._where}.{key} must be one of {', '.join(names)}, not {value!r}")
        return names.index(value)

    def end(self) -> None:
        if self._data:
            raise OperatorError(f"{self._where}.{min(self._data)} is not known")


def load(path: str, settings: api.Settings) -> Operator:
    """The file at a path, under the deployment's settings."""
    try:
        return read(Path(path).read_text(), settings)
    except OSError as fault:
        raise OperatorError(f"{path}: {fault.strerror}") from None
    except (OperatorError, ListError, tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise OperatorError(f"{path}: {fault}") from None


def read(text: str, settings: api.Settings) -> Operator:
    """The text of such a file."""
    whole = _Table(tomllib.loads(text), "file")
    nvme = _Table(whole.take("nvme", dict, {}), "nvme")
    store = _Table(whole.take("store", dict, {}), "store")
    whole.end()
    listen = nvme.take("listen", str, "")
    volumes = tuple(_volume(v, i, settings) for i, v in enumerate(nvme.take("volume", list, [])))
    boxes = []
    for i, data in enumerate(nvme.take("box", list, [])):
        box = _Table(data, f"nvme.box[{i}]")
        boxes.append((box.take("host", str).encode(), box.take("nqn", str)))
        box.end()
    operator = Operator(
        listen=address(listen) if listen else None,
        connections=nvme.whole("connections", 1, 256, 32),
        nqn=nvme.take("nqn", str, ""),
        host_nqn=nvme.take("host_nqn", str, "nqn.2026-12.example:sabledyke"),
        volumes=volumes,
        boxes=tuple(boxes),
        store=store.take("path", str, ""),
    )
    nvme.end()
    store.end()
    for what in ("namespace", "volume"):
        if len({getattr(v, what) for v in volumes}) < len(volumes):
            raise OperatorError(f"two nvme.volume rows have the same {what}")
    if operator.listen and not (operator.nqn and volumes):
        raise OperatorError("nvme.listen wants nvme.nqn and at least one nvme.volume")
    if max(len(n) for n in (operator.nqn, operator.host_nqn, *(n for _, n in boxes))) > 223:
        raise OperatorError("a name (nqn) is longer than 223 bytes")
    return operator


def _volume(data: object, number: int, settings: api.Settings) -> Volume:
    row = _Table(data, f"nvme.volume[{number}]")
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
