"""How many members may be out at once, over all plans that are under way.

Every member that is not ready counts as out, planned or not, and so does every holder of a ticket. The
budgets of all active plans hold together.
"""

from __future__ import annotations

from math import floor, inf

from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import ACTIVE_STAGES, Member, MemberState, Plan, PlanStage

ROUNDING_TOLERANCE = 1e-9
"""Added before a fraction of a fleet is rounded down, so that a third of three is one."""


def members_out(view: FleetView) -> set[str]:
    """Return the members that are out, or may go out at any moment."""
    in_service = (MemberState.READY, MemberState.RETIRED)
    away = {member.name for member in view.members.values() if member.state not in in_service}
    return away | set(view.tickets)


def has_work_under_way(view: FleetView) -> bool:
    """Return whether somebody may have to answer soon; else all that can happen is that a plan begins."""
    if view.tickets or view.drains:
        return True
    stages = (*ACTIVE_STAGES, PlanStage.HALTED)
    return any(plan.stage in stages for plan in view.plans.values())


def has_capacity(view: FleetView, member: Member) -> bool:
    """Return whether the budgets of all active plans let this member go out as well."""
    out = members_out(view) | {member.name}
    out_of_site = sum(name in view.members and view.members[name].site == member.site for name in out)
    for plan in view.active:
        if plan.nodes:
            continue
        if len(out) > max_members_out(plan, view):
            return False
        if plan.max_out_per_site is not None and out_of_site > plan.max_out_per_site:
            return False
    return True


def max_members_out(plan: Plan, view: FleetView) -> float:
    """Return how many members this plan alone would let be out at once."""
    fleet_size = sum(member.state is not MemberState.RETIRED for member in view.members.values())
    return min(plan.max_out, _rounded_share(plan, fleet_size))


def max_nodes_out(plan: Plan, node_count: int) -> float:
    """Return how many of so many storage nodes this plan alone would let be out at once."""
    return min(plan.max_out, _rounded_share(plan, node_count))


def _rounded_share(plan: Plan, size: int) -> float:
    if plan.max_out_fraction is None:
        return inf
    return floor(plan.max_out_fraction * size + ROUNDING_TOLERANCE)
