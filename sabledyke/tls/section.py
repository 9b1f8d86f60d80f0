"""The operator's section ``[tls]``: which boxes are reached by TLS, with which keys, and how they are
named."""

from __future__ import annotations

import os
import string
import tomllib
from dataclasses import dataclass, field

from sabledyke.tables import OperatorError, Table, from_file
from sabledyke.tls.material import MOST, Files


@dataclass(slots=True, frozen=True)
class Paths:
    """Where the files are; empty for none."""

    chain: str = ""
    key: str = ""
    roots: str = ""
    revoked: str = ""

    def read(self) -> Files:
        """What they hold now; an OperatorError in plain words where one cannot be read."""
        key, mode = _read(self.key)
        return Files(_read(self.chain)[0], key, _read(self.roots)[0], _read(self.revoked)[0], mode)


def _read(path: str) -> tuple[bytes, int]:
    if not path:
        return b"", 0o600
    try:
        with open(path, "rb") as file:  # mode and bytes of one file: it cannot be swapped between
            return file.read(MOST + 1), os.fstat(file.fileno()).st_mode & 0o777
    except OSError as fault:
        raise OperatorError(f"{path}: {fault.strerror}") from None


@dataclass(slots=True, frozen=True)
class Section:
    """What ``[tls]`` says."""

    paths: Paths
    name: str = "{host}"  # the name that a box's certificate must bear
    boxes: tuple[bytes, ...] = ()  # which boxes; empty for all
    allow_12: bool = False
    look: float = 10.0  # seconds between looks at the files, 0 for SIGHUP alone
    overlap: float = 3600.0  # seconds for which a former generation's roots stay trusted
    handshake: float = 1000.0  # ms for a handshake
    part: float = 0.1  # of a box that handshakes may take
    cores: float = 2.0
    warm: bool = True  # keep a connection ahead of need to boxes that were used lately
    fronts: tuple[str, ...] = ()  # which fronts are reached by TLS alone
    clients: bool = False  # they must show a certificate that a trusted root has signed
    rights: dict[str, frozenset[int]] = field(default_factory=dict)  # by a name of the client's certificate

    def name_of(self, host: str, site: str) -> str:
        """The name that this box's certificate must bear."""
        return self.name.format(host=host, site=site)


def read(table: Table) -> Section:
    """The section, checked but for the files' contents."""
    paths = Paths(*(str(table.take(key, str, "")) for key in ("chain", "key", "roots", "revoked")))
    if not paths.roots:
        raise OperatorError(f"{table.where}.roots is missing: without trusted roots no box can be verified")
    name = table.take("name", str, "{host}")
    try:
        fields = [f for _, f, spec, _ in string.Formatter().parse(name) if f is not None and not spec]
        name.format(host="h", site="s")
    except (ValueError, KeyError, IndexError):
        raise OperatorError(f"{table.where}.name may hold {{host}} and {{site}}, not {name!r}") from None
    if not set(fields) <= {"host", "site"}:
        raise OperatorError(f"{table.where}.name may hold {{host}} and {{site}}, not {name!r}")
    boxes = table.take("boxes", list, [])
    if not all(isinstance(b, str) for b in boxes):
        raise OperatorError(f"{table.where}.boxes is a list of hosts")
    fronts, clients, rights = _front(table)
    if fronts and not paths.chain:
        raise OperatorError(f"{table.where}.chain is missing: fronts cannot show a certificate without it")
    made = Section(
        fronts=fronts, clients=clients, rights=rights,
        paths=paths, name=name, boxes=tuple(b.encode() for b in boxes),
        warm=table.flag("warm", True), allow_12=table.flag("allow_tls_1_2", False),
        look=float(table.whole("look_s", 0, 3600, 10)),
        overlap=float(table.whole("overlap_s", 0, 30 * 86400, 3600)),
        handshake=table.milliseconds("handshake_ms", 1000.0, 60_000),
        part=table.whole("handshake_percent", 1, 100, 10) / 100,
        cores=float(table.whole("box_cores", 1, 256, 2)),
    )  # fmt: skip
    table.end()
    return made


def _front(table: Table) -> tuple[tuple[str, ...], bool, dict[str, frozenset[int]]]:
    row = Table(table.take("front", dict, {}), f"{table.where}.front")
    fronts = row.take("fronts", list, [])
    if not all(f in ("HTTP", "NVMe") for f in fronts):
        raise OperatorError(f"{row.where}.fronts may name HTTP and NVMe, not {fronts!r}")
    clients, rights = row.flag("client_certificates", False), dict[str, frozenset[int]]()
    for client in row.rows("client"):
        name, volumes = client.take("name", str), client.take("volumes", list)
        try:
            rights[name] = frozenset(int(v, 16) for v in volumes)
        except (TypeError, ValueError):
            raise OperatorError(f"{client.where}.volumes are hex digits in quotes") from None
        client.end()
    row.end()
    if rights and not clients:
        raise OperatorError(f"{row.where}.client needs client_certificates = true")
    return tuple(fronts), clients, rights


def load(path: str) -> Section:
    """The section alone, from an operator's file: what ``sabledyke tls check`` needs."""

    def tls(text: str) -> Section:
        data = tomllib.loads(text)
        if "tls" not in data:
            raise OperatorError("there is no [tls] section")
        return read(Table(data["tls"], "tls"))

    return from_file(path, tls)
