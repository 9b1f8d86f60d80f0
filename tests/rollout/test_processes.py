"""A fleet of processes stays within its budgets under faults, and its records match approved transcripts."""

from __future__ import annotations

import asyncio
import os
import signal
import traceback
from collections.abc import Awaitable, Callable, Iterable, Iterator, Mapping
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from sabledyke.testbed.fleet import Fleet, run_scenario
from sabledyke.testbed.fleet_faults import FleetFault
from sabledyke.testbed.fleet_settings import FleetSettings
from sabledyke.testbed.fleet_transcript import transcript
from sabledyke.testbed.parent_death import end_with_parent
from tests.rollout.member_scenarios import (
    coordinator_killed_midway,
    member_never_returns,
    switch_settings,
)
from tests.rollout.node_scenarios import (
    drain_nodes,
    drain_with_partitioned_member,
    release_under_load,
    retire_site,
    retirement_rolled_back,
)
from tests.rollout.release_scenarios import (
    ReleaseFault,
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
from tests.rollout.topic_scenarios import topic_of_an_operator
from tests.support.selected_tests import selected_parameters

Scenario = Callable[[Fleet], Awaitable[None]]
Run = tuple[str, str, int]
Runs = dict[Run, Future[tuple[str, str]]]
BACKENDS = ("table", "etcd")
MAX_PROCESSES = 5
TIMEOUT_S = 400
LOGGED_LINES = 60  # lines shown of each process after a failed run
DISCOVERY_KIND = '"kind":"discovery"'  # logged every two seconds by each process of a fleet without discovery

KILL_COORDINATOR = ReleaseFault(FleetFault.KILL)
KILL_OTHER = ReleaseFault(FleetFault.KILL, on_coordinator=False)
PAUSE_COORDINATOR = ReleaseFault(FleetFault.PAUSE, duration_s=2.5)
STALL_LOG = ReleaseFault(FleetFault.STALL_LOG, duration_s=3.0)
PARTITION_COORDINATOR = ReleaseFault(FleetFault.PARTITION, duration_s=3.0)
PARTITION_REQUESTS = ReleaseFault(FleetFault.PARTITION_REQUESTS, duration_s=3.0)
PARTITION_ANSWERS = ReleaseFault(FleetFault.PARTITION_ANSWERS, duration_s=3.0)

FOUR = FleetSettings(4)
PATIENT = FleetSettings(  # no timeout expires on a busy machine
    min_lag_messages=1000,
    lease_ttl_ms=5000,
    heartbeat_timeout_ms=20_000,
    request_validity_ms=60_000,
)
WITH_NODES = FleetSettings(4, client_count=8, nodes_per_shard=2, heartbeat_timeout_ms=4000)
RETIRING = replace(
    PATIENT,
    size=4,
    client_count=8,
    nodes_per_shard=2,
    site_count=2,
    canary_soak_ms=100,
    heartbeat_timeout_ms=8000,
)
WITH_TOPIC = replace(
    PATIENT, min_lag_messages=20, lease_ttl_ms=1000, topics=("prices",), compaction_interval_s=0.5
)


def under(*faults: ReleaseFault, max_out: int) -> Scenario:
    """Return the scenario of a release under these faults."""
    return lambda fleet: release_under_faults(fleet, *faults, max_out=max_out)


def drained_under(*faults: ReleaseFault) -> Scenario:
    """Return the scenario of a drain of nodes under these faults."""
    return lambda fleet: drain_nodes(fleet, *faults)


SCENARIOS: dict[str, tuple[FleetSettings, Scenario]] = {
    "plain": (PATIENT, restart_everybody),
    "back": (replace(PATIENT, canary_soak_ms=60_000), roll_back_canary),
    "stubborn": (PATIENT, starter_keeps_old_version),
    "lost": (PATIENT, coordinator_killed_midway),
    "settings": (PATIENT, switch_settings),
    "young": (PATIENT, killed_while_log_stalls),
    "mute": (FleetSettings(4, heartbeat_timeout_ms=8000), members_without_request),
    "part_goes": (replace(PATIENT, return_timeout_ms=60_000), answer_of_used_ticket_lost),
    "two": (FOUR, two_plans_at_once),
    "dead": (FleetSettings(3, heartbeat_timeout_ms=1000), member_never_returns),
    "drained": (replace(WITH_NODES, heartbeat_timeout_ms=20_000, min_lag_messages=1000), drain_nodes),
    "drained_kill": (WITH_NODES, drained_under(KILL_COORDINATOR)),
    "drained_stall": (WITH_NODES, drained_under(STALL_LOG)),
    "drained_two": (WITH_NODES, drained_under(KILL_OTHER, PAUSE_COORDINATOR)),
    "unheard_part": (replace(WITH_NODES, heartbeat_timeout_ms=1000), drain_with_partitioned_member),
    "anew": (FOUR, all_killed_midway),
    "prices": (WITH_TOPIC, topic_of_an_operator),
    "served": (FleetSettings(4, client_count=8), release_under_load),
    "retires": (RETIRING, retire_site),
    "stays": (FleetSettings(4, client_count=8, site_count=2, canary_soak_ms=1500), retirement_rolled_back),
    "kill": (
        FleetSettings(12, heartbeat_timeout_ms=8000, lease_ttl_ms=2000),
        under(KILL_COORDINATOR, max_out=2),
    ),
    "pause": (FleetSettings(5), under(PAUSE_COORDINATOR, max_out=2)),
    "third": (FleetSettings(6), under(KILL_COORDINATOR, KILL_OTHER, max_out=3)),
    "stall": (FOUR, under(STALL_LOG, max_out=1)),
    "part": (FOUR, under(PARTITION_COORDINATOR, max_out=1)),
    "part_to": (FOUR, under(PARTITION_REQUESTS, max_out=1)),
    "part_from": (FOUR, under(PARTITION_ANSWERS, max_out=1)),
}


ALL_RUNS = [
    (backend, name, seed)
    for seed, backend in enumerate(BACKENDS, 1)
    for name in SCENARIOS
    if "part" not in name or backend == "etcd"
]
# Scenarios whose records on the log are the same in every run.
WITH_APPROVED_EXCHANGE = (
    "plain",
    "back",
    "stubborn",
    "lost",
    "settings",
    "retires",
    "unheard_part",
)


def run_in_process(run: Run, folder: str) -> tuple[str, str]:
    """Run one scenario, and return its transcript, and its error with the logs of all members or ""."""
    backend, name, seed = run
    settings, scenario = SCENARIOS[name]
    exchange = ""

    async def record(fleet: Fleet) -> None:
        nonlocal exchange
        await scenario(fleet)
        exchange = transcript(await fleet.read_messages(), fleet.transcript_names)

    async def play_to_end() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            fleet = await run_scenario(replace(settings, backend=backend), Path(folder), record, seed)
        allowed = {0, -signal.SIGKILL} if fleet.supervisor.suspended else {0}
        assert set(fleet.statuses) <= allowed, fleet.statuses

    try:
        asyncio.run(play_to_end())
    except Exception:
        return exchange, f"{traceback.format_exc()}\n{member_logs(Path(folder))}"
    return exchange, ""


def member_logs(folder: Path) -> str:
    """Return the last log lines of every process of a fleet, to trace a failure that does not recur."""
    tails = []
    for path in sorted(folder.glob("n*/log.*")):
        lines = [line for line in path.read_text(errors="replace").splitlines() if DISCOVERY_KIND not in line]
        lines = lines[-LOGGED_LINES:]
        tails.append("\n".join([f"== {path.parent.name}/{path.name}", *lines]))
    return "\n".join(tails)


@pytest.fixture(scope="module")
def runs(request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory) -> Iterator[Runs]:
    """Start all runs that the selected tests need, several in parallel, as runs mostly wait."""
    needed = _needed_runs(selected_parameters(request))
    with ProcessPoolExecutor(MAX_PROCESSES, initializer=end_with_parent, initargs=(os.getpid(),)) as pool:
        yield {run: pool.submit(run_in_process, run, str(tmp_path_factory.mktemp("fleet"))) for run in needed}


def _needed_runs(selected: Iterable[Mapping[str, object]]) -> list[Run]:
    """Return the runs that the selected tests use: all runs of a scenario, or the one on a backend."""
    names: set[str] = set()
    needed: set[Run] = set()
    for params in selected:
        if "backend" in params:
            needed.add((str(params["backend"]), str(params["name"]), int(str(params["seed"]))))
        else:
            names.add(str(params["name"]))
    return [run for run in ALL_RUNS if run in needed or run[1] in names]


@pytest.mark.parametrize(("backend", "name", "seed"), ALL_RUNS)
def test_processes_keep_to_the_budget_whatever_breaks(runs: Runs, backend: str, name: str, seed: int) -> None:
    _, error = runs[backend, name, seed].result()
    assert not error, error


@pytest.mark.parametrize("name", WITH_APPROVED_EXCHANGE)
def test_the_whole_exchange_is_as_it_was_approved(runs: Runs, name: str, snapshot: SnapshotAssertion) -> None:
    """To approve a deliberate change, review the difference, then run pytest --snapshot-update."""
    exchanges = {runs[run].result()[0] for run in ALL_RUNS if run[1] == name}
    assert len(exchanges) == 1, exchanges
    assert exchanges.pop() == snapshot
