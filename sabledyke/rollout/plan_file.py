"""Plan files of operators, in TOML."""

from __future__ import annotations

from typing import Any

from sabledyke.errors import OperatorError, PlanError
from sabledyke.rollout.records import Plan
from sabledyke.rollout.section import check_names
from sabledyke.toml_tables import Table, convert, load_file, parse_toml


class BudgetTable(Table, frozen=True, kw_only=True):
    """Disruption budget of a plan; ``plan_changes.validate`` checks it against the fleet."""

    most: int = 1
    per_site: int | None = None
    share: float | None = None


class PlanTable(Table, frozen=True, kw_only=True):
    """Keys of a plan file."""

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
        check_names(name=self.name, to=self.to, before=self.before, retire=self.retire)


def load_plan(path: str) -> Plan:
    """Return the plan of a file.

    Raises:
        PlanError: The file cannot be read or holds no valid plan; the message is one line.
    """
    try:
        return load_file(path, lambda text: plan_of(parse_toml(text)))
    except OperatorError as fault:
        raise PlanError(str(fault)) from None


def plan_of(data: dict[str, Any]) -> Plan:
    """Return the plan of a file's content, which ``plan_changes.validate`` checks against the fleet.

    Raises:
        OperatorError: The content is not a valid plan.
    """
    table = convert(data, PlanTable, "plan")
    retires = bool(table.retire)
    plan = Plan(
        name=table.name,
        members=table.members,
        max_out=table.budget.most,
        max_out_per_site=table.budget.per_site,
        max_out_fraction=table.budget.share,
        target=table.to,
        previous=table.before,
        canary=table.canary,
        settings=table.settings,
        nodes=() if retires else table.boxes,
        removes_nodes=table.gone,
        retiring_site=table.retire,
        nodes_removed_next=table.boxes if retires else (),
    )
    _check(plan)
    return plan


def _check(plan: Plan) -> None:
    if not plan.name:
        raise OperatorError("plan.name is missing")
    names_members = bool(plan.members or plan.target)
    if plan.retiring_site and names_members:
        raise OperatorError("a plan that retires a site names neither members nor versions")
    if plan.nodes and names_members:
        raise OperatorError("a plan that drains boxes names neither members nor versions")
    if plan.removes_nodes and not plan.nodes:
        raise OperatorError("plan.gone requires plan.boxes, which names none")
    if plan.settings and not plan.target:
        raise OperatorError("a plan of new settings names both labels, to and before")
    if bool(plan.target) != bool(plan.previous):
        raise OperatorError("a release names both versions, to and before; a restart names neither")
