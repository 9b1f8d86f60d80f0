"""Runs and evaluates release scenarios in real time on loopback, in bounded time.

The availability of members is evaluated by probes of their listeners, and traffic by the counts of storage
nodes and clients, not by the program's own metrics.
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
from sabledyke.testbed.fleet import Fleet, run_scenario
from sabledyke.testbed.fleet_faults import FleetFault
from sabledyke.testbed.scenario import Report, Scenario, Step, StepKind
from sabledyke.testbed.workload import ANSWER_TIMEOUT_S, RequestOutcome

COMMANDS = {
    StepKind.HALT: PlanStage.HALTED,
    StepKind.RESUME: PlanStage.RUNNING,
    StepKind.ROLL_BACK: PlanStage.ROLLING_BACK,
}
MAX_LOST_FRACTION = 0.01  # allowed fraction of requests that find no member, or a listener that closes
MIN_PLACED_VOLUMES = 20  # placed volumes that a scenario waits for before a site retires


async def run(scenario: Scenario, folder: Path, seed: int) -> Report:
    """Run a scenario in a folder of its own, and evaluate it."""
    report = Report()
    random = Random(seed)

    async def run_plan(fleet: Fleet) -> None:
        await _run_plan(fleet, scenario, random, report)

    fleet = await run_scenario(scenario.settings, folder, run_plan, seed)
    failed = [status for status in fleet.statuses if status]
    if failed:
        report.violations.append(f"processes ended with exit statuses {failed}")
    return report


async def _run_plan(fleet: Fleet, scenario: Scenario, random: Random, report: Report) -> None:
    """Execute the plan, and add its evaluation to the report."""
    plan = scenario.plan
    started_at = time.monotonic()
    if plan.retiring_site:
        plan = await _plan_for_site(fleet, plan)
        await fleet.wait_until(lambda _: len(fleet.placements()) >= MIN_PLACED_VOLUMES, scenario.length_s)
    await fleet.add_plan(plan)
    try:
        async with asyncio.timeout(scenario.length_s):
            view = await _run_steps(fleet, scenario, random)
    except TimeoutError:
        view = await fleet.read_view()
        stage = view.plans[plan.name].stage.value
        report.violations.append(f"the plan is still {stage} after {scenario.length_s:.0f} s")
    took_s = time.monotonic() - started_at
    report.lines += _summary(scenario, fleet, view, took_s)
    report.violations += _violations(scenario, fleet, view)
    if await fleet.read_view_from_start() != await fleet.read_view():
        report.violations.append("a new reader's view differs from the view of the first reader")


async def _plan_for_site(fleet: Fleet, plan: Plan) -> Plan:
    """Return the plan with all members of the site that retires."""
    view = await fleet.read_view()
    names = (member.name for member in view.members.values() if member.site == plan.retiring_site)
    return replace(plan, members=tuple(sorted(names)))


async def _run_steps(fleet: Fleet, scenario: Scenario, random: Random) -> FleetView:
    """Run the steps until the plan ends; if it halts, resume it when all members are in service again."""
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
    """Return a plan's progress: its released members and nodes, or the steps of a site that retires."""
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
    """Return the lines to print."""
    plan = view.plans[scenario.plan.name]
    metrics = fleet.metrics
    out_s = sum(end - begin for member in fleet.availability for begin, end in member.outages)
    replaced_count = len(fleet.node_operator.replaced)
    lines = [
        f"plan {plan.stage.value} in {took_s:.1f} s, {len(plan.released)} released; "
        f"outages of {out_s:.1f} s in total",
        f"largest number of simultaneous outages {fleet.max_out()} (limit {scenario.max_out}); "
        f"{replaced_count} storage nodes replaced or removed",
    ]
    if fleet.node_operator.replaced:
        lines.append(f"a node in slow start got {fleet.nodes.slow_start.max_load:.2f} of its overload limit")
    if scenario.settings.client_count:
        served = metrics.outcomes[RequestOutcome.SERVED] / max(1, metrics.request_count)
        lines.append(
            f"{served:.2%} of {metrics.request_count} requests served; p99 {metrics.p99_s() * 1000:.0f} ms"
        )
    return lines


def _violations(scenario: Scenario, fleet: Fleet, view: FleetView) -> list[str]:
    """Return the violations, one per line."""
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
        violations.append(f"{max_out} members were out of service at the same time")
    if cut_off or wrong:
        violations.append(f"{cut_off} answers were cut off, and {wrong} were wrong")
    if lost > MAX_LOST_FRACTION * request_count:
        violations.append(f"{lost} of {request_count} requests got no answer from any member")
    return violations


def _lost_requests(scenario: Scenario, fleet: Fleet) -> int:
    """Return how many requests found no member or a closing listener, or timed out unexpectedly.

    Timeouts are expected at a paused member: its clients time out and try again until the member continues.
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
        violations.append(f"a node in slow start got {max_load:.2f} times its overload limit")
    if nodes.requests_while_draining:
        violations.append(f"{nodes.requests_while_draining} requests were at a drained storage node")
    if nodes.deduplication.violations:
        violations.append(
            f"{nodes.deduplication.violations} writes ran again at another shard or after the window"
        )
    if nodes.repeats.untimely:
        violations.append(
            f"{len(nodes.repeats.untimely)} repeats came with an earlier attempt neither cancelled nor lost"
        )
    if len(set(fleet.node_operator.replaced)) < len(fleet.node_operator.replaced):
        violations.append("a storage node was replaced or removed twice")
    return violations


def _plan_violations(scenario: Scenario, fleet: Fleet, view: FleetView) -> list[str]:
    is_done = view.plans[scenario.plan.name].stage is PlanStage.DONE
    violations = []
    if is_done and any(placement.move_count > 1 for placement in fleet.placements().values()):
        violations.append("a volume moved twice")
    if view.tickets or view.drains:
        violations.append("tickets or drains remain after the plan")
    return violations
