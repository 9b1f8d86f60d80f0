"""The operator's section ``[tls]``: which boxes are reached by TLS, with which keys, and how they are
named."""

from __future__ import annotations

import os
import string
from dataclasses import dataclass, field
from typing import Annotated, Any, Literal

from msgspec import Meta

from sabledyke.errors import OperatorError
from sabledyke.tls.key_material import MAX_FILE_BYTES, KeyFiles
from sabledyke.toml_tables import Milliseconds, Table, convert, section_from


@dataclass(slots=True, frozen=True)
class KeyPaths:
    """Where the files are; empty for none."""

    chain: str = ""
    key: str = ""
    roots: str = ""
    revocation_lists: str = ""

    def read_files(self) -> KeyFiles:
        """What they hold now; an OperatorError in plain words where one cannot be read."""
        key, mode = _read(self.key)
        return KeyFiles(
            _read(self.chain)[0], key, _read(self.roots)[0], _read(self.revocation_lists)[0], mode
        )


def _read(path: str) -> tuple[bytes, int]:
    if not path:
        return b"", 0o600
    try:
        with open(path, "rb") as file:  # mode and bytes of one file: it cannot be swapped between
            return file.read(MAX_FILE_BYTES + 1), os.fstat(file.fileno()).st_mode & 0o777
    except OSError as fault:
        raise OperatorError(f"{path}: {fault.strerror}") from None


@dataclass(slots=True, frozen=True)
class TlsSection:
    """What ``[tls]`` says."""

    paths: KeyPaths
    name_template: str = "{host}"  # the name that a box's certificate must bear
    nodes: tuple[bytes, ...] = ()  # which boxes; empty for all
    allow_tls_1_2: bool = False
    poll_interval_s: float = 10.0  # seconds between looks at the files, 0 for SIGHUP alone
    overlap_s: float = 3600.0  # seconds for which a former generation's roots stay trusted
    handshake_timeout_ms: float = 1000.0  # ms for a handshake
    handshake_share: float = 0.1  # of a box that handshakes may take
    cores: float = 2.0
    keep_warm: bool = True  # keep a connection ahead of need to boxes that were used lately
    fronts: tuple[str, ...] = ()  # which fronts are reached by TLS alone
    require_client_certificates: bool = False  # they must show a certificate that a trusted root has signed
    client_rights: dict[str, frozenset[int]] = field(
        default_factory=dict
    )  # by a name of the client's certificate

    def certificate_name(self, host: str, site: str) -> str:
        """The name that this box's certificate must bear."""
        return self.name_template.format(host=host, site=site)


class ClientRow(Table, frozen=True, kw_only=True):
    """Which volumes whoever shows this name may reach."""

    name: str
    volumes: tuple[str, ...]

    def rights(self) -> frozenset[int]:
        """Their numbers; a ValueError where one is no hex digits."""
        return frozenset(int(v, 16) for v in self.volumes)

    def __post_init__(self) -> None:
        try:
            self.rights()
        except ValueError:
            raise ValueError("volumes are hex digits in quotes") from None


class FrontTable(Table, frozen=True, kw_only=True):
    """Fronts that are reached by TLS."""

    fronts: tuple[Literal["HTTP", "NVMe"], ...] = ()
    client_certificates: bool = False
    client: tuple[ClientRow, ...] = ()

    def __post_init__(self) -> None:
        if self.client and not self.client_certificates:
            raise ValueError("client needs client_certificates = true")


class TlsTable(Table, frozen=True, kw_only=True):
    """As the file has it."""

    roots: str
    chain: str = ""
    key: str = ""
    revoked: str = ""
    name: str = "{host}"
    boxes: tuple[str, ...] = ()
    front: FrontTable = FrontTable()
    warm: bool = True
    allow_tls_1_2: bool = False
    look_s: Annotated[int, Meta(ge=0, le=3600)] = 10
    overlap_s: Annotated[int, Meta(ge=0, le=30 * 86400)] = 3600
    handshake_ms: Annotated[Milliseconds, Meta(le=60_000)] = 1000.0
    handshake_percent: Annotated[int, Meta(ge=1, le=100)] = 10
    box_cores: Annotated[int, Meta(ge=1, le=256)] = 2

    def __post_init__(self) -> None:
        try:
            parts = string.Formatter().parse(self.name)
            fields = [f for _, f, spec, _ in parts if f is not None and not spec]
            self.name.format(host="h", site="s")
        except (ValueError, KeyError, IndexError):
            fields = ["?"]
        if not set(fields) <= {"host", "site"}:
            raise ValueError(f"name may hold {{host}} and {{site}}, not {self.name!r}")
        if not self.roots:
            raise ValueError("roots is missing: without trusted roots no box can be verified")
        if self.front.fronts and not self.chain:
            raise ValueError("chain is missing: fronts cannot show a certificate without it")


def read(data: dict[str, Any]) -> TlsSection:
    """The section, checked but for the files' contents."""
    said = convert(data, TlsTable, "tls")
    return TlsSection(
        fronts=said.front.fronts,
        require_client_certificates=said.front.client_certificates,
        client_rights={row.name: row.rights() for row in said.front.client},
        paths=KeyPaths(said.chain, said.key, said.roots, said.revoked),
        name_template=said.name,
        nodes=tuple(b.encode() for b in said.boxes),
        keep_warm=said.warm,
        allow_tls_1_2=said.allow_tls_1_2,
        poll_interval_s=float(said.look_s),
        overlap_s=float(said.overlap_s),
        handshake_timeout_ms=said.handshake_ms,
        handshake_share=said.handshake_percent / 100,
        cores=float(said.box_cores),
    )


def load(path: str) -> TlsSection:
    """The section alone, from an operator's file: what ``sabledyke tls check`` needs."""
    return section_from(path, "tls", lambda data: read(data["tls"]) if "tls" in data else None)
