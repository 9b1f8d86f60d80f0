"""Disruption budgets: how many members may be out of service at once, over all plans in progress.

Every member that is not ready counts as out of service, planned or not, and so does every ticket holder. The
budgets of all active plans apply together.
"""

from __future__ import annotations

from math import floor, inf

from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import ACTIVE_STAGES, Member, MemberState, Plan, PlanStage

ROUNDING_TOLERANCE = 1e-9
"""Added before a fraction of a fleet is rounded down, so that a third of three is one."""


def members_out(view: FleetView) -> set[str]:
    """Return the members that are out of service, or may leave at any moment."""
    in_service = (MemberState.READY, MemberState.RETIRED)
    away = {member.name for member in view.members.values() if member.state not in in_service}
    return away | set(view.tickets)


def has_work_under_way(view: FleetView) -> bool:
    """Return whether a member may have to react soon; if not, the only possible event is a new plan."""
    if view.tickets or view.drains:
        return True
    stages = (*ACTIVE_STAGES, PlanStage.HALTED)
    return any(plan.stage in stages for plan in view.plans.values())


def has_capacity(view: FleetView, member: Member) -> bool:
    """Return whether the budgets of all active plans allow this member out of service as well."""
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
    """Return how many members may be out of service at once by the budget of this plan alone."""
    fleet_size = sum(member.state is not MemberState.RETIRED for member in view.members.values())
    return min(plan.max_out, _rounded_share(plan, fleet_size))


def max_nodes_out(plan: Plan, node_count: int) -> float:
    """Return how many of ``node_count`` nodes may be out of service by the budget of this plan alone."""
    return min(plan.max_out, _rounded_share(plan, node_count))


def _rounded_share(plan: Plan, size: int) -> float:
    if plan.max_out_fraction is None:
        return inf
    return floor(plan.max_out_fraction * size + ROUNDING_TOLERANCE)
