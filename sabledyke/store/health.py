"""The state of the store: stalls, backoff, and the trial batches that end a stall.

Decides whether keyed writes are accepted, which retry delay rejected clients are given, and when the next
batch may be tried. Accesses no database; times are milliseconds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from math import inf

MIN_STALL_MS = 0.001  # shortest reported duration of a stall, because 0 means that there was none


class HealthState(Enum):
    """The state of the store.

    Attributes:
        OPEN: Keyed writes are accepted.
        STALLED: Keyed writes are rejected; a batch is in flight, or a trial is due later.
        FENCED: Keyed writes are rejected permanently, because a later incarnation has started.
    """

    OPEN = "open"
    STALLED = "stalled"
    FENCED = "fenced"


@dataclass(slots=True, frozen=True)
class StoreLimits:
    """The limits of the store.

    Attributes:
        stall_ms: Time without an answer after which a batch counts as stalled.
        give_up_ms: Time without an answer after which the connection to a server is aborted.
        first_wait_ms: Delay before the first trial after a stall; it doubles up to ``longest_wait_ms``.
        longest_wait_ms: Longest delay between trials, which bounds the detection of a recovered store.
        backlog: Number of pending intents and entries beyond which keyed writes are rejected.
        batch: Maximum number of intents, and of entries, in one transaction.
        gather_ms: Time that a batch waits for more intents and entries before it is written.
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
        limits: The limits of the store.
        state: The current state.
        entered_at_ms: Time at which the store entered this state.
        stalls: Number of stalls so far.
    """

    def __init__(self, limits: StoreLimits, seed: int) -> None:
        self.limits = limits
        self.state = HealthState.OPEN
        self.entered_at_ms = -inf
        self.stalls = 0
        self._random = random.Random(seed)
        self._batch_began_at_ms: float | None = None  # start of the batch in flight, if any
        self._backoff_ms = limits.first_wait_ms
        self._next_trial_ms = -inf

    @property
    def accepts_writes(self) -> bool:
        """True if keyed writes may be accepted."""
        return self.state is HealthState.OPEN

    def on_batch_began(self, now_ms: float) -> None:
        """Record the start of a batch."""
        self._batch_began_at_ms = now_ms

    def on_batch_committed(self, now_ms: float) -> float:
        """Record the commit of a batch; return the duration of the stall that it ends, 0 for none."""
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
        """Record a batch that failed or whose outcome is unknown; return True if a stall begins.

        Guards against overloading a database that is down: trials back off with jitter, so that many
        schedulers do not retry at the same moment.

        Args:
            now_ms: The time.
            fenced: True if a later incarnation has started, which ends this one's record permanently.
        """
        self._batch_began_at_ms = None
        self._next_trial_ms = now_ms + self._backoff_ms * (0.5 + self._random.random() / 2)
        self._backoff_ms = min(2 * self._backoff_ms, self.limits.longest_wait_ms)
        return self._enter(now_ms, HealthState.FENCED if fenced else HealthState.STALLED)

    def allow_immediate_retry(self) -> None:
        """Record that no batch is in flight any more without counting a failure, so no backoff applies."""
        self._batch_began_at_ms = None

    def on_tick(self, now_ms: float) -> bool:
        """Return True if a batch that is still unanswered begins a stall now."""
        if self._batch_began_at_ms is None or now_ms - self._batch_began_at_ms < self.limits.stall_ms:
            return False
        return self._enter(now_ms, HealthState.STALLED)

    def may_start_batch(self, now_ms: float) -> bool:
        """Return True if a batch may be written now."""
        if self.state is HealthState.FENCED or self._batch_began_at_ms is not None:
            return False
        return now_ms >= self._next_trial_ms

    def next_trial_ms(self) -> float:
        """Return the earliest time of the next batch."""
        return self._next_trial_ms

    def retry_after_ms(self, now_ms: float, max_ms: float) -> float:
        """Return the milliseconds after which a rejected client should retry, at most ``max_ms``."""
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
