"""Admission of TLS handshakes, which keeps reconnecting schedulers from overloading a restarted storage node.

Decides which attempt may begin a handshake with a storage node, and when. Schedulers cannot communicate, so
each limits itself to an equal share of the node's capacity, which grows during the node's warm-up. The clock
and the seed are passed in; all times are in milliseconds.

Each node has a token bucket of handshake work, in milliseconds of the node's CPU time. It fills at this
scheduler's share of the capacity that handshakes may use, and holds what that rate yields in ``burst_ms``.

Bounds: ``forget`` and ``evict_idle`` remove a node's entry; every waiting attempt has a deadline.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

_MAX_FAILURES = 30  # limits the exponent of the backoff
_MIN_JITTER = 0.5


@dataclass(slots=True, frozen=True)
class HandshakeBudget:
    """Capacity of a storage node for handshakes; the default costs are for P-256, from ``benchmarks/tls.py``.

    Attributes:
        scheduler_count: Number of schedulers that may connect at the same time.
        initial_capacity_share: Share of its full capacity that a node has when it starts.
        warm_up_ms: Time from its start until a node reaches its full capacity.
        handshake_share: Share of a node's capacity that handshakes may use.
        cores: Number of CPU cores of a node.
        full_handshake_ms: CPU time of the node for a full handshake.
        resumed_handshake_ms: CPU time of the node for a resumed handshake.
        burst_ms: Time in which an empty bucket fills.
        min_backoff_ms: Backoff after the first failed handshake; each further failure doubles it.
        max_backoff_ms: Upper limit of the backoff.
    """

    scheduler_count: int
    initial_capacity_share: float = 0.21
    warm_up_ms: float = 17000.0
    handshake_share: float = 0.1
    cores: float = 2.0
    full_handshake_ms: float = 0.5
    resumed_handshake_ms: float = 0.47
    burst_ms: float = 1000.0
    min_backoff_ms: float = 100.0
    max_backoff_ms: float = 5000.0


class DueAttempts(NamedTuple):
    """Attempts whose wait is over, ordered by deadline."""

    admitted: list[int]
    expired: list[int]


class _WaitingAttempt(NamedTuple):
    deadline_ms: float
    attempt: int
    resumes: bool


@dataclass(slots=True)
class _NodeState:
    """Handshake work, failures and waiting attempts of one storage node."""

    started_ms: float
    available_ms: float  # fill level of the bucket, in CPU time of the node
    updated_ms: float
    failures: int = 0
    retry_at_ms: float = -inf  # end of the backoff after a failure
    in_flight: int = 0
    waiting: list[_WaitingAttempt] = field(default_factory=list)  # heap by deadline


class HandshakeAdmission:
    """Admits handshakes with all storage nodes.

    Attributes:
        budget: Capacity of a storage node for handshakes; the caller may replace it at any time.
    """

    def __init__(self, budget: HandshakeBudget, seed: int) -> None:
        self.budget = budget
        self._random = random.Random(seed)
        self._node_states: dict[bytes, _NodeState] = {}
        # Random, so that schedulers that detect a restarted node at the same time do not all start with full
        # buckets.
        self._initial_fill = self._jitter()

    @property
    def entry_count(self) -> int:
        """Number of stored nodes and waiting attempts."""
        waiting = sum(len(state.waiting) for state in self._node_states.values())
        return len(self._node_states) + waiting

    def handshake_rate(self, now_ms: float, started_ms: float) -> float:
        """Return the CPU time, in ms per ms, that this scheduler's handshakes may use on a node."""
        budget = self.budget
        warm_up_fraction = max(0.0, now_ms - started_ms) / budget.warm_up_ms
        initial_share = budget.initial_capacity_share
        capacity_share = min(1.0, initial_share + (1 - initial_share) * warm_up_fraction)
        return capacity_share * budget.cores * budget.handshake_share / budget.scheduler_count

    def handshake_cost_ms(self, *, resumes: bool) -> float:
        """Return the CPU time of the node for one handshake, in milliseconds."""
        return self.budget.resumed_handshake_ms if resumes else self.budget.full_handshake_ms

    def request(
        self,
        now_ms: float,
        node: bytes,
        started_ms: float,
        attempt: int,
        deadline_ms: float,
        *,
        resumes: bool,
    ) -> bool | None:
        """Request a handshake.

        Args:
            now_ms: The current time.
            node: The storage node.
            started_ms: Start time of the storage node.
            attempt: Identifier of the attempt.
            deadline_ms: Time at which the attempt expires.
            resumes: True if the handshake resumes a session.

        Returns:
            True if the handshake may begin at once; False if the attempt must wait until ``pop_due`` returns
            it; None if there is no capacity before its deadline.
        """
        state = self._node_state(now_ms, node, started_ms)
        if self._may_begin(now_ms, state, resumes=resumes) and not state.waiting:
            self._begin(state, resumes=resumes)
            return True
        if now_ms + self._expected_wait_ms(now_ms, state, deadline_ms, resumes=resumes) > deadline_ms:
            return None
        heapq.heappush(state.waiting, _WaitingAttempt(deadline_ms, attempt, resumes))
        return False

    def pop_due(self, now_ms: float, node: bytes) -> DueAttempts:
        """Remove and return the waiting attempts that may begin now or have expired."""
        state = self._node_states.get(node)
        due = DueAttempts([], [])
        while state is not None and state.waiting:
            first = state.waiting[0]
            if first.deadline_ms <= now_ms:
                due.expired.append(first.attempt)
            elif self._may_begin(now_ms, state, resumes=first.resumes):
                self._begin(state, resumes=first.resumes)
                due.admitted.append(first.attempt)
            else:
                break
            heapq.heappop(state.waiting)
        return due

    def next_due_ms(self, now_ms: float, node: bytes) -> float:
        """Return the time at which ``pop_due`` may return the next attempt; inf if none is waiting."""
        state = self._node_states.get(node)
        if state is None or not state.waiting:
            return inf
        first = state.waiting[0]
        if state.failures and state.in_flight:
            return first.deadline_ms
        self._refill(now_ms, state)
        missing_ms = self.handshake_cost_ms(resumes=first.resumes) - state.available_ms
        admitted_ms = now_ms + self._refill_time_ms(now_ms, state, missing_ms)
        if state.failures:
            admitted_ms = max(admitted_ms, state.retry_at_ms)
        return min(first.deadline_ms, admitted_ms)

    def withdraw(self, node: bytes, attempt: int) -> None:
        """Remove a waiting attempt that was cancelled."""
        state = self._node_states.get(node)
        if state is not None:
            state.waiting = [waiting for waiting in state.waiting if waiting.attempt != attempt]
            heapq.heapify(state.waiting)

    def on_handshake_completed(self, now_ms: float, node: bytes, *, succeeded: bool) -> None:
        """Record the end of a handshake that was admitted.

        After a failure, handshakes with the node are admitted one at a time and with backoff: simultaneous
        handshakes would all fail alike, and would load the node as much as successful ones.
        """
        state = self._node_states.get(node)
        if state is None:
            return
        state.in_flight = max(0, state.in_flight - 1)
        if succeeded:
            state.failures = 0
            state.retry_at_ms = -inf
            return
        state.failures = min(state.failures + 1, _MAX_FAILURES)
        backoff_ms = self.budget.min_backoff_ms * 2 ** (state.failures - 1)
        state.retry_at_ms = now_ms + min(backoff_ms, self.budget.max_backoff_ms) * self._jitter()

    def forget(self, node: bytes) -> list[int]:
        """Remove a node that left the endpoint list, and return its waiting attempts."""
        state = self._node_states.pop(node, None)
        return [] if state is None else [waiting.attempt for waiting in state.waiting]

    def evict_idle(self, now_ms: float) -> None:
        """Remove the entries of warmed-up, idle nodes with a full bucket and no failures."""
        for node, state in list(self._node_states.items()):
            self._refill(now_ms, state)
            full = state.available_ms >= self._burst_work_ms(now_ms, state.started_ms)
            idle = not (state.waiting or state.in_flight or state.failures)
            if full and idle and now_ms - state.started_ms > self.budget.warm_up_ms:
                del self._node_states[node]

    def _node_state(self, now_ms: float, node: bytes, started_ms: float) -> _NodeState:
        """Return a node's state; a restarted node gets a new state that keeps the waiting attempts."""
        state = self._node_states.get(node)
        if state is not None and state.started_ms == started_ms:
            return state
        available_ms = self._burst_work_ms(now_ms, started_ms) * self._initial_fill
        waiting = state.waiting if state is not None else []
        state = _NodeState(started_ms, available_ms, now_ms, waiting=waiting)
        self._node_states[node] = state
        return state

    def _expected_wait_ms(
        self, now_ms: float, state: _NodeState, deadline_ms: float, *, resumes: bool
    ) -> float:
        ahead_ms = sum(
            self.handshake_cost_ms(resumes=waiting.resumes)
            for waiting in state.waiting
            if waiting.deadline_ms <= deadline_ms
        )
        missing_ms = ahead_ms + self.handshake_cost_ms(resumes=resumes) - state.available_ms
        wait_ms = self._refill_time_ms(now_ms, state, missing_ms)
        if not state.failures:
            return wait_ms
        # Handshakes with a failing node run one at a time: only attempts that can succeed in time may wait.
        return inf if state.in_flight else max(wait_ms, state.retry_at_ms - now_ms)

    def _refill_time_ms(self, now_ms: float, state: _NodeState, missing_ms: float) -> float:
        """Return the time in which the bucket gains this much work."""
        rate = self.handshake_rate(now_ms, state.started_ms)
        return max(0.0, missing_ms) / rate if rate > 0 else inf

    def _burst_work_ms(self, now_ms: float, started_ms: float) -> float:
        return self.handshake_rate(now_ms, started_ms) * self.budget.burst_ms

    def _refill(self, now_ms: float, state: _NodeState) -> None:
        rate = self.handshake_rate(now_ms, state.started_ms)
        bucket_ms = max(rate * self.budget.burst_ms, self.budget.full_handshake_ms)
        state.available_ms = min(state.available_ms + rate * (now_ms - state.updated_ms), bucket_ms)
        state.updated_ms = now_ms

    def _may_begin(self, now_ms: float, state: _NodeState, *, resumes: bool) -> bool:
        self._refill(now_ms, state)
        if state.failures and (state.in_flight or now_ms < state.retry_at_ms):
            return False
        return state.available_ms >= self.handshake_cost_ms(resumes=resumes)

    def _begin(self, state: _NodeState, *, resumes: bool) -> None:
        state.available_ms -= self.handshake_cost_ms(resumes=resumes)
        state.in_flight += 1

    def _jitter(self) -> float:
        return _MIN_JITTER + self._random.random() / 2
