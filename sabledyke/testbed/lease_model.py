"""Holders and authority of a lease as a model: every order of faults that a small fleet can meet.

The holders are ``lease.holder`` itself, not a copy of it. Time goes in ticks; in each, a slow clock counts
``SLOW`` and a fast one ``FAST``, the worst that the bound on rates allows. Messages may be late for any time,
cross each other or get lost; a process may stand still, or die and come back as a new life; the authority may
start anew. Budgets bound how often each fault comes, which makes the states finite; lateness costs nothing.

States are kept as what can still matter: times relative to now, and tokens and beats by rank; of states that
differ in nothing but who is who among processes of one rate, one is kept. What must hold: no two processes
are in their acting state at once, and who acts has the highest token of all that hold one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from dataclasses import replace as changed
from functools import partial
from itertools import permutations, product
from math import ceil, inf
from typing import NamedTuple

from sabledyke.lease import holder
from sabledyke.lease.holder_state import HolderState, Phase, SendRequest
from sabledyke.lease.types import (
    UNACQUIRED,
    Acquire,
    Granted,
    Inspect,
    LeaseReply,
    LeaseRequest,
    LeaseStatus,
    LeaseTimes,
    LeaseVersion,
    Release,
    Renew,
    Renewed,
)
from sabledyke.testbed.state_search import Found, explore, explore_wide

SLOW, FAST = 1, 2
DRIFT = (FAST - SLOW) / (FAST + SLOW)  # rates of 1 and 2 are 1.5, less and more this part of it
TIMES = LeaseTimes(ttl_ms=4, renew_interval_ms=2, safety_margin_ms=0, max_clock_drift=DRIFT)
FAR = 64.0  # times further off than this count alike


class Budget(NamedTuple):
    """How often each fault may still come."""

    losses: int = 1
    late: int = 1  # asks that arrive after their process gave them up
    pauses: int = 1
    deaths: int = 1
    restarts: int = 1


class Message(NamedTuple):
    """On its way between a process and the authority; a reply to what was given up is dropped at once."""

    who: int
    incarnation: str
    current: bool  # it is what the process still waits for
    what: LeaseRequest | LeaseReply


class Process(NamedTuple):
    """One instance, its clock at 0."""

    state: HolderState
    rate: int
    paused: bool = False


class World(NamedTuple):
    """A state of the whole."""

    processes: tuple[Process, ...]
    stamp: LeaseVersion  # the lease at the authority
    by: str  # its holder there
    left: float  # until an authority that counts lets it go
    flying: tuple[Message, ...]
    budget: Budget


@dataclass(slots=True, frozen=True)
class Setup:
    """What is explored: clocks' rates, the authority's kind and rate, and faults. ``most`` bounds states."""

    rates: tuple[int, ...] = (SLOW, FAST, FAST)
    counts: bool = False
    rate: int = FAST  # of the authority's clock
    times: LeaseTimes = TIMES
    budget: Budget = Budget()
    most: int = 30_000_000


def check(setup: Setup, wide: bool = False) -> Found[World]:
    """Explore it all; ``wide``: on all cores."""
    times = changed(setup.times, authority_tracks_expiry=setup.counts)
    setup = changed(setup, times=times)
    processes = tuple(Process(HolderState(str(i)), rate) for i, rate in enumerate(setup.rates))
    start = World(processes, UNACQUIRED, "", 0.0, (), setup.budget)
    search = explore_wide if wide else explore
    return search([start], partial(_follow, setup), _broken, setup.most)


def _broken(world: World) -> str:
    acting = [p.state for p in world.processes if not p.paused and holder.may_act(p.state, 0.0)]
    if len(acting) > 1:
        return f"{' and '.join(state.holder_id for state in acting)} act at once"
    held = max((p.state.token for p in world.processes if p.state.phase is Phase.HOLDING), default=0)
    older = bool(acting) and acting[0].token < held
    return f"{acting[0].holder_id} acts under a token older than another's" if older else ""


def _follow(setup: Setup, world: World) -> Iterator[tuple[str, World]]:
    yield "a tick", _tidy(_tick(setup, world))
    budget = world.budget
    for i, message in enumerate(world.flying):
        rest = world._replace(flying=world.flying[:i] + world.flying[i + 1 :])
        if isinstance(message.what, Inspect | Acquire | Renew | Release):
            yield f"{message.who}'s {message.what} arrives", _tidy(_serve(setup, rest, message))
        elif not world.processes[message.who].paused:
            yield f"{message.who} hears {message.what}", _tidy(_hear(setup, rest, message))
        if budget.losses:
            yield (
                f"{message.who}'s {message.what} is lost",
                _tidy(rest._replace(budget=budget._replace(losses=budget.losses - 1))),
            )
    for i, process in enumerate(world.processes):
        if process.paused:
            yield f"{i} goes on", _tidy(_ticked(setup, _put(world, i, process._replace(paused=False)), i))
        elif budget.pauses:
            still = _put(world, i, process._replace(paused=True))
            yield f"{i} stands still", _tidy(still._replace(budget=budget._replace(pauses=budget.pauses - 1)))
        if budget.deaths:
            yield f"{i} dies and comes back", _tidy(_die(world, i))
    if budget.restarts and setup.counts:
        # etcd, as published: who leads anew gives every lease its whole time again.
        anew = world._replace(left=setup.times.ttl_ms, budget=budget._replace(restarts=budget.restarts - 1))
        yield "the authority starts anew", _tidy(anew)


def _tick(setup: Setup, world: World) -> World:
    """All clocks go on, those of processes that stand still too; who is awake and due asks."""
    processes = tuple(p._replace(state=_shift(p.state, p.rate)) for p in world.processes)
    left = world.left - setup.rate if setup.counts and world.by else 0.0
    world = world._replace(processes=processes, left=left)
    if setup.counts and world.by and left <= 0:
        world = world._replace(by="", stamp=LeaseVersion(world.stamp[0], world.stamp[1] + 1), left=0.0)
    for i, process in enumerate(processes):
        if not process.paused:
            world = _ticked(setup, world, i)
    return world


def _ticked(setup: Setup, world: World, who: int) -> World:
    state, sends, _ = holder.on_tick(world.processes[who].state, setup.times, 0.0, 0.0)
    return _sent(world, who, state, sends)


def _hear(setup: Setup, world: World, message: Message) -> World:
    who, what = message.who, message.what
    assert isinstance(what, LeaseStatus | Granted | Renewed)
    state = world.processes[who].state
    state, sends, _ = holder.on_reply(state, setup.times, 0.0, state.request_number, what, 0.0)
    world = _sent(world, who, state, sends)
    return _ticked(setup, world, who)


def _sent(world: World, who: int, state: HolderState, sends: list[SendRequest]) -> World:
    flying, budget = list(world.flying), world.budget
    if state.pending_request is None or sends:  # what it waited for before is waited for no more
        flying = [m for m in flying if m.who != who or not m.current or budget.late]
        if any(m.who == who and m.current for m in flying):
            budget = budget._replace(late=budget.late - 1)
        flying = [m._replace(current=m.current and m.who != who) for m in flying]
    flying += [
        Message(who, state.holder_id, state.pending_request is not None, send.request) for send in sends
    ]
    world = world._replace(flying=tuple(flying), budget=budget)
    return _put(world, who, world.processes[who]._replace(state=state))


def _serve(setup: Setup, world: World, message: Message) -> World:
    """What the authority makes of an ask, in one step."""
    token, beat = world.stamp
    mine = world.by == message.incarnation
    reply: LeaseReply = LeaseStatus(world.stamp, world.by, not world.by)
    match message.what:
        case Acquire(stamp) if stamp == world.stamp and (not setup.counts or not world.by):
            granted = LeaseVersion(token + 1, 0)
            world = world._replace(stamp=granted, by=message.incarnation, left=setup.times.ttl_ms)
            reply = Granted(world.stamp[0])
        case Renew(number) if mine and number == token:
            # An authority that counts keeps the stamp of a lease while it is held.
            stamp = world.stamp if setup.counts else LeaseVersion(token, beat + 1)
            world, reply = world._replace(stamp=stamp, left=setup.times.ttl_ms), Renewed()
        case Release(number) if mine and number == token:
            world = world._replace(stamp=LeaseVersion(token, beat + 1), by="", left=0.0)
            reply = LeaseStatus(world.stamp, "", True)
    if not message.current:
        return world
    return world._replace(flying=(*world.flying, message._replace(what=reply)))


def _die(world: World, who: int) -> World:
    """It comes back at once, as a new life that knows nothing; what it sent is still on its way."""
    process = world.processes[who]
    lives = {p.state.holder_id for p in world.processes} | {m.incarnation for m in world.flying} | {world.by}
    me = next(name for name in (f"{who}{'+' * n}" for n in range(1, 9)) if name not in lives)
    flying = tuple(m._replace(current=m.current and m.who != who) for m in world.flying)
    world = world._replace(flying=flying, budget=world.budget._replace(deaths=world.budget.deaths - 1))
    return _put(world, who, Process(HolderState(me), process.rate))


def _put(world: World, who: int, process: Process) -> World:
    processes = list(world.processes)
    processes[who] = process
    return world._replace(processes=tuple(processes))


def _shift(state: HolderState, by: float) -> HolderState:
    """The same, with its clock ``by`` later and at 0 again."""

    def to(at: float) -> float:
        return max(at - by, -FAR)

    return HolderState(
        state.holder_id,
        state.phase,
        state.token,
        to(state.acts_until_ms) if state.acts_until_ms > -inf else -inf,
        state.acting,
        state.seen_version,
        state.seen_free,
        to(state.unchanged_since_ms),
        state.seen_ttl_ms,
        state.pending_request,
        state.request_number,
        to(state.requested_at_ms),
        to(state.next_request_at_ms) if state.next_request_at_ms > -inf else -inf,
        state.acquire_not_before_ms,
        state.consecutive_failures,
    )


def _on_their_way(world: World) -> tuple[Message, ...]:
    """What can still have an effect: of what a process gave up, its newest ask alone, and no question."""
    out: dict[tuple[int, bool], Message] = {}
    for message in world.flying:
        if message.current or isinstance(message.what, Acquire | Renew | Release):
            out[message.who, message.current] = message
    return tuple(out[key] for key in sorted(out))


def _tidy(world: World) -> World:
    """Its canonical form: what has no effect any more is gone, stamps stand by rank."""
    flying = _on_their_way(world)
    stamps = {UNACQUIRED, world.stamp}
    for process in world.processes:
        stamps |= {process.state.seen_version} if process.state.seen_version else set()
        stamps |= {LeaseVersion(process.state.token, 0)} if process.state.phase is Phase.HOLDING else set()
    for message in flying:
        match message.what:
            case Acquire(stamp) | LeaseStatus(stamp):
                stamps.add(stamp)
            case Renew(token) | Release(token) | Granted(token):
                stamps.add(LeaseVersion(token, 0))
    tokens = {token: i for i, token in enumerate(sorted({t for t, _ in stamps}))}
    beats: dict[int, list[int]] = {}
    for token, beat in sorted(stamps):
        beats.setdefault(token, []).append(beat)

    def rank(stamp: LeaseVersion) -> LeaseVersion:
        return LeaseVersion(tokens[stamp[0]], beats[stamp[0]].index(stamp[1]))

    def told(what: LeaseRequest | LeaseReply) -> LeaseRequest | LeaseReply:
        match what:
            case Acquire(stamp):
                return Acquire(rank(stamp))
            case LeaseStatus(stamp):
                return changed(what, version=rank(stamp))
            case Renew(token):
                return Renew(tokens[token])
            case Release(token):
                return Release(tokens[token])
            case Granted(token):
                return Granted(tokens[token])
        return what

    def kept(process: Process) -> Process:
        """Figures that its phase does not read are put at rest, and times at the ticks they matter at."""
        state, rate = process.state, process.rate
        holding, out = state.phase is Phase.HOLDING, state.pending_request
        acts = holding and state.acts_until_ms > 0
        return Process(
            HolderState(
                state.holder_id,
                state.phase,
                tokens[state.token] if holding else 0,
                _ticks(state.acts_until_ms, rate) if acts else min(state.acts_until_ms, -FAR),
                acts,
                rank(state.seen_version) if state.seen_version else None,
                state.seen_free,
                _plain(max(state.unchanged_since_ms, -TIMES.ttl_ms)) if state.seen_version else 0.0,
                0.0,
                told(out) if out is not None else None,  # type: ignore[arg-type]
                0,
                _plain(state.requested_at_ms) if out is not None else 0.0,
                0.0 if out is not None else _ticks(max(state.next_request_at_ms, 0.0), rate),
            ),
            rate,
            process.paused,
        )

    made = World(
        tuple(kept(p) for p in world.processes),
        rank(world.stamp),
        world.by,
        _plain(world.left) if world.by else 0.0,
        tuple(Message(m.who, m.incarnation, m.current, told(m.what)) for m in flying),
        world.budget,
    )
    return _alike(made)


def _alike(world: World) -> World:
    """Of those that differ only by who is who among processes of one rate, the one in which these stand in
    the order of their figures; of those that have the same, the first by its text.
    """
    rates = [p.rate for p in world.processes]
    if len(set(rates)) == len(rates):
        return world
    figures = [_figures(world, i) for i in range(len(rates))]
    if len({*zip(rates, figures, strict=True)}) < len(rates):
        orders = [o for o in permutations(range(len(rates))) if [rates[i] for i in o] == rates]
        return min((_renamed(world, o) for o in orders), key=repr)
    left = {rate: iter(sorted((f, i) for i, f in enumerate(figures) if rates[i] == rate)) for rate in rates}
    order = tuple(next(left[rate])[1] for rate in rates)
    return world if order == tuple(range(len(rates))) else _renamed(world, order)


def _figures(world: World, i: int) -> tuple[object, ...]:
    """What a state says of one process, whatever place it has, in a form that can be sorted."""
    s, paused = world.processes[i].state, world.processes[i].paused
    told = tuple((m.current, m.incarnation.count("+"), *_plainly(m.what)) for m in world.flying if m.who == i)
    mine = world.by.count("+") if world.by.rstrip("+") == str(i) else -1
    return (
        paused,
        s.holder_id.count("+"),
        s.phase.value,
        s.token,
        s.acts_until_ms,
        s.acting,
        s.seen_version or (-1, -1),
        s.seen_free,
        s.unchanged_since_ms,
        s.requested_at_ms,
        s.next_request_at_ms,
        _plainly(s.pending_request),
        told,
        mine,
    )


def _plainly(what: LeaseRequest | LeaseReply | None) -> tuple[str, tuple[int, ...]]:
    """A message without the names in it."""
    match what:
        case Acquire(stamp):
            return "take", stamp
        case LeaseStatus(stamp, _, free):
            return "sight", (*stamp, free)
        case Renew(token) | Release(token) | Granted(token):
            return type(what).__name__, (token,)
        case Renewed(recalled):
            return "renewed", (recalled,)
    return type(what).__name__, ()


def _renamed(world: World, order: tuple[int, ...]) -> World:
    """Process ``order[i]`` in the place of ``i``; lives are called by the place they are in."""
    place = {old: new for new, old in enumerate(order)}

    def life(name: str) -> str:
        plain = name.rstrip("+")
        return f"{place[int(plain)]}{name[len(plain):]}" if name else ""

    processes = (world.processes[old] for old in order)
    flying = [
        Message(place[m.who], life(m.incarnation), m.current, _told(m.what, life)) for m in world.flying
    ]
    return world._replace(
        processes=tuple(
            p._replace(state=changed(p.state, holder_id=life(p.state.holder_id))) for p in processes
        ),
        by=life(world.by),
        flying=tuple(sorted(flying, key=lambda m: (m.who, m.current))),
    )


def _told(what: LeaseRequest | LeaseReply, life: Callable[[str], str]) -> LeaseRequest | LeaseReply:
    return changed(what, holder=life(what.holder)) if isinstance(what, LeaseStatus) else what


def _plain(time: float) -> float:
    """The same figure, as the same text: 4.0 for 4, and no -0.0."""
    return float(time) + 0.0


def _ticks(time: float, rate: int) -> float:
    """When a clock of this rate shows at least so much, in its own units: it goes on by ticks."""
    return float(ceil(round(time / rate, 6)) * rate)


def describe(found: Found[World]) -> list[str]:
    """A trace, a line a step: who acts, until when, and how the lease stands."""
    lines = []
    for step, world in found.trace:
        who = ", ".join(
            f"{p.state.holder_id}{' paused' if p.paused else ''} {p.state.phase.value}"
            + (f" until {p.state.acts_until_ms:.0f}" if holder.may_act(p.state, 0.0) else "")
            for p in world.processes
        )
        lines.append(f"{step}: {who}; the lease is {world.by or 'nobody'}'s, {tuple(world.stamp)}")
    return [*lines, found.broken] if found.broken else lines


def _one(which: str, times: int = 1) -> Budget:
    return Budget(**{name: times * (name == which) for name in Budget._fields})


# Small fleets, each explored whole: two processes with every fault by itself, three without and with one.
PAIRS = [
    Setup((SLOW, FAST), counts, budget=_one(fault))
    for counts, fault in product((False, True), Budget._fields)
    if counts or fault != "restarts"  # a row in a database does not change when that starts anew
]
THREES = [
    Setup((SLOW, FAST, FAST), counts, budget=_one(fault))
    for counts, fault in product((False, True), ("none", *Budget._fields))
    if counts or fault != "restarts"
]
UNBOUND = LeaseTimes(
    ttl_ms=TIMES.ttl_ms, renew_interval_ms=TIMES.renew_interval_ms, safety_margin_ms=0, max_clock_drift=0
)  # a holder that trusts its clock
