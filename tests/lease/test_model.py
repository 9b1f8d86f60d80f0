"""The holder's own code under the model checker of the testbed."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor

import pytest

from sabledyke.testbed import lease_model
from sabledyke.testbed.lease_model import FAST, PAIRS, SLOW, UNBOUND, Setup

NO_FAULTS = lease_model.Budget(0, 0, 0, 0, 0)


def test_no_order_of_faults_has_two_holders_act() -> None:
    """A slow and a fast clock, and faults, explored completely; the other setups in the docs."""
    setups = [setup for setup in PAIRS if not setup.budget.deaths and not setup.budget.late]
    with ProcessPoolExecutor() as pool:
        for setup, found in zip(setups, pool.map(lease_model.check, setups), strict=True):
            assert found.whole, setup
            assert not found.broken, (setup, lease_model.describe(found))


@pytest.mark.parametrize("counts", [False, True])
def test_a_holder_that_trusts_its_clock_is_caught_and_the_way_there_described(*, counts: bool) -> None:
    setup = Setup((SLOW, FAST), counts, times=UNBOUND, budget=NO_FAULTS)
    found = lease_model.check(setup)
    assert found.broken == "0 and 1 act at once"
    lines = lease_model.describe(found)
    assert lines[-1] == found.broken
    assert "1 hears Granted" in lines[-2]
    wide = lease_model.check(setup, wide=True)
    assert wide.trace == found.trace
    assert wide.broken == found.broken


def test_on_several_cores_the_same_states_are_found_and_of_twins_one() -> None:
    for rates, whole in (((FAST, FAST), True), ((SLOW, FAST, FAST), False)):
        setup = Setup(rates, budget=NO_FAULTS, most=2000)
        one = lease_model.check(setup)
        wide = lease_model.check(setup, wide=True)
        assert (wide.states, wide.whole) == (one.states, one.whole)
        assert one.whole is whole
