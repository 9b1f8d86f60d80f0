"""Whether the store is fit to record a write now: stalls, backoff, and the trial that ends them.

Decides whether keyed writes are accepted, what rejected clients are advised, and when the next batch may be
tried. Knows no database; times are milliseconds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from math import inf

MIN_STALL_MS = 0.001  # a stall that has ended is never reported as none


class HealthState(Enum):
    """What the store is fit for."""

    OPEN = "open"
    STALLED = "stalled"  # nothing is accepted; a batch is in flight or a trial is due later
    FENCED = "fenced"  # a later incarnation has taken over: for good


@dataclass(slots=True, frozen=True)
class StoreLimits:
    """The store's bounds.

    Attributes:
        stall_ms: How long a batch may go unanswered before it is a stall.
        give_up_ms: ... and before its connection is given up, where it has one.
        first_wait_ms: The time before the first trial after a stall, doubled up to ``longest_wait_ms``.
        longest_wait_ms: A store that is back is found within it, and one trial.
        backlog: Intents and entries that may wait; beyond it nothing is accepted.
        batch: Intents, and entries, that go into one transaction.
        gather_ms: How long a batch gathers what may join it.
    """

    stall_ms: float = 250.0
    give_up_ms: float = 500.0
    first_wait_ms: float = 50.0
    longest_wait_ms: float = 300.0
    backlog: int = 10_000
    batch: int = 256
    gather_ms: float = 15.0


class StoreHealth:
    """The state machine: OPEN until a batch fails or takes too long, then STALLED until one succeeds.

    Attributes:
        limits: The bounds of the store.
        state: What the store is fit for.
        entered_at_ms: When it entered this state.
        stalls: How often it has stalled so far.
    """

    def __init__(self, limits: StoreLimits, seed: int) -> None:
        self.limits = limits
        self.state = HealthState.OPEN
        self.entered_at_ms = -inf
        self.stalls = 0
        self._random = random.Random(seed)
        self._batch_began_at_ms: float | None = None  # of the batch in flight
        self._backoff_ms = limits.first_wait_ms
        self._next_trial_ms = -inf

    @property
    def accepts_writes(self) -> bool:
        """Whether keyed writes may be accepted."""
        return self.state is HealthState.OPEN

    def on_batch_began(self, now_ms: float) -> None:
        """Note that a batch goes to the database."""
        self._batch_began_at_ms = now_ms

    def on_batch_committed(self, now_ms: float) -> float:
        """Note that the batch took effect; return how long the stall was that this ends, 0 for none."""
        self._batch_began_at_ms = None
        self._backoff_ms = self.limits.first_wait_ms
        self._next_trial_ms = -inf
        if self.state is not HealthState.STALLED:
            return 0.0
        stalled_ms = now_ms - self.entered_at_ms
        self.state = HealthState.OPEN
        self.entered_at_ms = now_ms
        return max(stalled_ms, MIN_STALL_MS)

    def on_batch_failed(self, now_ms: float, *, fenced: bool = False) -> bool:
        """Note that the batch failed, or that nobody knows; return whether that begins a stall.

        Guards against hammering a database that is down: trials back off, with jitter, so that many
        schedulers do not come back to it at one moment.

        Args:
            now_ms: The time.
            fenced: A later incarnation has taken over, which ends the record of this one for good.
        """
        self._batch_began_at_ms = None
        self._next_trial_ms = now_ms + self._backoff_ms * (0.5 + self._random.random() / 2)
        self._backoff_ms = min(2 * self._backoff_ms, self.limits.longest_wait_ms)
        return self._enter(now_ms, HealthState.FENCED if fenced else HealthState.STALLED)

    def allow_immediate_retry(self) -> None:
        """Note that no batch is in flight any more, without a failure: the next may go at once."""
        self._batch_began_at_ms = None

    def on_tick(self, now_ms: float) -> bool:
        """Return whether a batch that does not come back begins a stall now."""
        if self._batch_began_at_ms is None or now_ms - self._batch_began_at_ms < self.limits.stall_ms:
            return False
        return self._enter(now_ms, HealthState.STALLED)

    def may_start_batch(self, now_ms: float) -> bool:
        """Whether a batch may go to the database now."""
        if self.state is HealthState.FENCED or self._batch_began_at_ms is not None:
            return False
        return now_ms >= self._next_trial_ms

    def next_trial_ms(self) -> float:
        """Return when a batch may go next, as far as that is known."""
        return self._next_trial_ms

    def retry_after_ms(self, now_ms: float, max_ms: float) -> float:
        """Return after how many milliseconds a rejected client may find the store back."""
        wait_ms = max(self._next_trial_ms - now_ms, 0.0)
        return min(max_ms, wait_ms + self.limits.longest_wait_ms)

    def _enter(self, now_ms: float, state: HealthState) -> bool:
        if self.state is state or self.state is HealthState.FENCED:
            return False
        self.state = state
        self.entered_at_ms = now_ms
        if state is HealthState.STALLED:
            self.stalls += 1
        return True
