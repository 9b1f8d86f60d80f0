"""Shutdowns of the real program under seeded signals, clients and faults: nothing that was read is lost."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from tests.support.selected_tests import selected_parameters
from tests.support.shutdown_soak import SoakReport, draw_plan, play_all
from tests.transcripts.support import Deployment, run_scenario

SEEDS = range(1, 37)
MIN_SERVICE_S = 3.0  # after the first SIGTERM, on connections that stay open


@pytest.fixture(scope="module")
def reports(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> dict[int, SoakReport]:
    """The plays of the selected tests, some at a time: most of it is waiting."""
    seeds = [int(str(params["seed"])) for params in selected_parameters(request) if params]
    return asyncio.run(play_all(seeds, tmp_path_factory.mktemp("soak")))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_shutdown_loses_nothing_and_serves_until_the_kill(
    reports: dict[int, SoakReport], seed: int
) -> None:
    report = reports[seed]
    assert len(report.requests) > 50
    assert not report.lost, report.describe()
    # on a busy machine the kill may come first, with nothing left to answer
    assert report.exit_status in (0, -signal.SIGKILL), report.describe()
    if not report.plan.crowd:  # a crowded front end closes connections with their answers at any time
        assert report.first_close_s >= MIN_SERVICE_S, report.describe()


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


def test_a_reload_that_is_asked_for_during_the_start_does_not_end_the_program(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path, program=("-c", RELOAD_DURING_START)) as deployment:
            deployment.terminate()
            assert await deployment.process.wait() == 0

    run_scenario(scenario())


def test_the_plays_repeat_signals_and_some_have_a_crowd() -> None:
    plans = [draw_plan(seed) for seed in SEEDS]
    numbers = [[timed.number for timed in plan.signals] for plan in plans]
    assert sum(sent.count(signal.SIGTERM) > 1 for sent in numbers) >= len(plans) / 4
    assert sum(signal.SIGHUP in sent for sent in numbers) >= len(plans) / 2
    assert sum(plan.crowd for plan in plans) >= len(plans) / 3
