"""What a scheduler does from SIGTERM to its end: which phase it is in, and which answers end connections.

Told the moment of SIGTERM, the longest deadline and a seed, and whether it leaves by a plan of its fleet,
behind which no kill stands; knows no socket, clock or signal. Every call says what time it is, in seconds of
the caller's clock.

Source of its figures: PROTOCOL, "Figures": after SIGTERM new connections come for 0.2 to 0.4 s, clients
use those that stay open for as long as they do, and SIGKILL comes no sooner than the longest deadline (3 s
where it is longer) plus 0.7 s. Nothing else is known of the kill's moment.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import IntEnum
from math import inf


class Phase(IntEnum):
    """Where a leaving scheduler is, in this order."""

    OPEN = 0  # all as before: those on their way still find the listener
    STAYING = 1  # the listener is closed; what comes on connections that stay open is served
    PARTING = 2  # the same, and ever more answers end their connections
    LAST = 3  # nothing is begun any more: what is owed gets its final answer, and connections rest no more
    OVER = 4  # what is left is closed


@dataclass(frozen=True, slots=True)
class Times:
    """Seconds; each default from PROTOCOL, or a part of the time that it leaves."""

    linger: float = 0.6  # the listener stays open: 0.2 to 0.4 s, and a half more
    longest: float = 3.0  # a longer deadline counts as this
    grace: float = 0.7  # past the longest deadline SIGKILL may come
    margin: float = 0.12  # between the end and the earliest kill: turns of the loop, and a busy core
    last: float = 0.1  # for final answers to reach their clients
    parting: float = 0.35  # over which answers end connections, so that clients do not come elsewhere at once
    haste: float = 1.0  # what a second SIGTERM leaves of the time until the end
    away: float = 1.0  # after the end, until somebody serves at this address again


class Departure:
    """One scheduler's leaving; ``until`` is when all that it takes has to be answered."""

    def __init__(
        self,
        told: float,
        longest: float,
        seed: int,
        times: Times = Times(),  # noqa: B008
        *,
        planned: bool = False,
    ) -> None:
        self._times, self._random, self._planned = times, random.Random(seed), planned
        self._door = told + times.linger
        self._plan(told, told + min(longest, times.longest) + times.grace - times.margin)

    def _plan(self, now: float, over: float) -> None:
        """Set the phases so that the end comes at ``over``; where time is short, later ones keep theirs."""
        self.over = max(now, over)
        self.until = max(now, self.over - self._times.last)
        # By a plan others are there for its clients, who go one after the other once no new ones come.
        self._parting = max(now, self._door if self._planned else self.until - self._times.parting)

    def hasten(self, now: float) -> None:
        """A second SIGTERM: end within ``haste``, and begin to part at once. Later ones change nothing."""
        if now + self._times.haste < self.over:
            self._door = min(self._door, now)
            self._plan(now, now + self._times.haste)
            self._parting = now

    def phase(self, now: float) -> Phase:
        """Where it is; phases only go forward."""
        if now >= self.over:
            return Phase.OVER
        if now >= self.until:
            return Phase.LAST
        if now >= max(self._parting, self._door):
            return Phase.PARTING
        return Phase.STAYING if now >= self._door else Phase.OPEN

    def ends(self, now: float) -> bool:
        """Whether an answer given now ends its connection.

        While it parts, the chance grows evenly to 1: guards against all clients coming to another in
        the same moment, and against a close that crosses a request, which an answer never does.
        """
        phase = self.phase(now)
        if phase is not Phase.PARTING:
            return phase > Phase.PARTING
        left = self.until - self._parting
        return self._random.random() < ((now - self._parting) / left if left > 0 else inf)

    def sheds(self, now: float, step: float) -> bool:
        """Whether a connection that rests is closed now, where each is asked about every ``step`` seconds.

        By a plan they go evenly while it parts, so that none is left whose next request would be refused at
        the end; else they rest until then, as a kill leaves nobody else to go to.
        """
        phase = self.phase(now)
        if phase is Phase.PARTING and self._planned:
            return self._random.random() < step / (self.until - now)
        return phase >= Phase.LAST

    @property
    def back(self) -> float:
        """When somebody may serve at this address again: advice to who is refused meanwhile."""
        return self.over + self._times.away
