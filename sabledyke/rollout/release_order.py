"""Order in which the members of a plan are released, and the version that they return with."""

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
    """Return the members that are still to be released under this plan, in order.

    The order is that of the plan, or the reverse during a rollback; members that did not request a ticket in
    their turn follow all others.
    """
    names = _in_plan_order(plan)
    return [*without(names, *plan.deferred), *(name for name in plan.deferred if name in names)]


def next_members(plan: Plan, view: FleetView) -> list[Member]:
    """Return the members that may request a ticket now under this plan, in order.

    They are as many as each of the plan's budgets allows at once, plus one. All others send no request: when
    all of forty members requested a ticket, each request conflicted with the coordinator's next change, and
    no ticket was granted within four minutes.
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
            continue  # a member that is out of service does not delay the others
        if plan.max_out_per_site is None or chosen_by_site[member.site] <= plan.max_out_per_site:
            chosen.append(member)
            chosen_by_site[member.site] += 1
    return chosen


def current_target(plan: Plan) -> str:
    """Return the version (or label) that members released now must return with; "" for any."""
    return plan.previous if plan.stage is PlanStage.ROLLING_BACK else plan.target


def request_of(plan: Plan, view: FleetView, member: Member) -> TicketRequest | None:
    """Return the request of this incarnation of a member under the plan, or None."""
    request = view.requests.get(member.name)
    if request is None or request.plan != plan.name or request.incarnation != member.incarnation:
        return None
    return request


def blocking_members(plan: Plan, view: FleetView, next_in_order: Sequence[Member]) -> list[str]:
    """Return the next members without a request, if they keep other ready members from their turn.

    Members that are alive but never request a ticket (they cannot write their version file, or run a version
    without support for such a plan) would block their plan permanently once they fill its budgets.
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
    """Return the names without the excluded ones, in the same order."""
    return tuple(name for name in names if name not in excluded)


def _in_plan_order(plan: Plan) -> list[str]:
    if plan.stage is PlanStage.ROLLING_BACK:
        return list(reversed(plan.released)) if plan.target else []
    if plan.stage is not PlanStage.RUNNING or plan.nodes:
        return []
    if plan.retiring_site and plan.step <= EVACUATION_STEPS:
        return []  # members of a retiring site are released once all its volumes have moved
    return plan.remaining
