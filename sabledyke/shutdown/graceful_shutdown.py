"""Schedule of a graceful shutdown: the phases of a scheduler after SIGTERM, and the connections it closes.

The inputs are the time of SIGTERM, the longest deadline, a seed, and whether the group planned the shutdown,
in which case no kill follows. The module uses no sockets, clocks or signals: every call passes the time, in
seconds of the caller's clock.

Source of its times: PROTOCOL, "Figures": after SIGTERM new connections arrive for 0.2 to 0.4 s, clients use
connections for as long as they stay open, and SIGKILL arrives no sooner than the longest deadline (3 s if it
is longer) plus 0.7 s. Nothing else is known about the time of the kill.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import IntEnum


class ShutdownPhase(IntEnum):
    """Phases of a shutdown, in chronological order."""

    ACCEPTING_CONNECTIONS = 0  # the listener stays open for clients that are still connecting
    SERVING_OPEN_CONNECTIONS = 1  # the listener is closed; requests on open connections are served
    DRAINING_CONNECTIONS = 2  # requests are served, and a growing share of answers close their connections
    FINAL_ANSWERS = 3  # new requests are rejected, pending ones get a final answer, idle connections close
    COMPLETED = 4  # all remaining connections are closed


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """Durations of the steps, in seconds; each default is from PROTOCOL, or a share of the time it leaves.

    Attributes:
        listener_open_s: Time that the listener stays open: the stated 0.2 to 0.4 s and half as much again.
        max_deadline_s: Upper limit of the longest deadline in the schedule.
        kill_grace_s: Time from the longest deadline to the earliest SIGKILL.
        kill_margin_s: Margin before the earliest kill, for iterations of the event loop and a busy core.
        max_lateness_s: Maximum time by which the end is earlier because the event loop is late.
        final_answers_s: Time for final answers to reach their clients.
        draining_s: Time over which answers close connections, so that clients do not all reconnect at once.
        hastened_s: Time until the end after a second SIGINT.
        unavailable_s: Time from the end until another process serves at this address.
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
        requested_at: Time of SIGTERM, in seconds of the caller's clock, like all other times here.
        longest_deadline_s: The longest deadline of any request class.
        seed: Seed of the random choice of connections to close.
        times: Durations of the steps.
        planned: True if the group planned the shutdown, so that other schedulers serve the clients.

    Attributes:
        completed_at: Time at which all connections are closed.
        answer_by: Time by which every accepted request is answered.
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
        """Expected time at which another process serves at this address, as advice to rejected clients."""
        return self.completed_at + self._times.unavailable_s

    def hasten(self, now: float) -> None:
        """Complete within ``hastened_s`` of a second SIGINT, and drain at once; later calls do nothing."""
        completed_at = now + self._times.hastened_s
        if completed_at < self.completed_at:
            self._listener_closes_at = min(self._listener_closes_at, now)
            self._schedule(now, completed_at)
            self._draining_from = now

    def allow_for_lateness(self, now: float, late_s: float) -> bool:
        """Complete earlier by the event loop's recent lateness, within limits; return whether that changed.

        Guards against a kill while the event loop is delayed with answers due. Connections do not begin to
        drain earlier, as long as the remaining time permits it.
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
        """Return the phase at ``now``; it never returns to an earlier phase."""
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
        """Decide whether an answer given now closes its connection.

        While connections drain, the probability grows linearly to 1. Guards against all clients reconnecting
        at the same time, and against a close that crosses a client's next request on the wire, which cannot
        happen if the connection closes with an answer.
        """
        phase = self.phase(now)
        if phase is not ShutdownPhase.DRAINING_CONNECTIONS:
            return phase > ShutdownPhase.DRAINING_CONNECTIONS
        draining_s = self.answer_by - self._draining_from
        draw = self._random.random()
        return draining_s <= 0 or draw < (now - self._draining_from) / draining_s

    def closes_idle(self, now: float, poll_interval_s: float) -> bool:
        """Decide whether an idle connection is closed now.

        In a planned shutdown idle connections close evenly while connections drain, so that none remains
        whose next request would be rejected at the end. Otherwise they stay open until the end, as no other
        scheduler is available to the clients.

        Args:
            now: The time.
            poll_interval_s: Seconds between calls for each connection.
        """
        phase = self.phase(now)
        if phase is ShutdownPhase.DRAINING_CONNECTIONS and self._planned:
            return self._random.random() < poll_interval_s / (self.answer_by - now)
        return phase >= ShutdownPhase.FINAL_ANSWERS

    def _schedule(self, now: float, completed_at: float) -> None:
        """Schedule the phases to end at ``completed_at``; if time is short, the earlier phases shrink."""
        self.completed_at = max(now, completed_at)
        self.answer_by = max(now, self.completed_at - self._times.final_answers_s)
        draining_from = self.answer_by - self._times.draining_s
        if self._planned:  # other schedulers serve the clients, so connections close gradually
            draining_from = self._listener_closes_at
        self._draining_from = max(now, draining_from)
