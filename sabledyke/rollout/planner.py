"""The coordinator's decisions: who may go out, which tickets are over, when a plan halts, ends or is undone.
Pure.

Told: the view of the board, its token, and the time on its clock. Gives at most one move, which is written
only if nothing was said on the board since that view (``Move.end``), under the token, so that what it
counted still holds when the grant takes effect. Never out by a timer: a ticket is spent until a later life
of its holder is ready.

What is counted as out: every member that is not ready, planned or not, and every holder of a ticket. The
budgets of all active plans hold together. Published anchors: disruption budgets and surge bounds of rolling
updates, canaries.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from math import floor, inf

from sabledyke.errors import PlanError
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.record_codec import key_of
from sabledyke.rollout.records import (
    ACTIVE_STAGES,
    EVACUATION_STEPS,
    MAX_MEMBERS,
    MAX_PLANS,
    SETTINGS_APPLIED,
    Epoch,
    Member,
    MemberState,
    Plan,
    PlanStage,
    Record,
    Ticket,
    TicketRequest,
)


@dataclass(slots=True, frozen=True)
class Timeouts:
    """Milliseconds on the coordinator's clock."""

    heartbeat_timeout_ms: float = 5000.0  # a member without a beat counts as out
    return_timeout_ms: float = 60_000.0  # one that went out must be ready again by then, or its plan halts
    canary_soak_ms: float = 10_000.0  # for which a canary is looked at before others follow
    warm_up_ms: float = 10_000.0  # for which a box counts as out after it is listed again


@dataclass(slots=True, frozen=True)
class Move:
    """Records to write, and keys to end, in one append; ``expects`` and ``end`` are what they rest on."""

    description: str  # for the log
    records: tuple[Record, ...] = ()
    deleted_keys: tuple[str, ...] = ()
    expected_end: int | None = None
    expected_offsets: tuple[tuple[str, int], ...] = ()


class ChangeTracker:
    """Since when things have stood as they do, on one clock: bounded by what stands there at all."""

    def __init__(self) -> None:
        self._since: dict[str, tuple[object, float]] = {}

    def observe(self, now: float, stands: Mapping[str, object]) -> None:
        """How things stand now; what no longer stands is forgotten."""
        kept = {name: self._since.get(name, (None, now)) for name in stands}
        self._since = {n: kept[n] if kept[n][0] == v else (v, now) for n, v in stands.items()}

    def unchanged_ms(self, now: float, name: str) -> float:
        """For how long; 0 for what does not stand."""
        found = self._since.get(name)
        return now - found[1] if found is not None else 0.0


def members_out(seen: FleetView) -> set[str]:
    """Everybody who is out, or may go at any moment."""
    away = {m.name for m in seen.members.values() if m.state not in (MemberState.READY, MemberState.RETIRED)}
    return away | set(seen.tickets)


def has_work_under_way(seen: FleetView) -> bool:
    """Somebody may have to answer soon; else all that can happen is that a plan begins."""
    stages = (*ACTIVE_STAGES, PlanStage.HALTED)
    return bool(seen.tickets or seen.drains) or any(p.stage in stages for p in seen.plans.values())


def has_capacity(seen: FleetView, member: Member) -> bool:
    """Do the budgets of all active plans let this one go out as well?"""
    gone = members_out(seen) | {member.name}
    here = sum(name in seen.members and seen.members[name].site == member.site for name in gone)
    return all(
        len(gone) <= _most(plan, seen) and (plan.max_out_per_site is None or here <= plan.max_out_per_site)
        for plan in seen.active
        if not plan.nodes
    )


def _most(plan: Plan, seen: FleetView) -> float:
    """How many this plan alone would let be out at once."""
    fleet = sum(m.state is not MemberState.RETIRED for m in seen.members.values())
    return min(
        plan.max_out, inf if plan.max_out_fraction is None else floor(plan.max_out_fraction * fleet + 1e-9)
    )


def validate(plan: Plan, seen: FleetView) -> None:
    """May this plan begin? A PlanError in one line where it may not."""
    unknown = [name for name in plan.members if name not in seen.members]
    among = len(plan.nodes) or len(seen.members)
    after = plan.follow_up.name if plan.follow_up else plan.name
    named = () if plan.settings else (plan.target, plan.previous)
    versions = {m.version for m in seen.members.values()} | {version for version in named if version}
    taken = {
        what: p.name
        for p in seen.plans.values()
        if p.stage in (*ACTIVE_STAGES, PlanStage.HALTED)
        for what in _names(p)
    }
    twice, box_names = [what for what in _names(plan) if what in taken], plan.nodes or plan.nodes_removed_next
    faults = {
        f"plan {plan.name} is there already": plan.name in seen.plans,
        f"plan {after} is there already": after in seen.plans,
        "it names nobody": not plan.members and not plan.nodes,
        "it names a member twice": len(set(plan.members)) < len(plan.members),
        "it names a box twice": len(set(box_names)) < len(box_names),
        f"no such member: {', '.join(unknown[:3])}": bool(unknown),
        f"{', '.join(name for _, name in twice[:3])}: in plan {taken[twice[0]] if twice else ''}, which is "
        "not over": bool(twice),
        f"most must be from 0 to {among}, not {plan.max_out}": not 0 <= plan.max_out <= among,
        "per_site must be 0 or more": plan.max_out_per_site is not None and plan.max_out_per_site < 0,
        "share must be from 0 to 1": plan.max_out_fraction is not None
        and not 0 <= plan.max_out_fraction <= 1,
        f"no site would be left without {plan.retiring_site}": bool(plan.retiring_site)
        and not {m.site for m in seen.members.values() if m.state is not MemberState.RETIRED}
        - {plan.retiring_site},
        f"{plan.retiring_site} is retiring already": any(
            p.retiring_site == plan.retiring_site
            and p.stage in (*ACTIVE_STAGES, PlanStage.HALTED, PlanStage.DONE)
            for p in seen.plans.values()
        )
        and bool(plan.retiring_site),
        f"there would be three versions at once: {', '.join(sorted(versions))}": len(versions) > 2,
        f"a fleet has at most {MAX_MEMBERS} members": len(seen.members) > MAX_MEMBERS,
        f"there are {MAX_PLANS} plans already": len(seen.plans) >= MAX_PLANS,
    }
    for said, wrong in faults.items():
        if wrong:
            raise PlanError(f"plan {plan.name}: {said}")


def _names(plan: Plan) -> list[tuple[bool, str]]:
    """Whom and what it takes out, now or later: whether that is a box, and its name."""
    boxes = [(True, name) for name in plan.nodes or plan.nodes_removed_next]
    return boxes + [(False, name) for name in plan.members]


def forget_member(name: str, seen: FleetView) -> Move:
    """An operator's word that a member is gone for good: it counts nowhere, and is in no plan any more.

    A PlanError where it was heard lately. One that comes back all the same is a member again by its own word.
    """
    member = seen.members.get(name)
    if member is None or member.state not in (MemberState.OUT, MemberState.SILENT, MemberState.RETIRED):
        said = (
            "no member" if member is None else f"{member.state.value}, and only who is out can be forgotten"
        )
        raise PlanError(f"{name} is {said}")
    plans = [
        p for p in seen.plans.values() if p.stage in (*ACTIVE_STAGES, PlanStage.HALTED) and name in p.members
    ]
    fewer = tuple(
        replace(
            p, members=_but(p.members, name), released=_but(p.released, name), deferred=_but(p.deferred, name)
        )
        for p in plans
    )
    ends = tuple(
        k for k in (f"{kind}/{name}" for kind in ("member", "ask", "ticket", "clear")) if seen.offset_of(k)
    )
    return Move(f"{name} is forgotten", fewer, ends, seen.next_offset)


def _but(names: Iterable[str], *without: str) -> tuple[str, ...]:
    return tuple(name for name in names if name not in without)


def change_stage(plan: Plan, stage: PlanStage, why: str) -> Plan:
    """An operator's word on a plan; a PlanError where it comes too late or from the wrong stage."""
    may = {
        PlanStage.HALTED: ACTIVE_STAGES,
        PlanStage.RUNNING: (PlanStage.HALTED,),
        PlanStage.ROLLING_BACK: (PlanStage.RUNNING, PlanStage.HALTED),
    }
    if plan.stage is stage:
        return plan  # done twice it changes nothing
    if plan.stage not in may[stage]:
        raise PlanError(f"plan {plan.name} is {plan.stage.value}")
    return replace(plan, stage=stage, reason=why)


def tracked_values(seen: FleetView, beats: Mapping[str, object]) -> dict[str, object]:
    """What the coordinator's ``Watch`` looks at."""
    held: dict[str, object] = {
        f"ticket/{t.name}": (t.offset, seen.offset_of(f"plan/{t.plan}")) for t in seen.tickets.values()
    }
    for drain in seen.drains.values():
        held[key_of(drain)], held[f"warm/{drain.name}"] = (
            (drain.offset, seen.offset_of(f"plan/{drain.plan}")),
            drain.offset,
        )
    done: dict[str, object] = {f"released/{p.name}": p.released for p in seen.active}
    done |= {f"step/{p.name}": (p.step, p.stage) for p in seen.active}
    done |= {f"turn/{p.name}": [m.name for m in next_members(p, seen)] for p in seen.active}
    return {**{f"beat/{name}": beats.get(name) for name in seen.members}, **held, **done}


def decide(
    seen: FleetView,
    me: str,
    token: int,
    now: float,
    watch: ChangeTracker,
    patience: Timeouts,
    bad: Sequence[str] = (),
) -> Move | None:
    """The next move, None where there is none. ``bad`` names plans whose released members fail more than
    others.
    """
    if seen.epoch is None or seen.epoch.token != token:
        return Move(f"coordinates under token {token}", (Epoch(me, token),), expected_end=seen.next_offset)
    return (
        _silent(seen, now, watch, patience)
        or _returned(seen)
        or _halt(seen, now, watch, patience, bad)
        or _over(seen)
        or _grant(seen, token, now, watch, patience)
    )


def _silent(seen: FleetView, now: float, watch: ChangeTracker, patience: Timeouts) -> Move | None:
    for member in seen.members.values():
        if (
            member.state not in (MemberState.OUT, MemberState.SILENT, MemberState.RETIRED)
            and watch.unchanged_ms(now, f"beat/{member.name}") > patience.heartbeat_timeout_ms
        ):
            return Move(
                f"{member.name} is silent",
                (replace(member, state=MemberState.SILENT),),
                expected_end=seen.next_offset,
            )
    return None


def _returned(seen: FleetView) -> Move | None:
    """A holder that went is ready in a later life; or died before it went, and came back all the same."""
    for ticket in seen.tickets.values():
        member, plan = seen.members.get(ticket.name), seen.plans.get(ticket.plan)
        if member is None:
            continue
        if plan is not None and ticket.is_final and member.state is MemberState.RETIRED:
            made = replace(plan, released=(*plan.released, member.name))
            return Move(f"{member.name} has retired", (made,), (key_of(ticket),), seen.next_offset)
        if plan is not None and ticket.settings and ticket.used:
            if ticket.settings_result:
                return replace(_took(ticket, plan), expected_end=seen.next_offset)
            continue
        if member.incarnation <= ticket.incarnation or member.state is not MemberState.READY:
            continue
        if plan is None or not ticket.used or ticket.is_final:
            return Move(
                f"{ticket.name} is back", deleted_keys=(key_of(ticket),), expected_end=seen.next_offset
            )
        if ticket.target and member.version != ticket.target:
            why = f"{member.name} came back as {member.version or 'no version'}, not {ticket.target}"
            halted = (
                replace(plan, stage=PlanStage.HALTED, reason=why) if plan.stage in ACTIVE_STAGES else plan
            )
            return Move(why, (halted,), (key_of(ticket),), seen.next_offset)
        return replace(_released(ticket, plan, "is back"), expected_end=seen.next_offset)
    return None


def _released(ticket: Ticket, plan: Plan, what: str) -> Move:
    """Its ticket did what it was for: it is released, or on the way back no longer."""
    rest = _but(plan.released, ticket.name)
    went_back = ticket.target == plan.previous and ticket.target != plan.target
    made = replace(plan, released=rest if went_back else (*rest, ticket.name))
    return Move(f"{ticket.name} {what}, {len(made.released)} released", (made,), (key_of(ticket),))


def _took(ticket: Ticket, plan: Plan) -> Move:
    """It has read new settings: they are in force, or its plan halts with its reason."""
    if ticket.settings_result == SETTINGS_APPLIED:
        return _released(ticket, plan, f"has taken on {ticket.target}")
    why = f"{ticket.name} did not take on {ticket.target}: {ticket.settings_result}"
    halted = replace(plan, stage=PlanStage.HALTED, reason=why) if plan.stage in ACTIVE_STAGES else plan
    return Move(why, (halted,), (key_of(ticket),))


def _halt(
    seen: FleetView, now: float, watch: ChangeTracker, patience: Timeouts, bad: Sequence[str]
) -> Move | None:
    for plan in (p for p in seen.active if not p.nodes):
        why = "its released members fail more than the others" if plan.name in bad else ""
        for ticket in seen.tickets.values():
            if ticket.plan == plan.name and ticket.used:
                lasts = watch.unchanged_ms(now, key_of(ticket))
                why = why or (
                    f"{ticket.name} is not back in its time" if lasts > patience.return_timeout_ms else ""
                )
        unplanned = sum(
            m.state in (MemberState.OUT, MemberState.SILENT) and m.name not in seen.tickets
            for m in seen.members.values()
        )
        if unplanned > plan.max_out and plan.max_out and plan.stage is PlanStage.RUNNING:
            why = why or f"{unplanned} are out unplanned"
        if why and plan.stage is PlanStage.RUNNING:
            return Move(
                f"plan {plan.name} halts: {why}",
                (replace(plan, stage=PlanStage.HALTED, reason=why),),
                expected_end=seen.next_offset,
            )
    return None


def _over(seen: FleetView) -> Move | None:
    for plan in seen.active:
        if any(t.plan == plan.name for t in seen.tickets.values()):
            continue
        if any(d.plan == plan.name for d in seen.drains.values()):
            continue
        if plan.stage is PlanStage.RUNNING and not plan.remaining:
            done, more = replace(plan, stage=PlanStage.DONE), plan.follow_up
            return Move(
                f"plan {plan.name} is done", (done, more) if more else (done,), expected_end=seen.next_offset
            )
        if plan.stage is PlanStage.ROLLING_BACK and (
            plan.step < 0 if plan.retiring_site else not plan.released or not plan.target
        ):
            return Move(
                f"plan {plan.name} is undone",
                (replace(plan, stage=PlanStage.ROLLED_BACK),),
                expected_end=seen.next_offset,
            )
    return None


def remaining_members(plan: Plan) -> list[str]:
    """Who has still to go out under this plan, in order: as named, or on the way back the last first; then
    who did not ask in its turn.
    """
    names = list[str]()
    if plan.stage is PlanStage.ROLLING_BACK:
        names = list(reversed(plan.released)) if plan.target else []
    elif (
        plan.stage is PlanStage.RUNNING
        and not plan.nodes
        and not (plan.retiring_site and plan.step <= EVACUATION_STEPS)
    ):
        names = plan.remaining  # of a site that retires only once its volumes have all moved
    return [*_but(names, *plan.deferred), *(name for name in plan.deferred if name in names)]


def next_members(plan: Plan, seen: FleetView) -> list[Member]:
    """Who may be let out next under this plan, in order: as many as its budgets let out at once, and one more
    of each.

    Guards against a fleet that crosses its coordinator: all others keep still until they are among these. Of
    forty members that all asked, none was granted anything within four minutes.
    """
    chosen, here, most = list[Member](), Counter[str](), _most(plan, seen)
    turns = remaining_members(plan)[:1] if plan.canary and not plan.released else remaining_members(plan)
    for name in turns:
        if len(chosen) > most:
            break
        member = seen.members.get(name)
        if member is None or name in seen.tickets or member.state is not MemberState.READY:
            continue  # who is out keeps nobody waiting
        if plan.max_out_per_site is None or here[member.site] <= plan.max_out_per_site:
            chosen.append(member)
            here[member.site] += 1
    return chosen


def current_target(plan: Plan) -> str:
    """What those who go out under it now are to come back as; "" for whatever they are."""
    return plan.previous if plan.stage is PlanStage.ROLLING_BACK else plan.target


def _asked(plan: Plan, seen: FleetView, member: Member) -> TicketRequest | None:
    ask = seen.requests.get(member.name)
    return ask if ask is not None and (ask.plan, ask.incarnation) == (plan.name, member.incarnation) else None


def _mute(plan: Plan, seen: FleetView, turns: Sequence[Member]) -> list[str]:
    """Who is near and has not asked, where that keeps others from being near.

    Guards against members that live and never ask (they cannot write their ``wants`` file, or run a version
    that knows no such plan): as many as the budgets let out would hold their plan up for good.
    """
    ready = (
        n for n in remaining_members(plan) if n in seen.members and seen.members[n].state is MemberState.READY
    )
    others = any(n not in seen.tickets and seen.members[n] not in turns for n in ready)
    return [m.name for m in turns if _asked(plan, seen, m) is None] if others else []


def _grant(seen: FleetView, token: int, now: float, watch: ChangeTracker, patience: Timeouts) -> Move | None:
    for plan in seen.active:
        alone = plan.canary and plan.stage is PlanStage.RUNNING and len(plan.released) == 1
        if alone and watch.unchanged_ms(now, f"released/{plan.name}") < patience.canary_soak_ms:
            continue
        turns = next_members(plan, seen)
        waited = (
            watch.unchanged_ms(now, f"turn/{plan.name}") >= patience.heartbeat_timeout_ms
        )  # the time of a few beats
        if waited and (passed := _mute(plan, seen, turns)):
            later = (*_but(plan.deferred, *passed), *passed)
            what = f"{', '.join(passed)}: no ask in its turn, others come first"
            return Move(what, (replace(plan, deferred=later),), expected_end=seen.next_offset)
        for member in turns:
            name, ask = member.name, _asked(plan, seen, member)
            if ask is None:
                if not waited:
                    break  # its turn
                continue
            if not has_capacity(seen, member):
                continue
            to, last = current_target(plan), bool(plan.retiring_site)
            ticket = Ticket(
                name, plan.name, ask.incarnation, ask.request_number, token, to, last, plan.settings
            )
            return Move(f"{name} may go out", (ticket,), expected_end=seen.next_offset)
    return None
