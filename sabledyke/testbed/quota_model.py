"""Shares of a limit in virtual time: members, their registers, and all that may come between them, by chance.

The members are ``fleet.shares`` itself. Looks and writes take time; a write takes effect at any moment until
its answer, or long after it was given up, or never, but only over the word it rests on; answers get lost;
members stand still, and die and come back as new lives; clocks run fast or slow within the bound. Demands
jump. What must hold at every moment: what all processes together take of a volume beyond their floors is at
most all of it. Deterministic from its seed; no clock, socket or file.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

from sabledyke.quota_sharing.allocation import Demands, QuotaAllocator, QuotaPolicy, Timing

VOLUME = 7
SAMPLE = 7.0  # ms between looks at the sum


@dataclass(slots=True, frozen=True)
class Rules:
    """What a member keeps to; each may be left out, to see that it is needed."""

    window: bool = True  # the least it told and the most that others did over a window, not the last
    gap: bool = True  # who has not looked for long takes its floor alone
    hold: bool = True  # who is not heard takes its floor alone by the time that others give it up
    sure: bool = True  # a new life waits until a former one's share is certainly over
    rests: bool = True  # a word is written only over the one it rests on


@dataclass(slots=True, frozen=True)
class Found:
    """The most that was taken at once, of 1; and the mean of what could have been."""

    most: float
    mean: float


@dataclass(slots=True)
class _Cell:
    """A register as it stands."""

    life: int = 1
    number: int = 0
    demands: Demands = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class _Member:
    """A process."""

    name: str
    rate: float
    shares: QuotaAllocator
    life: int = 1
    number: int = 0
    known: int = 0  # the number of the word that stands, as it knows
    known_at: float = 0.0  # on its clock
    up: bool = True
    still: float = 0.0  # it stands still until then
    busy: bool = False  # a write waits for its answer
    demand: float = 0.0


class Model:
    """One run."""

    def __init__(self, seed: int, size: int = 4, rules: Rules = Rules(), faults: float = 1.0) -> None:  # noqa: B008
        self._random, self._rules, self._faults = Random(seed), rules, faults
        self.now, self._due, self._order = 0.0, list[tuple[float, int, Callable[[], None]]](), count()
        self._policy, self._times = QuotaPolicy(size), Timing()
        self._cells = {f"n{i}": _Cell() for i in range(size)}
        rates = [1 + self._random.uniform(-0.02, 0.02) for _ in range(size)]
        self._members = [_Member(n, r, self._shares()) for n, r in zip(self._cells, rates, strict=True)]
        for member in self._members:
            self._at(self._random.random() * 100, partial(self._turn, member, member.life))
            self._at(0.0, partial(self._jump, member))
            self._at(self._random.random() * 4000, partial(self._break, member))

    def _shares(self) -> QuotaAllocator:
        made = _Lax(self._policy, self._times)
        made.rules = self._rules
        return made

    def run(self, length: float) -> Found:
        """So many ms."""
        most, total, samples, next_ = 0.0, 0.0, 0, 0.0
        while next_ < length:
            while self._due and self._due[0][0] <= next_:
                self.now, _, what = heappop(self._due)
                what()
            self.now = next_
            taken = sum(self._taken(m) for m in self._members if m.up and self.now >= m.still)
            most, total, samples = max(most, taken), total + taken, samples + 1
            next_ += SAMPLE
        return Found(most, total / samples)

    def _taken(self, member: _Member) -> float:
        part = member.shares.share_of(VOLUME, self._clock(member))
        return (part - self._policy.floor_fraction / self._policy.members) / (1 - self._policy.floor_fraction)

    def _clock(self, member: _Member) -> float:
        return self.now * member.rate

    def _at(self, after: float, what: Callable[[], None]) -> None:
        heappush(self._due, (self.now + after, next(self._order), what))

    def _jump(self, member: _Member) -> None:
        """Its clients come and go."""
        member.demand = self._random.choice([0.0, 1.0, 10.0, 100.0, 1000.0])
        self._at(self._random.expovariate(1 / 1500.0), partial(self._jump, member))

    def _break(self, member: _Member) -> None:
        """It stands still for a while, or dies and comes back."""
        if self._random.random() < 0.5:
            member.still = self.now + self._random.choice([300.0, 1500.0, 2600.0, 5000.0])
        else:
            member.life, member.up, member.busy = member.life + 1, False, False
            life = member.life
            self._at(self._random.choice([50.0, 300.0, 3000.0]), partial(self._again, member, life))
        self._at(self._random.expovariate(self._faults / 12_000.0), partial(self._break, member))

    def _again(self, member: _Member, life: int) -> None:
        if member.life == life:
            cell = self._cells[member.name]
            cell.life = life  # its claim: nothing of a former life is written any more
            member.shares, member.up, member.known = self._shares(), True, 0
            member.known_at, member.number = self._clock(member), cell.number
            self._turn(member, life)

    def _turn(self, member: _Member, life: int) -> None:
        """A look now and then, and a write once it is time."""
        if member.life != life:
            return
        if self.now < member.still:
            self._at(member.still - self.now, partial(self._turn, member, life))
            return
        slow = 150.0 if self._random.random() < 0.9 else 500.0
        began, took = self._clock(member), self._random.choice([1.0, 5.0, 20.0, slow])
        found: dict[str, tuple[int, Demands]] = {}
        for name in self._cells:
            self._at(self._random.random() * took, partial(self._read, name, found))
        self._at(took, partial(self._looked, member, life, began, found))

    def _read(self, name: str, found: dict[str, tuple[int, Demands]]) -> None:
        found[name] = self._cells[name].number, self._cells[name].demands

    def _looked(
        self, member: _Member, life: int, began: float, found: dict[str, tuple[int, Demands]]
    ) -> None:
        if member.life != life:
            return
        if self.now < member.still:
            self._at(member.still - self.now, partial(self._looked, member, life, began, found))
            return
        now = self._clock(member)
        mine = found.pop(member.name)[0]
        if mine >= member.known and mine:
            if mine != member.known:
                member.known, member.known_at = mine, now
            member.shares.on_published(mine, now)
        member.shares.on_poll(began, now, found)
        if not member.busy and now - member.known_at >= self._times.beat_ms:
            self._write(member, life)
        self._at(self._times.max_poll_gap_ms / 3, partial(self._turn, member, life))

    def _write(self, member: _Member, life: int) -> None:
        member.number += 1
        number, told, rests = member.number, {VOLUME: member.demand}, member.known
        member.shares.on_publishing(number, told, self._clock(member), rests)
        fate, took = self._random.random(), self._random.choice([1.0, 5.0, 60.0])
        done = [False]

        def take() -> None:
            cell = self._cells[member.name]
            if cell.life == life and (cell.number == rests or not self._rules.rests):
                cell.number, cell.demands, done[0] = number, told, True

        def answer() -> None:
            if member.life != life:
                return
            member.busy = False
            if done[0]:
                member.known, member.known_at = number, self._clock(member)
                member.shares.on_published(number, self._clock(member))
            else:
                member.shares.on_rejected(number)

        def lost() -> None:
            if member.life == life:
                member.busy = False

        member.busy = True
        if fate < 0.8:
            self._at(took * self._random.random(), take)
            self._at(took, answer)
        else:  # no answer; it is done soon, late, or not at all
            if fate < 0.95:
                self._at(self._random.choice([took, 700.0, 2500.0]), take)
            self._at(1000.0, lost)


class _Lax(QuotaAllocator):
    """Keeps to some of its rules."""

    rules = Rules()

    def _polls_in_time(self, now_ms: float) -> bool:
        return not self.rules.gap or super()._polls_in_time(now_ms)

    def _is_known_to_all(self, now_ms: float) -> bool:
        return not self.rules.sure or super()._is_known_to_all(now_ms)

    def _is_confirmed(self, now_ms: float) -> bool:
        return not self.rules.hold or super()._is_confirmed(now_ms)

    def _demand_share(self, volume: int, now_ms: float) -> float:
        if self.rules.window:
            return super()._demand_share(volume, now_ms)
        own = self._publications[-1].demands.get(volume, 0.0)  # what was published last, and seen last
        others = sum(other.seen[-1][1].get(volume, 0.0) for other in self._sharing_members(now_ms))
        return own / (own + others) if own else 0.0
