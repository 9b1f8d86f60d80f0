"""An experiment on a fleet that agrees: N processes, one plan, words of an operator and faults on the way.

Read from TOML, run in real time on loopback, and judged by doors that are probed, boxes and clients that
count: none of it by the program's own word. It ends by itself, within ``length``.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Annotated, Any, Literal

from msgspec import Meta

from sabledyke.rollout import disruption_budget
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.plan_file import plan_of
from sabledyke.rollout.records import ACTIVE_STAGES, Plan, PlanStage
from sabledyke.testbed.fleet_release import Fleet, Setting, play
from sabledyke.testbed.workload import GIVES_UP
from sabledyke.toml_tables import Table, convert, from_file, parsed

WORDS = {"halt": PlanStage.HALTED, "resume": PlanStage.RUNNING, "back": PlanStage.ROLLING_BACK}
LOST = 0.01  # part of the requests that may find nobody, or a door that closes


@dataclass(slots=True, frozen=True)
class Step:
    """What happens once so many have been released: a fault, or a word of the operator's."""

    after: int
    what: str
    who: str = "coordinator"
    lasts: float = 0.0


@dataclass(slots=True, frozen=True)
class Story:
    """What an experiment's file says. ``most_out`` is how many may be out by the judge at any time."""

    name: str
    setting: Setting
    plan: Plan
    steps: tuple[Step, ...] = ()
    most_out: int = 1
    length: float = 120.0


@dataclass(slots=True)
class Report:
    """What came of it; ``wrong`` says what did not hold, a line each."""

    lines: list[str] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)


def load(path: str) -> Story:
    """Read a file; an OperatorError in one line where it cannot be used."""
    return from_file(path, lambda text: read(parsed(text)))


PLAIN = Setting()
Time = Annotated[int, Meta(ge=100, le=600_000)]


class StepRow(Table, frozen=True, kw_only=True):
    """A step, as the file has it."""

    what: Literal[
        "kill", "kill_third", "pause", "stall", "part", "part_to", "part_from", "halt", "resume", "back"
    ]
    after: Annotated[int, Meta(ge=0, le=1000)] = 0
    who: Literal["coordinator", "other"] = "coordinator"
    for_s: Annotated[float, Meta(ge=0, le=600)] = 0.0


class TimesTable(Table, frozen=True, kw_only=True):
    """Of the fleet's members and boxes."""

    ttl_ms: Time = 3000
    every_ms: Annotated[int, Meta(ge=10, le=60_000)] = 100
    silent_ms: Time = 4000
    back_ms: Time = 60_000
    soak_ms: Annotated[int, Meta(ge=0, le=600_000)] = PLAIN.soak
    warm_ms: Annotated[int, Meta(ge=1, le=600_000)] = PLAIN.warm


class StoryTable(Table, frozen=True, kw_only=True):
    """As the file has it."""

    name: str
    plan: dict[str, Any]
    instances: Annotated[int, Meta(ge=1, le=64)] = PLAIN.size
    backend: Literal["table", "etcd"] = "table"
    sites: Annotated[int, Meta(ge=1, le=8)] = PLAIN.sites
    clients: Annotated[int, Meta(ge=0, le=64)] = PLAIN.clients
    copies: Annotated[int, Meta(ge=1, le=4)] = PLAIN.copies
    times: TimesTable = TimesTable()
    step: tuple[StepRow, ...] = ()
    most_out: Annotated[int, Meta(ge=0, le=64)] = 1
    length_s: Annotated[float, Meta(ge=1, le=600)] = 120.0


def read(data: dict[str, Any]) -> Story:
    """The data of such a file."""
    said = convert(data, StoryTable, "file")
    times, steps = said.times, tuple(Step(s.after, s.what, s.who, s.for_s) for s in said.step)
    setting = Setting(
        size=said.instances,
        backend=said.backend,
        sites=said.sites,
        clients=said.clients,
        copies=said.copies,
        ttl=times.ttl_ms,
        every=times.every_ms,
        silent=times.silent_ms,
        back=times.back_ms,
        soak=times.soak_ms,
        warm=times.warm_ms,
        between=any("part" in step.what for step in steps),
    )
    told = plan_of({"name": "p", **said.plan})
    if not (told.members or told.nodes or told.retiring_site):
        told = replace(told, members=tuple(f"n{i}" for i in range(setting.size)))
    return Story(said.name, setting, told, steps, said.most_out, said.length_s)


async def run(story: Story, folder: Path, seed: int) -> Report:
    """Play it, and judge it."""
    report, random = Report(), Random(seed)

    async def told(fleet: Fleet) -> None:
        plan, began = story.plan, time.monotonic()
        if plan.retiring_site:
            here = (m.name for m in (await fleet.look()).members.values() if m.site == plan.retiring_site)
            plan = replace(plan, members=tuple(sorted(here)))
            await fleet.until(lambda v: len(fleet.homes()) >= 20, story.length)
        await fleet.begin(plan)
        try:
            async with asyncio.timeout(story.length):
                seen = await _through(fleet, story, random)
        except TimeoutError:
            seen = await fleet.look()
            report.wrong.append(f"the plan is {seen.plans[plan.name].stage.value} after {story.length:.0f} s")
        _judge(story, fleet, seen, time.monotonic() - began, report)
        if await fleet.late() != await fleet.look():
            report.wrong.append("a late joiner sees another state")

    fleet = await play(story.setting, folder, told, seed)
    if bad := [status for status in fleet.statuses if status]:
        report.wrong.append(f"processes ended with {bad}")
    return report


async def _through(fleet: Fleet, story: Story, random: Random) -> FleetView:
    """Until the plan is over; whatever halts it by itself is resumed once all are back."""
    name, steps, under_way = story.plan.name, list(story.steps), list[asyncio.Task[None]]()
    while True:
        seen = await fleet.until(
            lambda v: v.plans[name].stage not in ACTIVE_STAGES
            or steps
            and _moved(v.plans[name]) >= steps[0].after,
            story.length,
        )
        plan = seen.plans[name]
        if steps and _moved(plan) >= steps[0].after and plan.stage is not PlanStage.DONE:
            step = steps.pop(0)
            if step.what in WORDS:
                await fleet.word(name, WORDS[step.what])
            else:
                under_way.append(asyncio.create_task(_fault(fleet, step, random)))
        elif plan.stage is PlanStage.HALTED:
            await fleet.until(lambda v: not disruption_budget.members_out(v), story.length)
            await fleet.word(name, PlanStage.RUNNING)
        elif plan.stage not in ACTIVE_STAGES:
            await asyncio.gather(*under_way)
            return await fleet.until(lambda v: not disruption_budget.members_out(v), story.length)


def _moved(plan: Plan) -> int:
    return max(plan.step, 0) if plan.retiring_site and not plan.released else len(plan.released)


async def _fault(fleet: Fleet, step: Step, random: Random) -> None:
    size, leads = fleet.setting.size, await fleet.coordinator()
    others = [i for i in range(size) if i != leads]
    if step.what == "kill_third":
        some = random.sample(range(size), max(1, size // 3))
        await asyncio.gather(*(fleet.fault("kill", i) for i in some))
    else:
        who = leads if step.who == "coordinator" or not others else random.choice(others)
        await fleet.fault(step.what, who, step.lasts)


def _judge(story: Story, fleet: Fleet, seen: FleetView, took: float, report: Report) -> None:
    plan, ends, boxes = seen.plans[story.plan.name], fleet.count.ends, fleet.boxes
    downs = [end - begin for one in fleet.seen for begin, end in one.downs]
    most, asked = fleet.most_out(), max(1, ends.total())
    served = f"{ends['served'] / asked:.2%} of {ends.total()} requests served"
    doors = f"doors were out {sum(downs):.1f} s in all"
    report.lines += [
        f"plan {plan.stage.value} in {took:.1f} s, {len(plan.released)} released; {doors}",
        f"most out at once {most} (may be {story.most_out}); {len(fleet.replaced)} boxes replaced",
        *([f"a cold box was sent {boxes.pressed:.2f} of what has it fall"] if fleet.replaced else []),
        *([f"{served}; p99 {fleet.count.p99() * 1000:.0f} ms"] if story.setting.clients else []),
    ]
    # A client that waits at a member which stands still gives up, and comes again, until that goes on.
    pauses = [int(step.lasts / GIVES_UP) + 1 for step in story.steps if step.what == "pause"]
    silence = max(0, ends["silence"] - story.setting.clients * sum(pauses))
    away = ends["closed"] + silence + ends["nobody"]
    wrong = {
        f"{most} were out at once": most > story.most_out,
        f"{ends['cut']} answers were cut off and {ends['wrong']} wrong": bool(ends["cut"] + ends["wrong"]),
        f"{away} of {asked} requests found nobody": away > LOST * asked,
        f"a cold box was sent {boxes.pressed:.2f} times what has it fall": boxes.pressed >= 1,
        f"{boxes.late} requests were at a drained box": bool(boxes.late),
        f"{boxes.beyond} keys ran beyond their window or shard": bool(boxes.beyond),
        "a box was taken away twice": len(set(fleet.replaced)) < len(fleet.replaced),
        "a volume moved twice": any(h.move_count > 1 for h in fleet.homes().values())
        and plan.stage is PlanStage.DONE,
        "tickets or drains are left": bool(seen.tickets or seen.drains),
    }
    report.wrong += [said for said, true in wrong.items() if true]
