"""Parts of a volume's limit and reserve among a fleet's members: by demand, and never more than all of it.

Told: the demands that this member wrote and may have written, scans of what all have told, and the time on
its own clock. Gives this member's part. Knows no board, no socket and no clock; clocks are never compared.

Every member keeps ``floor / members`` for itself, whatever happens. The rest goes by demand: a member counts
its own demand at the least that it may have told of late, and each other's at the most. What each member
takes so is at most its share at one moment that lies in everybody's window, and shares at one moment add up
to one. For that moment to be there a member changes what it tells at most once in ``beat``, from when the
last was known to stand, and looks oftener (``gap``, less than ``beat`` by the bound on rates); who has not
looked for ``gap``, or not been heard for ``hold``, takes its floor alone, and counts for the others until
that is certain. Source: the lease's own argument (Gray and Cheriton, 'Leases', SOSP 1989) on demands in place
of files; dmClock (Gulati et al., OSDI 2010) for shares that follow what was asked elsewhere.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

Demands = Mapping[int, float]  # by volume, units a second
MOST_TOLD = 256  # volumes that one member tells of
TOPIC = "shares"  # of the board's, whose registers they tell it in
NOTHING: Demands = {}
NEVER = -1e18


@dataclass(slots=True, frozen=True)
class Times:
    """Milliseconds on the clock of whoever counts them; rates of clocks differ by ``drift`` at most."""

    beat: float = 500.0  # between changes of what a member tells
    drift: float = 0.02

    @property
    def gap(self) -> float:
        """A member looks at least so often, from before a look to after the next, or keeps to its floor."""
        return 0.9 * self.beat * (1 - self.drift) / (1 + self.drift)

    @property
    def window(self) -> float:
        """For how long what was seen or told still counts."""
        return 3 * self.gap * (1 + self.drift) / (1 - self.drift)

    @property
    def hold(self) -> float:
        """A member takes more than its floor for so long after what it told last was known to stand."""
        return 4 * self.beat

    @property
    def dead(self) -> float:
        """A member whose word has stood still for so long, by another's looks, takes its floor alone."""
        return self.hold * (1 + self.drift) / (1 - self.drift)


@dataclass(slots=True, frozen=True)
class Policy:
    """``floor`` of all is divided evenly among ``members``, at the most that there may be."""

    members: int
    floor: float = 0.2


@dataclass(slots=True)
class _Word:
    """What this member told, or may have told: written from ``began`` on, over the word ``rests``."""

    number: int
    demands: Demands
    began: float
    rests: int
    ended: float | None = None  # by when it was known not to stand any more


@dataclass(slots=True)
class _Other:
    """What was seen of another member: its words, each with when it was last seen to stand."""

    number: int
    since: float  # by when this number was first seen
    words: deque[tuple[float, Demands]] = field(default_factory=deque)


class Shares:
    """One life of a member. Bounded: the words of one window for each member, ``MOST_TOLD`` volumes each."""

    def __init__(self, policy: Policy, times: Times = Times()) -> None:  # noqa: B008
        self.policy, self.times = policy, times
        self._words = deque([_Word(0, NOTHING, NEVER, 0)])  # what a former life told is unknown
        self._others: dict[str, _Other] = {}
        self._stands = NEVER  # from before the last word that was known to stand was written
        self._sure = -NEVER  # from when on all others know of this life
        self._looked = NEVER  # from before the last look
        self._in_time = -NEVER  # since when looks have come in time
        self._parts: dict[int, float] = {}  # as they follow from all of this, by volume

    def tell(self, number: int, demands: Demands, began: float, rests: int) -> None:
        """This is about to be written, only where ``rests`` still stands: it may stand from now on."""
        self._words.append(_Word(number, demands, began, rests))
        self._parts.clear()

    def stands(self, number: int, now: float) -> None:
        """This word of ours stands, as an answer or a look says; what rested on an earlier one never will."""
        word = next((word for word in self._words if word.number == number and number), None)
        if word is None:
            return  # a former life's
        for before in self._words:
            if before.number < number and before.ended is None:
                before.ended = now
        self._words = deque(w for w in self._words if w.number <= number or w.rests == number)
        if self._stands == NEVER:
            self._sure = now + max(self.times.dead, self.times.window)  # a former life may still share
        elif now - self._stands > self.times.hold:
            self._sure = now + self.times.window  # others may have given it up
        self._stands = max(self._stands, word.began)
        self._parts.clear()

    def fails(self, number: int) -> None:
        """This word was certainly not written, and never will be."""
        self._words = deque(word for word in self._words if word.number != number)
        self._parts.clear()

    def look(self, began: float, now: float, found: Mapping[str, tuple[int, Demands]]) -> None:
        """What the others tell, each with a number that changes with every word of it."""
        if now - self._looked > self.times.gap:
            self._in_time = began
        self._looked = began
        for name, (number, told) in found.items():
            other = self._others.get(name)
            if other is None:
                other = self._others[name] = _Other(number, now)
            elif other.number != number:
                other.number, other.since = number, now
            if other.words and other.words[-1][1] == told:
                other.words.pop()
            other.words.append((now, told))
        for name in [name for name in self._others if name not in found]:
            del self._others[name]  # an operator said that it is gone
        late = now - self.times.window
        while len(self._words) > 1 and (self._words[0].ended or now) < late:
            self._words.popleft()
        for other in self._others.values():
            while other.words[0][0] < late:
                other.words.popleft()
        self._parts.clear()

    def fresh(self, now: float) -> bool:
        """Has it looked, and is it known, well enough to take more than its floor?"""
        looks = now - self._looked <= self.times.gap and now - self._in_time >= self.times.window
        return looks and now >= self._sure and now - self._stands <= self.times.hold

    def part(self, volume: int, now: float) -> float:
        """This member's part of the volume's limit and reserve, from 0 to 1."""
        if not self.fresh(now):
            return self._floor
        part = self._parts.get(volume)
        if part is None:
            part = self._parts[volume] = self._floor + (1 - self.policy.floor) * self._share(volume, now)
        return part

    @property
    def _floor(self) -> float:
        return self.policy.floor / max(self.policy.members, len(self._others) + 1)

    def _share(self, volume: int, now: float) -> float:
        mine = min(word.demands.get(volume, 0.0) for word in self._words)
        if mine <= 0:
            return 0.0
        living = [o for o in self._others.values() if now - o.since <= self.times.dead]
        others = sum(max(told.get(volume, 0.0) for _, told in other.words) for other in living)
        return mine / (mine + others)
