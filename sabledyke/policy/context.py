"""State that the policy's modules share in a batch: settings, time, random numbers and actions."""

from __future__ import annotations

import random
from math import inf

from sabledyke.policy.actions import Action, Log
from sabledyke.policy.settings import Settings

# Length of a budget period in shortest latency objectives: the larger of the first constant and of the second
# times the number of schedulers. The smallest budgets of all schedulers together then stay within a
# node's capacity.
MIN_PERIOD_OBJECTIVES = 1 / 3
PERIOD_OBJECTIVES_PER_SCHEDULER = 2 / 75
# Period for which arrivals and the loads of the admission test are kept.
LOOKBACK_MS = 30_000.0
# Interval between batches while requests are queued or in flight.
TICK_MS = 10.0


class Context:
    """The settings in force, the values derived from them, the time of the batch, and its actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.started_at_ms = -inf
        self.now_ms = -inf
        self.batch_lateness_ms = 0.0
        self.shutdown_at_ms = inf
        self.actions: list[Action] = []
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Puts these settings into force and derives the values that depend on them."""
        self.settings = settings
        self.mean_units = settings.mean_units
        self.shortest_objective_ms = min(
            request_class.latency_objective_ms for request_class in settings.classes
        )
        objectives = max(MIN_PERIOD_OBJECTIVES, PERIOD_OBJECTIVES_PER_SCHEDULER * settings.scheduler_count)
        self.period_ms = objectives * self.shortest_objective_ms
        max_class_value = max(request_class.value for request_class in settings.classes)
        self.max_value = max_class_value * max(plan.value_factor for plan in settings.plans)

    @property
    def current_period(self) -> int:
        """Number of the budget period that contains the time of the batch."""
        return int(self.now_ms // self.period_ms)

    def emit(self, action: Action) -> None:
        """Adds an action to the result of the batch."""
        self.actions.append(action)

    def log(self, text: str) -> None:
        """Adds an action that writes a line to the operators' log."""
        self.emit(Log(text))
