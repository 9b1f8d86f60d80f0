"""The operator's section ``[lease]``: the authority, the times, and the duties that one of the fleet does
at a time.

Checked whole, at the start and on SIGHUP; every fault is one plain line.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any, Literal

from msgspec import Meta

from sabledyke.errors import OperatorError
from sabledyke.lease.types import LeaseTimes
from sabledyke.protocol.discovery import address
from sabledyke.store.section import Target
from sabledyke.toml_tables import NAME_RULE, Table, convert, name_like, section_from, wants

Hours = Annotated[float, Meta(gt=0, le=3_600_000)]
MAX_LEADER_TASKS = 32


@dataclass(slots=True, frozen=True)
class LeaderTask:
    """A periodic duty: every ``every`` ms, counted for the whole fleet."""

    name: str
    kind: str
    interval_ms: float
    folder: str = ""  # where a backup goes
    keep: int = 7  # backups that stay there
    endpoint: tuple[str, int, str] = ("", 0, "")  # host, port and path of what is called


@dataclass(slots=True, frozen=True)
class LeaseSection:
    """What ``[lease]`` says."""

    path: str = ""
    etcd_endpoints: tuple[str, ...] = ()
    prefix: str = "sabledyke/"
    times: LeaseTimes = LeaseTimes()
    leader_tasks: tuple[LeaderTask, ...] = ()
    clock_offset_ms: float = 0.0  # ms that this instance's clock is off, for experiments
    clock_rate: float = 1.0  # and how fast it runs

    def __str__(self) -> str:
        where = self.path or f"etcd at {', '.join(self.etcd_endpoints)}"
        return f"{where}, {len(self.leader_tasks)} duties"


DEFAULT_TIMES = LeaseTimes()


class LeaderTaskTable(Table, frozen=True, kw_only=True):
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
    ttl_ms: Hours = DEFAULT_TIMES.ttl_ms
    renew_ms: Hours = DEFAULT_TIMES.renew_interval_ms
    margin_ms: Hours = DEFAULT_TIMES.safety_margin_ms
    drift: Annotated[float, Meta(ge=0, le=0.2)] = DEFAULT_TIMES.max_clock_drift
    clock: ClockTable = ClockTable()
    duty: Annotated[tuple[LeaderTaskTable, ...], Meta(max_length=MAX_LEADER_TASKS)] = ()


def read(data: dict[str, Any], record: Target | None) -> LeaseSection | None:
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
        address(endpoint)
    times = LeaseTimes(
        ttl_ms=said.ttl_ms,
        renew_interval_ms=said.renew_ms,
        safety_margin_ms=said.margin_ms,
        max_clock_drift=said.drift,
    )
    duties = tuple(_duty(row, f"lease.duty[{i}]", record) for i, row in enumerate(said.duty))
    section = LeaseSection(
        said.path, said.etcd, said.prefix, times, duties, said.clock.offset_ms, said.clock.rate
    )
    _check(section)
    return section


def _check(section: LeaseSection) -> None:
    times = section.times
    if times.renew_interval_ms < 10 or times.acting_window_ms < 2 * times.renew_interval_ms:
        said = f"ttl_ms leaves {times.acting_window_ms:.0f} ms to act in after drift and margin_ms"
        raise OperatorError(f"lease: {said}, and renew_ms must be from 10 to half of that")
    if section.etcd_endpoints and times.ttl_ms % 1000:
        raise OperatorError("lease.ttl_ms must be whole seconds with etcd, which counts them so")
    if len({d.name for d in section.leader_tasks}) < len(section.leader_tasks):
        raise OperatorError("two lease.duty rows have the same name")


def _duty(row: LeaderTaskTable, where: str, record: Target | None) -> LeaderTask:
    call = ("", 0, "")
    if row.kind == "call":
        host, slash, rest = row.url.removeprefix("http://").partition("/")
        call = (*address(host), slash + rest)
    elif record is None:
        raise OperatorError(f"{where}: {row.kind} works on a record, and [store] names none")
    return LeaderTask(row.name, row.kind, row.every_s * 1000, row.folder, row.keep, call)


def load(path: str) -> LeaseSection:
    """The section alone, from an operator's file: what the lease commands need, without the deployment."""

    def lease(data: dict[str, Any]) -> LeaseSection | None:
        record = Target(path="any") if "store" in data else None  # what duties work on is not touched
        return read(data.get("lease", {}), record)

    return section_from(path, "lease", lease)
