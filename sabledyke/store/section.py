"""The operator's section ``[store]``: where the record is, its limits, and nodes that are databases.

Passwords come from a file that only its owner may read, or from the environment; never from the operator's
file, and they are never part of what is printed. The fields of the tables are the keys of the file.
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

PASSWORD_VARIABLE = "SABLEDYKE_STORE_PASSWORD"  # the record's, where no file is named
DEFAULT_RETENTION_S = 3600  # that a write is retained: far longer than any client repeats it
DEFAULT_PORT = 5432
MAX_PASSWORD_LENGTH = 1024
TlsMode = Literal["disable", "require", "verify-ca", "verify-full"]


@dataclass(slots=True, frozen=True)
class Target:
    """A database: a SQLite file, or a PostgreSQL server.

    Attributes:
        path: The file; empty for a server.
        host: The server.
        port: Its port.
        database: The database.
        user: The role.
        password: Its password, empty for none.
        tls: As libpq's ``sslmode``.
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
    """A listed node that is a database; for PostgreSQL, discovery says at which address it listens.

    Attributes:
        node: The node.
        target: Its database.
        connections: How many sessions may be in use.
    """

    node: NodeId
    target: Target
    connections: int = 4


@dataclass(slots=True, frozen=True)
class StoreSection:
    """What ``[store]`` says.

    Attributes:
        record: Where the record is; None for no record.
        limits: The bounds of the store.
        retention_ms: For how long a write is retained in the database.
        sql_nodes: Nodes that are databases.
    """

    record: Target | None = None
    limits: StoreLimits = StoreLimits()
    retention_ms: float = DEFAULT_RETENTION_S * 1000.0
    sql_nodes: tuple[SqlNode, ...] = ()

    def __str__(self) -> str:
        """Return the section as ``check-config`` prints it."""
        nodes = f", {len(self.sql_nodes)} boxes are databases" if self.sql_nodes else ""
        return f"{self.record or 'off'}{nodes}"


DEFAULT_LIMITS = StoreLimits()


class DatabaseTable(Table, frozen=True, kw_only=True):
    """The keys that say where a database is."""

    path: str = ""
    url: str = ""
    password_file: str = ""


class SqlNodeTable(DatabaseTable, frozen=True, kw_only=True):
    """A table ``[[store.box]]``: a node that is a database."""

    host: str
    password_variable: str = PASSWORD_VARIABLE
    connections: Annotated[int, Meta(ge=1, le=64)] = 4


class StoreTable(DatabaseTable, frozen=True, kw_only=True):
    """The table ``[store]``, as the file has it."""

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
        """Check what concerns more than one key."""
        if self.first_wait_ms > self.longest_wait_ms:
            raise ValueError("first_wait_ms is longer than longest_wait_ms")
        if len({row.host for row in self.box}) < len(self.box):
            raise ValueError("two box rows have the same host")


def read(data: dict[str, Any], environ: Mapping[str, str]) -> StoreSection | None:
    """Return the section, checked; None where it asks for nothing.

    Args:
        data: The section as the file has it.
        environ: The environment, for passwords.

    Raises:
        OperatorError: Where it is wrong, in one plain line.
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
    """Return the section alone, from an operator's file.

    It is what the store's commands need, without the deployment.

    Raises:
        OperatorError: Where the file or its section is wrong, or names no record.
    """

    def read_section(text: str) -> StoreSection | None:
        return read(parse_toml(text).get("store", {}), environ)

    section = load_file(path, read_section)
    if section is None or section.record is None:
        raise OperatorError(f"{path}: [store] names no record: set path or url")
    return section


def read_password(path: str) -> str:
    """Return the first line of a file that nobody but its owner may read.

    Raises:
        OperatorError: Where others may read it, or it holds no password.
    """
    try:
        with open(path, encoding="utf-8") as file:
            mode = os.fstat(file.fileno()).st_mode  # of what was opened: it cannot be swapped
            if mode & (stat.S_IRWXG | stat.S_IRWXO):
                found = f"its mode is {mode & 0o777:o}"
                raise OperatorError(f"{path} must be read by its owner alone (chmod 600), {found}")
            password = file.readline(MAX_PASSWORD_LENGTH).rstrip("\r\n")
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise OperatorError(f"{path} is no text") from error
    if not password:
        raise OperatorError(f"{path} holds no password")
    return password


def _sql_node(row: SqlNodeTable, where: str, environ: Mapping[str, str]) -> SqlNode:
    target = _target(row, where, environ.get(row.password_variable, ""))
    if target is None:
        raise OperatorError(f"{where} names neither path nor url")
    return SqlNode(row.host.encode(), target, row.connections)


def _target(table: DatabaseTable, where: str, password: str) -> Target | None:
    if table.path and table.url:
        raise OperatorError(f"{where} names both path and url")
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
    """Return the URL and its port; no error text repeats the URL, which may hold a password."""
    try:
        url = urlsplit(text)
        port = url.port or DEFAULT_PORT
    except ValueError:
        raise OperatorError(f"{where}.url cannot be read") from None
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
        raise OperatorError(f"{where}.url may say sslmode={' or '.join(modes)}, and nothing else")
    return cast(TlsMode, mode)
