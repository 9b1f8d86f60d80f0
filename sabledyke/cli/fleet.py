"""``sabledyke fleet ...``: who is in the fleet and how plans stand, and the few words that run them."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from sabledyke.compacted_log import registers
from sabledyke.compacted_log import section as board_section
from sabledyke.compacted_log.client import Board
from sabledyke.compacted_log.reader import Follower
from sabledyke.errors import PlanError, SabledykeError
from sabledyke.placement.evacuation_driver import LOADS
from sabledyke.quota_sharing.allocation import TOPIC
from sabledyke.rollout import commands, node_drain, planner
from sabledyke.rollout.planner import Move
from sabledyke.rollout.records import BEATS, STEPS, Phase, Plan, Stage, View
from sabledyke.rollout.section import load_plan
from sabledyke.toml_tables import section_from

STAGES = {"halt": Stage.HALTED, "resume": Stage.RUNNING, "back": Stage.BACK}


def main(said: Mapping[str, Any]) -> int:
    """Run one of them: 0 where it was done, 2 where it could not be."""
    try:
        asyncio.run(_run(said))
        return 0
    except (SabledykeError, OSError) as fault:
        print(f"sabledyke: {fault.line if isinstance(fault, SabledykeError) else fault}", file=sys.stderr)
        return 2


def load_board(path: str) -> board_section.Section:
    """The section alone, from an operator's file."""
    return section_from(path, "board", lambda data: board_section.read(data.get("board", {})))


async def _run(said: Mapping[str, Any]) -> None:
    plan = load_plan(said["FILE"]) if said["plan"] else None
    section = load_board(said["--operator"])
    board, reader = Board(section.shelf()), Follower(section.most_keys)
    await board.shelf.open()
    try:
        if said["status"]:
            print("\n".join(status(await commands.look(board, reader))))
            return
        move = await commands.say(board, reader, lambda seen: _wanted(said, seen, plan))
        if said["forget"]:
            await registers.drop(board.shelf, BEATS, [said["MEMBER"], f"{LOADS}{said['MEMBER']}"])
            await registers.drop(board.shelf, TOPIC, [said["MEMBER"]])
        print(move.what)
    finally:
        await board.shelf.close()


def _wanted(said: Mapping[str, Any], seen: View, plan: Plan | None) -> Move:
    if said["forget"]:
        return planner.forgotten(said["MEMBER"], seen)
    new = _plan(said, seen, plan)
    return Move(f"plan {new.name}: {new.stage.value}", (new,), end=seen.next)


def _plan(said: Mapping[str, Any], seen: View, plan: Plan | None) -> Plan:
    if plan is not None:
        if plan.retire:  # all that is there now
            here = (m.name for m in seen.members.values() if m.site == plan.retire)
            plan = replace(plan, members=tuple(sorted(here)))
        planner.check(plan, seen)
        return plan
    said_is = next(name for name in STAGES if said[name])
    known = seen.plans.get(said["PLAN"])
    if known is None:
        raise PlanError(f"there is no plan {said['PLAN']}")
    return planner.changed(known, STAGES[said_is], "by an operator")


def status(seen: View) -> list[str]:
    """Members, tickets and plans, a line each."""
    epoch = f"{seen.epoch.name}, token {seen.epoch.token}" if seen.epoch else "nobody yet"
    lines = [f"coordinator: {epoch}; {len(planner.out(seen))} of {len(seen.members)} out or going"]
    for _, m in sorted(seen.members.items()):
        ticket = seen.tickets.get(m.name)
        told = f", ticket of {ticket.plan}{', going' if ticket.going else ''}" if ticket else ""
        where = f"version {m.version or '-'}, site {m.site or '-'}"
        lines.append(f"{m.name}: {m.state.value}, life {m.life}, {where}{told}")
    for _, d in sorted(seen.drains.items()):
        waits = ", ".join(node_drain.waits_for(seen, d)) if d.phase is Phase.LEAVING else ""
        lines.append(f"box {d.name}: {d.phase.value} under {d.plan}{', waits for ' if waits else ''}{waits}")
    for _, p in sorted(seen.plans.items()):
        why = f" ({p.why})" if p.why else ""
        if p.retire:
            why += f", site {p.retire} retires, step {p.step} of {STEPS}"
        if mute := [name for name in planner.wanted(p) if name in p.later]:
            why += f", no ask in their turn: {', '.join(mute)}"
        done = f"{len(p.released)} of {len(p.boxes or p.members)} released, most {p.most}"
        lines.append(f"plan {p.name}: {p.stage.value}{why}, {done}")
    return lines
