"""The operator's section ``[lease]``: the authority, the times, and the duties that one of the fleet does
at a time.

Checked whole, at the start and on SIGHUP; every fault is one plain line.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any, Literal

from msgspec import Meta

from sabledyke.errors import OperatorError
from sabledyke.lease.types import Times
from sabledyke.protocol.discovery import parse_address
from sabledyke.store.section import Target
from sabledyke.toml_tables import NAME_RULE, Table, convert, name_like, section_from, wants

Hours = Annotated[float, Meta(gt=0, le=3_600_000)]
MOST_DUTIES = 32


@dataclass(slots=True, frozen=True)
class Duty:
    """A periodic duty: every ``every`` ms, counted for the whole fleet."""

    name: str
    kind: str
    every: float
    folder: str = ""  # where a backup goes
    keep: int = 7  # backups that stay there
    call: tuple[str, int, str] = ("", 0, "")  # host, port and path of what is called


@dataclass(slots=True, frozen=True)
class Section:
    """What ``[lease]`` says."""

    path: str = ""
    etcd: tuple[str, ...] = ()
    prefix: str = "sabledyke/"
    times: Times = Times()
    duties: tuple[Duty, ...] = ()
    offset: float = 0.0  # ms that this instance's clock is off, for experiments
    rate: float = 1.0  # and how fast it runs

    def __str__(self) -> str:
        where = self.path or f"etcd at {', '.join(self.etcd)}"
        return f"{where}, {len(self.duties)} duties"


PLAIN = Times()


class DutyRow(Table, frozen=True, kw_only=True):
    """A duty, as the file has it."""

    name: str
    kind: Literal["audit", "reconcile", "backup", "call"]
    every_s: Annotated[float, Meta(gt=0)]
    folder: str = ""
    url: str = ""
    keep: Annotated[int, Meta(ge=1, le=1000)] = 7

    def __post_init__(self) -> None:
        if not self.name or not name_like(self.name):
            raise ValueError(f"name {NAME_RULE}")
        if self.kind == "call" and not self.url.startswith("http://"):
            raise ValueError("url must begin with http://")
        if bool(self.folder) != (self.kind == "backup") or self.url and self.kind != "call":
            raise ValueError("a backup names its folder, a call its url, and no other duty one of them")


class ClockTable(Table, frozen=True, kw_only=True):
    """For experiments."""

    offset_ms: float = 0.0
    rate: Annotated[float, Meta(ge=0.5, le=2)] = 1.0


class LeaseTable(Table, frozen=True, kw_only=True):
    """As the file has it."""

    path: str = ""
    etcd: tuple[str, ...] = ()
    prefix: str = "sabledyke/"
    ttl_ms: Hours = PLAIN.ttl
    renew_ms: Hours = PLAIN.renew
    margin_ms: Hours = PLAIN.margin
    drift: Annotated[float, Meta(ge=0, le=0.2)] = PLAIN.drift
    clock: ClockTable = ClockTable()
    duty: Annotated[tuple[DutyRow, ...], Meta(max_length=MOST_DUTIES)] = ()


def read(data: dict[str, Any], record: Target | None) -> Section | None:
    """The section, checked; None where there is none.

    ``record`` is the store's, which some duties work on.
    """
    if not data:
        return None
    said = convert(data, LeaseTable, "lease")
    if bool(said.path) == bool(said.etcd):
        raise OperatorError("lease names either path, a SQLite file, or etcd, a list of host:port")
    if said.etcd:
        wants("lease", "aiohttp", "etcd")
    for endpoint in said.etcd:
        parse_address(endpoint)
    times = Times(ttl=said.ttl_ms, renew=said.renew_ms, margin=said.margin_ms, drift=said.drift)
    duties = tuple(_duty(row, f"lease.duty[{i}]", record) for i, row in enumerate(said.duty))
    section = Section(said.path, said.etcd, said.prefix, times, duties, said.clock.offset_ms, said.clock.rate)
    _check(section)
    return section


def _check(section: Section) -> None:
    times = section.times
    if times.renew < 10 or times.acts < 2 * times.renew:
        said = f"ttl_ms leaves {times.acts:.0f} ms to act in after drift and margin_ms"
        raise OperatorError(f"lease: {said}, and renew_ms must be from 10 to half of that")
    if section.etcd and times.ttl % 1000:
        raise OperatorError("lease.ttl_ms must be whole seconds with etcd, which counts them so")
    if len({d.name for d in section.duties}) < len(section.duties):
        raise OperatorError("two lease.duty rows have the same name")


def _duty(row: DutyRow, where: str, record: Target | None) -> Duty:
    call = ("", 0, "")
    if row.kind == "call":
        host, slash, rest = row.url.removeprefix("http://").partition("/")
        call = (*parse_address(host), slash + rest)
    elif record is None:
        raise OperatorError(f"{where}: {row.kind} works on a record, and [store] names none")
    return Duty(row.name, row.kind, row.every_s * 1000, row.folder, row.keep, call)


def load(path: str) -> Section:
    """The section alone, from an operator's file: what the lease commands need, without the deployment."""

    def lease(data: dict[str, Any]) -> Section | None:
        record = Target(path="any") if "store" in data else None  # what duties work on is not touched
        return read(data.get("lease", {}), record)

    return section_from(path, "lease", lease)
