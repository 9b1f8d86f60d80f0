"""Every order of events between coordinators and members, explored."""

from __future__ import annotations

import pytest

from sabledyke.testbed import ticket_model
from sabledyke.testbed.ticket_model import Budget, Rules


@pytest.mark.parametrize(
    ("size", "most", "budget"),
    [
        (2, 1, Budget(1, 0, 0, 0)),
        (2, 1, Budget(0, 1, 0, 0)),
        (2, 1, Budget(0, 0, 1, 1)),
        (3, 1, Budget(0, 0, 0, 0, 1)),
    ],
)
def test_no_order_of_events_lets_more_out_than_the_budget(size: int, most: int, budget: Budget) -> None:
    found = ticket_model.check(size, most, budget)
    assert found.whole, (found.broken, [name for name, _ in found.trace])
    assert not found.broken, (found.broken, [name for name, _ in found.trace])


@pytest.mark.parametrize(
    ("rules", "budget", "said"),
    [
        (Rules(token=False, end=False), Budget(0, 1, 0, 0), "are out"),
        (Rules(unplanned=False), Budget(1, 0, 0, 0), "are out or may go"),
        (Rules(expects=False), Budget(0, 0, 1, 0), "goes out while the plan is halted"),
    ],
)
def test_without_its_checks_the_model_finds_the_way_there(rules: Rules, budget: Budget, said: str) -> None:
    found = ticket_model.check(2, 1, budget, rules)
    assert said in found.broken
    assert len(found.trace) > 3
