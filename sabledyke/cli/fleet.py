"""``sabledyke fleet ...``: shows the members and plans of a fleet, and changes them."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from sabledyke.cli.fleet_status import describe
from sabledyke.compacted_log import registers, section
from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.reader import LogReader
from sabledyke.errors import PlanError, SabledykeError
from sabledyke.quota_sharing.allocation import SHARES_TOPIC
from sabledyke.rollout import commands, plan_changes
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.heartbeats import LOAD_KEY_PREFIX
from sabledyke.rollout.plan_file import load_plan
from sabledyke.rollout.records import HEARTBEATS_TOPIC, Plan, PlanStage
from sabledyke.rollout.state_changes import StateChange
from sabledyke.toml_tables import load_section

STAGE_OF_COMMAND = {
    "halt": PlanStage.HALTED,
    "resume": PlanStage.RUNNING,
    "back": PlanStage.ROLLING_BACK,
}


def main(arguments: Mapping[str, Any]) -> int:
    """Run a sub-command of ``fleet``.

    Args:
        arguments: The command line, as docopt reads it.

    Returns:
        The exit code: 0 on success, 2 on failure.
    """
    try:
        asyncio.run(_run(arguments))
    except SabledykeError as error:
        print(f"sabledyke: {error.line}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"sabledyke: {error}", file=sys.stderr)
        return 2
    return 0


def load_log_section(path: str) -> section.LogSection:
    """Load only the section ``[board]`` of an operator's file.

    Raises:
        OperatorError: The file cannot be used, or the section is missing.
    """
    return load_section(path, "board", lambda tables: section.read(tables.get("board", {})))


async def _run(arguments: Mapping[str, Any]) -> None:
    new_plan = load_plan(arguments["FILE"]) if arguments["plan"] else None
    log_section = load_log_section(arguments["--operator"])
    log = CompactedLog(log_section.create_backend())
    reader = LogReader(log_section.max_keys)
    await log.backend.open()
    try:
        if arguments["status"]:
            print("\n".join(describe(await commands.read_view(log, reader))))
            return
        change = await commands.apply(log, reader, lambda view: _decide(arguments, view, new_plan))
        if arguments["forget"]:
            await _delete_registers(log, arguments["MEMBER"])
        print(change.description)
    finally:
        await log.backend.close()


def _decide(arguments: Mapping[str, Any], view: FleetView, new_plan: Plan | None) -> StateChange:
    """Return the state change that a command requests, in the current state of the fleet."""
    if arguments["forget"]:
        return plan_changes.forget_member(arguments["MEMBER"], view)
    if new_plan is not None:
        plan = _begin_plan(new_plan, view)
    else:
        command = next(name for name in STAGE_OF_COMMAND if arguments[name])
        plan = _change_plan(arguments["PLAN"], STAGE_OF_COMMAND[command], view)
    return StateChange(f"plan {plan.name}: {plan.stage.value}", (plan,), expected_end=view.next_offset)


def _begin_plan(plan: Plan, view: FleetView) -> Plan:
    if plan.retiring_site:  # the plan is for all current members of the site
        names = sorted(member.name for member in view.members.values() if member.site == plan.retiring_site)
        plan = replace(plan, members=tuple(names))
    plan_changes.validate(plan, view)
    return plan


def _change_plan(name: str, stage: PlanStage, view: FleetView) -> Plan:
    plan = view.plans.get(name)
    if plan is None:
        raise PlanError(f"there is no plan {name}")
    return plan_changes.change_stage(plan, stage, "by an operator")


async def _delete_registers(log: CompactedLog, member: str) -> None:
    """Delete the registers in which a forgotten member published its heartbeats, load and demand."""
    await registers.delete(log.backend, HEARTBEATS_TOPIC, [member, f"{LOAD_KEY_PREFIX}{member}"])
    await registers.delete(log.backend, SHARES_TOPIC, [member])
