"""The demands of a member's clients, smooth enough to be relied on and quick enough to follow. Pure.

A share is counted from the smallest demand that its holder published of late and the largest that others did
(``allocation``), so that every change costs something: a demand is published anew only where it has changed
by more than ``MIN_CHANGE_RATIO``.
"""

from __future__ import annotations

from math import sqrt

from sabledyke.quota_sharing.allocation import MAX_PUBLISHED_VOLUMES

SMOOTHING = 0.3
"""Weight of the last rate, where chance explains its difference."""
SURPRISE_SMOOTHING = 0.8
"""Weight of the last rate, where chance does not explain its difference."""
CHANCE_DEVIATIONS = 3.0
"""Standard deviations of a count that chance explains."""
MIN_CHANGE_RATIO = 1.4
"""Ratio to the published rate, or its inverse, from which on a rate is published anew."""
MIN_PUBLISHED_RATE = 0.05
"""Units per second."""
MIN_INTERVAL_S = 0.001
MAX_COUNTED_VOLUMES = 4 * MAX_PUBLISHED_VOLUMES


class DemandMeter:
    """Measures the demands of one member's clients."""

    def __init__(self, now_ms: float) -> None:
        """Create a meter that has seen no request yet."""
        self._units: dict[int, float] = {}  # since the last publication
        self._limits: dict[int, float] = {}  # all there is of a volume, units per second
        self._rates: dict[int, float] = {}
        self._published: dict[int, float] = {}
        self._since_ms = now_ms

    @property
    def has_demand(self) -> bool:
        """Whether something was requested, or a demand is still published."""
        return bool(self._units or self._published)

    def add(self, now_ms: float, volume: int, units: float, limit: float) -> None:
        """Count units that were requested.

        Args:
            now_ms: Time on this member's clock.
            volume: The volume.
            units: Units of the request.
            limit: Units per second that all members together may take of the volume.
        """
        if not self.has_demand:
            self._since_ms = now_ms
        if volume in self._units or len(self._units) < MAX_COUNTED_VOLUMES:
            self._units[volume] = self._units.get(volume, 0.0) + units
            self._limits[volume] = limit

    def next_demands(self, now_ms: float) -> dict[int, float]:
        """Return what to publish now, in units per second by volume.

        No demand counts for more than there is of its volume: who requests ten times as much does not take
        what others could have.
        """
        seconds = max(MIN_INTERVAL_S, (now_ms - self._since_ms) / 1000)
        for volume in {*self._rates, *self._units}:
            self._rates[volume] = self._smoothed_rate(volume, seconds)
        busiest = sorted(self._rates, key=lambda volume: -self._rates[volume])[:MAX_PUBLISHED_VOLUMES]
        self._rates = {
            volume: self._rates[volume] for volume in busiest if self._rates[volume] >= MIN_PUBLISHED_RATE
        }
        self._published = {volume: self._published_rate(volume) for volume in self._rates}
        self._units = {}
        self._since_ms = now_ms
        self._limits = {volume: limit for volume, limit in self._limits.items() if volume in self._rates}
        return self._published

    def _smoothed_rate(self, volume: int, seconds: float) -> float:
        rate = min(self._units.get(volume, 0.0) / seconds, self._limits.get(volume, 0.0))
        before = self._rates.get(volume, rate)
        explained_by_chance = CHANCE_DEVIATIONS * sqrt(max(1.0, before * seconds))
        is_surprise = abs(rate - before) * seconds > explained_by_chance
        weight = SURPRISE_SMOOTHING if is_surprise else SMOOTHING
        return before + weight * (rate - before)

    def _published_rate(self, volume: int) -> float:
        rate = self._rates[volume]
        last = self._published.get(volume, 0.0)
        if last / MIN_CHANGE_RATIO <= rate <= last * MIN_CHANGE_RATIO:
            return last
        return round(rate, 3)
