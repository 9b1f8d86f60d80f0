"""The operator's section ``[store]``: where the record is, its limits, and boxes that are databases.

Passwords come from a file that only its owner may read, or from the environment; never from this file, and
they are never part of what is printed.
"""

from __future__ import annotations

import os
import stat
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Literal, cast, get_args
from urllib.parse import unquote, urlsplit

from sabledyke import interface as api
from sabledyke.store.health import Limits
from sabledyke.tables import OperatorError, Table, from_file

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

    node: api.NodeId
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


def read(table: Table, environ: Mapping[str, str]) -> Section | None:
    """The section, checked; None where it asks for nothing."""
    record = _target(table, environ.get(PASSWORD, ""))
    plain = Limits()
    limits = Limits(
        stall=table.milliseconds("stall_ms", plain.stall, 10_000),
        give_up=table.milliseconds("give_up_ms", plain.give_up, 60_000),
        first_wait=table.milliseconds("first_wait_ms", plain.first_wait, 300),
        longest_wait=table.milliseconds("longest_wait_ms", plain.longest_wait, 700),
        backlog=table.whole("backlog", 16, 1_000_000, plain.backlog),
        batch=table.whole("batch", 1, 4096, plain.batch),
        gather=float(table.whole("gather_ms", 0, 100, int(plain.gather))),
    )
    kept = table.whole("keep_s", 60, 86_400 * 30, KEPT_S) * 1000.0
    boxes = tuple(_box(row, environ) for row in table.rows("box"))
    table.end()
    if limits.first_wait > limits.longest_wait:
        raise OperatorError(f"{table.where}.first_wait_ms is longer than longest_wait_ms")
    if len({b.node for b in boxes}) < len(boxes):
        raise OperatorError(f"two {table.where}.box rows have the same host")
    return Section(record, limits, kept, boxes) if record or boxes else None


def _box(row: Table, environ: Mapping[str, str]) -> Box:
    host = row.take("host", str)
    variable = row.take("password_variable", str, PASSWORD)
    target = _target(row, environ.get(variable, ""))
    if target is None:
        raise OperatorError(f"{row.where} names neither path nor url")
    made = Box(host.encode(), target, row.whole("connections", 1, 64, 4))
    row.end()
    return made


def _target(table: Table, password: str) -> Target | None:
    path, url = table.take("path", str, ""), table.take("url", str, "")
    file = table.take("password_file", str, "")
    if path and url:
        raise OperatorError(f"{table.where} names both path and url")
    if not url:
        return Target(path=path) if path else None
    try:
        parts = urlsplit(url)
        port = parts.port or 5432
    except ValueError:
        raise OperatorError(f"{table.where}.url cannot be read") from None
    if parts.password is not None:  # without repeating it
        raise OperatorError(f"{table.where}.url holds a password: set password_file, or {PASSWORD}")
    if parts.scheme not in ("postgresql", "postgres") or not parts.hostname or not parts.username:
        raise OperatorError(f"{table.where}.url must read postgresql://USER@HOST:PORT/DATABASE")
    tls: Tls = "disable"
    if parts.query:
        key, _, said = parts.query.partition("=")
        if key != "sslmode" or said not in get_args(Tls):
            words = " or ".join(get_args(Tls))
            raise OperatorError(f"{table.where}.url may say sslmode={words}, and nothing else")
        tls = cast(Tls, said)
    if file:
        password = read_password(file)
    return Target(
        host=parts.hostname, port=port, database=unquote(parts.path.strip("/")) or unquote(parts.username),
        user=unquote(parts.username), password=password, tls=tls,
    )  # fmt: skip


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
        return read(Table(tomllib.loads(text).get("store", {}), "store"), environ)

    section = from_file(path, store)
    if section is None or section.record is None:
        raise OperatorError(f"{path}: [store] names no record: set path or url")
    return section
