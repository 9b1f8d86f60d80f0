"""Shares of a volume's limit and reservation by demand; the shares of all members add up to at most 1.

The allocator's inputs are the demands that this member has written or may have written, polls of the
publications of all members, and the time on its own clock. It uses no log, socket or clock, and times of
different clocks are never compared.

Every member always keeps a floor of ``floor_fraction / members``. The rest is divided by demand: a member
counts its own demand as the smallest that it may have published within the window, and that of each other
member as the largest. Each member therefore takes at most its share at one moment that lies in the windows of
all members, and the shares at one moment add up to one. For such a moment to exist, a member changes its
publication at most once per ``beat_ms``, counted from the confirmation of the previous one, and polls more
often (``max_poll_gap_ms``). A member that has not polled for that long, or whose demands were not confirmed
for ``validity_ms``, takes only its floor; the other members count its demands until ``expiry_ms`` ensures
that.

Sources: Gray and Cheriton, 'Leases' (SOSP 1989), whose argument for files applies to demands here; Gulati et
al., dmClock (OSDI 2010), for shares that follow the requests at other members.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

Demands = Mapping[int, float]
"""Units per second, by volume."""
MAX_PUBLISHED_VOLUMES = 256
"""Largest number of volumes whose demands one member publishes."""
SHARES_TOPIC = "shares"
"""Topic whose registers hold the members' demands."""
NO_DEMANDS: Demands = {}
NEVER = -1e18
"""Time before all others; its negative is after all others."""


@dataclass(slots=True, frozen=True)
class Timing:
    """Durations in ms, each measured by the clock of the member that uses it.

    Attributes:
        beat_ms: Shortest time between two changes of a member's publication.
        clock_drift: Largest fraction by which a clock may run fast or slow.
    """

    beat_ms: float = 500.0
    clock_drift: float = 0.02

    @property
    def max_poll_gap_ms(self) -> float:
        """Longest time from the start of a poll to the end of the next; after it the floor applies."""
        return 0.9 * self.beat_ms * (1 - self.clock_drift) / (1 + self.clock_drift)

    @property
    def window_ms(self) -> float:
        """Time in ms for which a polled or replaced publication still counts."""
        return 3 * self.max_poll_gap_ms * (1 + self.clock_drift) / (1 - self.clock_drift)

    @property
    def validity_ms(self) -> float:
        """Time in ms from the write of a confirmed publication in which the member may exceed its floor."""
        return 4 * self.beat_ms

    @property
    def expiry_ms(self) -> float:
        """Time in ms after which a member with an unchanged publication certainly takes only its floor."""
        return self.validity_ms * (1 + self.clock_drift) / (1 - self.clock_drift)


DEFAULT_TIMING = Timing()


@dataclass(slots=True, frozen=True)
class QuotaPolicy:
    """Division of limits.

    Attributes:
        members: Expected number of members; a larger actual number lowers the floor.
        floor_fraction: Fraction of each limit that is divided evenly; the rest is divided by demand.
    """

    members: int
    floor_fraction: float = 0.2


@dataclass(slots=True)
class _Publication:
    """Publication that this member has written, or may have written.

    Attributes:
        number: Number of the publication.
        demands: Published demands.
        started_at_ms: Time before the write began.
        replaces: Number of the publication that the write replaces.
        superseded_at_ms: Time at which a later publication was confirmed; None before that.
    """

    number: int
    demands: Demands
    started_at_ms: float
    replaces: int
    superseded_at_ms: float | None = None


@dataclass(slots=True)
class _OtherMember:
    """Polled publications of another member.

    Attributes:
        number: Number of its last publication.
        changed_at_ms: Time at which this number was first seen.
        seen: Its demands, each with the time at which they were last polled.
    """

    number: int
    changed_at_ms: float
    seen: deque[tuple[float, Demands]] = field(default_factory=deque)

    def record_poll(self, now_ms: float, number: int, demands: Demands) -> None:
        if self.number != number:
            self.number = number
            self.changed_at_ms = now_ms
        if self.seen and self.seen[-1][1] == demands:
            self.seen.pop()
        self.seen.append((now_ms, demands))

    def max_demand(self, volume: int) -> float:
        return max(demands.get(volume, 0.0) for _, demands in self.seen)


class QuotaAllocator:
    """Computes the shares of one incarnation of a member.

    Memory is bounded by the publications of each member in one window, with ``MAX_PUBLISHED_VOLUMES`` volumes
    each.
    """

    def __init__(self, policy: QuotaPolicy, timing: Timing = DEFAULT_TIMING) -> None:
        """Create an allocator that grants the floor until polls and confirmations allow more.

        Args:
            policy: Division of limits.
            timing: Durations for which publications count.
        """
        self.policy = policy
        self.timing = timing
        self._publications = deque([_Publication(0, NO_DEMANDS, NEVER, 0)])  # of an earlier incarnation
        self._others: dict[str, _OtherMember] = {}
        self._published_at_ms = NEVER  # start of the write of the last confirmed publication
        self._known_to_all_at_ms = -NEVER  # time from which all other members count this incarnation
        self._polled_at_ms = NEVER  # start of the last poll
        self._polled_in_time_since_ms = -NEVER
        self._cached_shares: dict[int, float] = {}

    def on_publishing(self, number: int, demands: Demands, started_at_ms: float, replaces: int) -> None:
        """Record that demands are about to replace publication ``replaces``; they may count from now on."""
        self._publications.append(_Publication(number, demands, started_at_ms, replaces))
        self._cached_shares.clear()

    def on_published(self, number: int, now_ms: float) -> None:
        """Record a confirmed publication, and drop later writes that were to replace an earlier one.

        Such a write is a compare-and-set on an old version and can no longer take effect.
        """
        publication = next((known for known in self._publications if known.number == number != 0), None)
        if publication is None:
            return  # written by an earlier incarnation
        for known in self._publications:
            if known.number < number and known.superseded_at_ms is None:
                known.superseded_at_ms = now_ms
        self._publications = deque(
            known for known in self._publications if known.number <= number or known.replaces == number
        )
        if self._published_at_ms == NEVER:  # an earlier incarnation may still use a share
            self._known_to_all_at_ms = now_ms + max(self.timing.expiry_ms, self.timing.window_ms)
        elif now_ms - self._published_at_ms > self.timing.validity_ms:  # others may regard it as expired
            self._known_to_all_at_ms = now_ms + self.timing.window_ms
        self._published_at_ms = max(self._published_at_ms, publication.started_at_ms)
        self._cached_shares.clear()

    def on_rejected(self, number: int) -> None:
        """Record that the write of a publication failed and cannot take effect later."""
        self._publications = deque(known for known in self._publications if known.number != number)
        self._cached_shares.clear()

    def on_poll(self, started_at_ms: float, now_ms: float, found: Mapping[str, tuple[int, Demands]]) -> None:
        """Record a poll of the other members' publications.

        Args:
            started_at_ms: Time before the poll began.
            now_ms: Current time.
            found: Number and demands of the publication of each other member.
        """
        if now_ms - self._polled_at_ms > self.timing.max_poll_gap_ms:
            self._polled_in_time_since_ms = started_at_ms
        self._polled_at_ms = started_at_ms
        for name, (number, demands) in found.items():
            if name not in self._others:
                self._others[name] = _OtherMember(number, now_ms)
            self._others[name].record_poll(now_ms, number, demands)
        for name in [name for name in self._others if name not in found]:
            del self._others[name]  # removed by an operator
        self._drop_expired(now_ms - self.timing.window_ms, now_ms)
        self._cached_shares.clear()

    def may_exceed_floor(self, now_ms: float) -> bool:
        """Return whether polls and publications are recent enough to take more than the floor."""
        return (
            self._is_polling_in_time(now_ms) and self._is_known_to_all(now_ms) and self._is_confirmed(now_ms)
        )

    def share_of(self, volume: int, now_ms: float) -> float:
        """Return this member's share of the volume's limit and reservation, from 0 to 1."""
        if not self.may_exceed_floor(now_ms):
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

    def _is_polling_in_time(self, now_ms: float) -> bool:
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
