"""Simulation of quota sharing in virtual time: members, their registers, and random faults.

The simulation runs the code of ``quota_sharing.allocation`` itself. Polls and writes take time. A write takes
effect at any time before its answer, long after its timeout, or never, and only if its register still has
the publication that it replaces. Answers may be lost. Members may be paused, or crash and restart as new
incarnations. Clocks run fast or slow within the bound on clock drift. Demands change suddenly.

Invariant: at any time, the shares of a volume that all processes together take beyond their floors are at
most the whole volume. A run depends only on its seed, and uses no clock, socket or file.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from random import Random

from sabledyke.quota_sharing.allocation import Demands, QuotaAllocator, QuotaPolicy, Timing
from sabledyke.testbed.quota_member import (
    ALL_SAFEGUARDS,
    Member,
    PartialAllocator,
    Register,
    Safeguards,
    Write,
)
from sabledyke.testbed.virtual_time import Action, EventQueue

VOLUME = 7
SAMPLE_INTERVAL_MS = 7.0
MAX_CLOCK_DRIFT = 0.02

MAX_FIRST_POLL_MS = 100
MAX_FIRST_FAULT_MS = 4000
MEAN_FAULT_INTERVAL_MS = 12_000.0
PAUSE_PROBABILITY = 0.5
"""Probability that a fault is a pause; any other fault is a crash."""
PAUSES_MS = (300.0, 1500.0, 2600.0, 5000.0)
RESTARTS_MS = (50.0, 300.0, 3000.0)

DEMANDS = (0.0, 1.0, 10.0, 100.0, 1000.0)
MEAN_DEMAND_INTERVAL_MS = 1500.0

POLL_TIMES_MS = (1.0, 5.0, 20.0)
SLOW_POLL_MS = 150.0
VERY_SLOW_POLL_MS = 500.0
SLOW_POLL_PROBABILITY = 0.9
"""Probability that the slowest poll time is ``SLOW_POLL_MS``, and not ``VERY_SLOW_POLL_MS``."""
POLLS_PER_MAX_GAP = 3

WRITE_TIMES_MS = (1.0, 5.0, 60.0)
LATE_WRITES_MS = (700.0, 2500.0)
WRITE_TIMEOUT_MS = 1000.0
ANSWERED_PROBABILITY = 0.8
APPLIED_PROBABILITY = 0.95
"""Cumulative probability that a write is answered, or takes effect without an answer."""


@dataclass(slots=True, frozen=True)
class SimulationResult:
    """Maximum and mean of the sum of all members' shares beyond their floors, as a fraction of the volume."""

    max_share_sum: float
    mean_share_sum: float


class QuotaSimulation:
    """One simulation run of a fleet that shares the limit of one volume."""

    def __init__(
        self,
        seed: int,
        member_count: int = 4,
        safeguards: Safeguards = ALL_SAFEGUARDS,
        fault_rate: float = 1.0,
    ) -> None:
        """Prepare a run.

        Args:
            seed: Seed of the random numbers.
            member_count: Number of members of the fleet.
            safeguards: Safeguards of the protocol that are in force.
            fault_rate: Frequency of faults, relative to one per ``MEAN_FAULT_INTERVAL_MS``.
        """
        self._random = Random(seed)
        self._safeguards = safeguards
        self._fault_rate = fault_rate
        self._events = EventQueue()
        self._policy = QuotaPolicy(member_count)
        self._timing = Timing()
        self._registers = {f"n{i}": Register() for i in range(member_count)}
        clock_rates = [
            1 + self._random.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT) for _ in range(member_count)
        ]
        self._members = [
            Member(name, rate, self._new_allocator())
            for name, rate in zip(self._registers, clock_rates, strict=True)
        ]
        self._schedule_first_events()

    def _schedule_first_events(self) -> None:
        for member in self._members:
            self._schedule_poll(member, self._random.random() * MAX_FIRST_POLL_MS)
            self._events.schedule(0.0, partial(self._change_demand, member))
            first_fault_ms = self._random.random() * MAX_FIRST_FAULT_MS
            self._events.schedule(first_fault_ms, partial(self._inject_fault, member))

    def run(self, duration_ms: float) -> SimulationResult:
        """Run for this duration, and sample the sum of all shares at regular intervals."""
        samples: list[float] = []
        sample_at_ms = 0.0
        while sample_at_ms < duration_ms:
            self._events.run_until(sample_at_ms)
            samples.append(sum(self._share_beyond_floor(member) for member in self._running_members()))
            sample_at_ms += SAMPLE_INTERVAL_MS
        return SimulationResult(max(samples), sum(samples) / len(samples))

    def _running_members(self) -> list[Member]:
        now_ms = self._events.now_ms
        return [member for member in self._members if member.is_up and now_ms >= member.paused_until_ms]

    def _share_beyond_floor(self, member: Member) -> float:
        share = member.allocator.share_of(VOLUME, self._clock_ms(member))
        floor_fraction = self._policy.floor_fraction
        return (share - floor_fraction / self._policy.members) / (1 - floor_fraction)

    def _new_allocator(self) -> QuotaAllocator:
        return PartialAllocator(self._safeguards, self._policy, self._timing)

    def _clock_ms(self, member: Member) -> float:
        return self._events.now_ms * member.clock_rate

    def _run_when_resumed(self, member: Member, incarnation: int, action: Action) -> None:
        """Run an action of an incarnation, at the end of its pause if any; drop it if it has crashed."""
        if member.incarnation != incarnation:
            return
        if self._events.now_ms < member.paused_until_ms:
            remaining_ms = member.paused_until_ms - self._events.now_ms
            self._events.schedule(remaining_ms, partial(self._run_when_resumed, member, incarnation, action))
            return
        action()

    def _change_demand(self, member: Member) -> None:
        member.demand = self._random.choice(DEMANDS)
        delay_ms = self._random.expovariate(1 / MEAN_DEMAND_INTERVAL_MS)
        self._events.schedule(delay_ms, partial(self._change_demand, member))

    def _inject_fault(self, member: Member) -> None:
        """Pause the member, or crash it and schedule its restart."""
        if self._random.random() < PAUSE_PROBABILITY:
            member.paused_until_ms = self._events.now_ms + self._random.choice(PAUSES_MS)
        else:
            member.incarnation += 1
            member.is_up = False
            member.is_writing = False
            restart = partial(self._restart, member, member.incarnation)
            self._events.schedule(self._random.choice(RESTARTS_MS), restart)
        delay_ms = self._random.expovariate(self._fault_rate / MEAN_FAULT_INTERVAL_MS)
        self._events.schedule(delay_ms, partial(self._inject_fault, member))

    def _restart(self, member: Member, incarnation: int) -> None:
        if member.incarnation != incarnation:
            return
        register = self._registers[member.name]
        # The register rejects later writes of former incarnations.
        register.incarnation = incarnation
        member.allocator = self._new_allocator()
        member.is_up = True
        member.known_number = 0
        member.known_at_ms = self._clock_ms(member)
        member.last_number = register.number
        self._run_when_resumed(member, incarnation, partial(self._begin_poll, member))

    def _schedule_poll(self, member: Member, delay_ms: float) -> None:
        poll = partial(self._begin_poll, member)
        self._events.schedule(delay_ms, partial(self._run_when_resumed, member, member.incarnation, poll))

    def _begin_poll(self, member: Member) -> None:
        """Read all registers, each at a random time during the poll."""
        slow_ms = SLOW_POLL_MS if self._random.random() < SLOW_POLL_PROBABILITY else VERY_SLOW_POLL_MS
        duration_ms = self._random.choice((*POLL_TIMES_MS, slow_ms))
        found: dict[str, tuple[int, Demands]] = {}
        for name in self._registers:
            self._events.schedule(self._random.random() * duration_ms, partial(self._read, name, found))
        finish = partial(self._finish_poll, member, self._clock_ms(member), found)
        self._events.schedule(
            duration_ms, partial(self._run_when_resumed, member, member.incarnation, finish)
        )

    def _read(self, name: str, found: dict[str, tuple[int, Demands]]) -> None:
        register = self._registers[name]
        found[name] = (register.number, register.demands)

    def _finish_poll(
        self, member: Member, started_at_ms: float, found: dict[str, tuple[int, Demands]]
    ) -> None:
        """Pass the registers that were read to the allocator, and publish the demand if it is due."""
        now_ms = self._clock_ms(member)
        own_number, _ = found.pop(member.name)
        if own_number >= member.known_number and own_number:
            if own_number != member.known_number:
                member.known_number = own_number
                member.known_at_ms = now_ms
            member.allocator.on_published(own_number, now_ms)
        member.allocator.on_poll(started_at_ms, now_ms, found)
        if not member.is_writing and now_ms - member.known_at_ms >= self._timing.beat_ms:
            self._begin_write(member)
        self._schedule_poll(member, self._timing.max_poll_gap_ms / POLLS_PER_MAX_GAP)

    def _begin_write(self, member: Member) -> None:
        member.last_number += 1
        member.is_writing = True
        demands = {VOLUME: member.demand}
        write = Write(member, member.incarnation, member.last_number, demands, member.known_number)
        member.allocator.on_publishing(write.number, demands, self._clock_ms(member), write.replaces)
        draw = self._random.random()
        duration_ms = self._random.choice(WRITE_TIMES_MS)
        if draw < ANSWERED_PROBABILITY:
            self._events.schedule(duration_ms * self._random.random(), partial(self._apply, write))
            self._events.schedule(duration_ms, partial(self._answer, write))
            return
        if draw < APPLIED_PROBABILITY:
            delay_ms = self._random.choice((duration_ms, *LATE_WRITES_MS))
            self._events.schedule(delay_ms, partial(self._apply, write))
        self._events.schedule(WRITE_TIMEOUT_MS, partial(self._time_out, write))

    def _apply(self, write: Write) -> None:
        register = self._registers[write.member.name]
        if register.incarnation != write.incarnation:
            return
        if register.number != write.replaces and self._safeguards.writes_conditionally:
            return
        register.number = write.number
        register.demands = write.demands
        write.took_effect = True

    def _answer(self, write: Write) -> None:
        member = write.member
        if member.incarnation != write.incarnation:
            return
        member.is_writing = False
        if not write.took_effect:
            member.allocator.on_rejected(write.number)
            return
        member.known_number = write.number
        member.known_at_ms = self._clock_ms(member)
        member.allocator.on_published(write.number, member.known_at_ms)

    def _time_out(self, write: Write) -> None:
        if write.member.incarnation == write.incarnation:
            write.member.is_writing = False
