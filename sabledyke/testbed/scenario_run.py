"""Plays a scenario of a release in real time on loopback, within its length, and evaluates it.

The evaluation goes by probes of the members' listeners, and by what storage nodes and clients count: none of
it by what the program says of itself.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import replace
from pathlib import Path
from random import Random

from sabledyke.rollout import disruption_budget
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import ACTIVE_STAGES, Plan, PlanStage
from sabledyke.testbed.fleet import Fleet, play
from sabledyke.testbed.fleet_faults import FleetFault
from sabledyke.testbed.scenario import Report, Scenario, Step, StepKind
from sabledyke.testbed.workload import ANSWER_TIMEOUT_S, RequestOutcome

COMMANDS = {
    StepKind.HALT: PlanStage.HALTED,
    StepKind.RESUME: PlanStage.RUNNING,
    StepKind.ROLL_BACK: PlanStage.ROLLING_BACK,
}
MAX_LOST_FRACTION = 0.01  # of the requests, that may find no member, or a listener that closes
MIN_PLACED_VOLUMES = 20  # before a site retires


async def run(scenario: Scenario, folder: Path, seed: int) -> Report:
    """Play a scenario in a folder of its own, and evaluate it."""
    report = Report()
    random = Random(seed)

    async def play_plan(fleet: Fleet) -> None:
        await _play_plan(fleet, scenario, random, report)

    fleet = await play(scenario.settings, folder, play_plan, seed)
    failed = [status for status in fleet.statuses if status]
    if failed:
        report.wrong.append(f"processes ended with {failed}")
    return report


async def _play_plan(fleet: Fleet, scenario: Scenario, random: Random, report: Report) -> None:
    """Play the plan to its end, and write what came of it into the report."""
    plan = scenario.plan
    started_at = time.monotonic()
    if plan.retiring_site:
        plan = await _plan_for_site(fleet, plan)
        await fleet.wait_until(lambda _: len(fleet.placements()) >= MIN_PLACED_VOLUMES, scenario.length_s)
    await fleet.add_plan(plan)
    try:
        async with asyncio.timeout(scenario.length_s):
            view = await _play_steps(fleet, scenario, random)
    except TimeoutError:
        view = await fleet.read_view()
        stage = view.plans[plan.name].stage.value
        report.wrong.append(f"the plan is {stage} after {scenario.length_s:.0f} s")
    took_s = time.monotonic() - started_at
    report.lines += _summary(scenario, fleet, view, took_s)
    report.wrong += _violations(scenario, fleet, view)
    if await fleet.read_view_anew() != await fleet.read_view():
        report.wrong.append("a late joiner sees another state")


async def _plan_for_site(fleet: Fleet, plan: Plan) -> Plan:
    """Return the plan for all members of the site that retires."""
    view = await fleet.read_view()
    names = (member.name for member in view.members.values() if member.site == plan.retiring_site)
    return replace(plan, members=tuple(sorted(names)))


async def _play_steps(fleet: Fleet, scenario: Scenario, random: Random) -> FleetView:
    """Play the steps until the plan is over; if it halts by itself, resume it once all members are back."""
    name = scenario.plan.name
    steps = deque(scenario.steps)
    faults: list[asyncio.Task[None]] = []

    def next_step_is_due(plan: Plan) -> bool:
        return bool(steps) and _released_count(plan) >= steps[0].after

    def needs_attention(view: FleetView) -> bool:
        plan = view.plans[name]
        return plan.stage not in ACTIVE_STAGES or next_step_is_due(plan)

    while True:
        view = await fleet.wait_until(needs_attention, scenario.length_s)
        plan = view.plans[name]
        if next_step_is_due(plan) and plan.stage is not PlanStage.DONE:
            step = steps.popleft()
            if step.kind in COMMANDS:
                await fleet.change_stage(name, COMMANDS[step.kind])
            else:
                faults.append(asyncio.create_task(_inject(fleet, step, random)))
        elif plan.stage is PlanStage.HALTED:
            await _wait_for_all_members(fleet, scenario)
            await fleet.change_stage(name, PlanStage.RUNNING)
        elif plan.stage not in ACTIVE_STAGES:
            await asyncio.gather(*faults)
            return await _wait_for_all_members(fleet, scenario)


async def _wait_for_all_members(fleet: Fleet, scenario: Scenario) -> FleetView:
    return await fleet.wait_until(lambda view: not disruption_budget.members_out(view), scenario.length_s)


def _released_count(plan: Plan) -> int:
    """Return how far a plan is: its released members and nodes, or the steps of a site that retires."""
    if plan.retiring_site and not plan.released:
        return max(plan.step, 0)
    return len(plan.released)


async def _inject(fleet: Fleet, step: Step, random: Random) -> None:
    size = fleet.settings.size
    coordinator = await fleet.coordinator()
    others = [number for number in range(size) if number != coordinator]
    if step.kind is StepKind.KILL_THIRD:
        targets = random.sample(range(size), max(1, size // 3))
        await asyncio.gather(*(fleet.inject(FleetFault.KILL, target) for target in targets))
        return
    target = coordinator if step.on_coordinator or not others else random.choice(others)
    await fleet.inject(FleetFault(step.kind.value), target, step.duration_s)


def _summary(scenario: Scenario, fleet: Fleet, view: FleetView, took_s: float) -> list[str]:
    """Return the lines that are printed for people."""
    plan = view.plans[scenario.plan.name]
    metrics = fleet.metrics
    out_s = sum(end - begin for member in fleet.availability for begin, end in member.outages)
    replaced_count = len(fleet.node_operator.replaced)
    lines = [
        f"plan {plan.stage.value} in {took_s:.1f} s, {len(plan.released)} released; "
        f"doors were out {out_s:.1f} s in all",
        f"most out at once {fleet.max_out()} (may be {scenario.max_out}); {replaced_count} boxes replaced",
    ]
    if fleet.node_operator.replaced:
        lines.append(f"a cold box was sent {fleet.nodes.slow_start.max_load:.2f} of what has it fall")
    if scenario.settings.client_count:
        served = metrics.outcomes[RequestOutcome.SERVED] / max(1, metrics.request_count)
        lines.append(
            f"{served:.2%} of {metrics.request_count} requests served; p99 {metrics.p99_s() * 1000:.0f} ms"
        )
    return lines


def _violations(scenario: Scenario, fleet: Fleet, view: FleetView) -> list[str]:
    """Return what did not hold, a line each."""
    return [
        *_availability_violations(scenario, fleet),
        *_node_violations(fleet),
        *_plan_violations(scenario, fleet, view),
    ]


def _availability_violations(scenario: Scenario, fleet: Fleet) -> list[str]:
    outcomes = fleet.metrics.outcomes
    max_out = fleet.max_out()
    cut_off = outcomes[RequestOutcome.CUT_OFF]
    wrong = outcomes[RequestOutcome.WRONG_ANSWER]
    lost = _lost_requests(scenario, fleet)
    request_count = max(1, fleet.metrics.request_count)
    violations = []
    if max_out > scenario.max_out:
        violations.append(f"{max_out} were out at once")
    if cut_off or wrong:
        violations.append(f"{cut_off} answers were cut off and {wrong} wrong")
    if lost > MAX_LOST_FRACTION * request_count:
        violations.append(f"{lost} of {request_count} requests found nobody")
    return violations


def _lost_requests(scenario: Scenario, fleet: Fleet) -> int:
    """Return how many requests found no member, or a listener that closed, but for those that had to.

    A client that waits at a paused member times out, and comes again, until the member goes on.
    """
    outcomes = fleet.metrics.outcomes
    pauses = (step for step in scenario.steps if step.kind is StepKind.PAUSE)
    timeouts_per_client = sum(int(step.duration_s / ANSWER_TIMEOUT_S) + 1 for step in pauses)
    expected_timeouts = scenario.settings.client_count * timeouts_per_client
    timeouts = max(0, outcomes[RequestOutcome.TIMED_OUT] - expected_timeouts)
    return outcomes[RequestOutcome.CONNECTION_CLOSED] + timeouts + outcomes[RequestOutcome.UNREACHABLE]


def _node_violations(fleet: Fleet) -> list[str]:
    nodes = fleet.nodes
    max_load = nodes.slow_start.max_load
    violations = []
    if max_load >= 1:
        violations.append(f"a cold box was sent {max_load:.2f} times what has it fall")
    if nodes.requests_while_draining:
        violations.append(f"{nodes.requests_while_draining} requests were at a drained box")
    if nodes.deduplication.violations:
        violations.append(f"{nodes.deduplication.violations} keys ran beyond their window or shard")
    if nodes.repeats.untimely:
        violations.append(f"{len(nodes.repeats.untimely)} requests came again with no attempt given up")
    if len(set(fleet.node_operator.replaced)) < len(fleet.node_operator.replaced):
        violations.append("a box was taken away twice")
    return violations


def _plan_violations(scenario: Scenario, fleet: Fleet, view: FleetView) -> list[str]:
    is_done = view.plans[scenario.plan.name].stage is PlanStage.DONE
    violations = []
    if is_done and any(placement.move_count > 1 for placement in fleet.placements().values()):
        violations.append("a volume moved twice")
    if view.tickets or view.drains:
        violations.append("tickets or drains are left")
    return violations
