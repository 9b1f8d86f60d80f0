"""Whether the store is fit to record a write now: stalls, back-off, and the trial that ends them.

Told: when a batch goes to the database and how it ended. Decides: whether keyed writes are taken, what
refused clients are advised, and when the next batch may be tried. Never knows a database; times are
milliseconds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from math import inf


class HealthState(Enum):
    """What the store is fit for."""

    OPEN = "open"
    STALLED = "stalled"  # nothing is taken; a batch is under way or a trial is due later
    FENCED = "fenced"  # a later life has taken over: for good


@dataclass(slots=True, frozen=True)
class StoreLimits:
    """The store's bounds; times in milliseconds."""

    stall_ms: float = 250.0  # a batch without an answer for so long is a stall
    give_up_ms: float = 500.0  # ... and so long: its connection is given up, where it has one
    first_wait_ms: float = 50.0  # before the first trial after a stall, doubled up to ...
    longest_wait_ms: float = 300.0  # ... so long: a store that is back is found within it, and one trial
    backlog: int = 10_000  # intents and entries that may wait; beyond it nothing is taken
    batch: int = 256  # intents, and entries, that go into one transaction
    gather_ms: float = 15.0  # for how long a batch gathers what may join it


class StoreHealth:
    """The state machine: OPEN until a batch fails or takes too long, then STALLED until one succeeds."""

    def __init__(self, limits: StoreLimits, seed: int) -> None:
        self.limits, self._random = limits, random.Random(seed)
        self.state = HealthState.OPEN
        self.entered_at_ms = -inf  # when it entered this state
        self.stalls = 0  # how often it stalled so far
        self._under_way: float | None = None  # since when a batch has been with the database
        self._wait = limits.first_wait_ms
        self._trial = -inf  # no batch before that

    @property
    def accepts_writes(self) -> bool:
        """Keyed writes may be taken."""
        return self.state is HealthState.OPEN

    def on_batch_began(self, now: float) -> None:
        """A batch goes to the database."""
        self._under_way = now

    def on_batch_committed(self, now: float) -> float:
        """It took effect; how long the stall was that it ends, 0 for none. The answer itself ends it."""
        self._under_way, self._wait, self._trial = None, self.limits.first_wait_ms, -inf
        if self.state is not HealthState.STALLED:
            return 0.0
        stalled, self.state, self.entered_at_ms = now - self.entered_at_ms, HealthState.OPEN, now
        return max(stalled, 0.001)

    def on_batch_failed(self, now: float, *, fenced: bool = False) -> bool:
        """It failed or nobody knows; whether that begins a stall, or its end for good.

        Guards against hammering a database that is down: trials back off, with jitter, so that many
        schedulers do not come back to it at one moment.
        """
        self._under_way = None
        self._trial = now + self._wait * (0.5 + self._random.random() / 2)
        self._wait = min(2 * self._wait, self.limits.longest_wait_ms)
        return self._enter(now, HealthState.FENCED if fenced else HealthState.STALLED)

    def allow_immediate_retry(self) -> None:
        """The database gave the batch up for another transaction: it may go once more at once."""
        self._under_way = None

    def on_tick(self, now: float) -> bool:
        """Time passes; whether a batch that does not come back begins a stall now."""
        overdue = self._under_way is not None and now - self._under_way >= self.limits.stall_ms
        return overdue and self._enter(now, HealthState.STALLED)

    def may_start_batch(self, now: float) -> bool:
        """Whether a batch may go to the database now."""
        return self.state is not HealthState.FENCED and self._under_way is None and now >= self._trial

    def next_trial_ms(self) -> float:
        """When a batch may go next, as far as that is known."""
        return self._trial

    def retry_after_ms(self, now: float, longest: float) -> float:
        """After how many milliseconds a refused client may find the store back."""
        return min(longest, max(self._trial - now, 0.0) + self.limits.longest_wait_ms)

    def _enter(self, now: float, state: HealthState) -> bool:
        if self.state is state or self.state is HealthState.FENCED:
            return False
        self.state, self.entered_at_ms = state, now
        self.stalls += state is HealthState.STALLED
        return True
