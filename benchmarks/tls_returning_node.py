"""Simulation of many schedulers that reconnect with TLS to a storage node that has just started."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import NamedTuple

from sabledyke.tls.handshake_admission import HandshakeAdmission, HandshakeBudget

SCHEDULER_COUNT = 20
ATTEMPTS_PER_SCHEDULER = 40
DURATION_MS = 30_000
RETRY_DELAY_MS = 250.0
ATTEMPT_TIMEOUT_MS = 1000
LOAD_WINDOW_MS = 100
NODE = b"box"
BUDGET = HandshakeBudget(
    scheduler_count=SCHEDULER_COUNT,
    initial_capacity_share=0.21,
    warm_up_ms=17_000,
    handshake_share=0.1,
    cores=2,
    full_handshake_ms=0.5,
)
UNLIMITED_SHARE = 1e6
NODE_CAPACITY = HandshakeBudget(scheduler_count=1, handshake_share=1.0, cores=2)


class ReturnResult(NamedTuple):
    """Load of the reconnections on the node, and their duration.

    Attributes:
        max_handshakes_per_s: Handshakes in the busiest second.
        max_load: Maximum handshake load in a window of 100 ms, relative to the node's capacity at that time.
        duration_s: Start time of the last handshake.
    """

    max_handshakes_per_s: int
    max_load: float
    duration_s: float


class WaitingAttempt(NamedTuple):
    """An attempt without a connection, and the time of its next try."""

    number: int
    retry_at_ms: float


@dataclass
class SimulatedScheduler:
    """One scheduler, whose attempts all request a connection at the start."""

    admission: HandshakeAdmission
    waiting: list[WaitingAttempt] = field(
        default_factory=lambda: [WaitingAttempt(number, 0.0) for number in range(ATTEMPTS_PER_SCHEDULER)]
    )

    def run(self, now_ms: int) -> int:
        """Simulate one millisecond; return the number of started handshakes."""
        admitted, expired = self.admission.pop_due(now_ms, NODE)
        for _ in admitted:
            self.admission.on_handshake_completed(now_ms, NODE, succeeded=True)
        self._retry_later(now_ms, expired)
        begun = len(admitted)
        for attempt in [attempt for attempt in self.waiting if attempt.retry_at_ms <= now_ms]:
            begun += self._request(now_ms, attempt)
        return begun

    def _request(self, now_ms: int, attempt: WaitingAttempt) -> int:
        timeout_at_ms = now_ms + ATTEMPT_TIMEOUT_MS
        answer = self.admission.request(now_ms, NODE, 0.0, attempt.number, timeout_at_ms, resumes=False)
        self.waiting.remove(attempt)
        if answer:
            self.admission.on_handshake_completed(now_ms, NODE, succeeded=True)
            return 1
        if answer is None:
            self._retry_later(now_ms, [attempt.number])
        return 0

    def _retry_later(self, now_ms: int, numbers: list[int]) -> None:
        self.waiting += [WaitingAttempt(number, now_ms + RETRY_DELAY_MS) for number in numbers]


def simulate(*, admitted: bool) -> ReturnResult:
    """Run the simulation; with ``admitted`` False the admission has practically no limit."""
    budget = BUDGET if admitted else replace(BUDGET, handshake_share=UNLIMITED_SHARE)
    schedulers = [SimulatedScheduler(HandshakeAdmission(budget, seed)) for seed in range(SCHEDULER_COUNT)]
    begun_ms: list[int] = []
    for now_ms in range(DURATION_MS):
        for scheduler in schedulers:
            begun_ms += [now_ms] * scheduler.run(now_ms)
    node = HandshakeAdmission(NODE_CAPACITY, 0)

    def load(start_ms: int) -> float:
        count = _count_within(begun_ms, start_ms, LOAD_WINDOW_MS)
        capacity = node.handshake_rate(start_ms, 0.0) * LOAD_WINDOW_MS
        return count * NODE_CAPACITY.full_handshake_ms / capacity

    return ReturnResult(
        max_handshakes_per_s=max(_count_within(begun_ms, start_ms, 1000) for start_ms in set(begun_ms)),
        max_load=max(load(start_ms) for start_ms in set(begun_ms)),
        duration_s=max(begun_ms) / 1000,
    )


def _count_within(times_ms: list[int], start_ms: int, window_ms: int) -> int:
    return sum(start_ms <= time_ms < start_ms + window_ms for time_ms in times_ms)
