"""Model check of tickets over every order of events between coordinators and members."""

from __future__ import annotations

import pytest

from sabledyke.testbed.ticket_model import checker
from sabledyke.testbed.ticket_model.state import FaultBudget, Safeguards


@pytest.mark.parametrize(
    ("member_count", "max_out", "budget"),
    [
        (2, 1, FaultBudget(deaths=1)),
        (2, 1, FaultBudget(takeovers=1)),
        (2, 1, FaultBudget(halts=1, expired_requests=1)),
        (3, 1, FaultBudget(turn_timeouts=1)),
    ],
)
def test_no_order_of_events_exceeds_the_budget(member_count: int, max_out: int, budget: FaultBudget) -> None:
    result = checker.check(member_count, max_out, budget)
    assert not result.violation, [step.action for step in result.trace]
    assert result.is_complete


@pytest.mark.parametrize(
    ("safeguards", "budget", "violation"),
    [
        (Safeguards(checks_token=False, checks_end=False), FaultBudget(takeovers=1), "are out"),
        (Safeguards(counts_unplanned=False), FaultBudget(deaths=1), "are out or may go"),
        (
            Safeguards(checks_expected_offsets=False),
            FaultBudget(halts=1),
            "goes out while the plan is halted",
        ),
    ],
)
def test_without_a_safeguard_the_model_finds_a_violation(
    safeguards: Safeguards, budget: FaultBudget, violation: str
) -> None:
    result = checker.check(2, 1, budget, safeguards)
    assert violation in result.violation
    assert len(result.trace) > 3
