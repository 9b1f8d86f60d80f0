"""The operator's section ``[store]``: the record's database, its limits, and nodes that are databases.

Passwords come from a file that only its owner may read, or from the environment, but never from the
operator's file, and they are never printed. The fields of the tables are the keys of the file.
"""

from __future__ import annotations

import os
import stat
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, Any, Literal, cast, get_args
from urllib.parse import SplitResult, unquote, urlsplit

from msgspec import Meta

from sabledyke.errors import OperatorError
from sabledyke.policy.nodes import NodeId
from sabledyke.store.health import StoreLimits
from sabledyke.toml_tables import Table, convert, load_file, parse_toml

PASSWORD_VARIABLE = "SABLEDYKE_STORE_PASSWORD"  # holds the record's password if no file is set
DEFAULT_RETENTION_S = 3600  # retention of writes, which is far longer than any client repeats them
DEFAULT_PORT = 5432
MAX_PASSWORD_LENGTH = 1024
TlsMode = Literal["disable", "require", "verify-ca", "verify-full"]


@dataclass(slots=True, frozen=True)
class Target:
    """A database: a SQLite file, or one on a PostgreSQL server.

    Attributes:
        path: Path of the file; empty for a server.
        host: Name or address of the server.
        port: Port of the server.
        database: Name of the database.
        user: Name of the role.
        password: Password of the role, empty for none.
        tls: TLS mode, as libpq's ``sslmode``.
    """

    path: str = ""
    host: str = ""
    port: int = DEFAULT_PORT
    database: str = ""
    user: str = ""
    password: str = field(default="", repr=False)
    tls: TlsMode = "disable"

    def __str__(self) -> str:
        """Return the path or the URL, without the password."""
        return self.path or f"postgresql://{self.user}@{self.host}:{self.port}/{self.database}"


@dataclass(slots=True, frozen=True)
class SqlNode:
    """A storage node that is a database; the address of a PostgreSQL server comes from discovery.

    Attributes:
        node: The node.
        target: The node's database.
        connections: Maximum number of sessions in use.
    """

    node: NodeId
    target: Target
    connections: int = 4


@dataclass(slots=True, frozen=True)
class StoreSection:
    """The checked contents of ``[store]``.

    Attributes:
        record: The record's database; None for no record.
        limits: The limits of the store.
        retention_ms: Time for which the database retains a write.
        sql_nodes: The nodes that are databases.
    """

    record: Target | None = None
    limits: StoreLimits = StoreLimits()
    retention_ms: float = DEFAULT_RETENTION_S * 1000.0
    sql_nodes: tuple[SqlNode, ...] = ()

    def __str__(self) -> str:
        """Return the section as ``check-config`` prints it."""
        nodes = f", {len(self.sql_nodes)} storage nodes are databases" if self.sql_nodes else ""
        return f"{self.record or 'off'}{nodes}"


DEFAULT_LIMITS = StoreLimits()


class DatabaseTable(Table, frozen=True, kw_only=True):
    """The keys that locate a database."""

    path: str = ""
    url: str = ""
    password_file: str = ""


class SqlNodeTable(DatabaseTable, frozen=True, kw_only=True):
    """A table ``[[store.box]]``: a node that is a database."""

    host: str
    password_variable: str = PASSWORD_VARIABLE
    connections: Annotated[int, Meta(ge=1, le=64)] = 4


class StoreTable(DatabaseTable, frozen=True, kw_only=True):
    """The table ``[store]`` of the operator's file."""

    stall_ms: Annotated[float, Meta(gt=0, le=10_000)] = DEFAULT_LIMITS.stall_ms
    give_up_ms: Annotated[float, Meta(gt=0, le=60_000)] = DEFAULT_LIMITS.give_up_ms
    first_wait_ms: Annotated[float, Meta(gt=0, le=300)] = DEFAULT_LIMITS.first_wait_ms
    longest_wait_ms: Annotated[float, Meta(gt=0, le=700)] = DEFAULT_LIMITS.longest_wait_ms
    backlog: Annotated[int, Meta(ge=16, le=1_000_000)] = DEFAULT_LIMITS.backlog
    batch: Annotated[int, Meta(ge=1, le=4096)] = DEFAULT_LIMITS.batch
    gather_ms: Annotated[int, Meta(ge=0, le=100)] = int(DEFAULT_LIMITS.gather_ms)
    keep_s: Annotated[int, Meta(ge=60, le=86_400 * 30)] = DEFAULT_RETENTION_S
    box: tuple[SqlNodeTable, ...] = ()

    def __post_init__(self) -> None:
        """Check the constraints between several keys."""
        if self.first_wait_ms > self.longest_wait_ms:
            raise ValueError("first_wait_ms must not be longer than longest_wait_ms")
        if len({row.host for row in self.box}) < len(self.box):
            raise ValueError("two box tables have the same host")


def read(data: dict[str, Any], environ: Mapping[str, str]) -> StoreSection | None:
    """Return the checked section; None if it sets neither a record nor a node.

    Args:
        data: The section of the operator's file.
        environ: The environment, for passwords.

    Raises:
        OperatorError: The section is invalid; the message is a single line.
    """
    table = convert(data, StoreTable, "store")
    limits = StoreLimits(
        stall_ms=table.stall_ms,
        give_up_ms=table.give_up_ms,
        first_wait_ms=table.first_wait_ms,
        longest_wait_ms=table.longest_wait_ms,
        backlog=table.backlog,
        batch=table.batch,
        gather_ms=float(table.gather_ms),
    )
    record = _target(table, "store", environ.get(PASSWORD_VARIABLE, ""))
    nodes = tuple(_sql_node(row, f"store.box[{i}]", environ) for i, row in enumerate(table.box))
    if not (record or nodes):
        return None
    return StoreSection(record, limits, table.keep_s * 1000.0, nodes)


def load(path: str, environ: Mapping[str, str] = os.environ) -> StoreSection:
    """Return only this section of an operator's file, for the store's commands.

    Raises:
        OperatorError: The file or its section is invalid, or sets no record.
    """

    def read_section(text: str) -> StoreSection | None:
        return read(parse_toml(text).get("store", {}), environ)

    section = load_file(path, read_section)
    if section is None or section.record is None:
        raise OperatorError(f"{path}: [store] names no record: set path or url")
    return section


def read_password(path: str) -> str:
    """Return the first line of a file that only its owner may read.

    Raises:
        OperatorError: Other users may read the file, or it holds no password.
    """
    try:
        with open(path, encoding="utf-8") as file:
            # fstat checks the opened file even if another file replaces it at its path.
            mode = os.fstat(file.fileno()).st_mode
            if mode & (stat.S_IRWXG | stat.S_IRWXO):
                found = f"its mode is {mode & 0o777:o}"
                raise OperatorError(f"{path} must be read by its owner alone (chmod 600), {found}")
            password = file.readline(MAX_PASSWORD_LENGTH).rstrip("\r\n")
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise OperatorError(f"{path} must be a text file in UTF-8") from error
    if not password:
        raise OperatorError(f"{path} holds no password")
    return password


def _sql_node(row: SqlNodeTable, where: str, environ: Mapping[str, str]) -> SqlNode:
    target = _target(row, where, environ.get(row.password_variable, ""))
    if target is None:
        raise OperatorError(f"{where} sets neither path nor url")
    return SqlNode(row.host.encode(), target, row.connections)


def _target(table: DatabaseTable, where: str, password: str) -> Target | None:
    if table.path and table.url:
        raise OperatorError(f"{where} must not set both path and url")
    if not table.url:
        return Target(path=table.path) if table.path else None
    url, port = _split_url(table.url, where)
    if not url.hostname or not url.username:
        raise OperatorError(f"{where}.url must read postgresql://USER@HOST:PORT/DATABASE")
    tls = _tls_mode(url.query, where)
    user = unquote(url.username)
    return Target(
        host=url.hostname,
        port=port,
        database=unquote(url.path.strip("/")) or user,
        user=user,
        password=read_password(table.password_file) if table.password_file else password,
        tls=tls,
    )


def _split_url(text: str, where: str) -> tuple[SplitResult, int]:
    """Return the URL and its port; error messages omit the URL, because it may contain a password."""
    try:
        url = urlsplit(text)
        port = url.port or DEFAULT_PORT
    except ValueError:
        raise OperatorError(f"{where}.url cannot be parsed") from None
    if url.password is not None:
        raise OperatorError(f"{where}.url holds a password: set password_file, or {PASSWORD_VARIABLE}")
    if url.scheme not in ("postgresql", "postgres"):
        raise OperatorError(f"{where}.url must read postgresql://USER@HOST:PORT/DATABASE")
    return url, port


def _tls_mode(query: str, where: str) -> TlsMode:
    if not query:
        return "disable"
    modes = get_args(TlsMode)
    key, _, mode = query.partition("=")
    if key != "sslmode" or mode not in modes:
        raise OperatorError(f"{where}.url may only have the parameter sslmode={' or '.join(modes)}")
    return cast(TlsMode, mode)
