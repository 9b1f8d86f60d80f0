"""Decides what a scheduler does from SIGTERM to its end: which phase it is in, which connections end.

It is given the moment of SIGTERM, the longest deadline, a seed, and whether the shutdown is planned by the
group, so that no kill follows. It knows no socket, clock or signal: every call states the time, in seconds of
the caller's clock.

Source of its times: PROTOCOL, "Figures": after SIGTERM new connections come for 0.2 to 0.4 s, clients
use those that stay open for as long as they do, and SIGKILL comes no sooner than the longest deadline (3 s
where it is longer) plus 0.7 s. Nothing else is known of the kill's moment.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import IntEnum


class ShutdownPhase(IntEnum):
    """Where a shutdown is; phases follow each other in this order."""

    ACCEPTING_CONNECTIONS = 0  # all as before: clients on their way still find the listener
    SERVING_OPEN_CONNECTIONS = 1  # the listener is closed; requests on open connections are served
    DRAINING_CONNECTIONS = 2  # the same, and ever more answers end their connections
    FINAL_ANSWERS = 3  # no request is begun; what is owed gets its final answer, idle connections close
    COMPLETED = 4  # what is left is closed


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """How long each step takes, in seconds; each default is from PROTOCOL, or a share of what it leaves.

    Attributes:
        listener_open_s: The listener stays open for the 0.2 to 0.4 s stated, and a half more.
        max_deadline_s: A longer deadline counts as this.
        kill_grace_s: How long after the longest deadline SIGKILL may come.
        kill_margin_s: Between the end and the earliest kill, for iterations of the loop and a busy core.
        max_lateness_s: By how much earlier the end is at most, where the loop has been late.
        final_answers_s: For final answers to reach their clients.
        draining_s: Over which answers end connections, so that clients do not all reconnect at once.
        hastened_s: What a second SIGINT leaves until the end.
        unavailable_s: From the end until another process serves at this address.
    """

    listener_open_s: float = 0.6
    max_deadline_s: float = 3.0
    kill_grace_s: float = 0.7
    kill_margin_s: float = 0.12
    max_lateness_s: float = 0.45
    final_answers_s: float = 0.1
    draining_s: float = 0.35
    hastened_s: float = 1.0
    unavailable_s: float = 1.0


DEFAULT_TIMES = ShutdownTimes()


class GracefulShutdown:
    """The schedule of one scheduler's shutdown.

    Args:
        requested_at: When SIGTERM came, in seconds of the caller's clock, as all times here.
        longest_deadline_s: The longest deadline of any request class.
        seed: For the choice of connections that end.
        times: How long each step takes.
        planned: Whether the group planned the shutdown, so that other schedulers take over the clients.

    Attributes:
        completed_at: When all connections are closed.
        answer_by: When every accepted request has to be answered.
    """

    def __init__(
        self,
        requested_at: float,
        longest_deadline_s: float,
        seed: int,
        times: ShutdownTimes = DEFAULT_TIMES,
        *,
        planned: bool = False,
    ) -> None:
        self._times = times
        self._random = random.Random(seed)
        self._planned = planned
        self._listener_closes_at = requested_at + times.listener_open_s
        earliest_kill = requested_at + min(longest_deadline_s, times.max_deadline_s) + times.kill_grace_s
        self._latest_end = earliest_kill - times.kill_margin_s
        self._schedule(requested_at, self._latest_end)

    @property
    def available_again_at(self) -> float:
        """When another process may serve at this address: advice to clients that are rejected meanwhile."""
        return self.completed_at + self._times.unavailable_s

    def hasten(self, now: float) -> None:
        """Complete within ``hastened_s`` and drain at once: a second SIGINT came; later calls do nothing."""
        completed_at = now + self._times.hastened_s
        if completed_at < self.completed_at:
            self._listener_closes_at = min(self._listener_closes_at, now)
            self._schedule(now, completed_at)
            self._draining_from = now

    def allow_for_lateness(self, now: float, late_s: float) -> bool:
        """Complete earlier by as much as the loop has been late lately, within bounds; return whether it did.

        Guards against a kill that comes while the loop is held up with answers due. Connections begin to
        drain no earlier than otherwise, as long as that leaves time.
        """
        earliest_end = self._listener_closes_at + self._times.draining_s + self._times.final_answers_s
        completed_at = max(self._latest_end - min(late_s, self._times.max_lateness_s), earliest_end)
        if completed_at >= self.completed_at:
            return False
        draining_from = self._draining_from
        self._schedule(now, completed_at)
        self._draining_from = max(now, min(draining_from, self.answer_by))
        return True

    def phase(self, now: float) -> ShutdownPhase:
        """Return the phase at ``now``; phases only go forward."""
        if now >= self.completed_at:
            return ShutdownPhase.COMPLETED
        if now >= self.answer_by:
            return ShutdownPhase.FINAL_ANSWERS
        if now >= max(self._draining_from, self._listener_closes_at):
            return ShutdownPhase.DRAINING_CONNECTIONS
        if now >= self._listener_closes_at:
            return ShutdownPhase.SERVING_OPEN_CONNECTIONS
        return ShutdownPhase.ACCEPTING_CONNECTIONS

    def ends_connection(self, now: float) -> bool:
        """Decide whether an answer given now ends its connection.

        While connections drain, the chance grows evenly to 1: guards against all clients reconnecting in
        the same moment, and against a close that crosses a request, which an answer never does.
        """
        phase = self.phase(now)
        if phase is not ShutdownPhase.DRAINING_CONNECTIONS:
            return phase > ShutdownPhase.DRAINING_CONNECTIONS
        draining_s = self.answer_by - self._draining_from
        draw = self._random.random()
        return draining_s <= 0 or draw < (now - self._draining_from) / draining_s

    def closes_idle(self, now: float, poll_interval_s: float) -> bool:
        """Decide whether an idle connection is closed now.

        In a planned shutdown idle connections close evenly while connections drain, so that none is left
        whose next request would be rejected at the end. Else they stay until then, as a kill leaves no other
        scheduler to go to.

        Args:
            now: The time.
            poll_interval_s: How often this is called for each connection.
        """
        phase = self.phase(now)
        if phase is ShutdownPhase.DRAINING_CONNECTIONS and self._planned:
            return self._random.random() < poll_interval_s / (self.answer_by - now)
        return phase >= ShutdownPhase.FINAL_ANSWERS

    def _schedule(self, now: float, completed_at: float) -> None:
        """Set the phases to end at ``completed_at``; where time is short, the later phases keep theirs."""
        self.completed_at = max(now, completed_at)
        self.answer_by = max(now, self.completed_at - self._times.final_answers_s)
        draining_from = self.answer_by - self._times.draining_s
        if self._planned:  # others are there for its clients, which go one by one once no new ones come
            draining_from = self._listener_closes_at
        self._draining_from = max(now, draining_from)
