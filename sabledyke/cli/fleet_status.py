"""The output of ``sabledyke fleet status``: coordinator, members, drains and plans."""

from __future__ import annotations

from sabledyke.rollout import disruption_budget, node_drain, release_order
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import EVACUATION_STEPS, Drain, DrainPhase, Member, Plan, Ticket


def describe(view: FleetView) -> list[str]:
    """Return one line each for the coordinator and, sorted by name, for members, drains and plans."""
    lines = [_describe_coordinator(view)]
    for name, member in sorted(view.members.items()):
        lines.append(_describe_member(member, view.tickets.get(name)))
    for _, drain in sorted(view.drains.items()):
        lines.append(_describe_drain(drain, view))
    for _, plan in sorted(view.plans.items()):
        lines.append(_describe_plan(plan))
    return lines


def _describe_coordinator(view: FleetView) -> str:
    coordinator = f"{view.epoch.name}, token {view.epoch.token}" if view.epoch else "none yet"
    out_count = len(disruption_budget.members_out(view))
    return f"coordinator: {coordinator}; {out_count} of {len(view.members)} out or going"


def _describe_member(member: Member, ticket: Ticket | None) -> str:
    location = f"version {member.version or '-'}, site {member.site or '-'}"
    line = f"{member.name}: {member.state.value}, life {member.incarnation}, {location}"
    if ticket is None:
        return line
    return f"{line}, ticket of {ticket.plan}{', going' if ticket.used else ''}"


def _describe_drain(drain: Drain, view: FleetView) -> str:
    line = f"box {drain.name}: {drain.phase.value} under {drain.plan}"
    if drain.phase is not DrainPhase.LEAVING:
        return line
    waits_for = ", ".join(node_drain.unacknowledged_by(view, drain))
    return f"{line}, waits for {waits_for}" if waits_for else line


def _describe_plan(plan: Plan) -> str:
    reason = f" ({plan.reason})" if plan.reason else ""
    if plan.retiring_site:
        reason += f", site {plan.retiring_site} retires, step {plan.step} of {EVACUATION_STEPS}"
    deferred = [name for name in release_order.remaining_members(plan) if name in plan.deferred]
    if deferred:
        reason += f", no ask in their turn: {', '.join(deferred)}"
    progress = f"{len(plan.released)} of {len(plan.nodes or plan.members)} released, most {plan.max_out}"
    return f"plan {plan.name}: {plan.stage.value}{reason}, {progress}"
