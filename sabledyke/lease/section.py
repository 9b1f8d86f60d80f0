"""The operator's section ``[lease]``: the authority, the times, and the leader tasks.

The whole section is checked at startup and on SIGHUP; every error message is a single line.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any, Literal, NamedTuple

from msgspec import Meta

from sabledyke.errors import OperatorError
from sabledyke.lease.types import LeaseTimes
from sabledyke.protocol.discovery import parse_address
from sabledyke.store.section import Target
from sabledyke.toml_tables import NAME_RULE, Table, convert, is_valid_name, load_section, require_library

Milliseconds = Annotated[float, Meta(gt=0, le=3_600_000)]

DEFAULT_TIMES = LeaseTimes()
MAX_LEADER_TASKS = 32
MIN_RENEW_INTERVAL_MS = 10
MIN_RENEWALS_PER_OPERATING_WINDOW = 2
URL_SCHEME = "http://"


class Endpoint(NamedTuple):
    """Address and path of the service that a leader task of kind ``call`` sends its request to."""

    host: str = ""
    port: int = 0
    path: str = ""


NO_ENDPOINT = Endpoint()


@dataclass(slots=True, frozen=True)
class LeaderTask:
    """Periodic task that only one process of the fleet runs at a time.

    Attributes:
        name: Name of the task, and of its lease.
        kind: ``audit``, ``reconcile``, ``backup`` or ``call``.
        interval_ms: Time between two runs, counted for the whole fleet.
        folder: Directory that backups are written to.
        keep: Number of backups retained there.
        endpoint: Called service.
    """

    name: str
    kind: str
    interval_ms: float
    folder: str = ""
    keep: int = 7
    endpoint: Endpoint = NO_ENDPOINT


@dataclass(slots=True, frozen=True)
class LeaseSection:
    """Settings of the section ``[lease]``.

    Attributes:
        path: SQLite file of the authority, or "".
        etcd_endpoints: Addresses of the authority's etcd servers; empty for none.
        prefix: Prefix of all keys in etcd.
        times: Times of all leases.
        leader_tasks: Tasks that this instance is a candidate for.
        clock_offset_ms: Offset of this instance's clock in ms, for experiments.
        clock_rate: Rate of this instance's clock as a multiple of the true rate, for experiments.
    """

    path: str = ""
    etcd_endpoints: tuple[str, ...] = ()
    prefix: str = "sabledyke/"
    times: LeaseTimes = DEFAULT_TIMES
    leader_tasks: tuple[LeaderTask, ...] = ()
    clock_offset_ms: float = 0.0
    clock_rate: float = 1.0

    def __str__(self) -> str:
        """Return the authority and the number of leader tasks for log messages."""
        authority = self.path or f"etcd at {', '.join(self.etcd_endpoints)}"
        return f"{authority}, {len(self.leader_tasks)} duties"

    def has_same_authority(self, other: LeaseSection) -> bool:
        """Return whether both sections use the same authority."""
        return (self.path, self.etcd_endpoints, self.prefix) == (
            other.path,
            other.etcd_endpoints,
            other.prefix,
        )


class LeaderTaskTable(Table, frozen=True, kw_only=True):
    """Leader task in the form of the operator's file."""

    name: str
    kind: Literal["audit", "reconcile", "backup", "call"]
    every_s: Annotated[float, Meta(gt=0)]
    folder: str = ""
    url: str = ""
    keep: Annotated[int, Meta(ge=1, le=1000)] = 7

    def __post_init__(self) -> None:
        """Check that the keys are consistent.

        Raises:
            ValueError: The keys contradict each other; ``convert`` turns this into an OperatorError.
        """
        if not self.name or not is_valid_name(self.name):
            raise ValueError(f"name {NAME_RULE}")
        if self.kind == "call" and not self.url.startswith(URL_SCHEME):
            raise ValueError("url must begin with http://")
        has_wrong_folder = bool(self.folder) != (self.kind == "backup")
        has_wrong_url = bool(self.url) and self.kind != "call"
        if has_wrong_folder or has_wrong_url:
            raise ValueError("folder must be set for a backup and no other kind, url for no kind but call")


class ClockTable(Table, frozen=True, kw_only=True):
    """Clock settings of an experiment in the form of the operator's file."""

    offset_ms: float = 0.0
    rate: Annotated[float, Meta(ge=0.5, le=2)] = 1.0


class LeaseTable(Table, frozen=True, kw_only=True):
    """Section ``[lease]`` in the form of the operator's file."""

    path: str = ""
    etcd: tuple[str, ...] = ()
    prefix: str = "sabledyke/"
    ttl_ms: Milliseconds = DEFAULT_TIMES.ttl_ms
    renew_ms: Milliseconds = DEFAULT_TIMES.renew_interval_ms
    margin_ms: Milliseconds = DEFAULT_TIMES.safety_margin_ms
    drift: Annotated[float, Meta(ge=0, le=0.2)] = DEFAULT_TIMES.max_clock_drift
    clock: ClockTable = ClockTable()
    duty: Annotated[tuple[LeaderTaskTable, ...], Meta(max_length=MAX_LEADER_TASKS)] = ()


def read(data: dict[str, Any], record: Target | None) -> LeaseSection | None:
    """Read and check the section.

    Args:
        data: Parsed table of the section.
        record: Record of ``[store]``, which some leader tasks work on.

    Returns:
        The settings; None if there is no such section.

    Raises:
        OperatorError: The section is invalid.
        ListError: An address in the section is invalid.
    """
    if not data:
        return None
    table = convert(data, LeaseTable, "lease")
    _check_authority(table)
    section = LeaseSection(
        path=table.path,
        etcd_endpoints=table.etcd,
        prefix=table.prefix,
        times=LeaseTimes(
            ttl_ms=table.ttl_ms,
            renew_interval_ms=table.renew_ms,
            safety_margin_ms=table.margin_ms,
            max_clock_drift=table.drift,
        ),
        leader_tasks=tuple(
            _leader_task(row, f"lease.duty[{index}]", record) for index, row in enumerate(table.duty)
        ),
        clock_offset_ms=table.clock.offset_ms,
        clock_rate=table.clock.rate,
    )
    _check_times(section)
    if len({task.name for task in section.leader_tasks}) < len(section.leader_tasks):
        raise OperatorError("two lease.duty rows have the same name")
    return section


def load(path: str) -> LeaseSection:
    """Read only this section from an operator's file, for the lease commands.

    Raises:
        OperatorError: The file or the section is invalid.
    """

    def lease_of(data: dict[str, Any]) -> LeaseSection | None:
        record = Target(path="any") if "store" in data else None  # a placeholder; the record is not opened
        return read(data.get("lease", {}), record)

    return load_section(path, "lease", lease_of)


def _check_authority(table: LeaseTable) -> None:
    if bool(table.path) == bool(table.etcd):
        raise OperatorError("lease names either path, a SQLite file, or etcd, a list of host:port")
    if table.etcd:
        require_library("lease", "aiohttp", "etcd")
    for endpoint in table.etcd:
        parse_address(endpoint)


def _check_times(section: LeaseSection) -> None:
    times = section.times
    max_renew_interval_ms = times.operating_window_ms / MIN_RENEWALS_PER_OPERATING_WINDOW
    if not MIN_RENEW_INTERVAL_MS <= times.renew_interval_ms <= max_renew_interval_ms:
        window = f"ttl_ms leaves {times.operating_window_ms:.0f} ms to operate in after drift and margin_ms"
        raise OperatorError(f"lease: {window}, and renew_ms must be from 10 to half of that")
    if section.etcd_endpoints and times.ttl_ms % 1000:
        raise OperatorError("lease.ttl_ms must be whole seconds with etcd, whose leases last whole seconds")


def _leader_task(row: LeaderTaskTable, where: str, record: Target | None) -> LeaderTask:
    if row.kind != "call" and record is None:
        raise OperatorError(f"{where}: {row.kind} requires a record, but [store] is missing")
    return LeaderTask(
        name=row.name,
        kind=row.kind,
        interval_ms=row.every_s * 1000,
        folder=row.folder,
        keep=row.keep,
        endpoint=_endpoint(row.url) if row.kind == "call" else NO_ENDPOINT,
    )


def _endpoint(url: str) -> Endpoint:
    authority, slash, path = url.removeprefix(URL_SCHEME).partition("/")
    host, port = parse_address(authority)
    return Endpoint(host, port, slash + path)
