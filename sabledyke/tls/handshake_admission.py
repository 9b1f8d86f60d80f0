"""Admission of TLS handshakes, so that no crowd of them overloads a storage node that has just started.

Decides which attempt may begin a handshake with a storage node, and when. Schedulers cannot communicate, so
each keeps to an even share of what a node can do at its age. Clock and seed are passed in; all times are
milliseconds.

Each node has a token bucket of handshake work, in milliseconds of the node's CPU. It fills at this
scheduler's share of the capacity that may go to handshakes, and holds what ``burst_ms`` at that rate come to.

Bounds: a node's entry goes with ``forget``, or with ``evict_idle``; those that wait are outstanding attempts,
each with its deadline.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

_MAX_FAILURES = 30  # counted, so that the backoff's exponent stays small
_MIN_JITTER = 0.5


@dataclass(slots=True, frozen=True)
class HandshakeBudget:
    """What a storage node can do. The costs are those that ``benchmarks/tls.py`` measured for P-256.

    Attributes:
        scheduler_count: Schedulers that may connect at the same time.
        initial_capacity_share: Share of its capacity that a node has when it starts.
        warm_up_ms: Time until it has all of its capacity.
        handshake_share: Share of its capacity that handshakes may take.
        cores: Its CPU cores.
        full_handshake_ms: CPU time that a full handshake takes of the node.
        resumed_handshake_ms: CPU time that a resumed handshake takes of the node.
        burst_ms: Time for which a bucket fills.
        min_backoff_ms: Backoff after a failed handshake, doubled up to ...
        max_backoff_ms: ... this.
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
    """Attempts that need not wait any longer, by earliest deadline."""

    admitted: list[int]
    expired: list[int]


class _WaitingAttempt(NamedTuple):
    deadline_ms: float
    attempt: int
    resumes: bool


@dataclass(slots=True)
class _NodeAccount:
    """One storage node as this scheduler has met it."""

    started_ms: float
    available_ms: float  # CPU time that may be spent now
    updated_ms: float
    failures: int = 0
    retry_at_ms: float = -inf  # after failures: no handshake before this, and then one at a time
    in_flight: int = 0
    waiting: list[_WaitingAttempt] = field(default_factory=list)  # a heap


class HandshakeAdmission:
    """Admits handshakes to all storage nodes.

    Attributes:
        budget: What a storage node can do; the caller replaces it.
    """

    def __init__(self, budget: HandshakeBudget, seed: int) -> None:
        self.budget = budget
        self._random = random.Random(seed)
        self._accounts: dict[bytes, _NodeAccount] = {}
        # Schedulers that find a node back at the same moment would all begin with a full bucket then.
        self._initial_fill = self._jitter()

    @property
    def entry_count(self) -> int:
        """Number of entries in all tables."""
        waiting = sum(len(account.waiting) for account in self._accounts.values())
        return len(self._accounts) + waiting

    def handshake_rate(self, now_ms: float, started_ms: float) -> float:
        """Return the handshake work per time that this scheduler may cause at a node that started then."""
        budget = self.budget
        warm_up_fraction = max(0.0, now_ms - started_ms) / budget.warm_up_ms
        initial_share = budget.initial_capacity_share
        capacity_share = min(1.0, initial_share + (1 - initial_share) * warm_up_fraction)
        return capacity_share * budget.cores * budget.handshake_share / budget.scheduler_count

    def handshake_cost_ms(self, *, resumes: bool) -> float:
        """Return the CPU time that a handshake takes of the node."""
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
            now_ms: The time.
            node: The storage node.
            started_ms: When it started.
            attempt: Identifies the attempt.
            deadline_ms: When the attempt is given up.
            resumes: Whether the handshake resumes a session.

        Returns:
            True to begin at once; False to wait until ``pop_due`` names the attempt; None where there is no
            capacity in time.
        """
        account = self._account(now_ms, node, started_ms)
        if self._may_begin(now_ms, account, resumes=resumes) and not account.waiting:
            self._begin(account, resumes=resumes)
            return True
        if now_ms + self._expected_wait_ms(now_ms, account, deadline_ms, resumes=resumes) > deadline_ms:
            return None
        heapq.heappush(account.waiting, _WaitingAttempt(deadline_ms, attempt, resumes))
        return False

    def pop_due(self, now_ms: float, node: bytes) -> DueAttempts:
        """Remove and return the waiting attempts that may begin now or are out of time."""
        account = self._accounts.get(node)
        due = DueAttempts([], [])
        while account is not None and account.waiting:
            first = account.waiting[0]
            if first.deadline_ms <= now_ms:
                due.expired.append(first.attempt)
            elif self._may_begin(now_ms, account, resumes=first.resumes):
                self._begin(account, resumes=first.resumes)
                due.admitted.append(first.attempt)
            else:
                break
            heapq.heappop(account.waiting)
        return due

    def next_due_ms(self, now_ms: float, node: bytes) -> float:
        """Return when ``pop_due`` may have something new; inf for never."""
        account = self._accounts.get(node)
        if account is None or not account.waiting:
            return inf
        first = account.waiting[0]
        if account.failures and account.in_flight:
            return first.deadline_ms
        self._refill(now_ms, account)
        missing_ms = self.handshake_cost_ms(resumes=first.resumes) - account.available_ms
        admitted_ms = now_ms + self._refill_time_ms(now_ms, account, missing_ms)
        if account.failures:
            admitted_ms = max(admitted_ms, account.retry_at_ms)
        return min(first.deadline_ms, admitted_ms)

    def withdraw(self, node: bytes, attempt: int) -> None:
        """Remove a waiting attempt that was cancelled."""
        account = self._accounts.get(node)
        if account is not None:
            account.waiting = [waiting for waiting in account.waiting if waiting.attempt != attempt]
            heapq.heapify(account.waiting)

    def on_handshake_completed(self, now_ms: float, node: bytes, *, good: bool) -> None:
        """Note that a handshake that had begun is over.

        A node whose handshakes fail is tried one at a time, with backoff: a crowd of handshakes would fail
        alike, and cost the node as much.
        """
        account = self._accounts.get(node)
        if account is None:
            return
        account.in_flight = max(0, account.in_flight - 1)
        if good:
            account.failures = 0
            account.retry_at_ms = -inf
            return
        account.failures = min(account.failures + 1, _MAX_FAILURES)
        backoff_ms = self.budget.min_backoff_ms * 2 ** (account.failures - 1)
        account.retry_at_ms = now_ms + min(backoff_ms, self.budget.max_backoff_ms) * self._jitter()

    def forget(self, node: bytes) -> list[int]:
        """Forget a node that was removed from the endpoint list, and return its waiting attempts."""
        account = self._accounts.pop(node, None)
        return [] if account is None else [waiting.attempt for waiting in account.waiting]

    def evict_idle(self, now_ms: float) -> None:
        """Forget warmed-up nodes of which nothing is left to know: idle, full bucket, no failure."""
        for node, account in list(self._accounts.items()):
            self._refill(now_ms, account)
            full = account.available_ms >= self._burst_work_ms(now_ms, account.started_ms)
            idle = not (account.waiting or account.in_flight or account.failures)
            if full and idle and now_ms - account.started_ms > self.budget.warm_up_ms:
                del self._accounts[node]

    def _account(self, now_ms: float, node: bytes, started_ms: float) -> _NodeAccount:
        """Return a node's account; a restarted node begins a new one, and attempts keep waiting."""
        account = self._accounts.get(node)
        if account is not None and account.started_ms == started_ms:
            return account
        available_ms = self._burst_work_ms(now_ms, started_ms) * self._initial_fill
        waiting = account.waiting if account is not None else []
        account = _NodeAccount(started_ms, available_ms, now_ms, waiting=waiting)
        self._accounts[node] = account
        return account

    def _expected_wait_ms(
        self, now_ms: float, account: _NodeAccount, deadline_ms: float, *, resumes: bool
    ) -> float:
        ahead_ms = sum(
            self.handshake_cost_ms(resumes=waiting.resumes)
            for waiting in account.waiting
            if waiting.deadline_ms <= deadline_ms
        )
        missing_ms = ahead_ms + self.handshake_cost_ms(resumes=resumes) - account.available_ms
        wait_ms = self._refill_time_ms(now_ms, account, missing_ms)
        if not account.failures:
            return wait_ms
        # Tried one at a time: only as many may wait as can succeed in time.
        return inf if account.in_flight else max(wait_ms, account.retry_at_ms - now_ms)

    def _refill_time_ms(self, now_ms: float, account: _NodeAccount, missing_ms: float) -> float:
        """Return how long the bucket takes to gain so much work."""
        rate = self.handshake_rate(now_ms, account.started_ms)
        return max(0.0, missing_ms) / rate if rate > 0 else inf

    def _burst_work_ms(self, now_ms: float, started_ms: float) -> float:
        return self.handshake_rate(now_ms, started_ms) * self.budget.burst_ms

    def _refill(self, now_ms: float, account: _NodeAccount) -> None:
        rate = self.handshake_rate(now_ms, account.started_ms)
        bucket_ms = max(rate * self.budget.burst_ms, self.budget.full_handshake_ms)
        account.available_ms = min(account.available_ms + rate * (now_ms - account.updated_ms), bucket_ms)
        account.updated_ms = now_ms

    def _may_begin(self, now_ms: float, account: _NodeAccount, *, resumes: bool) -> bool:
        self._refill(now_ms, account)
        if account.failures and (account.in_flight or now_ms < account.retry_at_ms):
            return False
        return account.available_ms >= self.handshake_cost_ms(resumes=resumes)

    def _begin(self, account: _NodeAccount, *, resumes: bool) -> None:
        account.available_ms -= self.handshake_cost_ms(resumes=resumes)
        account.in_flight += 1

    def _jitter(self) -> float:
        return _MIN_JITTER + self._random.random() / 2
