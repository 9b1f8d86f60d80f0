"""``sabledyke fleet ...``: who is in the fleet and how plans stand, and the few words that run them."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from sabledyke.compacted_log import registers
from sabledyke.compacted_log import section as board_section
from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.reader import LogReader
from sabledyke.errors import PlanError, SabledykeError
from sabledyke.quota_sharing.allocation import SHARES_TOPIC
from sabledyke.rollout import commands, disruption_budget, node_drain, plan_changes, release_order
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.heartbeats import LOAD_KEY_PREFIX
from sabledyke.rollout.moves import Move
from sabledyke.rollout.plan_file import load_plan
from sabledyke.rollout.records import EVACUATION_STEPS, HEARTBEATS_TOPIC, DrainPhase, Plan, PlanStage
from sabledyke.toml_tables import section_from

STAGES = {"halt": PlanStage.HALTED, "resume": PlanStage.RUNNING, "back": PlanStage.ROLLING_BACK}


def main(said: Mapping[str, Any]) -> int:
    """Run one of them: 0 where it was done, 2 where it could not be."""
    try:
        asyncio.run(_run(said))
        return 0
    except (SabledykeError, OSError) as fault:
        print(f"sabledyke: {fault.line if isinstance(fault, SabledykeError) else fault}", file=sys.stderr)
        return 2


def load_board(path: str) -> board_section.LogSection:
    """The section alone, from an operator's file."""
    return section_from(path, "board", lambda data: board_section.read(data.get("board", {})))


async def _run(said: Mapping[str, Any]) -> None:
    plan = load_plan(said["FILE"]) if said["plan"] else None
    section = load_board(said["--operator"])
    board, reader = CompactedLog(section.create_backend()), LogReader(section.max_keys)
    await board.backend.open()
    try:
        if said["status"]:
            print("\n".join(status(await commands.read_view(board, reader))))
            return
        move = await commands.apply(board, reader, lambda seen: _wanted(said, seen, plan))
        if said["forget"]:
            keys = [said["MEMBER"], f"{LOAD_KEY_PREFIX}{said['MEMBER']}"]
            await registers.delete(board.backend, HEARTBEATS_TOPIC, keys)
            await registers.delete(board.backend, SHARES_TOPIC, [said["MEMBER"]])
        print(move.description)
    finally:
        await board.backend.close()


def _wanted(said: Mapping[str, Any], seen: FleetView, plan: Plan | None) -> Move:
    if said["forget"]:
        return plan_changes.forget_member(said["MEMBER"], seen)
    new = _plan(said, seen, plan)
    return Move(f"plan {new.name}: {new.stage.value}", (new,), expected_end=seen.next_offset)


def _plan(said: Mapping[str, Any], seen: FleetView, plan: Plan | None) -> Plan:
    if plan is not None:
        if plan.retiring_site:  # all that is there now
            here = (m.name for m in seen.members.values() if m.site == plan.retiring_site)
            plan = replace(plan, members=tuple(sorted(here)))
        plan_changes.validate(plan, seen)
        return plan
    said_is = next(name for name in STAGES if said[name])
    known = seen.plans.get(said["PLAN"])
    if known is None:
        raise PlanError(f"there is no plan {said['PLAN']}")
    return plan_changes.change_stage(known, STAGES[said_is], "by an operator")


def status(seen: FleetView) -> list[str]:
    """Members, tickets and plans, a line each."""
    epoch = f"{seen.epoch.name}, token {seen.epoch.token}" if seen.epoch else "nobody yet"
    out = len(disruption_budget.members_out(seen))
    lines = [f"coordinator: {epoch}; {out} of {len(seen.members)} out or going"]
    for _, m in sorted(seen.members.items()):
        ticket = seen.tickets.get(m.name)
        told = f", ticket of {ticket.plan}{', going' if ticket.used else ''}" if ticket else ""
        where = f"version {m.version or '-'}, site {m.site or '-'}"
        lines.append(f"{m.name}: {m.state.value}, life {m.incarnation}, {where}{told}")
    for _, d in sorted(seen.drains.items()):
        waits = ", ".join(node_drain.unacknowledged_by(seen, d)) if d.phase is DrainPhase.LEAVING else ""
        lines.append(f"box {d.name}: {d.phase.value} under {d.plan}{', waits for ' if waits else ''}{waits}")
    for _, p in sorted(seen.plans.items()):
        why = f" ({p.reason})" if p.reason else ""
        if p.retiring_site:
            why += f", site {p.retiring_site} retires, step {p.step} of {EVACUATION_STEPS}"
        if mute := [name for name in release_order.remaining_members(p) if name in p.deferred]:
            why += f", no ask in their turn: {', '.join(mute)}"
        done = f"{len(p.released)} of {len(p.nodes or p.members)} released, most {p.max_out}"
        lines.append(f"plan {p.name}: {p.stage.value}{why}, {done}")
    return lines
