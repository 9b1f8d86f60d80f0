"""Processes of the program, each with a folder, a configuration and logs of its own.

The cluster starts, signals and stops them, by process id and in bounded time; they end with it when it is
killed. What they do it does not know: an experiment says what is in their operator's files. At most
``MAX_PROCESSES`` of them.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import orjson

from sabledyke.testbed.parent_death import end_with_parent
from sabledyke.testbed.ports import hold_port

MAX_PROCESSES = 64
PAUSE_TIMEOUT_S = 30.0  # in which a process must be stopped inside, or outside, of a transaction
STOP_TIMEOUT_S = 10.0  # from SIGTERM to SIGKILL
STATE_POLL_S = 0.001  # between two looks whether a process has stopped
PAUSE_RETRY_S = 0.002  # for which a process runs on that stopped at the wrong moment
DEFAULT_SETTINGS: dict[str, Any] = {  # a small deployment; the experiment's own are in the operator's files
    "siblings": 1,
    "discovery": "on_request",
    "ceilings": {"try_limit": 3},
    "family_info": {
        "usual_units": 2,
        "units_top": 8,
        "fair_worth": 0.3,
        "spare_worth": 0.05,
        "young_limit": 20,
    },
    "invariants": {"cold_share": 0.25, "warm_up": 10000, "fall": 2000, "answer_slack": 8},
    "profiles": [{"name": "read", "aim": 200, "hard_limit": 1000, "credit": 2, "semantics": "idempotent"}],
    "grades": [{"name": "base", "usual_rate": 5}],
}


@dataclass(slots=True)
class Instance:
    """One process, by the name that stays with it over restarts.

    Attributes:
        name: Its name.
        folder: Its working directory.
        starts: How often it was started.
        port: The socket that reserves its listener's port.
        process: The process of its last start.
    """

    name: str
    folder: Path
    starts: int = 0
    port: socket.socket | None = field(default=None, repr=False)
    process: asyncio.subprocess.Process | None = field(default=None, repr=False)

    @property
    def alive(self) -> bool:
        """Whether its process exists, running or stopped."""
        return self.process is not None and self.process.returncode is None

    @property
    def port_number(self) -> int:
        """Where it listens."""
        assert self.port is not None, f"{self.name} is not prepared"
        return int(self.port.getsockname()[1])


class Cluster:
    """Starts, signals and stops processes of the program.

    Attributes:
        instances: The processes, by number.
        folder: Where their folders are.
    """

    def __init__(self, folder: Path, size: int) -> None:
        if not 0 < size <= MAX_PROCESSES:
            raise ValueError(f"a cluster has from 1 to {MAX_PROCESSES} processes, not {size}")
        self.instances = [Instance(f"n{i}", folder / f"n{i}") for i in range(size)]
        self.folder = folder

    def prepare(
        self,
        number: int,
        operator_file: str,
        *,
        settings: dict[str, Any] | None = None,
        discovery: str = "127.0.0.1:1",
    ) -> None:
        """Write an instance's files.

        Args:
            number: Which instance.
            operator_file: The text of its operator's file.
            settings: Settings that replace the defaults of the same names.
            discovery: The address of its discovery.
        """
        instance = self.instances[number]
        instance.folder.mkdir(parents=True)
        instance.port = hold_port()
        identity = {"me": number, "siblings": len(self.instances)}
        config = {
            "name": instance.name,
            "listen": f"127.0.0.1:{instance.port_number}",
            "discovery": discovery,
            "seed": f"{number:x}",
            "limits": {"sockets": 128, "memory_mb": 64},
            "settings": {**DEFAULT_SETTINGS, **identity, **(settings or {})},
        }
        (instance.folder / "config.json").write_bytes(orjson.dumps(config))
        (instance.folder / "operator.toml").write_text(operator_file)

    async def start(self, number: int) -> None:
        """Start an instance, or start it again after its end."""
        instance = self.instances[number]
        instance.starts += 1
        with open(instance.folder / f"log.{instance.starts}", "wb") as log:
            instance.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                "sabledyke",
                "serve",
                "--operator",
                "operator.toml",
                cwd=instance.folder,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=_environment(),
                preexec_fn=partial(end_with_parent, os.getpid()),
            )

    def send_signal(self, number: int, what: signal.Signals) -> None:
        """Send an instance a signal, if it is alive."""
        instance = self.instances[number]
        if instance.process is not None and instance.alive:
            instance.process.send_signal(what)

    async def pause(self, number: int, *, locking: bool = False) -> None:
        """Stop a process outside of any transaction of a table that it shares, or with ``locking`` in one.

        A process that is stopped in the middle of a transaction keeps the file's lock, and nobody writes
        there until it goes on or ends. Which of the two an experiment means must not be left to chance.

        Raises:
            TimeoutError: It could not be stopped at such a moment.
        """
        process = self.instances[number].process
        async with asyncio.timeout(PAUSE_TIMEOUT_S):
            while process is not None and process.returncode is None:
                process.send_signal(signal.SIGSTOP)
                while not _is_stopped(process.pid):
                    await asyncio.sleep(STATE_POLL_S)
                if _holds_write_lock(process.pid) is locking:
                    return
                process.send_signal(signal.SIGCONT)
                await asyncio.sleep(PAUSE_RETRY_S)

    async def stop(self) -> list[int]:
        """Stop all processes, by SIGTERM and where that is not enough by SIGKILL.

        Returns:
            The exit status of each process.
        """
        for number in range(len(self.instances)):
            self.send_signal(number, signal.SIGCONT)
            self.send_signal(number, signal.SIGTERM)
        for number, instance in enumerate(self.instances):
            await self._wait_for_end(number)
            if instance.port is not None:
                instance.port.close()
        return [
            instance.process.returncode or 0 for instance in self.instances if instance.process is not None
        ]

    async def _wait_for_end(self, number: int) -> None:
        process = self.instances[number].process
        if process is None:
            return
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            self.send_signal(number, signal.SIGKILL)
            await process.wait()

    def timeline(self) -> list[dict[str, Any]]:
        """Return the log lines of all processes by wall time.

        A line that is not JSON is given as ``raw``, at the time of the line before it.
        """
        lines = [
            line
            for instance in self.instances
            for log in sorted(instance.folder.glob("log.*"))
            for line in _read_log(instance.name, log)
        ]
        return sorted(lines, key=lambda line: float(line["wall"]))


def _environment() -> dict[str, str]:
    """Return the environment of a process: this one's, but for the program's own variables."""
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
    path = os.pathsep.join(folder for folder in sys.path if folder)
    return {**inherited, "GW_CONFIG": "config.json", "PYTHONPATH": path}


def _read_log(instance: str, log: Path) -> list[dict[str, Any]]:
    lines: list[dict[str, Any]] = []
    wall = 0.0
    for raw in log.read_bytes().splitlines():
        try:
            line = orjson.loads(raw)
        except orjson.JSONDecodeError:
            line = {"raw": raw.decode(errors="replace"), "instance": instance, "wall": wall}
        wall = float(line["wall"])
        lines.append(line)
    return lines


def _is_stopped(pid: int) -> bool:
    """Return whether the process is stopped, or does not exist any more."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return True
    return state in "TtZ"


def _holds_write_lock(pid: int) -> bool:
    """Return whether the process holds a file's lock for writing, by proc(5)'s /proc/locks."""
    rows = (line.split() for line in Path("/proc/locks").read_text().splitlines())
    return any(row[1:5] == ["POSIX", "ADVISORY", "WRITE", str(pid)] for row in rows)
