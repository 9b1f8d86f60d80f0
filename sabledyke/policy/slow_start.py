"""Admission of requests to storage nodes that are warming up (slow start).

Only some schedulers have requests for such a node, and a scheduler does not know which others have. Each may
always use an equal share of the node's capacity. Beyond its share, a scheduler admits requests at random,
with probabilities that keep the sends of all schedulers together within the node's capacity. Source: rule 4
of the wire's page, and the budget of a cold storage node in the standing test. Sizes are units, times
milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from sabledyke.policy.context import Context
from sabledyke.policy.demand import Demand
from sabledyke.policy.node_directory import NodeDirectory
from sabledyke.policy.settings import Settings
from sabledyke.policy.state import NodeRecord, PendingRequest

# Fraction of a warming node's capacity up to which requests are admitted at random, in the mean over all
# schedulers.
TARGET_FRACTION = 0.5
# Addition to the exponent of the admission probability right after a node is listed; it falls to 0 within one
# overload window.
FIRST_WINDOW_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class AdmissionProbabilities:
    """Probabilities that a request may be sent to a node.

    Attributes:
        eventually: Probability that the request may be sent at all.
        now: Probability that the request may be sent in this batch.
    """

    eventually: float
    now: float


CERTAIN = AdmissionProbabilities(1.0, 1.0)


@dataclass(frozen=True, slots=True)
class WarmingNode:
    """State of a node that is warming up, as one scheduler knows it.

    Attributes:
        warm_up_fraction: Fraction of the full capacity that the node has at least.
        sent_units: Units that this scheduler sent to the node within the overload window.
        listed_for_ms: Time since the node was listed.
        expected_units: Units requested from the node through all schedulers within the window.
        served_fraction: Fraction of the units requested from warm nodes of its kind that they served in time.
    """

    warm_up_fraction: float
    sent_units: float
    listed_for_ms: float
    expected_units: float
    served_fraction: float


def warm_up_fraction(settings: Settings, age_ms: float) -> float:
    """Returns the fraction of the full capacity of a node of this age one window ago; 1 once it is warm."""
    grown = (age_ms - settings.overload_window_ms) / settings.warm_up_ms
    initial = settings.slow_start_fraction
    return min(1.0, initial + (1 - initial) * max(0.0, grown))


def safe_units(settings: Settings, fraction: float) -> float:
    """Returns the units that any node at this fraction can serve in one window, from all schedulers."""
    return settings.slow_start_units * fraction / settings.slow_start_fraction


def admission_probabilities(
    settings: Settings, node: WarmingNode, units: float, relative_value: float
) -> AdmissionProbabilities:
    """Returns the probabilities that a request may be sent to the node.

    The target is ``overload_multiple`` times the warm fraction of the units that nodes of its kind were
    observed to serve: the minimum that any node can serve would leave a fleet of new nodes nearly idle.

    Args:
        settings: The settings in force.
        node: The node.
        units: Size of the request.
        relative_value: Value of the request, relative to the usual value.
    """
    warm = node.warm_up_fraction
    observed = settings.overload_multiple * warm * node.served_fraction
    share = safe_units(settings, warm) / node.expected_units
    probability = min(1.0, TARGET_FRACTION * max(min(warm, share), observed) * relative_value)
    # Probabilities are lower for large requests, and soon after other sends or the listing of the node. While
    # the node warms up, the exponents fall to 0 and the probabilities rise to 1.
    fresh = FIRST_WINDOW_FACTOR * max(0.0, 1 - node.listed_for_ms / settings.overload_window_ms)
    size = max(1.0, units / settings.mean_units)
    coldness = (1 - warm) / (1 - settings.slow_start_fraction)
    exponent_now = coldness * (size + fresh + node.sent_units / settings.mean_units)
    return AdmissionProbabilities(float(probability ** (coldness * size)), float(probability**exponent_now))


class SlowStart:
    """Computes admission probabilities from one scheduler's records of nodes and requests."""

    def __init__(self, context: Context, directory: NodeDirectory, demand: Demand) -> None:
        self._context = context
        self._directory = directory
        self._demand = demand

    def fraction(self, node: NodeRecord) -> float:
        """Returns the fraction of the full capacity that the node has at least; 1 once it is warm."""
        return warm_up_fraction(self._context.settings, self._context.now_ms - node.warming_since_ms)

    def is_warm(self, node: NodeRecord) -> bool:
        """Returns whether the node has its full capacity."""
        return self.fraction(node) >= 1

    def probabilities(self, pending: PendingRequest, node: NodeRecord) -> AdmissionProbabilities:
        """Returns the probabilities that the node may be sent this request."""
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
        return admission_probabilities(settings, warming, units, pending.value / self._demand.usual_value)

    def _sent_units(self, node: NodeRecord) -> float:
        """Returns the units that this scheduler sent to the node within the overload window."""
        since_ms = self._context.now_ms - self._context.settings.overload_window_ms
        return sum(units for sent_ms, units in node.recent_sends if sent_ms >= since_ms)

    def _expected_units(self) -> float:
        """Returns the units requested through all schedulers for one node within the overload window."""
        settings = self._context.settings
        units = self._demand.units_per_ms() * settings.overload_window_ms * settings.scheduler_count
        return units / self._directory.ready_count

    def _served_fraction(self, node: NodeRecord) -> float:
        kind = self._directory.kind_of(node)
        if not kind.requested_units:
            return 0.0
        return min(1.0, kind.served_units / kind.requested_units)
