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
from sabledyke.toml_tables import load_file, parse_toml, require_library

EXPERIMENT_LIBRARIES = ("aiohttp", "hdrh", "structlog")  # the model checker needs none of them
EXIT_HOLDS = 0
EXIT_FAILS = 1
EXIT_NOT_RUN = 2


def main(arguments: Mapping[str, Any]) -> int:
    """Run a sub-command of ``lab``.

    Returns:
        The exit code: 0 if every check holds, 1 if one does not, 2 if the command could not run.
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
    """Check each setup of the lease model, print the results, and return whether all setups hold."""
    from sabledyke.testbed.lease_model import checker
    from sabledyke.testbed.lease_model.state import (
        RELEASE_CONFIGS,
        RELEASE_WITH_FAULT_CONFIGS,
        THREE_INSTANCE_CONFIGS,
        TWO_INSTANCE_CONFIGS,
    )

    holds = True
    small_fleets = TWO_INSTANCE_CONFIGS + RELEASE_CONFIGS
    with ProcessPoolExecutor() as pool:
        small_results = [*zip(small_fleets, pool.map(checker.check, small_fleets), strict=True)]
    large_fleets = (RELEASE_WITH_FAULT_CONFIGS + THREE_INSTANCE_CONFIGS) * exhaustive
    large_results = ((setup, checker.check(setup, parallel=True)) for setup in large_fleets)
    for setup, found in chain(small_results, large_results):
        authority = "authority that tracks expiry" if setup.authority_tracks_expiry else "table"
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
    """Run the experiment of a file, of any kind, and return whether all of its checks hold."""
    for library in EXPERIMENT_LIBRARIES:
        require_library("lab run", library, "lab")
    path = arguments["FILE"]
    seed = int(arguments["--seed"])
    sections = load_file(path, lambda text: parse_toml(text).keys())
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

    definition = scenario.load(path)
    report = asyncio.run(scenario_run.run(definition, folder, seed))
    return _print_report(definition.name, seed, report.lines, report.violations)


def _run_shared_limits(path: str, folder: Path, seed: int) -> bool:
    from sabledyke.testbed import shared_limits, shared_limits_run

    experiment = shared_limits.load(path)
    report = asyncio.run(shared_limits_run.run(experiment, folder, seed))
    return _print_report(experiment.name, seed, report.lines, report.violations)


def _print_report(name: str, seed: int, lines: list[str], violations: list[str]) -> bool:
    """Print the report of an experiment, and return whether all of its checks hold."""
    print("\n".join([f"{name}, seed {seed}", *lines, *(f"WRONG: {violation}" for violation in violations)]))
    return not violations


def _run_leases(path: str, folder: Path, seed: int) -> bool:
    from sabledyke.testbed import experiment, lease_run

    definition = experiment.load(path)
    report = asyncio.run(lease_run.LeaseRun(definition, folder, seed).run())
    print("\n".join([f"{definition.name}, seed {seed}", *report.lines()]))
    evaluation = report.evaluation
    wrong = evaluation.overlap_count + evaluation.lease_overlap_count + evaluation.stale_count
    return bool(evaluation.operation_count) and not (wrong or evaluation.in_flight_at_release_count)
