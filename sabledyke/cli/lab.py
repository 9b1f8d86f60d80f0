"""``sabledyke lab ...``: the model checker of leases, and experiments with many processes."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections.abc import Mapping
from concurrent.futures import ProcessPoolExecutor
from itertools import chain
from pathlib import Path
from typing import Any

from sabledyke.config import ConfigError
from sabledyke.toml_tables import from_file, parsed, wants

EXPERIMENT_LIBRARIES = ("aiohttp", "hdrh", "structlog")  # the model checker needs none of them
EXIT_HOLDS = 0
EXIT_FAILS = 1
EXIT_NOT_RUN = 2


def main(arguments: Mapping[str, Any]) -> int:
    """Run a sub-command.

    Returns:
        0 where everything holds, 1 where something does not, 2 where it could not be run.
    """
    try:
        if arguments["check-leases"]:
            holds = _check_leases(exhaustive=bool(arguments["--whole"]))
        else:
            holds = _run_experiment(arguments)
    except (ConfigError, OSError, ValueError) as error:
        print(f"sabledyke: {error}", file=sys.stderr)
        return EXIT_NOT_RUN
    return EXIT_HOLDS if holds else EXIT_FAILS


def _check_leases(*, exhaustive: bool) -> bool:
    """Check each setup of the model, print its result, and return whether all hold."""
    from sabledyke.testbed.lease_model import checker
    from sabledyke.testbed.lease_model.state import GIVING_UP, GIVING_UP_WITH_FAULTS, PAIRS, THREES

    holds = True
    small_fleets = PAIRS + GIVING_UP
    with ProcessPoolExecutor() as pool:
        pairs = [*zip(small_fleets, pool.map(checker.check, small_fleets), strict=True)]
    large_fleets = (GIVING_UP_WITH_FAULTS + THREES) * exhaustive
    found_later = ((setup, checker.check(setup, parallel=True)) for setup in large_fleets)
    for setup, found in chain(pairs, found_later):
        authority = "counting authority" if setup.authority_tracks_expiry else "table"
        budget = setup.budget._asdict().items()
        faults = ", ".join(f"{count} {fault}" for fault, count in budget if count) or "no faults"
        result = found.violation or ("whole" if found.is_complete else "not whole")
        print(
            f"{len(setup.clock_rates)} processes, {authority}, {faults}: {found.state_count} states, {result}"
        )
        if found.violation or not found.is_complete:
            holds = False
        for line in checker.describe(found) if found.violation else ():
            print(f"  {line}")
    return holds


def _run_experiment(arguments: Mapping[str, Any]) -> bool:
    """Run an experiment of whatever kind its file is, and return whether everything held."""
    for library in EXPERIMENT_LIBRARIES:
        wants("lab run", library, "lab")
    path = arguments["FILE"]
    seed = int(arguments["--seed"])
    sections = from_file(path, lambda text: parsed(text).keys())
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(arguments["--keep"] or Path(scratch) / "run")
        folder.mkdir()
        if "plan" in sections:
            return _run_release(path, folder, seed)
        if "limit" in sections:
            return _run_shared_limits(path, folder, seed)
        return _run_leases(path, folder, seed)


def _run_release(path: str, folder: Path, seed: int) -> bool:
    from sabledyke.testbed import scenario, scenario_run

    described = scenario.load(path)
    report = asyncio.run(scenario_run.run(described, folder, seed))
    return _print_report(described.name, seed, report.lines, report.violations)


def _run_shared_limits(path: str, folder: Path, seed: int) -> bool:
    from sabledyke.testbed import shared_limits, shared_limits_run

    experiment = shared_limits.load(path)
    report = asyncio.run(shared_limits_run.run(experiment, folder, seed))
    return _print_report(experiment.name, seed, report.lines, report.violations)


def _print_report(name: str, seed: int, lines: list[str], violations: list[str]) -> bool:
    """Print the report of an experiment, and return whether everything held."""
    print("\n".join([f"{name}, seed {seed}", *lines, *(f"WRONG: {violation}" for violation in violations)]))
    return not violations


def _run_leases(path: str, folder: Path, seed: int) -> bool:
    from sabledyke.testbed import experiment, lease_run

    described = experiment.load(path)
    report = asyncio.run(lease_run.LeaseRun(described, folder, seed).run())
    print("\n".join([f"{described.name}, seed {seed}", *report.lines()]))
    evaluation = report.evaluation
    wrong = evaluation.overlap_count + evaluation.lease_overlap_count + evaluation.stale_count
    return bool(evaluation.operation_count) and not (wrong or evaluation.in_flight_at_release_count)
