"""Limits on the units sent to a storage node: a budget for each period and an in-flight limit (window).

The budget tracks the units that the node served within the latency objective in its best recent period, and
grows while it is used up without late answers. The in-flight limit grows while the node's answers are fast
and shrinks while they are slow. Old statistics decay towards those of the node's kind. Sizes are units.
"""

from __future__ import annotations

from math import exp

from sabledyke.policy.context import LOOKBACK_MS, Context
from sabledyke.policy.node_directory import NodeDirectory
from sabledyke.policy.slow_start import SlowStart
from sabledyke.policy.state import KindStatistics, NodeRecord, PendingRequest

# Bounds of a period's budget, in mean requests.
MIN_BUDGET_REQUESTS = 4
MAX_BUDGET_REQUESTS = 32
# Fraction of late answers above which a period counts as having missed the latency objective.
LATE_FRACTION = 0.25
# Bounds of the in-flight limit, in mean requests.
MIN_WINDOW_REQUESTS = 0.25
MAX_WINDOW_REQUESTS = 16.0
# The in-flight limit grows while the answer time is below the first of these fractions of the latency
# objective, and shrinks while it is above the second.
GROW_BELOW_OBJECTIVES = 0.5
SHRINK_ABOVE_OBJECTIVES = 0.8
WINDOW_SHRINK_FACTOR = 0.9
# Smallest weight of a new sample in a smoothed value, and the time constant with which the weight grows
# while no samples arrive.
SMOOTHING = 0.15
FRESHNESS_MS = 4000.0
# Longest interval between single sends to an idle node, regardless of the node's answer time and of the
# requests' value.
MAX_SPACING_MS = 4000.0
# Half-life of a node's own statistics: of a node that has answered, and of one that has not.
HALF_LIFE_MS = 10_000.0
UNANSWERED_HALF_LIFE_MS = 1000.0
# Factor by which the sums over all nodes of a kind decay with each period that is added.
KIND_RETENTION = 0.99
# Periods without a request after which a volume's session at a node is closed.
SESSION_IDLE_PERIODS = 20
# A request whose value is a fraction x of the highest value may use x ** (exponent * answer time / objective)
# of the in-flight limit.
VALUE_EXPONENT = 2.5


def smoothing_weight(context: Context, updated_ms: float) -> float:
    """Returns the weight of a new sample in a value last updated at ``updated_ms``: the older, the higher."""
    return max(SMOOTHING, 1 - exp((updated_ms - context.now_ms) / FRESHNESS_MS))


def active_volumes(context: Context, node: NodeRecord) -> list[int]:
    """Returns the volumes with an open session at the node."""
    idle_ms = SESSION_IDLE_PERIODS * context.period_ms
    return [volume for volume, last_ms in node.sessions.items() if context.now_ms - last_ms < idle_ms]


class ConcurrencyLimiter:
    """Keeps the budgets and in-flight limits of nodes."""

    def __init__(self, context: Context, directory: NodeDirectory, slow_start: SlowStart) -> None:
        self._context = context
        self._directory = directory
        self._slow_start = slow_start

    def has_capacity(self, pending: PendingRequest, node: NodeRecord) -> bool:
        """Returns whether the node may be sent this request now."""
        units = pending.request.units
        if node.unresponsive:
            return self._context.now_ms >= node.next_probe_ms
        if node.sent_units and node.sent_units + units > node.budget_units:
            return False
        limit = self._limit_for(pending, node)
        if node.in_flight_units + units <= limit:
            return True
        return not node.in_flight_units and self._min_interval_elapsed(node, limit)

    def on_answer(self, node: NodeRecord, elapsed_ms: float, units: float) -> None:
        """Updates the estimates of the answer time and the in-flight limits of the node and of its kind."""
        weight = smoothing_weight(self._context, node.latency_updated_ms)
        node.latency_updated_ms = self._context.now_ms
        node.latency_ms += weight * (max(1.0, elapsed_ms) - node.latency_ms)
        self._adjust_window(node, elapsed_ms, units)
        kind = self._directory.kind_of(node)
        kind_weight = smoothing_weight(self._context, kind.latency_updated_ms)
        kind.latency_updated_ms = self._context.now_ms
        kind.latency_ms += kind_weight * (elapsed_ms - kind.latency_ms)
        kind.window_units += SMOOTHING * (node.window_units - kind.window_units)

    def close_period(self, node: NodeRecord) -> None:
        """Decays old statistics and, if the node's period is over, sets the budget of the next one."""
        kind = self._directory.kind_of(node)
        self._decay(node, kind)
        elapsed_periods = self._context.current_period - node.period_number
        if elapsed_periods <= 0:
            return
        node.period_number += elapsed_periods
        filled = node.sent_units + self._context.mean_units > node.budget_units
        past_objective = node.late_count > LATE_FRACTION * node.answer_count
        node.strained = filled and past_objective
        self._record_period(node, kind, elapsed_periods)
        self._set_budget(node, filled=filled, past_objective=past_objective)
        kind.budget_units += SMOOTHING * (node.budget_units - kind.budget_units)
        node.sent_units = 0.0
        node.served_units = 0.0
        node.answer_count = 0
        node.late_count = 0
        node.requested_units = sum(pending.request.units for pending in node.queue)

    def period_end_wait_ms(self, node: NodeRecord) -> float:
        """Returns the time until the node's next period."""
        return (node.period_number + 1) * self._context.period_ms - self._context.now_ms

    def _limit_for(self, pending: PendingRequest, node: NodeRecord) -> float:
        """Returns the in-flight limit for this request: lower for a low value and for a slow node."""
        context = self._context
        exponent = VALUE_EXPONENT * node.latency_ms / context.shortest_objective_ms
        return node.window_units * float((pending.value / context.max_value) ** exponent)

    def _min_interval_elapsed(self, node: NodeRecord, limit_units: float) -> bool:
        """Returns whether an idle node with a limit below one request may be sent a single request again."""
        if not node.recent_sends:
            return True
        elapsed_ms = self._context.now_ms - node.recent_sends[-1][0]
        if elapsed_ms >= MAX_SPACING_MS:
            return True
        return elapsed_ms * limit_units >= node.latency_ms * self._context.mean_units

    def _adjust_window(self, node: NodeRecord, elapsed_ms: float, units: float) -> None:
        context = self._context
        mean_units = context.mean_units
        ratio = elapsed_ms / context.shortest_objective_ms / max(1.0, units / mean_units / 2)
        since_reduction_ms = context.now_ms - node.window_reduced_ms
        if ratio > SHRINK_ABOVE_OBJECTIVES and since_reduction_ms > max(
            node.latency_ms, context.shortest_objective_ms
        ):
            node.window_units = max(
                MIN_WINDOW_REQUESTS * mean_units, node.window_units * WINDOW_SHRINK_FACTOR
            )
            node.window_reduced_ms = context.now_ms
        elif (
            ratio < GROW_BELOW_OBJECTIVES
            and node.in_flight_units + units + mean_units >= node.window_units / 2
        ):
            grown = node.window_units + mean_units * units / node.window_units
            node.window_units = min(2 * node.window_units, grown, MAX_WINDOW_REQUESTS * mean_units)

    def _decay(self, node: NodeRecord, kind: KindStatistics) -> None:
        known = node.latency_updated_ms or not kind.served_units
        half_life_ms = HALF_LIFE_MS if known else UNANSWERED_HALF_LIFE_MS
        retained = 0.5 ** ((self._context.now_ms - node.decayed_ms) / half_life_ms)
        node.window_units = kind.window_units + retained * (node.window_units - kind.window_units)
        node.latency_ms = kind.latency_ms + retained * (node.latency_ms - kind.latency_ms)
        node.decayed_ms = self._context.now_ms

    def _record_period(self, node: NodeRecord, kind: KindStatistics, elapsed_periods: int) -> None:
        """Records the period's load for the admission test and, of a warm node, the units of its kind."""
        context = self._context
        if self._slow_start.is_warm(node):
            kind.requested_units = KIND_RETENTION * kind.requested_units + node.requested_units
            kind.served_units = KIND_RETENTION * kind.served_units + node.served_units
        node.recent_served_units.append(node.served_units)
        node.sessions = {
            volume: last_ms
            for volume, last_ms in node.sessions.items()
            if context.now_ms - last_ms < LOOKBACK_MS
        }
        volume_count = max(1, len(active_volumes(context, node)))
        node.period_loads.append(node.requested_units / node.budget_units / volume_count)
        node.period_loads.extend([0.0] * min(elapsed_periods - 1, int(LOOKBACK_MS / context.period_ms)))

    def _set_budget(self, node: NodeRecord, *, filled: bool, past_objective: bool) -> None:
        mean_units = self._context.mean_units
        if filled and node.answer_count:
            best = max(node.recent_served_units)
            node.budget_units = best if past_objective else max(node.budget_units + mean_units, best)
        smallest = MIN_BUDGET_REQUESTS * mean_units
        node.budget_units = min(max(node.budget_units, smallest), MAX_BUDGET_REQUESTS * mean_units)
