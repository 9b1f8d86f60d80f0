"""CI skips exactly the tests that KNOWN-RED.txt lists."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TESTS = """
import pytest

@pytest.mark.parametrize("name", ["listed", "other"])
def test_exchange(name, snapshot):
    assert "as approved" == snapshot
    assert name == "other" or FAULT_IS_FIXED
"""
ENTRY = "test_sample.py::test_exchange[{}] | bash .ci/run | seen once | issue 1\n"
RUN_TIMEOUT_S = 60


def run_pytest(folder: Path, *options: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *options],
        cwd=folder,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=False,
    )


@pytest.fixture
def project(tmp_path: Path) -> Path:
    """Create a project with two approved snapshots, whose first test fails."""
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    (tmp_path / "test_sample.py").write_text("FAULT_IS_FIXED = True\n" + TESTS)
    assert run_pytest(tmp_path, "--snapshot-update").returncode == 0
    (tmp_path / "test_sample.py").write_text("FAULT_IS_FIXED = False\n" + TESTS)
    return tmp_path


@pytest.mark.parametrize(
    ("listed", "status", "expected_text"),
    [
        (["listed"], 0, "1 passed, 1 skipped"),
        (["other"], 1, "1 failed, 1 skipped"),
        ([], 1, "1 failed, 1 passed"),
        (
            ["listed", "renamed"],
            4,
            "KNOWN-RED.txt names no test here: test_sample.py::test_exchange[renamed]",
        ),
    ],
)
def test_ci_passes_over_exactly_the_listed_tests(
    project: Path, listed: list[str], status: int, expected_text: str
) -> None:
    (project / "KNOWN-RED.txt").write_text("".join(map(ENTRY.format, listed)))
    completed = run_pytest(project, "-p", "tests.support.known_red")
    assert completed.returncode == status, completed.stdout
    assert expected_text in completed.stdout + completed.stderr
