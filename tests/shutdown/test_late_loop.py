"""A shutdown completes earlier by as much as its event loop was late, within limits."""

from __future__ import annotations

import pytest

from sabledyke.application.loop_lateness import RECENT_S, LoopLateness
from sabledyke.shutdown.graceful_shutdown import DEFAULT_TIMES, GracefulShutdown, ShutdownPhase

DEADLINE_S = 3.0
END_S = 3.58
MIN_SERVICE_S = 3.0  # time at which open connections are still served, however late the loop is


@pytest.mark.parametrize(("late_s", "earlier_s"), [(0.0, 0.0), (0.2, 0.2), (5.0, 0.45)])
def test_a_shutdown_ends_earlier_by_as_much_as_the_loop_was_late(late_s: float, earlier_s: float) -> None:
    plan = GracefulShutdown(0.0, DEADLINE_S, 1)
    assert plan.allow_for_lateness(1.0, late_s) is (late_s > 0)
    assert plan.completed_at == pytest.approx(END_S - earlier_s)
    assert plan.answer_by == pytest.approx(plan.completed_at - DEFAULT_TIMES.final_answers_s)
    assert plan.phase(MIN_SERVICE_S) is ShutdownPhase.SERVING_OPEN_CONNECTIONS
    assert not plan.allow_for_lateness(1.1, late_s / 2)


@pytest.mark.parametrize("deadline_s", [0.1, 0.5, 1.0])
def test_a_short_shutdown_keeps_the_listener_open_and_the_order_of_phases(deadline_s: float) -> None:
    plan = GracefulShutdown(0.0, deadline_s, 1)
    end_s = plan.completed_at
    plan.allow_for_lateness(0.1, 5.0)
    assert plan.completed_at <= end_s
    phases = [plan.phase(step / 100) for step in range(200)]
    assert phases == sorted(phases)
    assert plan.phase(min(0.59, plan.answer_by - 0.01)) is ShutdownPhase.ACCEPTING_CONNECTIONS


def test_lateness_is_counted_and_remembered_for_a_while() -> None:
    lateness = LoopLateness()
    for second, late_s in enumerate([0.001, 0.2, 0.6, 0.06, 0.02]):
        lateness.record(float(second), late_s)
    assert lateness.longest_recent_s(5.0) == 0.6
    assert lateness.longest_recent_s(2.5 + RECENT_S) == 0.06
    assert lateness.longest_recent_s(4.0 + RECENT_S) == 0.0
    assert lateness.describe() == (
        "1 up to 0.01 s, 1 up to 0.03 s, 1 up to 0.1 s, 1 up to 0.3 s, 1 up to 1 s, longest 0.600 s"
    )
