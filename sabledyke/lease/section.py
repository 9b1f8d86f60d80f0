"""The operator's section ``[lease]``: the authority, the times, and the duties that one of the fleet does
at a time.

Checked whole, at the start and on SIGHUP; every fault is one plain line.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import Any

from sabledyke.lease.terms import Times
from sabledyke.protocol.discovery import address
from sabledyke.store.section import Target
from sabledyke.tables import OperatorError, Table, section_from, wants

KINDS = ("audit", "reconcile", "backup", "call")
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


def read(table: Table, record: Target | None) -> Section | None:
    """The section, checked; None where there is none.

    ``record`` is the store's, which some duties work on.
    """
    if table.empty:
        return None
    path, etcd = table.take("path", str, ""), table.words("etcd")
    if bool(path) == bool(etcd):
        raise OperatorError("lease names either path, a SQLite file, or etcd, a list of host:port")
    if etcd:
        wants("lease", "aiohttp", "etcd")
    for endpoint in etcd:
        address(endpoint)
    plain = Times()
    times = Times(
        ttl=table.milliseconds("ttl_ms", plain.ttl, 3_600_000),
        renew=table.milliseconds("renew_ms", plain.renew, 3_600_000),
        margin=table.milliseconds("margin_ms", plain.margin, 3_600_000),
        drift=table.number("drift", 0.0, 0.2, plain.drift),
    )
    clock = Table(table.take("clock", dict, {}), "lease.clock")
    section = Section(
        path, etcd, table.take("prefix", str, "sabledyke/"), times,
        tuple(_duty(row, record) for row in table.rows("duty")),
        clock.number("offset_ms", -inf, inf, 0.0), clock.number("rate", 0.5, 2.0, 1.0),
    )  # fmt: skip
    clock.end()
    table.end()
    _check(section)
    return section


def _check(section: Section) -> None:
    times = section.times
    if times.renew < 10 or times.acts < 2 * times.renew:
        said = f"ttl_ms leaves {times.acts:.0f} ms to act in after drift and margin_ms"
        raise OperatorError(f"lease: {said}, and renew_ms must be from 10 to half of that")
    if section.etcd and times.ttl % 1000:
        raise OperatorError("lease.ttl_ms must be whole seconds with etcd, which counts them so")
    if len(section.duties) > MOST_DUTIES:
        raise OperatorError(f"lease.duty has more than {MOST_DUTIES} rows")
    if len({d.name for d in section.duties}) < len(section.duties):
        raise OperatorError("two lease.duty rows have the same name")


def _duty(row: Table, record: Target | None) -> Duty:
    kind = KINDS[row.name("kind", list(KINDS))]
    name, every = row.take("name", str), row.milliseconds("every_s", inf) * 1000
    if not name or len(name) > 64 or not all(c.isalnum() or c in "-_." for c in name):
        raise OperatorError(f"{row.where}.name must be letters, digits, - _ and ., at most 64 of them")
    folder, call = "", ("", 0, "")
    keep = row.whole("keep", 1, 1000, 7)
    if kind == "call":
        url = row.take("url", str)
        host, slash, rest = url.removeprefix("http://").partition("/")
        if not url.startswith("http://"):
            raise OperatorError(f"{row.where}.url must begin with http://")
        call = (*address(host), slash + rest)
    elif record is None:
        raise OperatorError(f"{row.where}: {kind} works on a record, and [store] names none")
    if kind == "backup":
        folder = row.take("folder", str)
    row.end()
    if every == inf:
        raise OperatorError(f"{row.where}.every_s is missing")
    return Duty(name, kind, every, folder, keep, call)


def load(path: str) -> Section:
    """The section alone, from an operator's file: what the lease commands need, without the deployment."""

    def lease(data: dict[str, Any]) -> Section | None:
        record = Target(path="any") if "store" in data else None  # what duties work on is not touched
        return read(Table(data.get("lease", {}), "lease"), record)

    return section_from(path, "lease", lease)
