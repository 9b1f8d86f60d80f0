"""Processes of the program, each with a folder, a configuration and logs of its own.

The cluster starts, signals and stops at most ``MAX_PROCESSES`` processes, by process id and in bounded time.
The processes end with the cluster's process, even if that is killed. The experiment defines what they do: it
provides the text of their operator's files.
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
from sabledyke.testbed.platform_settings import complete_settings
from sabledyke.testbed.ports import hold_port

MAX_PROCESSES = 64
PAUSE_TIMEOUT_S = 30.0  # limit for stopping a process inside, or outside, of a transaction
STOP_TIMEOUT_S = 10.0  # time from SIGTERM to SIGKILL
STATE_POLL_S = 0.001  # interval of checks that a process has stopped
PAUSE_RETRY_S = 0.002  # running time of a process that stopped at the wrong moment, before the next try


@dataclass(slots=True)
class Instance:
    """One process of the cluster; its name stays the same over restarts.

    Attributes:
        name: The name of the instance.
        folder: The working directory.
        starts: The number of starts.
        port: The socket that reserves the listener's port.
        process: The process of the last start.
    """

    name: str
    folder: Path
    starts: int = 0
    port: socket.socket | None = field(default=None, repr=False)
    process: asyncio.subprocess.Process | None = field(default=None, repr=False)

    @property
    def alive(self) -> bool:
        """True if the process exists, running or stopped."""
        return self.process is not None and self.process.returncode is None

    @property
    def port_number(self) -> int:
        """The port of the instance's listener."""
        assert self.port is not None, f"{self.name} is not prepared"
        return int(self.port.getsockname()[1])


class Cluster:
    """Starts, signals and stops processes of the program.

    Attributes:
        instances: The processes, by number.
        folder: The folder that holds the instances' folders.
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
        """Write the configuration and the operator's file of an instance.

        Args:
            number: The instance's number.
            operator_file: The text of the operator's file.
            settings: Settings that replace the defaults of the same names.
            discovery: The address of the instance's discovery.
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
            "limits": {"cores": 1, "sockets": 128, "memory_mb": 64},
            "known": None,
            "settings": complete_settings({**identity, **(settings or {})}),
        }
        (instance.folder / "config.json").write_bytes(orjson.dumps(config))
        (instance.folder / "operator.toml").write_text(operator_file)

    async def start(self, number: int) -> None:
        """Start an instance for the first time, or again after its process ended."""
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
        """Send a signal to an instance if its process exists."""
        instance = self.instances[number]
        if instance.process is not None and instance.alive:
            instance.process.send_signal(what)

    async def pause(self, number: int, *, locking: bool = False) -> None:
        """Stop a process outside of any transaction of a shared table, or with ``locking`` inside one.

        A process that is stopped in the middle of a transaction keeps the file's lock, so that no other
        process can write there until it continues or ends. An experiment therefore chooses the case.

        Raises:
            TimeoutError: The process could not be stopped at such a moment.
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
        """Stop all processes with SIGTERM, and with SIGKILL if they run longer than ``STOP_TIMEOUT_S``.

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

        A line that is not JSON is returned as ``raw``, with the time of the line before it.
        """
        lines = [
            line
            for instance in self.instances
            for log in sorted(instance.folder.glob("log.*"))
            for line in _read_log(instance.name, log)
        ]
        return sorted(lines, key=lambda line: float(line["wall"]))


def _environment() -> dict[str, str]:
    """Return this process's environment with the program's variables replaced by those of an instance."""
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
    """Return True if the process is stopped or no longer exists."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return True
    return state in "TtZ"


def _holds_write_lock(pid: int) -> bool:
    """Return True if the process holds a write lock on a file, according to /proc/locks (see proc(5))."""
    rows = (line.split() for line in Path("/proc/locks").read_text().splitlines())
    return any(row[1:5] == ["POSIX", "ADVISORY", "WRITE", str(pid)] for row in rows)
