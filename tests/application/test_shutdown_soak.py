"""Tests that the real program loses no request that it read in shutdowns with seeded signals and faults."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from tests.support.selected_tests import selected_parameters
from tests.support.shutdown_soak import (
    DEADLINES_S,
    IDLE_CONNECTION_COUNT,
    SoakReport,
    draw_plan,
    play_all,
)
from tests.transcripts.support import Deployment, run_scenario

SEEDS = range(1, 37)


@pytest.fixture(scope="module")
def reports(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> dict[int, SoakReport]:
    """Run the plans of the selected tests, several at a time, as they spend most of their time waiting."""
    seeds = [int(str(params["seed"])) for params in selected_parameters(request) if params]
    return asyncio.run(play_all(seeds, tmp_path_factory.mktemp("soak")))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_shutdown_loses_nothing_and_serves_until_the_kill(
    reports: dict[int, SoakReport], seed: int
) -> None:
    report = reports[seed]
    assert len(report.requests) > 50
    assert not report.lost, report.describe()
    # On a busy machine SIGKILL may come before the exit, after all requests were answered.
    assert report.exit_status in (0, -signal.SIGKILL), report.describe()
    # A crowded front end closes connections after their answers at any time.
    if not report.plan.has_idle_connections:
        assert report.first_close_s >= report.plan.longest_deadline_s, report.describe()


RELOAD_DURING_START = """
import os, signal
from sabledyke import __main__ as program
load = program.config.load
def load_after_signal(environment):
    os.kill(os.getpid(), signal.SIGHUP)
    return load(environment)
program.config.load = load_after_signal
program.command()
"""


def test_a_reload_that_is_requested_during_the_start_does_not_end_the_program(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path, program=("-c", RELOAD_DURING_START)) as deployment:
            deployment.terminate()
            assert await deployment.process.wait() == 0

    run_scenario(scenario())


def test_the_plans_repeat_signals_and_some_have_a_crowd() -> None:
    plans = [draw_plan(seed) for seed in SEEDS]
    numbers = [[timed.number for timed in plan.signals] for plan in plans]
    assert sum(signals_sent.count(signal.SIGTERM) > 1 for signals_sent in numbers) >= len(plans) / 4
    assert sum(signal.SIGHUP in signals_sent for signals_sent in numbers) >= len(plans) / 2
    assert sum(plan.has_idle_connections for plan in plans) >= len(plans) / 3
    assert sum(plan.idle_count > IDLE_CONNECTION_COUNT for plan in plans) >= 2
    assert sum(plan.has_long_answers for plan in plans) >= len(plans) / 3
    assert sum(plan.restarts > 0 for plan in plans) >= len(plans) / 3
    assert {plan.longest_deadline_s for plan in plans} == set(DEADLINES_S)
