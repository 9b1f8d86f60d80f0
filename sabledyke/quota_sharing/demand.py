"""Measurement of the demands of a member's clients, smoothed but quick to follow large changes; no I/O.

A share is computed from the smallest recent demand of the member itself and the largest of each other member
(``allocation``), so that each change of a demand temporarily reduces shares. A changed demand is therefore
published only if it differs by more than ``MIN_CHANGE_RATIO``.
"""

from __future__ import annotations

from math import sqrt

from sabledyke.quota_sharing.allocation import MAX_PUBLISHED_VOLUMES

SMOOTHING = 0.3
"""Weight of the latest rate if its difference is within random variation."""
SIGNIFICANT_CHANGE_SMOOTHING = 0.8
"""Weight of the latest rate if its difference exceeds random variation."""
CHANCE_DEVIATIONS = 3.0
"""Standard deviations of a count that are regarded as random variation."""
MIN_CHANGE_RATIO = 1.4
"""Ratio of a rate to the published one, or the inverse, above which the new rate is published."""
MIN_PUBLISHED_RATE = 0.05
"""Smallest published rate, in units per second."""
MIN_INTERVAL_S = 0.001
MAX_COUNTED_VOLUMES = 4 * MAX_PUBLISHED_VOLUMES


class DemandMeter:
    """Measures the demands of one member's clients."""

    def __init__(self, now_ms: float) -> None:
        """Create a meter whose first measurement begins at ``now_ms``."""
        self._units: dict[int, float] = {}  # units requested since the last publication, by volume
        self._limits: dict[int, float] = {}  # units per second available to all members, by volume
        self._rates: dict[int, float] = {}
        self._published: dict[int, float] = {}
        self._since_ms = now_ms

    @property
    def has_demand(self) -> bool:
        """True if units were requested since the last publication, or a demand is still published."""
        return bool(self._units or self._published)

    def add(self, now_ms: float, volume: int, units: float, limit: float) -> None:
        """Count the units of a request.

        Args:
            now_ms: Time on this member's clock.
            volume: Volume of the request.
            units: Units of the request.
            limit: Units per second that all members together may take of the volume.
        """
        if not self.has_demand:
            self._since_ms = now_ms
        if volume in self._units or len(self._units) < MAX_COUNTED_VOLUMES:
            self._units[volume] = self._units.get(volume, 0.0) + units
            self._limits[volume] = limit

    def next_demands(self, now_ms: float) -> dict[int, float]:
        """Return the demands to publish now, in units per second by volume.

        A demand is capped at the volume's limit, so that a member whose clients request many times the limit
        does not displace the other members.
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
        max_chance_deviation = CHANCE_DEVIATIONS * sqrt(max(1.0, before * seconds))
        is_significant = abs(rate - before) * seconds > max_chance_deviation
        weight = SIGNIFICANT_CHANGE_SMOOTHING if is_significant else SMOOTHING
        return before + weight * (rate - before)

    def _published_rate(self, volume: int) -> float:
        rate = self._rates[volume]
        last = self._published.get(volume, 0.0)
        if last / MIN_CHANGE_RATIO <= rate <= last * MIN_CHANGE_RATIO:
            return last
        return round(rate, 3)
