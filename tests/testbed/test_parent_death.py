"""A play that is killed takes its processes with it."""

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

PLAY = """
import asyncio, sys
from pathlib import Path
from sabledyke.testbed.cluster import Cluster

async def play():
    cluster = Cluster(Path(sys.argv[1]), 1)
    cluster.prepare(0, "")
    await cluster.start(0)
    print(cluster.instances[0].process.pid, flush=True)
    await asyncio.Event().wait()

asyncio.run(play())
"""

POOL = """
import os, time
from concurrent.futures import ProcessPoolExecutor
from sabledyke.testbed.parent_death import end_with_parent

with ProcessPoolExecutor(1, initializer=end_with_parent, initargs=(os.getpid(),)) as pool:
    print(pool.submit(os.getpid).result(), flush=True)
    time.sleep(1000)
"""


def started_by(script: str, folder: Path) -> tuple[subprocess.Popen[str], int]:
    """Start a script, and return it with the process id that it prints."""
    play = subprocess.Popen(
        [sys.executable, "-c", script, str(folder)],
        stdout=subprocess.PIPE,
        text=True,
        env=dict(os.environ, PYTHONPATH=os.pathsep.join(sys.path)),
    )
    assert play.stdout is not None
    return play, int(play.stdout.readline())


def assert_ends_with(play: subprocess.Popen[str], pid: int) -> None:
    """Kill the play, and see the process that it started end."""
    assert is_running(pid)
    play.kill()
    play.wait()
    assert play.stdout is not None
    play.stdout.close()
    deadline_s = time.monotonic() + END_TIMEOUT_S
    while is_running(pid) and time.monotonic() < deadline_s:
        time.sleep(POLL_S)
    if is_running(pid):
        os.kill(pid, signal.SIGKILL)
        pytest.fail(f"{pid} outlives its play")


def is_running(pid: int) -> bool:
    """Whether a process exists, and is no zombie."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return False
    return state != "Z"


def test_processes_of_a_cluster_end_with_a_play_that_is_killed(tmp_path: Path) -> None:
    """Guards against processes that go on calling ports which later plays get."""
    assert_ends_with(*started_by(PLAY, tmp_path))


def test_a_process_of_a_pool_ends_with_a_play_that_is_killed(tmp_path: Path) -> None:
    assert_ends_with(*started_by(POOL, tmp_path))
