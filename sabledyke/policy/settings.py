"""Settings of a scheduler, given at its start and on each reload: classes, plans and limits.

Durations are milliseconds, sizes units. ``sabledyke.settings`` builds these from the platform's names.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf


class RepeatSafety(Enum):
    """Rule for repeats of a class's requests: always safe, safe where deduplicated, or never allowed."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    AT_MOST_ONCE = "at_most_once"


class DeduplicationScope(Enum):
    """Nodes that drop repeats of a deduplicated request: all, those of one zone, or those of one shard."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests.

    Attributes:
        latency_objective_ms: An answer within this time earns the full value.
        deadline_ms: The client stops waiting after this time.
        value: Value of an answer within the objective, per unit.
        late_value: Fraction of ``value`` that a later answer earns.
        deduplication_window_ms: Time for which nodes recognise a repeat.
        streamed: True if answers begin before they are complete.
        ordered: True if requests with the same data key must run in order of arrival.
        writes: True if requests change data.
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
    """Service levels and limits of the volumes on a plan; rates are in units per second, 0 for none."""

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
    """All settings of a scheduler.

    Attributes:
        polls_endpoint_list: True if the scheduler calls discovery for the list, False if lists are pushed.
        max_retry_after_ms: Longest Retry-After that clients accept; 0 if they accept none.
        share_value: Value factor of units beyond the reservation and inside the volume's weighted share.
        surplus_value: Value factor of units beyond that share.
        slow_start_units: Units per overload window that a node can serve right after its start, from all
            schedulers together.
        slow_start_fraction: Fraction of the full capacity that a node has at its start.
        overload_window_ms: Period over which the load of a warming node is judged.
        drain_grace_ms: Time for which a draining node may still be sent requests.
        max_open_requests: Number of requests that clients may have open at this scheduler.
        connect_timeout_ms: A connection that is not established within this time has failed.
        overload_multiple: A warming node overloads at this multiple of its capacity; 0 if not stated.
        idle_timeout_ms: Nodes close connections that are idle for this long.
        clients_mark_retries: True if clients mark requests that are retries.
        retired_classes: Classes that accept no more requests but keep their positions for open ones.

    Raises:
        ValueError: A value is out of range; the message names the first such value.
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
        """Returns the values that must be above 0, with the names that error messages use for them."""
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
            *((f"aim of {item.name}", item.latency_objective_ms) for item in self.classes),
            *((f"deadline of {item.name}", item.deadline_ms) for item in self.classes),
            *((f"worth of {item.name}", item.value) for item in self.classes),
            *((f"weight of {plan.name}", plan.weight) for plan in self.plans),
        ]
