"""The operator's section ``[store]``: where the record is, its limits, and boxes that are databases.

Passwords come from a file that only its owner may read, or from the environment; never from this file, and
they are never part of what is printed.
"""

from __future__ import annotations

import os
import stat
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, Any, Literal, cast, get_args
from urllib.parse import unquote, urlsplit

from msgspec import Meta

from sabledyke.errors import OperatorError
from sabledyke.policy.nodes import NodeId
from sabledyke.store.health import Limits
from sabledyke.toml_tables import Table, convert, from_file, parsed

PASSWORD = "SABLEDYKE_STORE_PASSWORD"  # the record's, where no file is named
KEPT_S = 3600  # seconds that a write is remembered: far longer than any client repeats it
Tls = Literal["disable", "require", "verify-ca", "verify-full"]


@dataclass(slots=True, frozen=True)
class Target:
    """A database: a SQLite file, or a PostgreSQL server."""

    path: str = ""
    host: str = ""
    port: int = 5432
    database: str = ""
    user: str = ""
    password: str = field(default="", repr=False)
    tls: Tls = "disable"

    def __str__(self) -> str:
        return self.path or f"postgresql://{self.user}@{self.host}:{self.port}/{self.database}"


@dataclass(slots=True, frozen=True)
class Box:
    """A listed node that is a database; for PostgreSQL, discovery says at which address it listens."""

    node: NodeId
    target: Target
    connections: int = 4


@dataclass(slots=True, frozen=True)
class Section:
    """What ``[store]`` says."""

    record: Target | None = None
    limits: Limits = Limits()
    kept: float = KEPT_S * 1000.0  # ms
    boxes: tuple[Box, ...] = ()

    def __str__(self) -> str:
        boxes = f", {len(self.boxes)} boxes are databases" if self.boxes else ""
        return f"{self.record or 'off'}{boxes}"


PLAIN = Limits()


class Where(Table, frozen=True, kw_only=True):
    """Where a database is."""

    path: str = ""
    url: str = ""
    password_file: str = ""


class BoxRow(Where, frozen=True, kw_only=True):
    """A box that is a database."""

    host: str
    password_variable: str = PASSWORD
    connections: Annotated[int, Meta(ge=1, le=64)] = 4


class StoreTable(Where, frozen=True, kw_only=True):
    """As the file has it."""

    stall_ms: Annotated[float, Meta(gt=0, le=10_000)] = PLAIN.stall
    give_up_ms: Annotated[float, Meta(gt=0, le=60_000)] = PLAIN.give_up
    first_wait_ms: Annotated[float, Meta(gt=0, le=300)] = PLAIN.first_wait
    longest_wait_ms: Annotated[float, Meta(gt=0, le=700)] = PLAIN.longest_wait
    backlog: Annotated[int, Meta(ge=16, le=1_000_000)] = PLAIN.backlog
    batch: Annotated[int, Meta(ge=1, le=4096)] = PLAIN.batch
    gather_ms: Annotated[int, Meta(ge=0, le=100)] = int(PLAIN.gather)
    keep_s: Annotated[int, Meta(ge=60, le=86_400 * 30)] = KEPT_S
    box: tuple[BoxRow, ...] = ()

    def __post_init__(self) -> None:
        if self.first_wait_ms > self.longest_wait_ms:
            raise ValueError("first_wait_ms is longer than longest_wait_ms")
        if len({b.host for b in self.box}) < len(self.box):
            raise ValueError("two box rows have the same host")


def read(data: dict[str, Any], environ: Mapping[str, str]) -> Section | None:
    """The section, checked; None where it asks for nothing."""
    said = convert(data, StoreTable, "store")
    limits = Limits(
        said.stall_ms,
        said.give_up_ms,
        said.first_wait_ms,
        said.longest_wait_ms,
        said.backlog,
        said.batch,
        float(said.gather_ms),
    )
    record = _target(said, "store", environ.get(PASSWORD, ""))
    boxes = tuple(_box(row, f"store.box[{i}]", environ) for i, row in enumerate(said.box))
    return Section(record, limits, said.keep_s * 1000.0, boxes) if record or boxes else None


def _box(row: BoxRow, where: str, environ: Mapping[str, str]) -> Box:
    target = _target(row, where, environ.get(row.password_variable, ""))
    if target is None:
        raise OperatorError(f"{where} names neither path nor url")
    return Box(row.host.encode(), target, row.connections)


def _target(said: Where, where: str, password: str) -> Target | None:
    path, url, file = said.path, said.url, said.password_file
    if path and url:
        raise OperatorError(f"{where} names both path and url")
    if not url:
        return Target(path=path) if path else None
    try:
        parts = urlsplit(url)
        port = parts.port or 5432
    except ValueError:
        raise OperatorError(f"{where}.url cannot be read") from None
    if parts.password is not None:  # without repeating it
        raise OperatorError(f"{where}.url holds a password: set password_file, or {PASSWORD}")
    if parts.scheme not in ("postgresql", "postgres") or not parts.hostname or not parts.username:
        raise OperatorError(f"{where}.url must read postgresql://USER@HOST:PORT/DATABASE")
    tls: Tls = "disable"
    if parts.query:
        key, _, mode = parts.query.partition("=")
        if key != "sslmode" or mode not in get_args(Tls):
            words = " or ".join(get_args(Tls))
            raise OperatorError(f"{where}.url may say sslmode={words}, and nothing else")
        tls = cast(Tls, mode)
    if file:
        password = read_password(file)
    return Target(
        host=parts.hostname,
        port=port,
        database=unquote(parts.path.strip("/")) or unquote(parts.username),
        user=unquote(parts.username),
        password=password,
        tls=tls,
    )


def read_password(path: str) -> str:
    """The first line of a file that nobody but its owner may read."""
    try:
        with open(path, encoding="utf-8") as file:  # looked at through what was opened: it cannot be swapped
            mode = os.fstat(file.fileno()).st_mode
            if mode & (stat.S_IRWXG | stat.S_IRWXO):
                told = f"its mode is {mode & 0o777:o}"
                raise OperatorError(f"{path} must be read by its owner alone (chmod 600), {told}")
            line = file.readline(1024).rstrip("\r\n")
    except OSError as fault:
        raise OperatorError(f"{path}: {fault.strerror}") from None
    except UnicodeDecodeError:
        raise OperatorError(f"{path} is no text") from None
    if not line:
        raise OperatorError(f"{path} holds no password")
    return line


def load(path: str, environ: Mapping[str, str] = os.environ) -> Section:
    """The section alone, from an operator's file: what the store's commands need, without the deployment."""

    def store(text: str) -> Section | None:
        return read(parsed(text).get("store", {}), environ)

    section = from_file(path, store)
    if section is None or section.record is None:
        raise OperatorError(f"{path}: [store] names no record: set path or url")
    return section
