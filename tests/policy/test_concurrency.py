"""Concurrency: each storage node's budget of units per period, and its window of units in flight."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sabledyke.policy.concurrency import MAX_BUDGET_REQUESTS, MIN_BUDGET_REQUESTS
from sabledyke.policy.events import Outcome
from sabledyke.policy.node_directory import INITIAL_BUDGET_REQUESTS
from tests.support.nodes import endpoint_list, node_entry
from tests.support.scheduler_rig import SchedulerRig
from tests.support.settings import SETTINGS

MAX_OBJECTIVE_REQUESTS = 150  # requests that a node can serve within a latency objective


def close_period(rig: SchedulerRig) -> None:
    """Advance the clock past the end of node 1's period, and close the period."""
    rig.now_ms = (rig.node().period_number + 1.001) * rig.scheduler.context.period_ms
    rig.scheduler.context.now_ms = rig.now_ms
    rig.scheduler.concurrency.close_period(rig.node())


def test_a_budget_that_was_used_up_within_the_objective_grows_by_one_mean_request() -> None:
    rig = SchedulerRig()
    node = rig.node()
    node.budget_units = 20.0
    node.sent_units = 20.0
    node.served_units = 20.0
    node.answer_count = 10
    close_period(rig)
    assert node.budget_units == 20 + SETTINGS.mean_units


def test_a_budget_follows_the_best_recent_period_when_answers_miss_the_objective() -> None:
    rig = SchedulerRig()
    node = rig.node()
    node.budget_units = 40.0
    node.sent_units = 40.0
    node.recent_served_units.append(26.0)
    node.answer_count = 10
    node.late_count = 8
    node.served_units = 4.0
    close_period(rig)
    assert node.budget_units == 26


def test_a_budget_does_not_shrink_under_low_demand_and_stays_within_its_bounds() -> None:
    rig = SchedulerRig()
    node = rig.node()
    node.budget_units = 40.0
    node.sent_units = 2.0
    node.answer_count = 1
    node.late_count = 1
    close_period(rig)
    assert node.budget_units == 40
    node.budget_units = MAX_BUDGET_REQUESTS * 2.0
    node.sent_units = MAX_BUDGET_REQUESTS * 2.0
    node.served_units = MAX_BUDGET_REQUESTS * 2.0
    node.answer_count = 5
    node.late_count = 0
    close_period(rig)
    assert node.budget_units == MAX_BUDGET_REQUESTS * 2.0
    node.sent_units = node.budget_units
    node.answer_count = 5
    node.late_count = 5
    node.recent_served_units.clear()
    close_period(rig)
    assert node.budget_units == MIN_BUDGET_REQUESTS * 2.0


@pytest.mark.parametrize("scheduler_count", [3, 50, 270])
def test_the_smallest_budgets_of_all_schedulers_stay_within_what_a_node_can_serve(
    scheduler_count: int,
) -> None:
    context = SchedulerRig(scheduler_count=scheduler_count).scheduler.context
    objectives_per_period = context.period_ms / context.shortest_objective_ms
    assert scheduler_count * MIN_BUDGET_REQUESTS / objectives_per_period <= MAX_OBJECTIVE_REQUESTS


def test_the_length_of_a_period_is_proportional_to_the_latency_objectives() -> None:
    """A budget counts requests: in a deployment four times as fast it must last for a quarter of the time."""
    fast = tuple(
        replace(request_class, latency_objective_ms=request_class.latency_objective_ms / 4)
        for request_class in SETTINGS.classes
    )
    fast_period_ms = SchedulerRig(classes=fast).scheduler.context.period_ms
    assert fast_period_ms == SchedulerRig().scheduler.context.period_ms / 4


def test_a_new_node_starts_with_the_budget_of_its_kind() -> None:
    rig = SchedulerRig()
    rig.node().budget_units = MAX_BUDGET_REQUESTS * 2.0
    for _ in range(50):
        close_period(rig)
    rig.handle(endpoint_list(node_entry(1), node_entry(2)))
    middle_units = (INITIAL_BUDGET_REQUESTS + MAX_BUDGET_REQUESTS) / 2 * 2.0
    assert rig.node(2).budget_units > middle_units


def test_errors_do_not_grow_the_budget() -> None:
    rig = SchedulerRig()
    node = rig.node()
    node.budget_units = 8.0
    for _ in range(4):
        rig.complete(rig.submit(), Outcome.ERROR, 2, request_completed=True)
    close_period(rig)
    assert node.budget_units == 8


def test_requests_beyond_the_budget_are_queued_until_the_next_period() -> None:
    rig = SchedulerRig()
    node = rig.node()
    node.budget_units = 4.0
    node.window_units = 32.0
    node.latency_ms = 0.1
    rig.now_ms = 1040.0
    request_ids = [rig.submit() for _ in range(3)]
    assert [rig.attempt_count(request_id) for request_id in request_ids] == [1, 1, 0]
    rig.advance(40)
    assert rig.attempt_count(request_ids[2]) == 1


def test_with_many_schedulers_the_window_starts_small_and_may_fall_below_one_request() -> None:
    few = SchedulerRig(scheduler_count=2)
    many = SchedulerRig(scheduler_count=12)
    assert many.node().window_units < few.node().window_units
    many.node().window_units = 0.25
    many.node().latency_ms = 50.0
    many.complete(many.submit(), elapsed_ms=50)
    assert not many.was_sent(many.submit())
