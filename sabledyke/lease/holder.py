"""One instance's side of one lease: when to look, take, renew, and until when it may act.

Told: ticks, answers and failures, each with the time on this instance's clock, and a draw for jitter. Never
knows: a socket, a database, whose clock differs. It is a function from state to state, so that the model
checker of the laboratory explores this very code. Safety: ``may_act`` holds for at most ``Times.acts`` from
before a grant or renewal was asked for. Liveness: back-off and looks come at least every ``Times.renew``.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from math import inf

from sabledyke.lease.types import (
    Ask,
    Granted,
    Look,
    Release,
    Renew,
    Renewed,
    Reply,
    Sight,
    Stamp,
    Take,
    Times,
)

BACK_OFF = 1 / 16  # of the renew interval: the first wait after a failure, doubled up to the whole of it


class Phase(Enum):
    """Where it stands."""

    WATCHING = "watching"
    HOLDING = "holding"
    ENDED = "ended"


class News(Enum):
    """What the log and the duty are told."""

    GRANTED = "granted"
    RENEWED = "renewed"
    LAPSED = "lapsed"  # not renewed in time: it stops acting, and goes on asking
    LOST = "lost"  # another holds it, or nobody
    RECALLED = "recalled"  # an operator wanted it given up
    RELEASED = "released"
    FENCED = "fenced"  # a resource knows a later token


@dataclass(slots=True, frozen=True)
class Send:
    """Ask the authority, and tell the answer under this number."""

    number: int
    ask: Ask


@dataclass(slots=True, frozen=True)
class State:
    """All that a holder knows; times are on its own clock."""

    me: str
    phase: Phase = Phase.WATCHING
    token: int = 0
    until: float = -inf  # may act before this
    acting: bool = False  # whether the duty was last told that it may
    stamp: Stamp | None = None  # the lease as last seen ...
    free: bool = False
    since: float = 0.0  # ... and since when it has stood so
    ttl: float = 0.0  # how long its holder may rely on it, as far as is known
    out: Ask | None = None  # what is being asked, under ``number``, since ``asked``
    number: int = 0
    asked: float = 0.0
    due: float = -inf  # when to ask next
    rests: float = -inf  # takes nothing before: it was recalled
    misses: int = 0  # failures in a row


Step = tuple[State, list[Send], list[News]]


def may_act(state: State, now: float) -> bool:
    """May it act at this moment? To be asked before every step of a duty, never remembered."""
    return state.phase is Phase.HOLDING and now < state.until


def alarm(state: State, times: Times) -> float:
    """When it must be ticked next, if nothing comes before; inf for never."""
    if state.phase is Phase.ENDED:
        return inf
    ask = state.asked + times.renew if state.out is not None else state.due
    return min(ask, state.until) if state.acting else ask


def tick(state: State, times: Times, now: float, draw: float) -> Step:
    """Time has passed. ``draw`` in [0, 1) spreads what all instances do."""
    news: list[News] = []
    if state.acting and not may_act(state, now):
        state = replace(state, acting=False)
        news.append(News.LAPSED)
    if state.phase is Phase.ENDED:
        return state, [], news
    if state.out is not None:
        if now < state.asked + times.renew:
            return state, [], news
        state = _missed(state, times, now, draw)
    if now < state.due:
        return state, [], news
    ask: Ask
    if state.phase is Phase.HOLDING and not -inf < state.until <= now:
        ask = Renew(state.token)
    elif state.phase is Phase.HOLDING:
        # Guards against one that is heard and hears nothing: renewed, the lease would be nobody's to use.
        ask = Look()
    elif state.stamp is not None and _stands_free(state, times, now):
        ask = Take(state.stamp)
    else:
        ask = Look()
    state, sends = _send(state, ask, now)
    return state, sends, news


def answered(state: State, times: Times, now: float, number: int, reply: Reply, draw: float) -> Step:
    """The authority's answer to what was asked under this number.

    A late one of something given up is moot.
    """
    ask = state.out
    if ask is None or number != state.number or state.phase is Phase.ENDED:
        return state, [], []
    state = replace(state, out=None, misses=0)
    match ask, reply:
        case Take(), Granted(token):
            return _held(replace(state, token=token), times, now)
        case Renew(), Renewed(recalled):
            if recalled:
                return _given_up(state, times, now, News.RECALLED)
            return _held(state, times, now)
        case _, Sight():
            return _seen(state, times, now, reply, draw)
    return _missed(state, times, now, draw), [], []  # an answer to something else: as good as none


def failed(state: State, times: Times, now: float, number: int, draw: float) -> Step:
    """What was asked under this number got no answer: it may have been done all the same."""
    if state.out is None or number != state.number:
        return state, [], []
    return _missed(state, times, now, draw), [], []


def stop(state: State, now: float) -> Step:
    """This instance ends: it stops acting at once, and gives up what it holds."""
    ended = replace(state, phase=Phase.ENDED, until=-inf, acting=False, out=None)
    if state.phase is not Phase.HOLDING:
        return ended, [], []
    ended, sends = _send(ended, Release(state.token), now)
    return ended, sends, [News.RELEASED]


def fenced(state: State, times: Times, now: float, token: int) -> Step:
    """A resource refused this token for an older one: whatever is believed here, it may not be acted under.

    It gives the lease up, so that the next token is higher, also where the authority went back in time.
    """
    if state.phase is not Phase.HOLDING or state.token != token:
        return state, [], []
    return _given_up(state, times, now, News.FENCED)


def _stands_free(state: State, times: Times, now: float) -> bool:
    """It was free, or has stood still for a whole lease on this clock (where nobody else counts it out)."""
    still = not times.counts and now - state.since >= _wait(state, times)
    return now >= state.rests and (state.free or still)


def _wait(state: State, times: Times) -> float:
    """Its holder's time where that is longer: settings reach the instances of a fleet one after the other."""
    return max(times.ttl, state.ttl)


def _send(state: State, ask: Ask, now: float) -> tuple[State, list[Send]]:
    state = replace(state, out=ask, number=state.number + 1, asked=now)
    return state, [Send(state.number, ask)]


def _missed(state: State, times: Times, now: float, draw: float) -> State:
    wait = min(times.renew, times.renew * BACK_OFF * 2**state.misses)
    return replace(state, out=None, misses=min(state.misses + 1, 16), due=now + wait * (0.5 + draw / 2))


def _held(state: State, times: Times, now: float) -> Step:
    """Held from before it was asked for: the answer may have been long on its way."""
    news = News.RENEWED if state.acting else News.GRANTED  # also where it had lapsed, and nobody took it
    until = state.asked + times.acts
    due = max(now, min(state.asked + times.renew, until))
    state = replace(state, phase=Phase.HOLDING, until=until, due=due, stamp=None)
    return replace(state, acting=now < until), [], [news] if now < until else []


def _given_up(state: State, times: Times, now: float, why: News) -> Step:
    """It stops first; and others have a whole lease's time to take it."""
    token = state.token
    state = replace(state, phase=Phase.WATCHING, until=-inf, acting=False, stamp=None, free=False)
    state, sends = _send(replace(state, rests=now + times.ttl), Release(token), now)
    return state, sends, [why]


def _seen(state: State, times: Times, now: float, sight: Sight, draw: float) -> Step:
    if sight.holder == state.me and not sight.free:
        # Guards against a grant whose answer was lost: nobody else would take it for a whole lease. It is
        # not acted on before a renewal, as when it was granted is not known.
        state = replace(state, phase=Phase.HOLDING, token=sight.stamp[0], until=-inf, due=now, stamp=None)
        return replace(state, acting=False), [], []
    news = [News.LOST] if state.phase is Phase.HOLDING else []
    since = state.since if sight.stamp == state.stamp else now
    state = replace(state, ttl=sight.ttl)
    due = now + times.renew * (0.5 + draw / 2)
    if sight.free and now >= state.rests:
        due = now + draw * times.renew / 8
    elif not times.counts:
        due = max(now, min(due, since + _wait(state, times)))
    state = replace(
        state,
        phase=Phase.WATCHING,
        until=-inf,
        acting=False,
        stamp=sight.stamp,
        free=sight.free,
        since=since,
        due=due,
    )
    return state, [], news
