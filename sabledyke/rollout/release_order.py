"""In which order the members of a plan go out, and what they come back as."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from sabledyke.rollout.disruption_budget import max_members_out
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import (
    EVACUATION_STEPS,
    Member,
    MemberState,
    Plan,
    PlanStage,
    TicketRequest,
)


def remaining_members(plan: Plan) -> list[str]:
    """Return the members that have still to go out under this plan, in order.

    They go out as named, or on the way back the last first; those that did not request a ticket in their
    turn follow all others.
    """
    names = _in_plan_order(plan)
    return [*without(names, *plan.deferred), *(name for name in plan.deferred if name in names)]


def next_members(plan: Plan, view: FleetView) -> list[Member]:
    """Return the members that may be let out next under this plan, in order.

    They are as many as the plan's budgets let out at once, and one more of each. All others keep still: of
    forty members that all requested a ticket, each request crossed the coordinator's next move, and none was
    granted anything within four minutes.
    """
    names = remaining_members(plan)
    if plan.canary and not plan.released:
        names = names[:1]
    max_out = max_members_out(plan, view)
    chosen: list[Member] = []
    chosen_by_site: Counter[str] = Counter()
    for name in names:
        if len(chosen) > max_out:
            break
        member = view.members.get(name)
        if member is None or name in view.tickets or member.state is not MemberState.READY:
            continue  # who is out keeps nobody waiting
        if plan.max_out_per_site is None or chosen_by_site[member.site] <= plan.max_out_per_site:
            chosen.append(member)
            chosen_by_site[member.site] += 1
    return chosen


def current_target(plan: Plan) -> str:
    """Return what members that go out now are to come back as; "" for whatever they are."""
    return plan.previous if plan.stage is PlanStage.ROLLING_BACK else plan.target


def request_of(plan: Plan, view: FleetView, member: Member) -> TicketRequest | None:
    """Return the request that this incarnation of a member has made under the plan, if there is one."""
    request = view.requests.get(member.name)
    if request is None or request.plan != plan.name or request.incarnation != member.incarnation:
        return None
    return request


def blocking_members(plan: Plan, view: FleetView, next_in_order: Sequence[Member]) -> list[str]:
    """Return the members that are next and request nothing, where that keeps others from being next.

    Members that live and never request a ticket (they cannot write their version file, or run a version that
    knows no such plan) would hold up their plan for good once they are as many as the budgets let out.
    """
    ready = (
        name
        for name in remaining_members(plan)
        if name in view.members and view.members[name].state is MemberState.READY
    )
    if not any(name not in view.tickets and view.members[name] not in next_in_order for name in ready):
        return []
    return [member.name for member in next_in_order if request_of(plan, view, member) is None]


def without(names: Iterable[str], *excluded: str) -> tuple[str, ...]:
    """Return the names in their order, but for the excluded ones."""
    return tuple(name for name in names if name not in excluded)


def _in_plan_order(plan: Plan) -> list[str]:
    if plan.stage is PlanStage.ROLLING_BACK:
        return list(reversed(plan.released)) if plan.target else []
    if plan.stage is not PlanStage.RUNNING or plan.nodes:
        return []
    if plan.retiring_site and plan.step <= EVACUATION_STEPS:
        return []  # members of a site that retires go once its volumes have all moved
    return plan.remaining
