"""Whether a node that is warming up may be sent a request.

Few schedulers have work for such a node and none knows which. A scheduler's own share of what the node bears
is certain; beyond it, chance keeps the work of all schedulers together within what the node bears. Source:
rule 4 of the wire's page, and the budget of a cold storage node in the standing test. Sizes are units, times
milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from sabledyke.policy.context import Context
from sabledyke.policy.demand import Demand
from sabledyke.policy.node_directory import NodeDirectory
from sabledyke.policy.settings import Settings
from sabledyke.policy.state import NodeRecord, PendingRequest

# Part of what a warming node bears that chance lets through, in the mean over all schedulers.
TARGET_FRACTION = 0.5
# By how much more chance decides right after the node was listed; gone after one overload window.
FIRST_WINDOW_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class AdmissionChances:
    """The chances that a request may be sent to a node."""

    eventually: float
    now: float


CERTAIN = AdmissionChances(1.0, 1.0)


@dataclass(frozen=True, slots=True)
class WarmingNode:
    """What a scheduler knows of a node that is warming up.

    Attributes:
        warm_up_fraction: The fraction of its capacity that it has for sure.
        sent_units: Sent there by this scheduler within the overload window.
        listed_for_ms: How long ago it was listed.
        expected_units: Requested from it through all schedulers within the window.
        served_fraction: Fraction of what warm nodes of its kind were asked for that they served in time.
    """

    warm_up_fraction: float
    sent_units: float
    listed_for_ms: float
    expected_units: float
    served_fraction: float


def warm_up_fraction(settings: Settings, age_ms: float) -> float:
    """Returns the fraction of its capacity that a node of this age had one window ago; 1 once it is warm."""
    grown = (age_ms - settings.overload_window_ms) / settings.warm_up_ms
    initial = settings.slow_start_fraction
    return min(1.0, initial + (1 - initial) * max(0.0, grown))


def safe_units(settings: Settings, fraction: float) -> float:
    """Returns the units that any node bears within the window, from all schedulers, at this fraction."""
    return settings.slow_start_units * fraction / settings.slow_start_fraction


def admission_chances(
    settings: Settings, node: WarmingNode, units: float, relative_value: float
) -> AdmissionChances:
    """Returns the chances that a request of this value, relative to the usual one, may be sent there.

    They aim at the stated multiple of the warm part of what nodes of its kind were seen to serve: the least
    that any node bears would starve a fleet of new nodes.
    """
    warm = node.warm_up_fraction
    seen = settings.overload_multiple * warm * node.served_fraction
    share = safe_units(settings, warm) / node.expected_units
    chance = min(1.0, TARGET_FRACTION * max(min(warm, share), seen) * relative_value)
    # Less for large requests, and soon after other sends or the listing; the warmer, the less chance decides.
    fresh = FIRST_WINDOW_FACTOR * max(0.0, 1 - node.listed_for_ms / settings.overload_window_ms)
    size = max(1.0, units / settings.mean_units)
    coldness = (1 - warm) / (1 - settings.slow_start_fraction)
    exponent_now = coldness * (size + fresh + node.sent_units / settings.mean_units)
    return AdmissionChances(float(chance ** (coldness * size)), float(chance**exponent_now))


class SlowStart:
    """Applies the warm-up of nodes to one scheduler's records."""

    def __init__(self, context: Context, directory: NodeDirectory, demand: Demand) -> None:
        self._context = context
        self._directory = directory
        self._demand = demand

    def fraction(self, node: NodeRecord) -> float:
        """Returns the fraction of its capacity that the node has for sure; 1 once it is warm."""
        return warm_up_fraction(self._context.settings, self._context.now_ms - node.warming_since_ms)

    def is_warm(self, node: NodeRecord) -> bool:
        """Whether the node has its full capacity."""
        return self.fraction(node) >= 1

    def chances(self, pending: PendingRequest, node: NodeRecord) -> AdmissionChances:
        """Returns the chances that the node may be sent this request."""
        settings = self._context.settings
        fraction = self.fraction(node)
        if fraction >= 1:
            return CERTAIN
        units = pending.request.units
        sent_units = self._sent_units(node)
        if sent_units + units <= safe_units(settings, fraction) / settings.scheduler_count:
            return CERTAIN
        warming = WarmingNode(
            warm_up_fraction=fraction,
            sent_units=sent_units,
            listed_for_ms=self._context.now_ms - node.listed_ms,
            expected_units=self._expected_units(),
            served_fraction=self._served_fraction(node),
        )
        return admission_chances(settings, warming, units, pending.value / self._demand.usual_value)

    def _sent_units(self, node: NodeRecord) -> float:
        """What this scheduler sent the node within the overload window."""
        since_ms = self._context.now_ms - self._context.settings.overload_window_ms
        return sum(units for sent_ms, units in node.recent_sends if sent_ms >= since_ms)

    def _expected_units(self) -> float:
        """What all schedulers together are asked for one node within the overload window."""
        settings = self._context.settings
        units = self._demand.units_per_ms() * settings.overload_window_ms * settings.scheduler_count
        return units / self._directory.ready_count

    def _served_fraction(self, node: NodeRecord) -> float:
        kind = self._directory.kind_of(node)
        if not kind.requested_units:
            return 0.0
        return min(1.0, kind.served_units / kind.requested_units)
