"""The record's decisions under random schedules, with faults at every step."""

from __future__ import annotations

import pytest

from sabledyke.store.health import HealthState
from sabledyke.store.types import (
    DriftFinding,
)
from tests.store.record_model import KEYED, RecordSimulation


@pytest.mark.parametrize("seed", range(60))
def test_no_key_has_its_effect_beyond_its_window_and_group_whatever_fails(seed: int) -> None:
    """Incarnations are killed anywhere; batches fail, stall or lose their answers, and so do nodes."""
    simulation = RecordSimulation(seed, faults=(0.0, 0.1, 0.3)[seed % 3])
    simulation.run(900, kills=0.01 * (seed % 4))
    for name, ran in simulation.effects.items():
        first, cell = ran[0]
        for at, where in ran[1:]:
            # A node ran a repeat inside the window and the cell of the first: there it drops it. The window
            # is counted from the first send, which came up to its attempt's time before the effect.
            assert where == cell, name
            assert at < first + KEYED.deduplication_window_ms + KEYED.deadline_ms, name
    audit = simulation.database.audit()
    assert audit.passed, audit.faults
    answered = {row.entry.key for row in simulation.database.journal if row.entry.outcome == "served"}
    assert simulation.served <= answered
    assert simulation.answers or seed % 3 == 2


@pytest.mark.parametrize("seed", range(6))
def test_every_attempt_and_every_answer_ends_once_and_nothing_is_retained(seed: int) -> None:
    """After any schedule of faults and an idle time, all tables are empty."""
    simulation = RecordSimulation(seed, faults=0.2)
    simulation.run(600, kills=0.0)
    simulation.faults = 0.0
    for _ in range(400):
        simulation.now += 20
        simulation.end_attempt()
        simulation.write_batch()
        simulation.carry_out(simulation.manager.on_tick(simulation.now))
    simulation.now += 60_000
    simulation.manager.on_drift(DriftFinding(0, "", "", "", "", ""))  # one more batch, which forgets
    simulation.write_batch()
    assert not simulation.attempts
    assert not simulation.tickets
    assert simulation.manager.size == 0
    assert not simulation.manager.has_pending_work
    assert simulation.manager.health.state is HealthState.OPEN
