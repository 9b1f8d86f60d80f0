"""The ``[tls]`` section of the operator's file: TLS to storage nodes and for clients, and the key files."""

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
    """Paths of the key files; an empty path means that there is no such file.

    Attributes:
        chain: The scheduler's certificate and its intermediates.
        key: The private key of that certificate.
        roots: The trusted roots.
        revocation_lists: Certificate revocation lists.
    """

    chain: str = ""
    key: str = ""
    roots: str = ""
    revocation_lists: str = ""

    def read_files(self) -> KeyFiles:
        """Return the current contents of the files.

        Raises:
            OperatorError: A file cannot be read.
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
        # Bytes and mode come from one open file, so that the file cannot be replaced between the two reads.
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
            return _FileContent(data, os.fstat(file.fileno()).st_mode & 0o777)
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}") from None


@dataclass(slots=True, frozen=True)
class TlsSection:
    """Settings of the ``[tls]`` section.

    Attributes:
        paths: Paths of the key files.
        name_template: Template of the name that a storage node's certificate must have.
        nodes: Storage nodes that are connected to by TLS; empty for all.
        allow_tls_1_2: True if TLS 1.2 is accepted besides TLS 1.3.
        poll_interval_s: Interval at which the files are checked; 0 to check them on SIGHUP only.
        overlap_s: Time for which the previous generation's roots stay trusted.
        handshake_timeout_ms: Timeout of a handshake with a storage node.
        handshake_share: Share of a storage node's capacity that handshakes may use.
        cores: Number of CPU cores of a storage node.
        keep_warm: True if a connection is kept open to each recently used node.
        tls_frontends: Names of the frontends that accept clients by TLS only.
        require_client_certificates: True if clients must present a certificate signed by a trusted root.
        client_rights: Volumes that a client may access, by a name in its certificate.
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
    tls_frontends: tuple[str, ...] = ()
    require_client_certificates: bool = False
    client_rights: dict[str, frozenset[int]] = field(default_factory=dict)

    def certificate_name(self, host: str, site: str) -> str:
        """Return the name that the certificate of the node ``host`` in the zone ``site`` must have."""
        return self.name_template.format(host=host, site=site)


class ClientRow(Table, frozen=True, kw_only=True):
    """The volumes that a client whose certificate has this name may access."""

    name: str
    volumes: tuple[str, ...]

    def rights(self) -> frozenset[int]:
        """Return the volume numbers.

        Raises:
            ValueError: A volume is not a hexadecimal number.
        """
        return frozenset(int(volume, 16) for volume in self.volumes)

    def __post_init__(self) -> None:
        try:
            self.rights()
        except ValueError:
            raise ValueError("volumes must be strings of hex digits") from None


class FrontTable(Table, frozen=True, kw_only=True):
    """The ``[tls.front]`` table: frontends that clients reach by TLS, and the clients' access rights."""

    fronts: tuple[Literal["HTTP", "NVMe"], ...] = ()
    client_certificates: bool = False
    client: tuple[ClientRow, ...] = ()

    def __post_init__(self) -> None:
        if self.client and not self.client_certificates:
            raise ValueError("client requires client_certificates = true")


class TlsTable(Table, frozen=True, kw_only=True):
    """The ``[tls]`` table as written in the operator's file; its fields are the file's keys."""

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
            raise ValueError(f"name may contain only the fields {{host}} and {{site}}, not {self.name!r}")
        if not self.roots:
            raise ValueError("roots is missing: storage nodes cannot be verified without trusted roots")
        if self.front.fronts and not self.chain:
            raise ValueError("chain is missing: frontends cannot present a certificate without it")


def read(data: dict[str, Any]) -> TlsSection:
    """Return the settings of the section without checking the contents of the key files.

    Raises:
        OperatorError: A key is missing or invalid.
    """
    table = convert(data, TlsTable, "tls")
    return TlsSection(
        tls_frontends=table.front.fronts,
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
    """Return only the ``[tls]`` section of an operator's file, for ``sabledyke tls check``."""
    return load_section(path, "tls", lambda data: read(data["tls"]) if "tls" in data else None)
