"""Settings of schedulers under test; all values are specific to the tests."""

from __future__ import annotations

from dataclasses import replace

from sabledyke.policy.settings import DeduplicationScope, Plan, RepeatSafety, RequestClass, Settings
from sabledyke.shutdown.graceful_shutdown import ShutdownTimes

READ = RequestClass(
    name="read",
    latency_objective_ms=200,
    deadline_ms=1000,
    value=3,
    late_value=0.1,
    repeat_safety=RepeatSafety.IDEMPOTENT,
    deduplication_scope=DeduplicationScope.ALL,
    deduplication_window_ms=5000,
    streamed=False,
    ordered=False,
    writes=False,
)
WRITE = replace(READ, name="write", latency_objective_ms=400, deadline_ms=2000, value=2, writes=True)
FREE = Plan(
    "free",
    usual_rate=5,
    reservation=0,
    limit=0,
    limit_burst=0,
    limit_slack=0,
    weight=1,
    value_factor=1,
)
HELD = replace(FREE, name="held", reservation=5, weight=2)
CAPPED = replace(FREE, name="capped", limit=10, limit_burst=32, limit_slack=8)
SETTINGS = Settings(
    scheduler_index=0,
    scheduler_count=2,
    zone=0,
    zones=("a", "b"),
    classes=(READ, WRITE),
    plans=(FREE, HELD, CAPPED),
    polls_endpoint_list=False,
    max_attempts=3,
    hedging_allowed=True,
    cancellation_allowed=True,
    probing_allowed=True,
    max_retry_after_ms=500,
    mean_units=2,
    max_units=8,
    share_value=0.3,
    surplus_value=0.05,
    slow_start_units=20,
    slow_start_fraction=0.25,
    warm_up_ms=10000,
    overload_window_ms=2000,
    answer_slack_ms=8,
    order_settle_ms=300,
    retry_budget_window_ms=0,
    retry_budget_free=0,
    retry_budget_ratio=0,
    reports_other_usage=False,
    meter_period_ms=0,
    report_fields=(),
)
FAST_SHUTDOWN = ShutdownTimes(  # completes 0.9 s after the request
    listener_open_s=0.1,
    max_deadline_s=0.6,
    kill_grace_s=0.4,
    kill_margin_s=0.1,
    final_answers_s=0.1,
    draining_s=0.2,
    hastened_s=0.2,
    max_lateness_s=0.0,  # clients and nodes share the program's event loop and delay it themselves
)
