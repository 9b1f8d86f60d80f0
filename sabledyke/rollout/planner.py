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
from sabledyke.rollout.fleet_view import View
from sabledyke.rollout.record_codec import key
from sabledyke.rollout.records import (
    ACTIVE,
    MOST_MEMBERS,
    MOST_PLANS,
    STEPS,
    TAKEN,
    Ask,
    Epoch,
    Member,
    Plan,
    Record,
    Stage,
    State,
    Ticket,
)


@dataclass(slots=True, frozen=True)
class Patience:
    """Milliseconds on the coordinator's clock."""

    silent: float = 5000.0  # a member without a beat counts as out
    back: float = 60_000.0  # one that went out must be ready again by then, or its plan halts
    soak: float = 10_000.0  # for which a canary is looked at before others follow
    warm: float = 10_000.0  # for which a box counts as out after it is listed again


@dataclass(slots=True, frozen=True)
class Move:
    """Records to write, and keys to end, in one append; ``expects`` and ``end`` are what they rest on."""

    what: str  # for the log
    writes: tuple[Record, ...] = ()
    ends: tuple[str, ...] = ()
    end: int | None = None
    expects: tuple[tuple[str, int], ...] = ()


class Watch:
    """Since when things have stood as they do, on one clock: bounded by what stands there at all."""

    def __init__(self) -> None:
        self._since: dict[str, tuple[object, float]] = {}

    def look(self, now: float, stands: Mapping[str, object]) -> None:
        """How things stand now; what no longer stands is forgotten."""
        kept = {name: self._since.get(name, (None, now)) for name in stands}
        self._since = {n: kept[n] if kept[n][0] == v else (v, now) for n, v in stands.items()}

    def stood(self, now: float, name: str) -> float:
        """For how long; 0 for what does not stand."""
        found = self._since.get(name)
        return now - found[1] if found is not None else 0.0


def out(seen: View) -> set[str]:
    """Everybody who is out, or may go at any moment."""
    away = {m.name for m in seen.members.values() if m.state not in (State.READY, State.RETIRED)}
    return away | set(seen.tickets)


def under_way(seen: View) -> bool:
    """Somebody may have to answer soon; else all that can happen is that a plan begins."""
    stages = (*ACTIVE, Stage.HALTED)
    return bool(seen.tickets or seen.drains) or any(p.stage in stages for p in seen.plans.values())


def room(seen: View, member: Member) -> bool:
    """Do the budgets of all active plans let this one go out as well?"""
    gone = out(seen) | {member.name}
    here = sum(name in seen.members and seen.members[name].site == member.site for name in gone)
    return all(
        len(gone) <= _most(plan, seen) and (plan.per_site is None or here <= plan.per_site)
        for plan in seen.active
        if not plan.boxes
    )


def _most(plan: Plan, seen: View) -> float:
    """How many this plan alone would let be out at once."""
    fleet = sum(m.state is not State.RETIRED for m in seen.members.values())
    return min(plan.most, inf if plan.share is None else floor(plan.share * fleet + 1e-9))


def check(plan: Plan, seen: View) -> None:
    """May this plan begin? A PlanError in one line where it may not."""
    unknown = [name for name in plan.members if name not in seen.members]
    among = len(plan.boxes) or len(seen.members)
    after = plan.drains_after.name if plan.drains_after else plan.name
    named = () if plan.settings else (plan.to, plan.before)
    versions = {m.version for m in seen.members.values()} | {version for version in named if version}
    taken = {
        what: p.name for p in seen.plans.values() if p.stage in (*ACTIVE, Stage.HALTED) for what in _names(p)
    }
    twice, box_names = [what for what in _names(plan) if what in taken], plan.boxes or plan.then
    faults = {
        f"plan {plan.name} is there already": plan.name in seen.plans,
        f"plan {after} is there already": after in seen.plans,
        "it names nobody": not plan.members and not plan.boxes,
        "it names a member twice": len(set(plan.members)) < len(plan.members),
        "it names a box twice": len(set(box_names)) < len(box_names),
        f"no such member: {', '.join(unknown[:3])}": bool(unknown),
        f"{', '.join(name for _, name in twice[:3])}: in plan {taken[twice[0]] if twice else ''}, which is "
        "not over": bool(twice),
        f"most must be from 0 to {among}, not {plan.most}": not 0 <= plan.most <= among,
        "per_site must be 0 or more": plan.per_site is not None and plan.per_site < 0,
        "share must be from 0 to 1": plan.share is not None and not 0 <= plan.share <= 1,
        f"no site would be left without {plan.retire}": bool(plan.retire)
        and not {m.site for m in seen.members.values() if m.state is not State.RETIRED} - {plan.retire},
        f"{plan.retire} is retiring already": any(
            p.retire == plan.retire and p.stage in (*ACTIVE, Stage.HALTED, Stage.DONE)
            for p in seen.plans.values()
        )
        and bool(plan.retire),
        f"there would be three versions at once: {', '.join(sorted(versions))}": len(versions) > 2,
        f"a fleet has at most {MOST_MEMBERS} members": len(seen.members) > MOST_MEMBERS,
        f"there are {MOST_PLANS} plans already": len(seen.plans) >= MOST_PLANS,
    }
    for said, wrong in faults.items():
        if wrong:
            raise PlanError(f"plan {plan.name}: {said}")


def _names(plan: Plan) -> list[tuple[bool, str]]:
    """Whom and what it takes out, now or later: whether that is a box, and its name."""
    boxes = [(True, name) for name in plan.boxes or plan.then]
    return boxes + [(False, name) for name in plan.members]


def forgotten(name: str, seen: View) -> Move:
    """An operator's word that a member is gone for good: it counts nowhere, and is in no plan any more.

    A PlanError where it was heard lately. One that comes back all the same is a member again by its own word.
    """
    member = seen.members.get(name)
    if member is None or member.state not in (State.OUT, State.SILENT, State.RETIRED):
        said = (
            "no member" if member is None else f"{member.state.value}, and only who is out can be forgotten"
        )
        raise PlanError(f"{name} is {said}")
    plans = [p for p in seen.plans.values() if p.stage in (*ACTIVE, Stage.HALTED) and name in p.members]
    fewer = tuple(
        replace(p, members=_but(p.members, name), released=_but(p.released, name), later=_but(p.later, name))
        for p in plans
    )
    ends = tuple(k for k in (f"{kind}/{name}" for kind in ("member", "ask", "ticket", "clear")) if seen.at(k))
    return Move(f"{name} is forgotten", fewer, ends, seen.next)


def _but(names: Iterable[str], *without: str) -> tuple[str, ...]:
    return tuple(name for name in names if name not in without)


def changed(plan: Plan, stage: Stage, why: str) -> Plan:
    """An operator's word on a plan; a PlanError where it comes too late or from the wrong stage."""
    may = {Stage.HALTED: ACTIVE, Stage.RUNNING: (Stage.HALTED,), Stage.BACK: (Stage.RUNNING, Stage.HALTED)}
    if plan.stage is stage:
        return plan  # done twice it changes nothing
    if plan.stage not in may[stage]:
        raise PlanError(f"plan {plan.name} is {plan.stage.value}")
    return replace(plan, stage=stage, why=why)


def stands(seen: View, beats: Mapping[str, object]) -> dict[str, object]:
    """What the coordinator's ``Watch`` looks at."""
    held: dict[str, object] = {
        f"ticket/{t.name}": (t.offset, seen.at(f"plan/{t.plan}")) for t in seen.tickets.values()
    }
    for drain in seen.drains.values():
        held[key(drain)], held[f"warm/{drain.name}"] = (
            (drain.offset, seen.at(f"plan/{drain.plan}")),
            drain.offset,
        )
    done: dict[str, object] = {f"released/{p.name}": p.released for p in seen.active}
    done |= {f"step/{p.name}": (p.step, p.stage) for p in seen.active}
    done |= {f"turn/{p.name}": [m.name for m in near(p, seen)] for p in seen.active}
    return {**{f"beat/{name}": beats.get(name) for name in seen.members}, **held, **done}


def decide(
    seen: View, me: str, token: int, now: float, watch: Watch, patience: Patience, bad: Sequence[str] = ()
) -> Move | None:
    """The next move, None where there is none. ``bad`` names plans whose released members fail more than
    others.
    """
    if seen.epoch is None or seen.epoch.token != token:
        return Move(f"coordinates under token {token}", (Epoch(me, token),), end=seen.next)
    return (
        _silent(seen, now, watch, patience)
        or _returned(seen)
        or _halt(seen, now, watch, patience, bad)
        or _over(seen)
        or _grant(seen, token, now, watch, patience)
    )


def _silent(seen: View, now: float, watch: Watch, patience: Patience) -> Move | None:
    for member in seen.members.values():
        if (
            member.state not in (State.OUT, State.SILENT, State.RETIRED)
            and watch.stood(now, f"beat/{member.name}") > patience.silent
        ):
            return Move(f"{member.name} is silent", (replace(member, state=State.SILENT),), end=seen.next)
    return None


def _returned(seen: View) -> Move | None:
    """A holder that went is ready in a later life; or died before it went, and came back all the same."""
    for ticket in seen.tickets.values():
        member, plan = seen.members.get(ticket.name), seen.plans.get(ticket.plan)
        if member is None:
            continue
        if plan is not None and ticket.last and member.state is State.RETIRED:
            made = replace(plan, released=(*plan.released, member.name))
            return Move(f"{member.name} has retired", (made,), (key(ticket),), seen.next)
        if plan is not None and ticket.settings and ticket.going:
            if ticket.took:
                return replace(_took(ticket, plan), end=seen.next)
            continue
        if member.life <= ticket.life or member.state is not State.READY:
            continue
        if plan is None or not ticket.going or ticket.last:
            return Move(f"{ticket.name} is back", ends=(key(ticket),), end=seen.next)
        if ticket.to and member.version != ticket.to:
            why = f"{member.name} came back as {member.version or 'no version'}, not {ticket.to}"
            halted = replace(plan, stage=Stage.HALTED, why=why) if plan.stage in ACTIVE else plan
            return Move(why, (halted,), (key(ticket),), seen.next)
        return replace(_released(ticket, plan, "is back"), end=seen.next)
    return None


def _released(ticket: Ticket, plan: Plan, what: str) -> Move:
    """Its ticket did what it was for: it is released, or on the way back no longer."""
    rest = _but(plan.released, ticket.name)
    went_back = ticket.to == plan.before and ticket.to != plan.to
    made = replace(plan, released=rest if went_back else (*rest, ticket.name))
    return Move(f"{ticket.name} {what}, {len(made.released)} released", (made,), (key(ticket),))


def _took(ticket: Ticket, plan: Plan) -> Move:
    """It has read new settings: they are in force, or its plan halts with its reason."""
    if ticket.took == TAKEN:
        return _released(ticket, plan, f"has taken on {ticket.to}")
    why = f"{ticket.name} did not take on {ticket.to}: {ticket.took}"
    halted = replace(plan, stage=Stage.HALTED, why=why) if plan.stage in ACTIVE else plan
    return Move(why, (halted,), (key(ticket),))


def _halt(seen: View, now: float, watch: Watch, patience: Patience, bad: Sequence[str]) -> Move | None:
    for plan in (p for p in seen.active if not p.boxes):
        why = "its released members fail more than the others" if plan.name in bad else ""
        for ticket in seen.tickets.values():
            if ticket.plan == plan.name and ticket.going:
                lasts = watch.stood(now, key(ticket))
                why = why or (f"{ticket.name} is not back in its time" if lasts > patience.back else "")
        unplanned = sum(
            m.state in (State.OUT, State.SILENT) and m.name not in seen.tickets for m in seen.members.values()
        )
        if unplanned > plan.most and plan.most and plan.stage is Stage.RUNNING:
            why = why or f"{unplanned} are out unplanned"
        if why and plan.stage is Stage.RUNNING:
            return Move(
                f"plan {plan.name} halts: {why}", (replace(plan, stage=Stage.HALTED, why=why),), end=seen.next
            )
    return None


def _over(seen: View) -> Move | None:
    for plan in seen.active:
        if any(t.plan == plan.name for t in seen.tickets.values()):
            continue
        if any(d.plan == plan.name for d in seen.drains.values()):
            continue
        if plan.stage is Stage.RUNNING and not plan.rest:
            done, more = replace(plan, stage=Stage.DONE), plan.drains_after
            return Move(f"plan {plan.name} is done", (done, more) if more else (done,), end=seen.next)
        if plan.stage is Stage.BACK and (plan.step < 0 if plan.retire else not plan.released or not plan.to):
            return Move(f"plan {plan.name} is undone", (replace(plan, stage=Stage.UNDONE),), end=seen.next)
    return None


def wanted(plan: Plan) -> list[str]:
    """Who has still to go out under this plan, in order: as named, or on the way back the last first; then
    who did not ask in its turn.
    """
    names = list[str]()
    if plan.stage is Stage.BACK:
        names = list(reversed(plan.released)) if plan.to else []
    elif plan.stage is Stage.RUNNING and not plan.boxes and not (plan.retire and plan.step <= STEPS):
        names = plan.rest  # of a site that retires only once its volumes have all moved
    return [*_but(names, *plan.later), *(name for name in plan.later if name in names)]


def near(plan: Plan, seen: View) -> list[Member]:
    """Who may be let out next under this plan, in order: as many as its budgets let out at once, and one more
    of each.

    Guards against a fleet that crosses its coordinator: all others keep still until they are among these. Of
    forty members that all asked, none was granted anything within four minutes.
    """
    chosen, here, most = list[Member](), Counter[str](), _most(plan, seen)
    turns = wanted(plan)[:1] if plan.canary and not plan.released else wanted(plan)
    for name in turns:
        if len(chosen) > most:
            break
        member = seen.members.get(name)
        if member is None or name in seen.tickets or member.state is not State.READY:
            continue  # who is out keeps nobody waiting
        if plan.per_site is None or here[member.site] <= plan.per_site:
            chosen.append(member)
            here[member.site] += 1
    return chosen


def next_version(plan: Plan) -> str:
    """What those who go out under it now are to come back as; "" for whatever they are."""
    return plan.before if plan.stage is Stage.BACK else plan.to


def _asked(plan: Plan, seen: View, member: Member) -> Ask | None:
    ask = seen.asks.get(member.name)
    return ask if ask is not None and (ask.plan, ask.life) == (plan.name, member.life) else None


def _mute(plan: Plan, seen: View, turns: Sequence[Member]) -> list[str]:
    """Who is near and has not asked, where that keeps others from being near.

    Guards against members that live and never ask (they cannot write their ``wants`` file, or run a version
    that knows no such plan): as many as the budgets let out would hold their plan up for good.
    """
    ready = (n for n in wanted(plan) if n in seen.members and seen.members[n].state is State.READY)
    others = any(n not in seen.tickets and seen.members[n] not in turns for n in ready)
    return [m.name for m in turns if _asked(plan, seen, m) is None] if others else []


def _grant(seen: View, token: int, now: float, watch: Watch, patience: Patience) -> Move | None:
    for plan in seen.active:
        alone = plan.canary and plan.stage is Stage.RUNNING and len(plan.released) == 1
        if alone and watch.stood(now, f"released/{plan.name}") < patience.soak:
            continue
        turns = near(plan, seen)
        waited = watch.stood(now, f"turn/{plan.name}") >= patience.silent  # the time of a few beats
        if waited and (passed := _mute(plan, seen, turns)):
            later = (*_but(plan.later, *passed), *passed)
            what = f"{', '.join(passed)}: no ask in its turn, others come first"
            return Move(what, (replace(plan, later=later),), end=seen.next)
        for member in turns:
            name, ask = member.name, _asked(plan, seen, member)
            if ask is None:
                if not waited:
                    break  # its turn
                continue
            if not room(seen, member):
                continue
            to, last = next_version(plan), bool(plan.retire)
            ticket = Ticket(name, plan.name, ask.life, ask.number, token, to, last, plan.settings)
            return Move(f"{name} may go out", (ticket,), end=seen.next)
    return None
