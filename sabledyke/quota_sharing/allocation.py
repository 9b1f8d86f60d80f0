"""A member's share of a volume's limit and reservation: by demand, and all shares never exceed the whole.

The allocator gets the demands that this member wrote and may have written, polls of what all members have
written, and the time on its own clock. It knows no log, socket or clock; clocks are never compared.

Every member keeps ``floor_fraction / members`` for itself, whatever happens. The rest goes by demand: a
member counts its own demand at the smallest that it may have published of late, and each other's at the
largest. So what each member takes is at most its share at one moment that lies in everybody's window, and
shares at one moment add up to one. For that moment to exist a member changes what it publishes at most once
in ``beat_ms``, from when the last was known to stand, and polls more often (``max_poll_gap_ms``). Who has
not polled for that long, or whose demands were not confirmed for ``validity_ms``, takes its floor alone,
and counts for the others until that is certain.

Sources: the argument for leases (Gray and Cheriton, 'Leases', SOSP 1989) on demands in place of files;
dmClock (Gulati et al., OSDI 2010) for shares that follow what was requested elsewhere.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

Demands = Mapping[int, float]
"""Units per second, by volume."""
MAX_PUBLISHED_VOLUMES = 256
"""Volumes that one member publishes its demands of."""
SHARES_TOPIC = "shares"
"""Topic whose registers hold the members' demands."""
NO_DEMANDS: Demands = {}
NEVER = -1e18
"""A time before all others; its negative is after all others."""


@dataclass(slots=True, frozen=True)
class Timing:
    """Durations on the clock of whoever counts them; rates of clocks differ by ``clock_drift`` at most.

    Attributes:
        beat_ms: Between changes of what a member publishes.
        clock_drift: Fraction by which a clock may run fast or slow.
    """

    beat_ms: float = 500.0
    clock_drift: float = 0.02

    @property
    def max_poll_gap_ms(self) -> float:
        """From before one poll to after the next; a member that takes longer keeps to its floor."""
        return 0.9 * self.beat_ms * (1 - self.clock_drift) / (1 + self.clock_drift)

    @property
    def window_ms(self) -> float:
        """For how long what was polled or published still counts."""
        return 3 * self.max_poll_gap_ms * (1 + self.clock_drift) / (1 - self.clock_drift)

    @property
    def validity_ms(self) -> float:
        """How long after its demands were known to stand a member takes more than its floor."""
        return 4 * self.beat_ms

    @property
    def expiry_ms(self) -> float:
        """How long the demands of another may stand still before it certainly takes its floor alone."""
        return self.validity_ms * (1 + self.clock_drift) / (1 - self.clock_drift)


DEFAULT_TIMING = Timing()


@dataclass(slots=True, frozen=True)
class QuotaPolicy:
    """How limits are divided: ``floor_fraction`` of all evenly among ``members``, at the most of them."""

    members: int
    floor_fraction: float = 0.2


@dataclass(slots=True)
class _Publication:
    """Demands that this member published, or may have published.

    Attributes:
        number: Number of the publication.
        demands: What it says.
        started_at_ms: From before it was written.
        replaces: Number of the publication that it was written over.
        superseded_at_ms: By when it was known not to stand any more.
    """

    number: int
    demands: Demands
    started_at_ms: float
    replaces: int
    superseded_at_ms: float | None = None


@dataclass(slots=True)
class _OtherMember:
    """What was polled of another member.

    Attributes:
        number: Number of its last publication.
        changed_at_ms: By when this number was first seen.
        seen: Its demands, each with when it was last seen to stand.
    """

    number: int
    changed_at_ms: float
    seen: deque[tuple[float, Demands]] = field(default_factory=deque)

    def observe(self, now_ms: float, number: int, demands: Demands) -> None:
        if self.number != number:
            self.number = number
            self.changed_at_ms = now_ms
        if self.seen and self.seen[-1][1] == demands:
            self.seen.pop()
        self.seen.append((now_ms, demands))

    def max_demand(self, volume: int) -> float:
        return max(demands.get(volume, 0.0) for _, demands in self.seen)


class QuotaAllocator:
    """The shares of one incarnation of a member.

    Bounded: the publications of one window for each member, of ``MAX_PUBLISHED_VOLUMES`` volumes each.
    """

    def __init__(self, policy: QuotaPolicy, timing: Timing = DEFAULT_TIMING) -> None:
        """Create an allocator that knows nobody else, and keeps to its floor.

        Args:
            policy: How limits are divided.
            timing: How long what is known counts.
        """
        self.policy = policy
        self.timing = timing
        self._publications = deque([_Publication(0, NO_DEMANDS, NEVER, 0)])  # a former incarnation's
        self._others: dict[str, _OtherMember] = {}
        self._published_at_ms = NEVER  # from before the last one that was known to stand was written
        self._known_to_all_at_ms = -NEVER  # from when on all others know of this incarnation
        self._polled_at_ms = NEVER  # from before the last poll
        self._polled_in_time_since_ms = -NEVER
        self._cached_shares: dict[int, float] = {}

    def on_publishing(self, number: int, demands: Demands, started_at_ms: float, replaces: int) -> None:
        """Take note that demands are about to be written over publication ``replaces``: they may stand."""
        self._publications.append(_Publication(number, demands, started_at_ms, replaces))
        self._cached_shares.clear()

    def on_published(self, number: int, now_ms: float) -> None:
        """Take note that a publication stands; what was to replace an earlier one never will."""
        publication = next((known for known in self._publications if known.number == number != 0), None)
        if publication is None:
            return  # a former incarnation's
        for known in self._publications:
            if known.number < number and known.superseded_at_ms is None:
                known.superseded_at_ms = now_ms
        self._publications = deque(
            known for known in self._publications if known.number <= number or known.replaces == number
        )
        if self._published_at_ms == NEVER:  # a former incarnation may still have a share
            self._known_to_all_at_ms = now_ms + max(self.timing.expiry_ms, self.timing.window_ms)
        elif now_ms - self._published_at_ms > self.timing.validity_ms:  # others may count it as expired
            self._known_to_all_at_ms = now_ms + self.timing.window_ms
        self._published_at_ms = max(self._published_at_ms, publication.started_at_ms)
        self._cached_shares.clear()

    def on_rejected(self, number: int) -> None:
        """Take note that a publication was certainly not written, and never will be."""
        self._publications = deque(known for known in self._publications if known.number != number)
        self._cached_shares.clear()

    def on_poll(self, started_at_ms: float, now_ms: float, found: Mapping[str, tuple[int, Demands]]) -> None:
        """Take note of what the other members have published.

        Args:
            started_at_ms: From before the poll.
            now_ms: The time now.
            found: Number and demands of the publication of each other member.
        """
        if now_ms - self._polled_at_ms > self.timing.max_poll_gap_ms:
            self._polled_in_time_since_ms = started_at_ms
        self._polled_at_ms = started_at_ms
        for name, (number, demands) in found.items():
            if name not in self._others:
                self._others[name] = _OtherMember(number, now_ms)
            self._others[name].observe(now_ms, number, demands)
        for name in [name for name in self._others if name not in found]:
            del self._others[name]  # an operator has had it forgotten
        self._drop_expired(now_ms - self.timing.window_ms, now_ms)
        self._cached_shares.clear()

    def is_fresh(self, now_ms: float) -> bool:
        """Return whether enough is known, here and by the others, to take more than the floor."""
        return self._polls_in_time(now_ms) and self._is_known_to_all(now_ms) and self._is_confirmed(now_ms)

    def share_of(self, volume: int, now_ms: float) -> float:
        """Return this member's share of the volume's limit and reservation, from 0 to 1."""
        if not self.is_fresh(now_ms):
            return self._floor
        share = self._cached_shares.get(volume)
        if share is None:
            by_demand = (1 - self.policy.floor_fraction) * self._demand_share(volume, now_ms)
            share = self._floor + by_demand
            self._cached_shares[volume] = share
        return share

    @property
    def _floor(self) -> float:
        return self.policy.floor_fraction / max(self.policy.members, len(self._others) + 1)

    def _polls_in_time(self, now_ms: float) -> bool:
        if now_ms - self._polled_at_ms > self.timing.max_poll_gap_ms:
            return False
        return now_ms - self._polled_in_time_since_ms >= self.timing.window_ms

    def _is_known_to_all(self, now_ms: float) -> bool:
        return now_ms >= self._known_to_all_at_ms

    def _is_confirmed(self, now_ms: float) -> bool:
        return now_ms - self._published_at_ms <= self.timing.validity_ms

    def _demand_share(self, volume: int, now_ms: float) -> float:
        own = min(known.demands.get(volume, 0.0) for known in self._publications)
        if own <= 0:
            return 0.0
        return own / (own + sum(other.max_demand(volume) for other in self._sharing_members(now_ms)))

    def _sharing_members(self, now_ms: float) -> list[_OtherMember]:
        """Return the other members that may take more than their floor."""
        expiry_ms = self.timing.expiry_ms
        return [other for other in self._others.values() if now_ms - other.changed_at_ms <= expiry_ms]

    def _drop_expired(self, before_ms: float, now_ms: float) -> None:
        publications = self._publications
        while len(publications) > 1 and (publications[0].superseded_at_ms or now_ms) < before_ms:
            publications.popleft()
        for other in self._others.values():
            while other.seen[0][0] < before_ms:
                other.seen.popleft()
