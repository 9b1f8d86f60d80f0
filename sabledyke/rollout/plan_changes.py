"""Changes by operators: begin a plan, halt it, resume it or roll it back, and forget a member."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from sabledyke.errors import PlanError
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import (
    ACTIVE_STAGES,
    MAX_MEMBERS,
    MAX_PLANS,
    MemberState,
    Plan,
    PlanStage,
)
from sabledyke.rollout.release_order import without
from sabledyke.rollout.state_changes import StateChange

UNFINISHED_STAGES = (*ACTIVE_STAGES, PlanStage.HALTED)
FORGETTABLE_STATES = (MemberState.OUT, MemberState.UNRESPONSIVE, MemberState.RETIRED)
MEMBER_RECORDS = ("member", "ask", "ticket", "clear")
"""Prefixes of the keys of a member's own records and of its ticket."""
MAX_NAMED_IN_ERROR = 3
ALLOWED_CHANGES = {
    PlanStage.HALTED: ACTIVE_STAGES,
    PlanStage.RUNNING: (PlanStage.HALTED,),
    PlanStage.ROLLING_BACK: (PlanStage.RUNNING, PlanStage.HALTED),
}
"""Stages that an operator may set, each with the stages that it may follow."""


def validate(plan: Plan, view: FleetView) -> None:
    """Check that a plan may begin in this fleet.

    Raises:
        PlanError: The plan is invalid; the message names the first problem, in one line.
    """
    for problem in _problems(plan, view):
        raise PlanError(f"plan {plan.name}: {problem}")


def forget_member(name: str, view: FleetView) -> StateChange:
    """Return the change that deletes a member's records, and removes the member from unfinished plans.

    If the member returns nevertheless, it is a member again as soon as it writes its own record.

    Raises:
        PlanError: There is no such member, or it is not out of service.
    """
    member = view.members.get(name)
    if member is None:
        raise PlanError(f"{name} is not a member")
    if member.state not in FORGETTABLE_STATES:
        raise PlanError(
            f"{name} is {member.state.value}; only a member that is out of service can be forgotten"
        )
    plans = tuple(
        replace(
            plan,
            members=without(plan.members, name),
            released=without(plan.released, name),
            deferred=without(plan.deferred, name),
        )
        for plan in view.plans.values()
        if plan.stage in UNFINISHED_STAGES and name in plan.members
    )
    keys = tuple(key for kind in MEMBER_RECORDS if view.offset_of(key := f"{kind}/{name}"))
    return StateChange(f"{name} is forgotten", plans, keys, view.next_offset)


def change_stage(plan: Plan, stage: PlanStage, reason: str) -> Plan:
    """Return the plan in the stage that an operator sets; a second call changes nothing.

    Raises:
        PlanError: The current stage of the plan does not allow the new one.
    """
    if plan.stage is stage:
        return plan
    if plan.stage not in ALLOWED_CHANGES[stage]:
        raise PlanError(f"plan {plan.name} is {plan.stage.value}")
    return replace(plan, stage=stage, reason=reason)


def _problems(plan: Plan, view: FleetView) -> Iterator[str]:
    yield from _naming_problems(plan, view)
    yield from _budget_problems(plan, view)
    yield from _retirement_problems(plan, view)
    yield from _fleet_problems(plan, view)


def _naming_problems(plan: Plan, view: FleetView) -> Iterator[str]:
    if plan.name in view.plans:
        yield f"plan {plan.name} exists already"
    if plan.follow_up is not None and plan.follow_up.name in view.plans:
        yield f"plan {plan.follow_up.name} exists already"
    if not plan.members and not plan.nodes:
        yield "it names neither members nor storage nodes"
    if len(set(plan.members)) < len(plan.members):
        yield "it names a member twice"
    nodes = plan.nodes or plan.nodes_removed_next
    if len(set(nodes)) < len(nodes):
        yield "it names a storage node twice"
    unknown = [name for name in plan.members if name not in view.members]
    if unknown:
        yield f"no such member: {', '.join(unknown[:MAX_NAMED_IN_ERROR])}"
    claimed = _claims_of_unfinished_plans(view)
    conflicts = [claim for claim in _claims(plan) if claim in claimed]
    if conflicts:
        names = ", ".join(name for _, name in conflicts[:MAX_NAMED_IN_ERROR])
        yield f"{names}: in plan {claimed[conflicts[0]]}, which has not ended"


def _budget_problems(plan: Plan, view: FleetView) -> Iterator[str]:
    size = len(plan.nodes) or len(view.members)
    if not 0 <= plan.max_out <= size:
        yield f"most must be from 0 to {size}, not {plan.max_out}"
    if plan.max_out_per_site is not None and plan.max_out_per_site < 0:
        yield "per_site must be 0 or more"
    if plan.max_out_fraction is not None and not 0 <= plan.max_out_fraction <= 1:
        yield "share must be from 0 to 1"


def _retirement_problems(plan: Plan, view: FleetView) -> Iterator[str]:
    if not plan.retiring_site:
        return
    sites = {m.site for m in view.members.values() if m.state is not MemberState.RETIRED}
    if not sites - {plan.retiring_site}:
        yield f"retiring {plan.retiring_site} would leave no site"
    stages = (*UNFINISHED_STAGES, PlanStage.DONE)
    others = (other for other in view.plans.values() if other.stage in stages)
    if any(other.retiring_site == plan.retiring_site for other in others):
        yield f"{plan.retiring_site} is retiring already"


def _fleet_problems(plan: Plan, view: FleetView) -> Iterator[str]:
    versions = {member.version for member in view.members.values()}
    if not plan.settings:
        versions |= {version for version in (plan.target, plan.previous) if version}
    if len(versions) > 2:
        yield f"there would be three versions at once: {', '.join(sorted(versions))}"
    if len(view.members) > MAX_MEMBERS:
        yield f"a fleet has at most {MAX_MEMBERS} members"
    if len(view.plans) >= MAX_PLANS:
        yield f"there are {MAX_PLANS} plans already"


def _claims_of_unfinished_plans(view: FleetView) -> dict[tuple[bool, str], str]:
    return {
        claim: plan.name
        for plan in view.plans.values()
        if plan.stage in UNFINISHED_STAGES
        for claim in _claims(plan)
    }


def _claims(plan: Plan) -> list[tuple[bool, str]]:
    """Return the storage nodes (True) and members (False) that a plan takes out of service, by name."""
    nodes = [(True, name) for name in plan.nodes or plan.nodes_removed_next]
    return nodes + [(False, name) for name in plan.members]
