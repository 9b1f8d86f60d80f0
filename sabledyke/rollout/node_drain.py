"""Drains of boxes as plans: which box may go out next, when it is drained, when it is back. Pure.

Told: the view of the board, the coordinator's own list of boxes as discovery tells it, its token and the time
on its clock. It never knows a socket or what a box says. A box is drained only when every member that may
live has said, after it took the drain in, that nothing of its is out there; one that is silent may live. It
is never freed by a timer alone: it is out until it is listed as a later start and warm, or is gone for good.

Members say that they live on the board before they read it for the first time, and read it before they take
a client: a drain that they do not find there was begun after that, and waits for them.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from math import floor, inf

from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.planner import ChangeTracker, Move, Timeouts
from sabledyke.rollout.record_codec import key_of
from sabledyke.rollout.records import (
    Drain,
    DrainAcknowledgement,
    DrainPhase,
    ListedNode,
    Member,
    MemberState,
    Plan,
    PlanStage,
    Record,
)

Boxes = Mapping[str, ListedNode]
SHUT = (DrainPhase.LEAVING, DrainPhase.DRAINED)  # takes nothing fresh
AWAY = (MemberState.OUT, MemberState.RETIRED)  # by its own last word: it has nothing out anywhere


def closed_nodes(seen: FleetView) -> frozenset[str]:
    """Boxes that members send nothing fresh."""
    return frozenset(d.name for d in seen.drains.values() if d.phase in SHUT)


def unacknowledged_by(seen: FleetView, drain: Drain) -> list[str]:
    """Members that have not said that nothing of theirs is out at this box."""
    return sorted(m.name for m in seen.members.values() if m.state not in AWAY and not _clear(seen, m, drain))


def _clear(seen: FleetView, member: Member, drain: Drain) -> bool:
    said = seen.acknowledgements.get(member.name)
    return said is not None and said.incarnation == member.incarnation and drain.begun_offset in said.drains


@dataclass(slots=True)
class DrainAcknowledger:
    """One member's side: since when it has sent a box nothing fresh; ``grace`` ms after that it counts.

    In the grace the module may still send what no other box can serve. Entries end with their drains.
    """

    name: str
    incarnation: int
    grace_ms: float
    closed_since_ms: dict[int, float] = field(default_factory=dict)  # by drain

    def step(self, seen: FleetView, now: float, busy: Callable[[str], bool]) -> Move | None:
        """What to say of the drains that hold, where that is not what the board says; ``busy``: something of
        this member's is out at that box.
        """
        closed = [drain for _, drain in sorted(seen.drains.items()) if drain.phase in SHUT]
        self.closed_since_ms = {d.begun_offset: self.closed_since_ms.get(d.begun_offset, now) for d in closed}
        after = {
            d.begun_offset: now - self.closed_since_ms[d.begun_offset] for d in closed
        }  # 0 at the look that took it in
        done = [d for d in closed if 0 < after[d.begun_offset] >= self.grace_ms and not busy(d.name)]
        mine = DrainAcknowledgement(self.name, self.incarnation, tuple(d.begun_offset for d in done))
        known = seen.acknowledgements.get(self.name)
        if (known.incarnation, known.drains) == (mine.incarnation, mine.drains) if known else not mine.drains:
            return None
        return Move(f"{self.name} has nothing out at {', '.join(d.name for d in done) or 'no box'}", (mine,))


def nodes_out(seen: FleetView, boxes: Boxes) -> set[str]:
    """Boxes that are out, or may be taken away at any moment."""
    return {b.name for b in boxes.values() if not b.ready} | set(seen.drains)


def has_capacity(seen: FleetView, box: ListedNode, boxes: Boxes) -> bool:
    """Do the budgets of all active plans of boxes let this one go out as well?"""
    gone = nodes_out(seen, boxes) | {box.name}
    here = sum(name in boxes and boxes[name].zone == box.zone for name in gone)
    if len(gone) > _most(seen, boxes, gone):
        return False
    return all(p.max_out_per_site is None or here <= p.max_out_per_site for p in seen.active if p.nodes)


def _most(seen: FleetView, boxes: Boxes, gone: set[str]) -> float:
    """How many boxes may be out, by the least budget of all active plans of boxes."""
    plans, size = [p for p in seen.active if p.nodes], len({*boxes, *gone})
    shares = [floor(p.max_out_fraction * size + 1e-9) for p in plans if p.max_out_fraction is not None]
    return min([*(p.max_out for p in plans), *shares], default=inf)


def is_last_of_shard(seen: FleetView, box: ListedNode, boxes: Boxes) -> bool:
    """It alone holds its shard: what it holds would have no box."""
    away = nodes_out(seen, boxes)
    return not any(b.shard == box.shard and b.name != box.name and b.name not in away for b in boxes.values())


def decide(
    seen: FleetView, token: int, now: float, watch: ChangeTracker, patience: Timeouts, boxes: Boxes
) -> Move | None:
    """The coordinator's next move for boxes, None where there is none."""
    for drain in seen.drains.values():
        plan = seen.plans.get(drain.plan)
        move = _given_back(drain, plan) or _next(seen, drain, plan, now, watch, patience, boxes)
        if move is not None:
            return replace(move, expected_end=seen.next_offset)
    for plan in (p for p in seen.active if p.nodes and p.stage is PlanStage.RUNNING):
        move = _halt(seen, plan, now, watch, patience, boxes)
        move = move or _begin(seen, plan, token, now, watch, patience, boxes)
        if move is not None:
            return replace(move, expected_end=seen.next_offset)
    return None


def _given_back(drain: Drain, plan: Plan | None) -> Move | None:
    """A halt frees a box that nobody took away yet; on the way back all of them are taken in again."""
    back = plan is None or plan.stage in (PlanStage.ROLLING_BACK, PlanStage.ROLLED_BACK)
    halted = plan is not None and plan.stage is PlanStage.HALTED and drain.phase is DrainPhase.LEAVING
    return (
        Move(f"{drain.name} is not drained any more", deleted_keys=(key_of(drain),))
        if back or halted
        else None
    )


def _next(
    seen: FleetView,
    drain: Drain,
    plan: Plan | None,
    now: float,
    watch: ChangeTracker,
    patience: Timeouts,
    boxes: Boxes,
) -> Move | None:
    box, writes, ends = boxes.get(drain.name), tuple[Record, ...](), tuple[str, ...]()
    if drain.phase is DrainPhase.LEAVING:
        what = f"{drain.name} is drained"
        writes = () if unacknowledged_by(seen, drain) else (replace(drain, phase=DrainPhase.DRAINED),)
    elif plan is not None and (_gone(plan, box, boxes) or _warm(drain, now, watch, patience)):
        what, ends = f"{drain.name} {'is gone' if box is None else 'is warm again'}", (key_of(drain),)
        writes = (replace(plan, released=(*plan.released, drain.name)),)
    elif (
        drain.phase is DrainPhase.DRAINED
        and box is not None
        and box.ready
        and box.started != drain.node_started
    ):
        what, writes = f"{drain.name} is listed as a later start", (replace(drain, phase=DrainPhase.WARMING),)
    return Move(what, writes, ends) if writes else None


def _gone(plan: Plan, box: ListedNode | None, boxes: Boxes) -> bool:
    return plan.removes_nodes and box is None and bool(boxes)


def _warm(drain: Drain, now: float, watch: ChangeTracker, patience: Timeouts) -> bool:
    return (
        drain.phase is DrainPhase.WARMING
        and watch.unchanged_ms(now, f"warm/{drain.name}") >= patience.warm_up_ms
    )


def _halt(
    seen: FleetView, plan: Plan, now: float, watch: ChangeTracker, patience: Timeouts, boxes: Boxes
) -> Move | None:
    unplanned = nodes_out(seen, boxes) - set(seen.drains)
    why = f"{len(unplanned)} boxes are out unplanned" if len(unplanned) > plan.max_out > 0 else ""
    for drain in seen.drains.values():
        if drain.plan == plan.name and watch.unchanged_ms(now, key_of(drain)) > patience.return_timeout_ms:
            slow = f"not back in its time: it is {drain.phase.value}"
            if drain.phase is DrainPhase.LEAVING:
                slow = f"not drained in time: {', '.join(unacknowledged_by(seen, drain)[:3])} may send to it"
            why = why or f"{drain.name} is {slow}"
    stood, ours = watch.unchanged_ms(now, f"released/{plan.name}"), {d.plan for d in seen.drains.values()}
    if not why and boxes and plan.name not in ours and stood > patience.heartbeat_timeout_ms:
        for name in plan.remaining[:1]:  # it stands first in its order, and nothing of the plan is under way
            if name not in boxes and not plan.removes_nodes:
                why = f"no box {name} is listed"
            elif name in boxes and boxes[name].ready and is_last_of_shard(seen, boxes[name], boxes):
                why = f"{name} alone holds shard {boxes[name].shard}"
    halted = replace(plan, stage=PlanStage.HALTED, reason=why)
    return Move(f"plan {plan.name} halts: {why}", (halted,)) if why else None


def _begin(
    seen: FleetView,
    plan: Plan,
    token: int,
    now: float,
    watch: ChangeTracker,
    patience: Timeouts,
    boxes: Boxes,
) -> Move | None:
    stood = watch.unchanged_ms(now, f"released/{plan.name}")
    if plan.canary and len(plan.released) == 1 and stood < patience.canary_soak_ms:
        return None
    under_way = sum(d.plan == plan.name for d in seen.drains.values())
    away = nodes_out(seen, boxes)
    spent = len(away) + 1 > _most(seen, boxes, away)  # then no box has to be looked at by itself
    for name in plan.remaining[: 1 if plan.canary and not plan.released else None]:
        box = boxes.get(name)
        if name in seen.drains or box is None and not (plan.removes_nodes and boxes):
            continue
        if box is None:  # it is gone already
            return Move(f"{name} is gone", (replace(plan, released=(*plan.released, name)),))
        if spent or not box.ready or is_last_of_shard(seen, box, boxes) or not has_capacity(seen, box, boxes):
            continue  # who is out keeps nobody waiting
        what = f"{name} is to be drained, {under_way + 1} under way"
        return Move(what, (Drain(name, plan.name, token, box.started, seen.next_offset),))
    return None
