"""The program as a process: its commands, its start and its shutdown."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from pathlib import Path
from typing import Any

import orjson
import pytest

from sabledyke.__main__ import main
from tests.support.platform_config import (
    ROOT,
    example_config,
    key_paths,
    platform_settings,
    without,
    write_config,
)

PROGRAM = [sys.executable, "-O", "-m", "sabledyke"]


@pytest.mark.parametrize(
    ("changes", "expected_text"),
    [
        ({"listen": 5, "discovery": None}, "discovery"),
        ({"settings": {}}, "setting me"),
        ({"seed": "x"}, "seed"),
        ({"limits": {"cores": 1, "memory_mb": 64, "sockets": 3}}, "limits.sockets"),
        ({"limits": {}}, "limits.sockets is missing"),
        ({"known": []}, "list"),
        ({"settings": None}, "settings"),
        ({"settings": platform_settings() | {"siblings": 0}}, "hosts"),
        ({"discovery": "nowhere"}, "nowhere"),
        ({"console": 8}, "console"),
        ({"console": "no-port"}, "no-port"),
    ],
)
def test_an_invalid_configuration_ends_the_start_with_one_plain_line(
    tmp_path: Path, changes: dict[str, Any], expected_text: str
) -> None:
    completed = subprocess.run(
        PROGRAM,
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={**os.environ, **write_config(tmp_path, **changes)},
    )
    assert completed.returncode == 2
    assert completed.stderr.count("\n") == 1
    assert not completed.stdout
    assert completed.stderr.startswith("sabledyke: ")
    assert expected_text in completed.stderr


def test_the_commands_print_the_version_and_check_the_configuration(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    assert main(["version"]) == 0
    assert capsys.readouterr().out.startswith("sabledyke 0")
    monkeypatch.delenv("GW_CONFIG", raising=False)
    assert main(["check-config"]) == 2
    assert "GW_CONFIG" in capsys.readouterr().err
    for name, value in write_config(tmp_path).items():
        monkeypatch.setenv(name, value)
    assert main(["check-config"]) == 0
    assert "n3: listens at 127.0.0.1:9090" in capsys.readouterr().out
    with pytest.raises(SystemExit):
        main(["serve", "--nonsense"])


def free_port() -> int:
    """Return a port that is currently free."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def test_the_program_starts_serves_and_ends_on_sigterm(tmp_path: Path) -> None:
    port = free_port()
    program = subprocess.Popen(
        PROGRAM,
        cwd=ROOT,
        env={**os.environ, **write_config(tmp_path), "GW_LISTEN": f"127.0.0.1:{port}"},
        text=True,
        stderr=subprocess.PIPE,
    )
    assert program.stderr is not None
    assert f"n3 serves at 127.0.0.1:{port}" in program.stderr.readline()
    with urllib.request.urlopen(f"http://127.0.0.1:{port}/_health", timeout=10) as answer:
        assert answer.status == 200
    program.terminate()
    _, last_lines = program.communicate(timeout=20)
    assert program.returncode == 0
    assert last_lines.endswith("invariants broken: none\n")


def reload_counts(console_port: int) -> tuple[int, int]:
    """Return the numbers of applied and rejected files that the console reports."""
    with urllib.request.urlopen(f"http://127.0.0.1:{console_port}/admin/stats", timeout=10) as answer:
        lines = answer.read().decode().splitlines()
    metrics = dict(line.partition("|")[0].rsplit(":", 1) for line in lines)
    return int(metrics["svc.reload_success"]), int(metrics["svc.reload_failure"])


# Review case 2: on SIGHUP a running program applied files without `group` and other keys, with wide defaults.
def test_a_running_program_keeps_its_settings_when_a_file_lacks_a_key(tmp_path: Path) -> None:
    console_port = free_port()
    complete = example_config()
    complete |= {"listen": f"127.0.0.1:{free_port()}", "console": f"127.0.0.1:{console_port}"}
    complete["discovery"] = "127.0.0.1:1"
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(complete))
    environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
    environment["GW_CONFIG"] = str(path)
    program = subprocess.Popen(PROGRAM, cwd=ROOT, env=environment, text=True, stderr=subprocess.PIPE)
    try:
        assert program.stderr is not None
        while "serves the console" not in (line := program.stderr.readline()):
            assert line, "it did not start"
        expected = [0, 0]
        for data in [complete, *(without(complete, key) for key in key_paths(complete)), complete]:
            expected[0 if data is complete else 1] += 1
            path.write_bytes(orjson.dumps(data))
            program.send_signal(signal.SIGHUP)
            while sum(counts := reload_counts(console_port)) < sum(expected):
                time.sleep(0.002)
            assert list(counts) == expected, program.stderr.readline()
    finally:
        program.terminate()
        program.communicate(timeout=20)
    assert program.returncode == 0


def test_lab_run_runs_an_experiment_on_leases(tmp_path: Path) -> None:
    experiment = tmp_path / "experiment.toml"
    experiment.write_text('name = "two"\ninstances = 2\nlength_s = 1\nauthority = "table"\n')
    completed = subprocess.run(
        [*PROGRAM, "lab", "run", str(experiment), "--seed", "1"], cwd=ROOT, capture_output=True, text=True
    )
    assert not completed.stderr
    assert completed.returncode == 0
    assert completed.stdout.startswith("two, seed 1\n")
