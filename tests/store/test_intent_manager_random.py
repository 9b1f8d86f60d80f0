"""The intent manager under random schedules with faults at every step."""

from __future__ import annotations

import pytest

from sabledyke.store.health import HealthState
from sabledyke.store.types import (
    DriftFinding,
)
from tests.store.record_model import KEYED, RecordSimulation


@pytest.mark.parametrize("seed", range(60))
def test_no_write_is_repeated_outside_its_window_and_cell_under_faults(seed: int) -> None:
    """Guards against a repeat outside the deduplication scope when processes, batches and nodes fail.

    Incarnations are killed at any step; batches fail, stall or lose their answers, and nodes lose theirs.
    """
    simulation = RecordSimulation(seed, faults=(0.0, 0.1, 0.3)[seed % 3])
    simulation.run(900, kills=0.01 * (seed % 4))
    for name, ran in simulation.effects.items():
        first, cell = ran[0]
        for at, where in ran[1:]:
            # A node drops a repeat inside the window and cell of the first execution. The window starts at
            # the first send, which precedes the execution by at most the deadline of its attempt.
            assert where == cell, name
            assert at < first + KEYED.deduplication_window_ms + KEYED.deadline_ms, name
    audit = simulation.database.audit()
    assert audit.passed, audit.faults
    answered = {row.entry.key for row in simulation.database.journal if row.entry.outcome == "served"}
    assert simulation.served <= answered
    assert simulation.answers or seed % 3 == 2


@pytest.mark.parametrize("seed", range(6))
def test_every_attempt_and_every_answer_ends_once_and_all_tables_become_empty(seed: int) -> None:
    """Guards against leaks: all tables are empty after any schedule of faults and an idle time."""
    simulation = RecordSimulation(seed, faults=0.2)
    simulation.run(600, kills=0.0)
    simulation.faults = 0.0
    for _ in range(400):
        simulation.now += 20
        simulation.end_attempt()
        simulation.write_batch()
        simulation.carry_out(simulation.manager.on_tick(simulation.now))
    simulation.now += 60_000
    # A finding of drift causes one more batch, and writes are evicted after a batch.
    simulation.manager.on_drift(DriftFinding(0, "", "", "", "", ""))
    simulation.write_batch()
    assert not simulation.attempts
    assert not simulation.tickets
    assert simulation.manager.size == 0
    assert not simulation.manager.has_pending_work
    assert simulation.manager.health.state is HealthState.OPEN
