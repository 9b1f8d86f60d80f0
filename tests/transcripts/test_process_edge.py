"""Exit status, output and error line of commands, most of them with invalid input.

The cases are in ``approved/process-edge.toml``. ``config`` is the text of the platform's file; ``missing``
omits the file, and ``unset`` also the environment variable that names it. Without ``config`` the file is
valid, and the JSON of ``change`` is merged into it (null removes a key). ``operator`` is the text of the
operator's file, or of another file that the command names.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from tests.transcripts.support import APPROVED, ROOT, TEST_TIMEOUT_S, settings

CASES: list[dict[str, Any]] = tomllib.loads((APPROVED / "process-edge.toml").read_text())["case"]


def merged(base: dict[str, Any], change: dict[str, Any]) -> dict[str, Any]:
    """Return the base with a change merged in; an empty table replaces the value of the base."""
    out = dict(base)
    for key, value in change.items():
        if value is None:
            del out[key]
        elif isinstance(value, dict) and value and isinstance(out.get(key), dict):
            out[key] = merged(out[key], value)
        else:
            out[key] = value
    return out


def valid_config() -> dict[str, Any]:
    """Return a valid configuration, with addresses at which no process listens."""
    addresses = {"listen": "127.0.0.1:9", "discovery": "127.0.0.1:9"}
    limits = {"cores": 1, "memory_mb": 64, "sockets": 256}
    return {"name": "n0", **addresses, "seed": "1", "limits": limits, "known": None, "settings": settings()}


def run(folder: Path, case: dict[str, Any]) -> tuple[int, str, str]:
    """Run a command in a folder with its files; return exit status, standard output and standard error."""
    text = case.get("config", json.dumps(merged(valid_config(), json.loads(case.get("change", "{}")))))
    if text not in ("missing", "unset"):
        (folder / "config.json").write_text(text)
    if "operator" in case:
        (folder / "operator.toml").write_text(case["operator"])
    environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
    environment |= {"PYTHONPATH": str(ROOT), "COLUMNS": "100"}
    environment |= {} if text == "unset" else {"GW_CONFIG": "config.json"}
    completed = subprocess.run(
        [sys.executable, "-m", "sabledyke", *case["arguments"]],
        cwd=folder,
        env=environment,
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_S,
    )
    return completed.returncode, completed.stdout, completed.stderr


@pytest.mark.parametrize("case", CASES, ids=[case["name"] for case in CASES])
def test_a_command_ends_with_the_approved_status_and_text(tmp_path: Path, case: dict[str, Any]) -> None:
    expected = case["status"], case.get("stdout", ""), case.get("stderr", "")
    assert run(tmp_path, case) == expected
