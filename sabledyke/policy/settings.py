"""What a scheduler is told at its start and on each reload: classes, plans, limits.

Durations are milliseconds, sizes units. ``sabledyke.settings`` builds these from the platform's names.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf


class RepeatSafety(Enum):
    """Whether a request of a class may run more than once."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    AT_MOST_ONCE = "at_most_once"


class DeduplicationScope(Enum):
    """Which nodes drop repeats of a deduplicated request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests.

    Attributes:
        latency_objective_ms: An answer within this time earns the full value.
        deadline_ms: The client gives up after this time.
        value: What an answer within the objective earns, per unit.
        late_value: The part of ``value`` that a later answer earns.
        deduplication_window_ms: For how long nodes recognise a repeat.
        streamed: Answers begin before they are complete.
        ordered: Requests with the same data key must run in order of arrival.
        writes: Requests change data.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float
    value: float
    late_value: float
    repeat_safety: RepeatSafety
    deduplication_scope: DeduplicationScope
    deduplication_window_ms: float
    streamed: bool
    ordered: bool
    writes: bool


@dataclass(slots=True, frozen=True)
class Plan:
    """What a volume on this plan is promised; rates in units a second, 0 for none."""

    name: str
    usual_rate: float
    reservation: float
    limit: float
    limit_burst: float
    limit_slack: float
    weight: float
    value_factor: float


@dataclass(slots=True, frozen=True)
class Settings:
    """Everything a scheduler is told at its start.

    Attributes:
        polls_endpoint_list: Discovery is asked for the list; else lists are pushed.
        max_retry_after_ms: The longest Retry-After that clients accept; 0 where they take none.
        share_value: Value factor of units beyond the reservation and inside the volume's weighted share.
        surplus_value: Value factor of units beyond that share.
        slow_start_units: Units that a node which has just started bears, from all schedulers together.
        slow_start_fraction: Fraction of its capacity that a node has at its start.
        overload_window_ms: Period over which the load of a warming node is judged.
        drain_grace_ms: For how long a draining node may still be sent requests.
        max_open_requests: Requests that clients may have open at this scheduler.
        connect_timeout_ms: A connection that is not up by then has failed.
        overload_multiple: A warming node overloads at this multiple of its capacity; 0 if not stated.
        idle_timeout_ms: Nodes close connections that are idle for this long.
        clients_mark_retries: Clients say of a request that it is a retry.
        retired_classes: Classes that accept no more requests but keep their positions for open ones.

    Raises:
        ValueError: A value is out of range; the text names the first such value.
    """

    scheduler_index: int
    scheduler_count: int
    zone: int
    zones: tuple[str, ...]
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    polls_endpoint_list: bool
    max_attempts: int
    hedging_allowed: bool
    cancellation_allowed: bool
    probing_allowed: bool
    max_retry_after_ms: float
    mean_units: float
    max_units: float
    share_value: float
    surplus_value: float
    slow_start_units: float
    slow_start_fraction: float
    warm_up_ms: float
    overload_window_ms: float
    answer_slack_ms: float
    order_settle_ms: float
    retry_budget_window_ms: float
    retry_budget_free: float
    retry_budget_ratio: float
    reports_other_usage: bool
    meter_period_ms: float
    report_fields: tuple[str, ...]
    node_kinds: tuple[str, ...] = ()
    drain_grace_ms: float = 0.0
    max_open_requests: float = inf
    connect_timeout_ms: float = 250.0
    overload_multiple: float = 0.0
    idle_timeout_ms: float = 15_000.0
    retired_classes: frozenset[str] = frozenset()
    clients_mark_retries: bool = False

    def __post_init__(self) -> None:
        for name, value in self._positive_values():
            if not value > 0:
                raise ValueError(f"setting {name} must be above 0, not {value}")
        if self.slow_start_fraction > 1:
            raise ValueError(f"setting cold_share must be at most 1, not {self.slow_start_fraction}")

    def _positive_values(self) -> list[tuple[str, float]]:
        """Returns what must be above 0, under the names that error texts use."""
        return [
            ("hosts", self.scheduler_count),
            ("classes", len(self.classes)),
            ("plans", len(self.plans)),
            ("max_attempts", self.max_attempts),
            ("mean_units", self.mean_units),
            ("most_units", self.max_units),
            ("cold_share", self.slow_start_fraction),
            ("warm_up", self.warm_up_ms),
            ("fall_window", self.overload_window_ms),
            *((f"aim of {known.name}", known.latency_objective_ms) for known in self.classes),
            *((f"deadline of {known.name}", known.deadline_ms) for known in self.classes),
            *((f"worth of {known.name}", known.value) for known in self.classes),
            *((f"weight of {plan.name}", plan.weight) for plan in self.plans),
        ]
