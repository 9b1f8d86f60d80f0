"""Tickets as a model: every order in which coordinators, members, an operator and the board can meet.

Coordinators and members are ``rollout.planner`` and ``rollout.participant`` themselves. Each looks, decides,
and writes later, with anything in between: the board's conditions are all that keeps them apart. A second
coordinator may take over at any time while the first one stands still or goes on; members die without a
word, and are noticed late; an operator halts the plan, or has it go back. Budgets bound the faults, which
makes the states finite; offsets are kept by rank.

What must hold, at every write: who goes out does so under a plan that runs, with fewer than the budget out
by a ticket; and a ticket is granted only while all that the board knows to be out leaves room for it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from functools import lru_cache
from math import inf
from typing import NamedTuple

from sabledyke.rollout import disruption_budget, planner
from sabledyke.rollout.change_tracker import ChangeTracker
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.moves import Move
from sabledyke.rollout.participant import GOES_OUT, Participant, SentRequest
from sabledyke.rollout.records import (
    ACTIVE_STAGES,
    Member,
    MemberState,
    Plan,
    PlanStage,
    Record,
    Ticket,
    TicketRequest,
)
from sabledyke.rollout.timeouts import Timeouts
from sabledyke.testbed.model_log import Coordinator, with_append, with_coordinator, with_process
from sabledyke.testbed.state_search import Found, explore

PLAN = "p"
NEVER = Timeouts(
    heartbeat_timeout_ms=1e18, return_timeout_ms=1e18, canary_soak_ms=0.0
)  # what time does is a step of the model of its own


class Budget(NamedTuple):
    """How often each may still come."""

    deaths: int = 1
    takeovers: int = 1
    halts: int = 1
    lates: int = 1  # a member finds its ask too old
    passes: int = 0  # a coordinator has waited long enough for those whose turn it is


@dataclass(frozen=True, slots=True)
class Rules:
    """What the board and the planner check; each may be left out, to see that it is needed."""

    token: bool = True  # a writer under an older token is refused
    end: bool = True  # a coordinator's move needs the board as it was seen
    expects: bool = True  # a member's move needs its ticket, plan and epoch as they were seen
    unplanned: bool = True  # who is out without a ticket counts


class Waited(ChangeTracker):
    """Turns have stood for ever, all else has not."""

    def unchanged_ms(self, now: float, name: str) -> float:
        """See ``Watch``."""
        return inf if name.startswith("turn/") else 0.0


class Process(NamedTuple):
    """A member's process."""

    life: int = 1
    up: bool = True
    went: bool = False  # it is down by its ticket
    asked: int = 0  # the number of its last ask, 0 for none that counts
    numbers: int = 0
    pending: Move | None = None


class Model(NamedTuple):
    """One state. ``wrong`` says what did not hold at the last write."""

    records: tuple[Record, ...]
    next: int
    written: int  # the highest token that has written
    processes: tuple[Process, ...]
    coordinators: tuple[Coordinator, ...]
    budget: Budget
    wrong: str = ""


def start(size: int, most: int, budget: Budget) -> Model:
    """A fleet at rest, and a plan to restart all of it."""
    members = [Member(f"n{i}", 1, state=MemberState.READY, offset=i + 1) for i in range(size)]
    plan = Plan(PLAN, tuple(m.name for m in members), most, offset=size + 1)
    return Model((*members, plan), size + 2, 0, (Process(),) * size, (Coordinator(1),), budget)


def check(size: int, most: int, budget: Budget, rules: Rules = Rules(), bound: int = 400_000) -> Found[Model]:  # noqa: B008
    """Explore all of it."""

    def follow(model: Model) -> Iterator[tuple[str, Model]]:
        stuck = True
        for name, after in _follow(model, rules):
            stuck = False
            yield name, _ranked(after)
        stage = _view(model.records, model.next).plans[PLAN].stage
        if stuck and stage in ACTIVE_STAGES:
            yield "nobody can do anything", model._replace(wrong=f"the plan stays {stage.value} for good")

    return explore([start(size, most, budget)], follow, lambda model: model.wrong, bound)


@lru_cache(maxsize=4096)
def _view(records: tuple[Record, ...], next_: int) -> FleetView:
    seen = FleetView(next_)
    for record in records:
        seen.put(record)
    return seen


def _follow(model: Model, rules: Rules) -> Iterator[tuple[str, Model]]:
    seen, budget = _view(model.records, model.next), model.budget
    for i, one in enumerate(model.coordinators):
        if one.pending is None:
            known = seen if rules.unplanned else _planned_only(seen)
            move = planner.decide(known, f"c{i}", one.token, 0.0, ChangeTracker(), NEVER)
            if move is not None:
                yield (
                    f"c{i} decides: {move.description}",
                    with_coordinator(model, i, one._replace(pending=move)),
                )
            elif budget.passes:
                move = planner.decide(known, f"c{i}", one.token, 0.0, Waited(), NEVER)
                if move is not None:
                    spent = model._replace(budget=budget._replace(passes=budget.passes - 1))
                    after = with_coordinator(spent, i, one._replace(pending=move))
                    yield f"c{i} has waited: {move.description}", after
        else:
            yield f"c{i} writes: {one.pending.description}", _write(model, i, one.pending, rules)
    if budget.takeovers and len(model.coordinators) == 1:
        more = (*model.coordinators, Coordinator(2))
        yield (
            "another coordinator",
            model._replace(coordinators=more, budget=budget._replace(takeovers=budget.takeovers - 1)),
        )
    for i, process in enumerate(model.processes):
        yield from _member(model, i, process, seen, rules)
    plan = seen.plans[PLAN]
    if budget.halts and plan.stage is PlanStage.RUNNING:
        spent = model._replace(budget=budget._replace(halts=budget.halts - 1))
        for stage in (PlanStage.HALTED, PlanStage.ROLLING_BACK):
            yield f"the operator: {stage.value}", with_append(spent, (replace(plan, stage=stage),), ())


def _member(
    model: Model, i: int, process: Process, seen: FleetView, rules: Rules
) -> Iterator[tuple[str, Model]]:
    name, budget = f"n{i}", model.budget
    if not process.up:
        back = process._replace(life=process.life + 1, up=True, went=False, asked=0, numbers=0, pending=None)
        ready = Member(name, back.life, state=MemberState.READY)
        yield f"{name} is back", with_append(with_process(model, i, back), (ready,), ())
        known = seen.members[name]
        if known.state is MemberState.READY and known.incarnation == process.life:
            silent = replace(known, state=MemberState.SILENT)
            yield f"{name} is noticed to be out", with_append(model, (silent,), ())
        return
    if budget.deaths:
        spent = model._replace(budget=budget._replace(deaths=budget.deaths - 1))
        yield f"{name} dies", with_process(spent, i, process._replace(up=False, pending=None))
    if process.pending is not None:
        yield f"{name} writes: {process.pending.description}", _member_writes(model, i, process, seen, rules)
        return
    asked = SentRequest(PLAN, process.asked, 0.0) if process.asked else None
    part = Participant(name, process.life, 1.0, asked, process.numbers)
    for now in (0.0, 9.0) if budget.lates and asked else (0.0,):  # at 9 what it asked is too old
        trial = replace(part)
        move = trial.step(seen, now)
        if move is None:
            continue
        told = process._replace(
            asked=trial.last_request.request_number if trial.last_request else 0,
            numbers=trial.last_request_number,
            pending=move,
        )
        after = model._replace(budget=budget._replace(lates=budget.lates - 1) if now else budget)
        if not move.expected_offsets:  # an ask rests on nothing: when it is written makes no difference
            yield (
                f"{name} {move.description}",
                with_append(with_process(after, i, told._replace(pending=None)), move.records, ()),
            )
        else:
            yield f"{name} decides: {move.description}", with_process(after, i, told)


def _member_writes(model: Model, i: int, process: Process, seen: FleetView, rules: Rules) -> Model:
    move, after = process.pending, process._replace(pending=None)
    assert move is not None
    if rules.expects and any(seen.offset_of(k) != offset for k, offset in move.expected_offsets):
        return with_process(model, i, after)
    if move.description != GOES_OUT:
        return with_append(with_process(model, i, after), move.records, move.deleted_keys)
    out, plan = sum(p.went for p in model.processes), seen.plans[PLAN]
    wrong = f"{out + 1} are out by a ticket" if out + 1 > plan.max_out else ""
    if plan.stage not in (PlanStage.RUNNING, PlanStage.ROLLING_BACK):
        wrong = wrong or f"n{i} goes out while the plan is {plan.stage.value}"
    gone = with_process(model, i, after._replace(up=False, went=True))._replace(wrong=wrong)
    return with_append(gone, move.records, move.deleted_keys)


def _write(model: Model, i: int, move: Move, rules: Rules) -> Model:
    one = model.coordinators[i]
    model = with_coordinator(model, i, one._replace(pending=None))
    if rules.token and one.token < model.written or rules.end and move.expected_end != model.next:
        return model
    after = with_append(
        model._replace(written=max(model.written, one.token)), move.records, move.deleted_keys
    )
    granted = [w for w in move.records if isinstance(w, Ticket)]
    seen = _view(after.records, after.next)
    if granted and len(disruption_budget.members_out(seen)) > seen.plans[PLAN].max_out:
        return after._replace(wrong=f"{sorted(disruption_budget.members_out(seen))} are out or may go")
    return after


def _planned_only(seen: FleetView) -> FleetView:
    ready = {n: replace(m, state=MemberState.READY) for n, m in seen.members.items()}
    return replace(seen, members=ready)


def _ranked(model: Model) -> Model:
    """Offsets, lives and numbers of asks by rank: only whether they are the same, or which is later,
    matters.
    """
    pending = [p.pending for p in model.processes] + [c.pending for c in model.coordinators]
    moves = [move for move in pending if move is not None]
    records = [*model.records, *(w for move in moves for w in move.records)]
    offsets = {r.offset for r in records} | {0, model.next}
    for move in moves:
        offsets |= {move.expected_end or 0, *(offset for _, offset in move.expected_offsets)}
    rank = {offset: n for n, offset in enumerate(sorted(offsets))}
    lives, numbers = dict[str, dict[int, int]](), dict[str, dict[int, int]]()
    for i, p in enumerate(model.processes):
        mine = [r for r in records if isinstance(r, Member | TicketRequest | Ticket) and r.name == f"n{i}"]
        used = {p.life, *(r.incarnation for r in mine)}
        lives[f"n{i}"] = {life: n for n, life in enumerate(sorted(used), 1)}
        asks = {
            0,
            p.asked,
            p.numbers,
            *(r.request_number for r in mine if isinstance(r, TicketRequest | Ticket)),
        }
        numbers[f"n{i}"] = {number: n for n, number in enumerate(sorted(asks))}

    def record(r: Record) -> Record:
        r = replace(r, offset=rank[r.offset])
        if isinstance(r, Member):
            return replace(r, incarnation=lives[r.name][r.incarnation])
        if isinstance(r, TicketRequest | Ticket):
            return replace(
                r, incarnation=lives[r.name][r.incarnation], request_number=numbers[r.name][r.request_number]
            )
        return r

    def ranked(move: Move | None) -> Move | None:
        if move is None:
            return None
        return replace(
            move,
            records=tuple(record(w) for w in move.records),
            expected_end=None if move.expected_end is None else rank[move.expected_end],
            expected_offsets=tuple((k, rank[offset]) for k, offset in move.expected_offsets),
        )

    def process(i: int, p: Process) -> Process:
        n = numbers[f"n{i}"]
        return p._replace(
            life=lives[f"n{i}"][p.life], asked=n[p.asked], numbers=n[p.numbers], pending=ranked(p.pending)
        )

    return model._replace(
        records=tuple(record(r) for r in model.records),
        next=rank[model.next],
        processes=tuple(process(i, p) for i, p in enumerate(model.processes)),
        coordinators=tuple(c._replace(pending=ranked(c.pending)) for c in model.coordinators),
    )
