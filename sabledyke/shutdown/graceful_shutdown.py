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


class ShutdownPhase(IntEnum):
    """Where a leaving scheduler is, in this order."""

    ACCEPTING_CONNECTIONS = 0  # all as before: those on their way still find the listener
    SERVING_OPEN_CONNECTIONS = 1  # the listener is closed; what comes on connections that stay open is served
    DRAINING_CONNECTIONS = 2  # the same, and ever more answers end their connections
    FINAL_ANSWERS = (
        3  # nothing is begun any more: what is owed gets its final answer, and connections rest no more
    )
    COMPLETED = 4  # what is left is closed


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """Seconds; each default from PROTOCOL, or a part of the time that it leaves."""

    listener_open_s: float = 0.6  # the listener stays open: 0.2 to 0.4 s, and a half more
    max_deadline_s: float = 3.0  # a longer deadline counts as this
    kill_grace_s: float = 0.7  # past the longest deadline SIGKILL may come
    kill_margin_s: float = 0.12  # between the end and the earliest kill: turns of the loop, and a busy core
    final_answers_s: float = 0.1  # for final answers to reach their clients
    draining_s: float = (
        0.35  # over which answers end connections, so that clients do not come elsewhere at once
    )
    hastened_s: float = 1.0  # what a second SIGTERM leaves of the time until the end
    unavailable_s: float = 1.0  # after the end, until somebody serves at this address again


DEFAULT_TIMES = ShutdownTimes()


class GracefulShutdown:
    """One scheduler's leaving; ``until`` is when all that it takes has to be answered."""

    def __init__(
        self,
        told: float,
        longest: float,
        seed: int,
        times: ShutdownTimes = DEFAULT_TIMES,
        *,
        planned: bool = False,
    ) -> None:
        self._times, self._random, self._planned = times, random.Random(seed), planned
        self._listener_closes_at = told + times.listener_open_s
        self._schedule(
            told, told + min(longest, times.max_deadline_s) + times.kill_grace_s - times.kill_margin_s
        )

    def _schedule(self, now: float, over: float) -> None:
        """Set the phases so that the end comes at ``over``; where time is short, later ones keep theirs."""
        self.completed_at = max(now, over)
        self.answer_by = max(now, self.completed_at - self._times.final_answers_s)
        # By a plan others are there for its clients, who go one after the other once no new ones come.
        self._draining_from = max(
            now, self._listener_closes_at if self._planned else self.answer_by - self._times.draining_s
        )

    def hasten(self, now: float) -> None:
        """A second SIGTERM: end within ``haste``, and begin to part at once. Later ones change nothing."""
        if now + self._times.hastened_s < self.completed_at:
            self._listener_closes_at = min(self._listener_closes_at, now)
            self._schedule(now, now + self._times.hastened_s)
            self._draining_from = now

    def phase(self, now: float) -> ShutdownPhase:
        """Where it is; phases only go forward."""
        if now >= self.completed_at:
            return ShutdownPhase.COMPLETED
        if now >= self.answer_by:
            return ShutdownPhase.FINAL_ANSWERS
        if now >= max(self._draining_from, self._listener_closes_at):
            return ShutdownPhase.DRAINING_CONNECTIONS
        return (
            ShutdownPhase.SERVING_OPEN_CONNECTIONS
            if now >= self._listener_closes_at
            else ShutdownPhase.ACCEPTING_CONNECTIONS
        )

    def ends_connection(self, now: float) -> bool:
        """Whether an answer given now ends its connection.

        While it parts, the chance grows evenly to 1: guards against all clients coming to another in
        the same moment, and against a close that crosses a request, which an answer never does.
        """
        phase = self.phase(now)
        if phase is not ShutdownPhase.DRAINING_CONNECTIONS:
            return phase > ShutdownPhase.DRAINING_CONNECTIONS
        left = self.answer_by - self._draining_from
        return self._random.random() < ((now - self._draining_from) / left if left > 0 else inf)

    def closes_idle(self, now: float, step: float) -> bool:
        """Whether a connection that rests is closed now, where each is asked about every ``step`` seconds.

        By a plan they go evenly while it parts, so that none is left whose next request would be refused at
        the end; else they rest until then, as a kill leaves nobody else to go to.
        """
        phase = self.phase(now)
        if phase is ShutdownPhase.DRAINING_CONNECTIONS and self._planned:
            return self._random.random() < step / (self.answer_by - now)
        return phase >= ShutdownPhase.FINAL_ANSWERS

    @property
    def available_again_at(self) -> float:
        """When somebody may serve at this address again: advice to who is refused meanwhile."""
        return self.completed_at + self._times.unavailable_s
