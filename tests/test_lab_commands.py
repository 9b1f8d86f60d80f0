"""The ``lab`` commands: each experiment file starts, and one that cannot run is reported in one line."""

from __future__ import annotations

import os
import signal
import subprocess
import time
from pathlib import Path

import pytest

from tests.support.platform_config import ROOT
from tests.test_program import PROGRAM

EXPERIMENTS = sorted((ROOT / "experiments").glob("*.toml"))
START_TIMEOUT_S = 120.0  # long enough for a busy machine
POLL_S = 0.1


def run_lab(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([*PROGRAM, "lab", *arguments], cwd=ROOT, capture_output=True, text=True)


def test_the_leases_are_checked_on_the_command_line() -> None:
    completed = run_lab("check-leases")
    assert not completed.stderr
    assert completed.returncode == 0
    assert completed.stdout.count("whole") >= 2


@pytest.mark.parametrize("experiment", EXPERIMENTS, ids=[path.stem for path in EXPERIMENTS])
def test_each_experiment_file_begins(experiment: Path, tmp_path: Path) -> None:
    """Guards against experiments that end before their first process serves."""
    folder = tmp_path / "kept"
    errors = tmp_path / "errors"
    with errors.open("w") as stderr:
        lab = subprocess.Popen(
            [*PROGRAM, "lab", "run", str(experiment), "--keep", str(folder)],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=stderr,
            start_new_session=True,
        )
    try:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while lab.poll() is None and time.monotonic() < deadline_s and not any_process_serves(folder):
            time.sleep(POLL_S)
        assert lab.poll() is None, errors.read_text()
        assert any_process_serves(folder)
        assert not errors.read_text()
    finally:
        os.killpg(lab.pid, signal.SIGKILL)  # ends the experiment's processes as well
        lab.wait()


def any_process_serves(folder: Path) -> bool:
    return any("serves at" in log.read_text() for log in folder.glob("n*/log.*"))


@pytest.mark.parametrize(
    ("text", "arguments", "expected"),
    [
        (None, (), "No such file"),
        ("[[", (), "experiment.toml: "),
        ('name = "a"\ninstances = "two"\n', (), "instances must be a whole number"),
        ('name = "a"\n[[fault]]\nat_s = 1\nwhat = "pause"\n[[fault]]\nat_s = "x"\n', (), "fault[1]"),
        ('name = "a"\n', ("--seed", "x"), "'x'"),
    ],
)
def test_an_experiment_that_cannot_run_ends_with_one_line_and_status_2(
    tmp_path: Path, text: str | None, arguments: tuple[str, ...], expected: str
) -> None:
    path = tmp_path / "experiment.toml"
    if text is not None:
        path.write_text(text)
    completed = run_lab("run", str(path), *arguments)
    assert completed.returncode == 2
    assert expected in completed.stderr
    assert completed.stderr.count("\n") == 1
