"""What the policy's modules share while a batch is decided: settings, time, chance, actions."""

from __future__ import annotations

import random
from math import inf

from sabledyke.policy.actions import Action, Log
from sabledyke.policy.settings import Settings

# Length of a budget period, as a fraction of the shortest latency objective: at least the first, and the
# second for each scheduler, so that the smallest budgets of all schedulers together fit what a node can do.
MIN_PERIOD_OBJECTIVES = 1 / 3
PERIOD_OBJECTIVES_PER_SCHEDULER = 2 / 75
# Period over which arrivals and admission loads are remembered.
LOOKBACK_MS = 30_000.0
# Interval between batches while requests are queued or in flight.
TICK_MS = 10.0


class Context:
    """The settings in force with what follows from them, the time of the batch, and its actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.started_at_ms = -inf
        self.now_ms = -inf
        self.batch_lateness_ms = 0.0
        self.shutdown_at_ms = inf
        self.actions: list[Action] = []
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Decides by these settings from now on."""
        self.settings = settings
        self.mean_units = settings.mean_units
        self.shortest_objective_ms = min(known.latency_objective_ms for known in settings.classes)
        objectives = max(MIN_PERIOD_OBJECTIVES, PERIOD_OBJECTIVES_PER_SCHEDULER * settings.scheduler_count)
        self.period_ms = objectives * self.shortest_objective_ms
        max_class_value = max(known.value for known in settings.classes)
        self.max_value = max_class_value * max(plan.value_factor for plan in settings.plans)

    @property
    def current_period(self) -> int:
        """The number of the period that the batch falls into."""
        return int(self.now_ms // self.period_ms)

    def emit(self, action: Action) -> None:
        """Adds an action to those that the batch returns."""
        self.actions.append(action)

    def log(self, text: str) -> None:
        """Writes a line for the operators."""
        self.emit(Log(text))
