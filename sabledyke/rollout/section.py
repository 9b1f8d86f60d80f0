"""The operator's section ``[rollout]``: who this member is, and how long things may take. Checked whole."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any

from msgspec import Meta

from sabledyke.errors import OperatorError, PlanError
from sabledyke.rollout.planner import Timeouts
from sabledyke.rollout.records import Plan
from sabledyke.toml_tables import NAME_RULE, Table, convert, from_file, name_like, parsed

Seconds = Annotated[float, Meta(gt=0, le=60_000)]
Hours = Annotated[float, Meta(gt=0, le=3_600_000)]
Days = Annotated[float, Meta(gt=0, le=86_400_000)]


@dataclass(slots=True, frozen=True)
class Section:
    """What ``[rollout]`` says; times in ms."""

    site: str = ""
    version: str = ""
    version_file: str = ""  # the file that says which version to start next, for whoever starts this member
    poll_interval_ms: float = 200.0  # between looks at the board
    heartbeat_interval_ms: float = 1000.0  # between signs of life
    request_validity_ms: float = 10_000.0  # for which an ask may be granted
    timeouts: Timeouts = Timeouts()

    def __str__(self) -> str:
        return f"site {self.site or '-'}, version {self.version or '-'}"


PLAIN = Section()


class RolloutTable(Table, frozen=True, kw_only=True):
    """As the file has it."""

    site: str = ""
    version: str = ""
    wants: str = ""
    every_ms: Seconds = PLAIN.poll_interval_ms
    beat_ms: Seconds = PLAIN.heartbeat_interval_ms
    valid_ms: Hours = PLAIN.request_validity_ms
    silent_ms: Hours = PLAIN.timeouts.heartbeat_timeout_ms
    back_ms: Days = PLAIN.timeouts.return_timeout_ms
    soak_ms: Days = PLAIN.timeouts.canary_soak_ms

    def __post_init__(self) -> None:
        _names(site=self.site, version=self.version)
        if self.silent_ms < 2 * self.beat_ms:
            raise ValueError("silent_ms must be twice beat_ms or more")


class BudgetTable(Table, frozen=True, kw_only=True):
    """Of a plan; what the fleet allows is for ``planner.check``."""

    most: int = 1
    per_site: int | None = None
    share: float | None = None


class PlanTable(Table, frozen=True, kw_only=True):
    """A plan's file."""

    name: str
    members: tuple[str, ...] = ()
    to: str = ""
    before: str = ""
    canary: bool = False
    settings: bool = False
    boxes: tuple[str, ...] = ()
    gone: bool = False
    retire: str = ""
    budget: BudgetTable = BudgetTable()

    def __post_init__(self) -> None:
        _names(name=self.name, to=self.to, before=self.before, retire=self.retire)


def _names(**said: str) -> None:
    for what, name in said.items():
        if not name_like(name):
            raise ValueError(f"{what} {NAME_RULE}")


def read(data: dict[str, Any]) -> Section | None:
    """The section, checked; None where there is none."""
    if not data:
        return None
    said = convert(data, RolloutTable, "rollout")
    patience = Timeouts(said.silent_ms, said.back_ms, said.soak_ms)
    return Section(said.site, said.version, said.wants, said.every_ms, said.beat_ms, said.valid_ms, patience)


def load_plan(path: str) -> Plan:
    """A plan from its file (TOML); a PlanError in one line where it cannot be read."""
    try:
        return from_file(path, lambda text: plan_of(parsed(text)))
    except OperatorError as fault:
        raise PlanError(str(fault)) from None


def plan_of(data: dict[str, Any]) -> Plan:
    """What such a file says; whether the fleet can do it is for ``planner.check``."""
    said = convert(data, PlanTable, "plan")
    budget, retires = said.budget, bool(said.retire)
    plan = Plan(
        said.name,
        said.members,
        budget.most,
        budget.per_site,
        budget.share,
        said.to,
        said.before,
        said.canary,
        said.settings,
        () if retires else said.boxes,
        said.gone,
        said.retire,
        said.boxes if retires else (),
    )
    if not plan.name:
        raise OperatorError("plan.name is missing")
    if plan.retiring_site and (plan.members or plan.target):
        raise OperatorError("a plan that retires a site names neither members nor versions")
    if plan.nodes and (plan.members or plan.target):
        raise OperatorError("a plan that drains boxes names neither members nor versions")
    if plan.removes_nodes and not plan.nodes:
        raise OperatorError("plan.gone is said of boxes, and it names none")
    if plan.settings and not plan.target:
        raise OperatorError("a plan of new settings names both labels, to and before")
    if bool(plan.target) != bool(plan.previous):
        raise OperatorError("a release names both versions, to and before; a restart names neither")
    return plan
