"""Drains of boxes as a model: every order in which coordinators, members, boxes and an operator can meet.

Coordinators and members are ``rollout.boxes`` itself. Looking, deciding and writing are steps of their own,
with anything in between; a member sends to any box that it has not taken for closed, dies without a word,
and comes back as a later life; whoever takes boxes away does so once they are drained on the board.
Budgets bound the faults, which makes the states finite; offsets are kept by rank.

What must hold, in every state: nothing of any member is out at a box that is drained, and none would send it
anything; and no box is begun to be drained beyond the budget.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

from sabledyke.rollout import node_drain, planner
from sabledyke.rollout.change_tracker import ChangeTracker
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.moves import Move
from sabledyke.rollout.records import (
    Drain,
    DrainAcknowledgement,
    DrainPhase,
    Epoch,
    ListedNode,
    Member,
    MemberState,
    Plan,
    PlanStage,
    Record,
)
from sabledyke.rollout.timeouts import Timeouts
from sabledyke.testbed.model_log import Coordinator, swapped, with_append, with_coordinator, with_process
from sabledyke.testbed.state_search import Found, explore

PLAN = "p"
NEVER = Timeouts(heartbeat_timeout_ms=1e18, return_timeout_ms=1e18, canary_soak_ms=0.0, warm_up_ms=0.0)


class Budget(NamedTuple):
    """How often each may still come; ``sends`` in all."""

    deaths: int = 1  # without a word, or with its last word, once nothing of it is out
    silences: int = 1  # the coordinator hears nothing of one that lives
    takeovers: int = 1
    halts: int = 1
    sends: int = 1


@dataclass(frozen=True, slots=True)
class Rules:
    """What makes it safe; each may be left out, to see that it is needed."""

    lives_first: bool = True  # a new life says that it lives before it looks for the first time
    silent_counts: bool = True  # who is silent is waited for
    order: bool = True  # a coordinator's move needs its token to be the latest, and the board as it was seen
    busy: bool = True  # a member waits for what it has out


class Process(NamedTuple):
    """A member's process. ``shut`` and ``since`` are as of its last look."""

    life: int = 1
    up: bool = True
    serves: bool = True
    shut: frozenset[str] = frozenset()
    since: frozenset[int] = frozenset()  # drains that an earlier look has taken in
    out: frozenset[str] = frozenset()  # boxes at which something of it is out
    pending: Move | None = None


class Model(NamedTuple):
    """One state. ``wrong`` says what did not hold at the last step."""

    records: tuple[Record, ...]
    next: int
    written: int  # the highest token that has written
    boxes: tuple[ListedNode, ...]
    processes: tuple[Process, ...]
    coordinators: tuple[Coordinator, ...]
    budget: Budget
    wrong: str = ""


def start(size: int, names: int, most: int, budget: Budget) -> Model:
    """A fleet at rest, boxes of one shard with one more that stays, and a plan to drain the others."""
    members = [Member(f"n{i}", 1, state=MemberState.READY, offset=i + 2) for i in range(size)]
    some = tuple(ListedNode(f"b{i}", 0, 0, True, 0.0) for i in range(names + 1))
    plan = Plan(PLAN, (), most, nodes=tuple(b.name for b in some[:names]), offset=size + 2)
    records: tuple[Record, ...] = (Epoch("c0", 1, 1), *members, plan)
    return Model(records, size + 3, 1, some, (Process(),) * size, (Coordinator(1),), budget)


def check(
    size: int,
    names: int,
    most: int,
    budget: Budget,
    rules: Rules = Rules(),  # noqa: B008
    bound: int = 400_000,
) -> Found[Model]:
    """Explore all of it."""

    def follow(model: Model) -> Iterator[tuple[str, Model]]:
        for name, after in _follow(model, rules):
            yield name, _ranked(after)

    return explore([start(size, names, most, budget)], follow, _wrong, bound)


def _wrong(model: Model) -> str:
    drained = {r.name for r in model.records if isinstance(r, Drain) and r.phase is DrainPhase.DRAINED}
    for i, process in enumerate(model.processes):
        if process.up and process.out & drained:
            return f"something of n{i} is out at a drained box"
        if process.up and process.serves and drained - process.shut:
            return f"n{i} would send to a drained box"
    return model.wrong


def _view(model: Model) -> FleetView:
    seen = FleetView(model.next)
    for record in model.records:
        seen.put(record)
    return seen


def _follow(model: Model, rules: Rules) -> Iterator[tuple[str, Model]]:
    seen, budget, listed = _view(model), model.budget, {b.name: b for b in model.boxes}
    for i, one in enumerate(model.coordinators):
        if one.pending is None:
            known = seen if rules.silent_counts else _unheard_away(seen)
            epoch = seen.epoch is not None and seen.epoch.token == one.token
            move = (
                node_drain.decide(known, one.token, 0.0, ChangeTracker(), NEVER, listed)
                or planner.decide(known, f"c{i}", one.token, 0.0, ChangeTracker(), NEVER)
                if epoch
                else Move("coordinates", (Epoch(f"c{i}", one.token),), expected_end=seen.next_offset)
            )
            if move is not None:
                yield (
                    f"c{i} decides: {move.description}",
                    with_coordinator(model, i, one._replace(pending=move)),
                )
        else:
            yield f"c{i} writes: {one.pending.description}", _write(model, i, one.pending, rules)
    if budget.takeovers and len(model.coordinators) == 1:
        spent = model._replace(budget=budget._replace(takeovers=budget.takeovers - 1))
        yield "another coordinator", spent._replace(coordinators=(*model.coordinators, Coordinator(2)))
    for i, process in enumerate(model.processes):
        yield from _member(model, i, process, seen, rules)
    for n, box in enumerate(model.boxes):
        drain = seen.drains.get(box.name)
        if drain is not None and drain.phase is DrainPhase.DRAINED and box.started == drain.node_started:
            again = swapped(model.boxes, n, replace(box, started=box.started + 1))
            yield f"{box.name} is taken away and comes back", model._replace(boxes=again)
    plan = seen.plans[PLAN]
    if budget.halts and plan.stage is PlanStage.RUNNING:
        spent = model._replace(budget=budget._replace(halts=budget.halts - 1))
        for stage in (PlanStage.HALTED, PlanStage.ROLLING_BACK):
            yield f"the operator: {stage.value}", with_append(spent, (replace(plan, stage=stage),), ())


def _member(
    model: Model, i: int, process: Process, seen: FleetView, rules: Rules
) -> Iterator[tuple[str, Model]]:
    name, budget, known = f"n{i}", model.budget, seen.members[f"n{i}"]
    if not process.up:
        if known.state is MemberState.READY:
            silent = replace(known, state=MemberState.SILENT)
            yield f"{name} is noticed to be silent", with_append(model, (silent,), ())
        again = Process(process.life + 1, True, False)
        said = with_append(with_process(model, i, again), (Member(name, again.life),), ())
        yield f"{name} starts again", said if rules.lives_first else with_process(model, i, again)
        return
    if budget.deaths:
        spent = model._replace(budget=budget._replace(deaths=budget.deaths - 1))
        gone = with_process(spent, i, process._replace(up=False, serves=False, out=frozenset(), pending=None))
        yield f"{name} dies", gone
        if not process.out and process.pending is None and known.incarnation == process.life:
            yield f"{name} leaves", with_append(gone, (replace(known, state=MemberState.OUT),), ())
    if budget.silences and known.state is MemberState.READY:
        spent = model._replace(budget=budget._replace(silences=budget.silences - 1))
        yield f"{name} is not heard", with_append(spent, (replace(known, state=MemberState.SILENT),), ())
    for box in sorted(process.out):
        left = process._replace(out=process.out - {box})
        yield f"{name} is answered by {box}", with_process(model, i, left)
    if process.serves and budget.sends:
        for box in seen.plans[PLAN].nodes:
            if box not in process.shut | process.out:
                spent = model._replace(budget=budget._replace(sends=budget.sends - 1))
                sent = process._replace(out=process.out | {box})
                yield f"{name} sends to {box}", with_process(spent, i, sent)
    if process.pending is not None:
        written = with_process(model, i, process._replace(pending=None))
        yield (
            f"{name} writes: {process.pending.description}",
            with_append(written, process.pending.records, ()),
        )
        return
    closing = node_drain.DrainAcknowledger(name, process.life, 0.0, dict.fromkeys(process.since, 0.0))
    move = closing.step(seen, 1.0, lambda box: rules.busy and box in process.out)
    looked = process._replace(
        shut=node_drain.closed_nodes(seen), since=frozenset(closing.closed_since_ms), serves=True
    )
    if (known.incarnation, known.state) != (process.life, MemberState.READY):
        ready = Move("is ready", (Member(name, process.life, state=MemberState.READY),))
        yield f"{name} looks, and serves", with_process(model, i, looked._replace(pending=ready))
    elif move is not None or looked != process:
        what = move.description if move else "nothing to say"
        yield f"{name} looks: {what}", with_process(model, i, looked._replace(pending=move))


def _write(model: Model, i: int, move: Move, rules: Rules) -> Model:
    one = model.coordinators[i]
    model = with_coordinator(model, i, one._replace(pending=None))
    if rules.order and (one.token < model.written or move.expected_end != model.next):
        return model
    after = with_append(
        model._replace(written=max(model.written, one.token)), move.records, move.deleted_keys
    )
    begun = [w for w in move.records if isinstance(w, Drain) and w.phase is DrainPhase.LEAVING]
    away, plan = node_drain.nodes_out(_view(after), {}), _view(after).plans[PLAN]
    return after._replace(wrong=f"{sorted(away)} are out") if begun and len(away) > plan.max_out else after


def _unheard_away(seen: FleetView) -> FleetView:
    away = {
        n: replace(m, state=MemberState.OUT) if m.state is MemberState.SILENT else m
        for n, m in seen.members.items()
    }
    return replace(seen, members=away)


def _ranked(model: Model) -> Model:
    """Offsets and lives by rank: only whether they are the same, or which is later, matters."""
    pending = [p.pending for p in model.processes] + [c.pending for c in model.coordinators]
    moves = [move for move in pending if move is not None]
    records = [*model.records, *(w for move in moves for w in move.records)]
    used = {r.offset for r in records} | {0, model.next} | {move.expected_end or 0 for move in moves}
    used |= {r.begun_offset for r in records if isinstance(r, Drain)}
    used |= {n for r in records if isinstance(r, DrainAcknowledgement) for n in r.drains}
    used |= {n for p in model.processes for n in p.since}
    rank = {offset: n for n, offset in enumerate(sorted(used))}

    def record(r: Record) -> Record:
        r = replace(r, offset=rank[r.offset])
        if isinstance(r, Drain):
            return replace(r, begun_offset=rank[r.begun_offset])
        return (
            replace(r, drains=tuple(rank[n] for n in r.drains)) if isinstance(r, DrainAcknowledgement) else r
        )

    def ranked(move: Move | None) -> Move | None:
        if move is None:
            return None
        end = None if move.expected_end is None else rank[move.expected_end]
        return replace(move, records=tuple(record(w) for w in move.records), expected_end=end)

    return model._replace(
        records=tuple(record(r) for r in model.records),
        next=rank[model.next],
        processes=tuple(
            p._replace(pending=ranked(p.pending), since=frozenset(rank[n] for n in p.since))
            for p in model.processes
        ),
        coordinators=tuple(c._replace(pending=ranked(c.pending)) for c in model.coordinators),
    )
