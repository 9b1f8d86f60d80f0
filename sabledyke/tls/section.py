"""The operator's section ``[tls]``: which storage nodes are reached by TLS, with which keys and names."""

from __future__ import annotations

import os
import string
from dataclasses import dataclass, field
from typing import Annotated, Any, Literal, NamedTuple

from msgspec import Meta

from sabledyke.errors import OperatorError
from sabledyke.tls.key_material import MAX_FILE_BYTES, KeyFiles
from sabledyke.toml_tables import Milliseconds, Table, convert, load_section


@dataclass(slots=True, frozen=True)
class KeyPaths:
    """Where the files are; empty where there is none.

    Attributes:
        chain: Our certificate and its intermediates.
        key: Its key.
        roots: The trusted roots.
        revocation_lists: Revocation lists.
    """

    chain: str = ""
    key: str = ""
    roots: str = ""
    revocation_lists: str = ""

    def read_files(self) -> KeyFiles:
        """Return what the files hold now.

        Raises:
            OperatorError: One of them cannot be read.
        """
        key = _read(self.key)
        chain = _read(self.chain)
        roots = _read(self.roots)
        revocation_lists = _read(self.revocation_lists)
        return KeyFiles(chain.data, key.data, roots.data, revocation_lists.data, key.mode)


class _FileContent(NamedTuple):
    data: bytes = b""
    mode: int = 0o600


def _read(path: str) -> _FileContent:
    if not path:
        return _FileContent()
    try:
        with open(path, "rb") as file:  # mode and bytes of one file: it cannot be swapped between
            data = file.read(MAX_FILE_BYTES + 1)
            return _FileContent(data, os.fstat(file.fileno()).st_mode & 0o777)
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}") from None


@dataclass(slots=True, frozen=True)
class TlsSection:
    """What ``[tls]`` says.

    Attributes:
        paths: The files.
        name_template: The name that a storage node's certificate must have.
        nodes: Storage nodes that are reached by TLS; empty for all.
        allow_tls_1_2: Whether TLS 1.2 is accepted beside TLS 1.3.
        poll_interval_s: How often the files are checked; 0 for on SIGHUP only.
        overlap_s: For how long a former generation's roots stay trusted.
        handshake_timeout_ms: Timeout of a handshake.
        handshake_share: Share of a storage node's capacity that handshakes may take.
        cores: CPU cores of a storage node.
        keep_warm: Whether a connection is opened ahead of need to nodes that were used lately.
        fronts: Fronts that are reached by TLS only.
        require_client_certificates: Whether clients need a certificate that a trusted root has signed.
        client_rights: The volumes that a client may access, by the names of its certificate.
    """

    paths: KeyPaths
    name_template: str = "{host}"
    nodes: tuple[bytes, ...] = ()
    allow_tls_1_2: bool = False
    poll_interval_s: float = 10.0
    overlap_s: float = 3600.0
    handshake_timeout_ms: float = 1000.0
    handshake_share: float = 0.1
    cores: float = 2.0
    keep_warm: bool = True
    fronts: tuple[str, ...] = ()
    require_client_certificates: bool = False
    client_rights: dict[str, frozenset[int]] = field(default_factory=dict)

    def certificate_name(self, host: str, site: str) -> str:
        """Return the name that this storage node's certificate must have."""
        return self.name_template.format(host=host, site=site)


class ClientRow(Table, frozen=True, kw_only=True):
    """The volumes that a client whose certificate has this name may access."""

    name: str
    volumes: tuple[str, ...]

    def rights(self) -> frozenset[int]:
        """Return their numbers.

        Raises:
            ValueError: One of them is not in hex digits.
        """
        return frozenset(int(volume, 16) for volume in self.volumes)

    def __post_init__(self) -> None:
        try:
            self.rights()
        except ValueError:
            raise ValueError("volumes are hex digits in quotes") from None


class FrontTable(Table, frozen=True, kw_only=True):
    """Fronts that are reached by TLS, and their clients."""

    fronts: tuple[Literal["HTTP", "NVMe"], ...] = ()
    client_certificates: bool = False
    client: tuple[ClientRow, ...] = ()

    def __post_init__(self) -> None:
        if self.client and not self.client_certificates:
            raise ValueError("client needs client_certificates = true")


class TlsTable(Table, frozen=True, kw_only=True):
    """The section as the file has it: its fields are the file's keys."""

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
            pieces = string.Formatter().parse(self.name)
            fields = [name for _, name, spec, _ in pieces if name is not None and not spec]
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
    """Return the section; the contents of the files are not checked.

    Raises:
        OperatorError: A key is missing or invalid.
    """
    table = convert(data, TlsTable, "tls")
    return TlsSection(
        fronts=table.front.fronts,
        require_client_certificates=table.front.client_certificates,
        client_rights={row.name: row.rights() for row in table.front.client},
        paths=KeyPaths(table.chain, table.key, table.roots, table.revoked),
        name_template=table.name,
        nodes=tuple(node.encode() for node in table.boxes),
        keep_warm=table.warm,
        allow_tls_1_2=table.allow_tls_1_2,
        poll_interval_s=float(table.look_s),
        overlap_s=float(table.overlap_s),
        handshake_timeout_ms=table.handshake_ms,
        handshake_share=table.handshake_percent / 100,
        cores=float(table.box_cores),
    )


def load(path: str) -> TlsSection:
    """Return the section alone from an operator's file, as ``sabledyke tls check`` needs it."""
    return load_section(path, "tls", lambda data: read(data["tls"]) if "tls" in data else None)
