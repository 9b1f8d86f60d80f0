"""The coordinator's decisions on members: which may leave, and when a plan halts, ends or is rolled back.

The planner is pure: it gets the view of the log, its token and the time on its own clock, and returns at most
one change. The change is written under the token, and only if nothing was written since that view, so that
the counts that a grant relies on still hold when it takes effect. A timer alone never ends a ticket, which
counts until a later incarnation of its holder is ready.

Sources: disruption budgets and surge bounds of rolling updates, canaries.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from sabledyke.rollout.change_tracker import ChangeTracker
from sabledyke.rollout.disruption_budget import has_capacity
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.record_codec import key_of
from sabledyke.rollout.records import (
    ACTIVE_STAGES,
    SETTINGS_APPLIED,
    Epoch,
    Member,
    MemberState,
    Plan,
    PlanStage,
    Ticket,
    TicketRequest,
)
from sabledyke.rollout.release_order import (
    blocking_members,
    current_target,
    next_members,
    request_of,
    without,
)
from sabledyke.rollout.state_changes import StateChange
from sabledyke.rollout.timeouts import Timeouts

UNAVAILABLE_STATES = (MemberState.OUT, MemberState.UNRESPONSIVE)


def decide(
    view: FleetView,
    coordinator: str,
    token: int,
    now_ms: float,
    tracker: ChangeTracker,
    timeouts: Timeouts,
    failing: Sequence[str] = (),
) -> StateChange | None:
    """Return the coordinator's next change for members, or None.

    Args:
        view: All records as of the end of the log.
        coordinator: Name of this coordinator.
        token: Fencing token of the coordinator's lease.
        now_ms: Time on the coordinator's clock.
        tracker: Time for which each value has been unchanged on that clock.
        timeouts: Timeouts of the coordinator.
        failing: Names of plans whose released members fail more than the others.
    """
    if view.epoch is None or view.epoch.token != token:
        epoch = Epoch(coordinator, token)
        return StateChange(f"coordinates under token {token}", (epoch,), expected_end=view.next_offset)
    change = _Planner(view, token, now_ms, tracker, timeouts).next_change(failing)
    return replace(change, expected_end=view.next_offset) if change is not None else None


@dataclass(slots=True, frozen=True)
class _Planner:
    """Makes one decision from the view and the clock."""

    view: FleetView
    token: int
    now_ms: float
    tracker: ChangeTracker
    timeouts: Timeouts

    def next_change(self, failing: Sequence[str]) -> StateChange | None:
        return (
            self._mark_unresponsive_member()
            or self._settle_ticket()
            or self._halt_plan(failing)
            or self._finish_plan()
            or self._grant_ticket()
        )

    def _unchanged_ms(self, name: str) -> float:
        return self.tracker.unchanged_ms(self.now_ms, name)

    def _mark_unresponsive_member(self) -> StateChange | None:
        for member in self.view.members.values():
            if member.state in (*UNAVAILABLE_STATES, MemberState.RETIRED):
                continue
            if self._unchanged_ms(f"beat/{member.name}") > self.timeouts.heartbeat_timeout_ms:
                return StateChange(
                    f"{member.name} is silent", (replace(member, state=MemberState.UNRESPONSIVE),)
                )
        return None

    def _settle_ticket(self) -> StateChange | None:
        for ticket in self.view.tickets.values():
            member = self.view.members.get(ticket.name)
            if member is None:
                continue
            change = _settled(ticket, member, self.view.plans.get(ticket.plan))
            if change is not None:
                return change
        return None

    def _halt_plan(self, failing: Sequence[str]) -> StateChange | None:
        for plan in self.view.active:
            if plan.nodes or plan.stage is not PlanStage.RUNNING:
                continue
            reason = self._reason_to_halt(plan, failing)
            if reason:
                halted = replace(plan, stage=PlanStage.HALTED, reason=reason)
                return StateChange(f"plan {plan.name} halts: {reason}", (halted,))
        return None

    def _reason_to_halt(self, plan: Plan, failing: Sequence[str]) -> str:
        if plan.name in failing:
            return "its released members fail more than the others"
        for ticket in self.view.tickets.values():
            if ticket.plan != plan.name or not ticket.used:
                continue
            if self._unchanged_ms(key_of(ticket)) > self.timeouts.return_timeout_ms:
                return f"{ticket.name} is not back in time"
        unplanned = sum(
            member.state in UNAVAILABLE_STATES and member.name not in self.view.tickets
            for member in self.view.members.values()
        )
        if unplanned > plan.max_out > 0:
            return f"{unplanned} members are out unplanned"
        return ""

    def _finish_plan(self) -> StateChange | None:
        busy = {ticket.plan for ticket in self.view.tickets.values()}
        busy |= {drain.plan for drain in self.view.drains.values()}
        for plan in self.view.active:
            if plan.name in busy:
                continue
            if plan.stage is PlanStage.RUNNING and not plan.remaining:
                done = replace(plan, stage=PlanStage.DONE)
                follow_up = plan.follow_up
                return StateChange(f"plan {plan.name} is done", (done, follow_up) if follow_up else (done,))
            if plan.stage is PlanStage.ROLLING_BACK and _is_rolled_back(plan):
                return StateChange(
                    f"plan {plan.name} is undone", (replace(plan, stage=PlanStage.ROLLED_BACK),)
                )
        return None

    def _grant_ticket(self) -> StateChange | None:
        for plan in self.view.active:
            if self._observes_canary(plan):
                continue
            change = self._grant_under(plan)
            if change is not None:
                return change
        return None

    def _observes_canary(self, plan: Plan) -> bool:
        if not plan.canary or plan.stage is not PlanStage.RUNNING or len(plan.released) != 1:
            return False
        return self._unchanged_ms(f"released/{plan.name}") < self.timeouts.canary_soak_ms

    def _grant_under(self, plan: Plan) -> StateChange | None:
        candidates = next_members(plan, self.view)
        # The next members get a few heartbeat intervals to request their tickets.
        waited = self._unchanged_ms(f"turn/{plan.name}") >= self.timeouts.heartbeat_timeout_ms
        if waited and (blocking := blocking_members(plan, self.view, candidates)):
            deferred = (*without(plan.deferred, *blocking), *blocking)
            description = f"{', '.join(blocking)}: no request in time, others go first"
            return StateChange(description, (replace(plan, deferred=deferred),))
        for member in candidates:
            request = request_of(plan, self.view, member)
            if request is None and not waited:
                return None
            if request is not None and has_capacity(self.view, member):
                ticket = self._ticket(plan, request)
                return StateChange(f"{member.name} may go out", (ticket,))
        return None

    def _ticket(self, plan: Plan, request: TicketRequest) -> Ticket:
        return Ticket(
            name=request.name,
            plan=plan.name,
            incarnation=request.incarnation,
            request_number=request.request_number,
            token=self.token,
            target=current_target(plan),
            is_final=bool(plan.retiring_site),
            settings=plan.settings,
        )


def _is_rolled_back(plan: Plan) -> bool:
    if plan.retiring_site:
        return plan.step < 0
    return not plan.released or not plan.target


def _settled(ticket: Ticket, member: Member, plan: Plan | None) -> StateChange | None:
    """Return the change that ends a ticket whose holder is back, has retired, or has switched its settings.

    A holder may also have crashed before it used the ticket, and be back after a restart.
    """
    if plan is not None and ticket.is_final and member.state is MemberState.RETIRED:
        released = replace(plan, released=(*plan.released, member.name))
        return StateChange(f"{member.name} has retired", (released,), (key_of(ticket),))
    if plan is not None and ticket.settings and ticket.used:
        return _after_settings(ticket, plan) if ticket.settings_result else None
    if member.incarnation <= ticket.incarnation or member.state is not MemberState.READY:
        return None
    if plan is None or not ticket.used or ticket.is_final:
        return StateChange(f"{ticket.name} is back", deleted_keys=(key_of(ticket),))
    if ticket.target and member.version != ticket.target:
        reason = f"{member.name} came back as {member.version or 'no version'}, not {ticket.target}"
        return _halted_by(ticket, plan, reason)
    return _released(ticket, plan, "is back")


def _after_settings(ticket: Ticket, plan: Plan) -> StateChange:
    """Return the change after a switch of settings: the member is released, or its plan halts."""
    if ticket.settings_result == SETTINGS_APPLIED:
        return _released(ticket, plan, f"has taken on {ticket.target}")
    reason = f"{ticket.name} did not take on {ticket.target}: {ticket.settings_result}"
    return _halted_by(ticket, plan, reason)


def _released(ticket: Ticket, plan: Plan, what: str) -> StateChange:
    """Return the change that marks a ticket's holder as released or, on a rollback, as no longer released."""
    released = without(plan.released, ticket.name)
    went_back = ticket.target == plan.previous and ticket.target != plan.target
    if not went_back:
        released = (*released, ticket.name)
    description = f"{ticket.name} {what}, {len(released)} released"
    return StateChange(description, (replace(plan, released=released),), (key_of(ticket),))


def _halted_by(ticket: Ticket, plan: Plan, reason: str) -> StateChange:
    if plan.stage in ACTIVE_STAGES:
        plan = replace(plan, stage=PlanStage.HALTED, reason=reason)
    return StateChange(reason, (plan,), (key_of(ticket),))
