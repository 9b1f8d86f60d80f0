"""The processes of a testbed run end when the run's process is killed."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

END_TIMEOUT_S = 20.0
POLL_S = 0.02

CLUSTER_SCRIPT = """
import asyncio, sys
from pathlib import Path
from sabledyke.testbed.cluster import Cluster

async def run():
    cluster = Cluster(Path(sys.argv[1]), 1)
    cluster.prepare(0, "")
    await cluster.start(0)
    print(cluster.instances[0].process.pid, flush=True)
    await asyncio.Event().wait()

asyncio.run(run())
"""

POOL_SCRIPT = """
import os, time
from concurrent.futures import ProcessPoolExecutor
from sabledyke.testbed.parent_death import end_with_parent

with ProcessPoolExecutor(1, initializer=end_with_parent, initargs=(os.getpid(),)) as pool:
    print(pool.submit(os.getpid).result(), flush=True)
    time.sleep(1000)
"""


def start_script(script: str, folder: Path) -> tuple[subprocess.Popen[str], int]:
    """Start a script, and return its process and the process id that it prints."""
    parent = subprocess.Popen(
        [sys.executable, "-c", script, str(folder)],
        stdout=subprocess.PIPE,
        text=True,
        env=dict(os.environ, PYTHONPATH=os.pathsep.join(sys.path)),
    )
    assert parent.stdout is not None
    return parent, int(parent.stdout.readline())


def assert_ends_with_parent(parent: subprocess.Popen[str], pid: int) -> None:
    """Kill the parent, and check that the process that it started ends within ``END_TIMEOUT_S``."""
    assert is_running(pid)
    parent.kill()
    parent.wait()
    assert parent.stdout is not None
    parent.stdout.close()
    deadline_s = time.monotonic() + END_TIMEOUT_S
    while is_running(pid) and time.monotonic() < deadline_s:
        time.sleep(POLL_S)
    if is_running(pid):
        os.kill(pid, signal.SIGKILL)
        pytest.fail(f"process {pid} still runs after the end of its parent")


def is_running(pid: int) -> bool:
    """Return True if a process exists and is not a zombie."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return False
    return state != "Z"


def test_processes_of_a_cluster_end_when_their_parent_is_killed(tmp_path: Path) -> None:
    """Guards against leftover processes that call ports which later runs are assigned."""
    assert_ends_with_parent(*start_script(CLUSTER_SCRIPT, tmp_path))


def test_a_process_of_a_pool_ends_when_its_parent_is_killed(tmp_path: Path) -> None:
    assert_ends_with_parent(*start_script(POOL_SCRIPT, tmp_path))
