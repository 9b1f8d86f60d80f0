"""What a member tells of the demands of its clients: smooth enough to be relied on, quick enough to follow.

Told: units as they are asked for, and when the next word is due. A share is counted from the least that its
holder told of late and the most that others did (``shares``), so that every change of a word costs something:
a demand is told anew only where it has moved by more than ``MOVES``. Pure; bounded by ``MOST_TOLD``.
"""

from __future__ import annotations

from math import sqrt

from sabledyke.quota_sharing.allocation import MOST_TOLD

SMOOTH, SURPRISED = 0.3, 0.8  # weight of what came in since the last word; beyond what chance explains
LUCK = 3.0  # deviations of a count that chance explains
MOVES = 1.4  # times more or less than was told last, before it is told anew
LEAST = 0.05  # units a second that are worth telling


class Meter:
    """Of one member."""

    def __init__(self, now: float) -> None:
        self._came: dict[int, float] = {}  # units since the last word
        self._most: dict[int, float] = {}  # all there is of a volume, units a second
        self._rates: dict[int, float] = {}
        self._told: dict[int, float] = {}
        self._since = now

    @property
    def busy(self) -> bool:
        """Something came, or something is still told."""
        return bool(self._came or self._told)

    def add(self, now: float, volume: int, units: float, most: float) -> None:
        """So many units were asked for; ``most`` units a second is all that all members may take of them."""
        if not self._came and not self._told:
            self._since = now
        if volume in self._came or len(self._came) < 4 * MOST_TOLD:
            self._came[volume] = self._came.get(volume, 0.0) + units
            self._most[volume] = most

    def word(self, now: float) -> dict[int, float]:
        """What to tell now. No demand counts for more than there is of its volume: who asks for ten times as
        much does not take what others could have.
        """
        seconds = max(0.001, (now - self._since) / 1000)
        for volume in {*self._rates, *self._came}:
            rate = min(self._came.get(volume, 0.0) / seconds, self._most.get(volume, 0.0))
            before = self._rates.get(volume, rate)
            chance = LUCK * sqrt(max(1.0, before * seconds))
            weight = SMOOTH if abs(rate - before) * seconds <= chance else SURPRISED
            self._rates[volume] = before + weight * (rate - before)
        busiest = sorted(self._rates, key=lambda volume: -self._rates[volume])[:MOST_TOLD]
        self._rates = {v: self._rates[v] for v in busiest if self._rates[v] >= LEAST}
        told = {}
        for volume, rate in self._rates.items():
            last = self._told.get(volume, 0.0)
            told[volume] = last if last / MOVES <= rate <= last * MOVES else round(rate, 3)
        self._told, self._came, self._since = told, {}, now
        self._most = {v: most for v, most in self._most.items() if v in self._rates}
        return told
