"""A fleet of processes keeps to its budgets, whatever breaks, and its exchange is as approved."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Awaitable, Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from sabledyke.testbed.fleet_release import Fleet, Setting, play, transcript
from tests.rollout.member_scenarios import (
    coordinator_killed_midway,
    member_never_returns,
    switch_settings,
    topic_of_an_operator,
)
from tests.rollout.node_scenarios import (
    drain_nodes,
    drain_with_partitioned_member,
    release_under_load,
    retire_site,
    retirement_taken_back,
)
from tests.rollout.release_scenarios import (
    all_killed_midway,
    answer_of_used_ticket_lost,
    killed_while_log_stalls,
    members_without_request,
    release_under_faults,
    restart_everybody,
    roll_back_canary,
    starter_keeps_old_version,
    two_plans_at_once,
)

Scenario = Callable[[Fleet], Awaitable[None]]
Run = tuple[str, str, int]
Runs = dict[Run, tuple[str, str]]
BACKENDS = ("table", "etcd")
MAX_PROCESSES = 5
TIMEOUT_S = 400
CALM = Setting(lag=1000, ttl=5000, silent=20_000, valid=60_000)  # nothing is given up on a busy machine
GENTLE = Setting(4, clients=8, copies=2, silent=4000)
SCENARIOS: dict[str, tuple[Setting, Scenario]] = {
    "plain": (CALM, restart_everybody),
    "back": (replace(CALM, soak=60_000), roll_back_canary),
    "stubborn": (CALM, starter_keeps_old_version),
    "lost": (CALM, coordinator_killed_midway),
    "settings": (CALM, switch_settings),
    "young": (CALM, killed_while_log_stalls),
    "mute": (Setting(4, silent=8000), members_without_request),
    "part_goes": (replace(CALM, back=60_000), answer_of_used_ticket_lost),
    "two": (Setting(4), two_plans_at_once),
    "dead": (Setting(3, silent=1000), member_never_returns),
    "drained": (replace(GENTLE, silent=20_000, lag=1000), drain_nodes),
    "drained_kill": (GENTLE, lambda f: drain_nodes(f, ("kill", True, 0))),
    "drained_stall": (GENTLE, lambda f: drain_nodes(f, ("stall", True, 3.0))),
    "drained_two": (GENTLE, lambda f: drain_nodes(f, ("kill", False, 0), ("pause", True, 2.5))),
    "unheard_part": (replace(GENTLE, silent=1000), drain_with_partitioned_member),
    "anew": (Setting(4), all_killed_midway),
    "prices": (replace(CALM, lag=20, ttl=1000, topics=("prices",), clean=0.5), topic_of_an_operator),
    "served": (Setting(4, clients=8), release_under_load),
    "retires": (replace(CALM, size=4, clients=8, copies=2, sites=2, soak=100, silent=8000), retire_site),
    "stays": (Setting(4, clients=8, sites=2, soak=300), retirement_taken_back),
    "kill": (
        Setting(12, silent=8000, ttl=2000),
        lambda f: release_under_faults(f, ("kill", True, 0), most=2),
    ),
    "pause": (Setting(5), lambda f: release_under_faults(f, ("pause", True, 2.5), most=2)),
    "third": (Setting(6), lambda f: release_under_faults(f, ("kill", True, 0), ("kill", False, 0), most=3)),
    "stall": (Setting(4), lambda f: release_under_faults(f, ("stall", True, 3.0), most=1)),
    "part": (Setting(4), lambda f: release_under_faults(f, ("part", True, 3.0), most=1)),
    "part_to": (Setting(4), lambda f: release_under_faults(f, ("part_to", True, 3.0), most=1)),
    "part_from": (Setting(4), lambda f: release_under_faults(f, ("part_from", True, 3.0), most=1)),
}


ALL_RUNS = [
    (b, n, seed) for seed, b in enumerate(BACKENDS, 1) for n in SCENARIOS if "part" not in n or b == "etcd"
]
WITH_APPROVED_EXCHANGE = (
    "plain",
    "back",
    "stubborn",
    "lost",
    "settings",
    "retires",
    "unheard_part",
)  # whose whole exchange is the same in every run


def run_in_process(run: Run, folder: str) -> tuple[str, str]:
    """Run one of them, and return its transcript, and what went wrong."""
    backend, name, seed = run
    setting, scenario = SCENARIOS[name]
    exchange = ""

    async def record(fleet: Fleet) -> None:
        nonlocal exchange
        await scenario(fleet)
        exchange = transcript(await fleet.log(), fleet.parts)

    async def play_to_end() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            fleet = await play(replace(setting, backend=backend), Path(folder), record, seed)
        assert set(fleet.statuses) <= ({0, -9} if fleet.held else {0}), fleet.statuses

    try:
        asyncio.run(play_to_end())
    except Exception:
        return exchange, traceback.format_exc()
    return exchange, ""


@pytest.fixture(scope="module")
def runs(tmp_path_factory: pytest.TempPathFactory) -> Runs:
    """Run all of them, some at a time, as most of it is waiting."""
    folders = [str(tmp_path_factory.mktemp("fleet")) for _ in ALL_RUNS]
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        return dict(zip(ALL_RUNS, pool.map(run_in_process, ALL_RUNS, folders), strict=True))


@pytest.mark.parametrize("backend, name, seed", ALL_RUNS)
def test_processes_keep_to_the_budget_whatever_breaks(runs: Runs, backend: str, name: str, seed: int) -> None:
    assert not runs[backend, name, seed][1], runs[backend, name, seed][1]


@pytest.mark.parametrize("name", WITH_APPROVED_EXCHANGE)
def test_the_whole_exchange_is_as_it_was_approved(runs: Runs, name: str, snapshot: SnapshotAssertion) -> None:
    """Approved on purpose: read the difference, then pytest --snapshot-update."""
    exchanges = {runs[b, n, s][0] for b, n, s in ALL_RUNS if n == name}
    assert len(exchanges) == 1, exchanges
    assert exchanges.pop() == snapshot
