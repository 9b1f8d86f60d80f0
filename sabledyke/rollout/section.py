"""The operator's section ``[rollout]``: who this member is, and how long things may take. Checked whole."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from typing import Any

from sabledyke.errors import PlanError
from sabledyke.rollout.planner import Patience
from sabledyke.rollout.terms import Plan
from sabledyke.tables import OperatorError, Table, from_file


@dataclass(slots=True, frozen=True)
class Section:
    """What ``[rollout]`` says; times in ms."""

    site: str = ""
    version: str = ""
    wants: str = ""  # the file that says which version to start next, for whoever starts this member
    every: float = 200.0  # between looks at the board
    beat: float = 1000.0  # between signs of life
    valid: float = 10_000.0  # for which an ask may be granted
    patience: Patience = Patience()

    def __str__(self) -> str:
        return f"site {self.site or '-'}, version {self.version or '-'}"


def read(table: Table) -> Section | None:
    """The section, checked; None where there is none."""
    if table.empty:
        return None
    plain, times = Section(), Patience()
    section = Section(
        site=_name(table, "site"),
        version=_name(table, "version"),
        wants=table.take("wants", str, ""),
        every=table.milliseconds("every_ms", plain.every, 60_000),
        beat=table.milliseconds("beat_ms", plain.beat, 60_000),
        valid=table.milliseconds("valid_ms", plain.valid, 3_600_000),
        patience=Patience(
            silent=table.milliseconds("silent_ms", times.silent, 3_600_000),
            back=table.milliseconds("back_ms", times.back, 86_400_000),
            soak=table.milliseconds("soak_ms", times.soak, 86_400_000),
        ),
    )
    table.end()
    if section.patience.silent < 2 * section.beat:
        raise OperatorError("rollout.silent_ms must be twice beat_ms or more")
    return section


def _name(table: Table, what: str) -> str:
    value = str(table.take(what, str, ""))
    if len(value) > 64 or not all(c.isalnum() or c in "-_." for c in value):
        raise OperatorError(f"{table.where}.{what} must be letters, digits, - _ and ., at most 64 of them")
    return value


def load_plan(path: str) -> Plan:
    """A plan from its file (TOML); a PlanError in one line where it cannot be read."""
    try:
        return from_file(path, lambda text: plan_of(tomllib.loads(text)))
    except OperatorError as fault:
        raise PlanError(str(fault)) from None


def plan_of(data: dict[str, Any]) -> Plan:
    """What such a file says; whether the fleet can do it is for ``planner.check``."""
    table = Table(data, "plan")
    budgets = Table(table.take("budget", dict, {}), "plan.budget")
    per_site, share = budgets.take("per_site", int, -1), budgets.take("share", (int, float), -1.0)
    retires = _name(table, "retire")
    plan = Plan(
        name=_name(table, "name"),
        members=table.words("members"),
        most=int(budgets.take("most", int, 1)),
        per_site=None if per_site == -1 else int(per_site),
        share=None if share == -1 else float(share),
        to=_name(table, "to"),
        before=_name(table, "before"),
        canary=table.flag("canary", False),
        settings=table.flag("settings", False),
        boxes=() if retires else table.words("boxes"),
        then=table.words("boxes") if retires else (),
        gone=table.flag("gone", False),
        retire=retires,
    )
    budgets.end()
    table.end()
    if not plan.name:
        raise OperatorError("plan.name is missing")
    if plan.retire and (plan.members or plan.to):
        raise OperatorError("a plan that retires a site names neither members nor versions")
    if plan.boxes and (plan.members or plan.to):
        raise OperatorError("a plan that drains boxes names neither members nor versions")
    if plan.gone and not plan.boxes:
        raise OperatorError("plan.gone is said of boxes, and it names none")
    if plan.settings and not plan.to:
        raise OperatorError("a plan of new settings names both labels, to and before")
    if bool(plan.to) != bool(plan.before):
        raise OperatorError("a release names both versions, to and before; a restart names neither")
    return plan
