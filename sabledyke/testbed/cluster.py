"""Processes of the program, each with a folder, a configuration and a log of its own; ended by id, and in
time.

Knows nothing of what they do: an experiment says what is in their operator's files. At most ``MOST`` of them.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from sabledyke.testbed.ports import hold_port

MOST = 64
CATCH = 30.0  # seconds in which a process must be caught in, or outside of, a transaction
SETTINGS: dict[str, Any] = {  # a small deployment; what an experiment is about stands in the operator's files
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
    """One process, by the name that it keeps over restarts."""

    name: str
    folder: Path
    starts: int = 0
    port: socket.socket | None = field(default=None, repr=False)  # held for its door
    process: asyncio.subprocess.Process | None = field(default=None, repr=False)

    @property
    def alive(self) -> bool:
        """It runs, or stands still."""
        return self.process is not None and self.process.returncode is None


class Cluster:
    """Starts, signals and ends processes of the program."""

    def __init__(self, folder: Path, size: int) -> None:
        if not 0 < size <= MOST:
            raise ValueError(f"a cluster has from 1 to {MOST} processes, not {size}")
        self.instances = [Instance(f"n{i}", folder / f"n{i}") for i in range(size)]
        self.folder = folder

    def prepare(self, number: int, operator: str, **more: Any) -> None:
        """Write an instance's files; ``more`` goes into its configuration."""
        made = self.instances[number]
        made.folder.mkdir(parents=True)
        made.port = hold_port()
        settings = {**SETTINGS, "me": number, "siblings": len(self.instances), **more.pop("settings", {})}
        config = {
            "name": made.name,
            "listen": f"127.0.0.1:{made.port.getsockname()[1]}",
            "discovery": "127.0.0.1:1",
            "seed": f"{number:x}",
            "limits": {"sockets": 128, "memory_mb": 64},
            "settings": settings,
            **more,
        }
        (made.folder / "config.json").write_bytes(orjson.dumps(config))
        (made.folder / "operator.toml").write_text(operator)

    async def start(self, number: int) -> None:
        """Start it, or start it again after its end."""
        made = self.instances[number]
        made.starts += 1
        plain = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        path = os.pathsep.join(folder for folder in sys.path if folder)
        with open(made.folder / f"log.{made.starts}", "wb") as log:
            made.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                "sabledyke",
                "serve",
                "--operator",
                "operator.toml",
                cwd=made.folder,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**plain, "GW_CONFIG": "config.json", "PYTHONPATH": path},
            )

    def tell(self, number: int, what: signal.Signals) -> None:
        """Send it a signal, if it is there to take it."""
        made = self.instances[number]
        if made.process is not None and made.alive:
            made.process.send_signal(what)

    async def pause(self, number: int, *, locking: bool = False) -> None:
        """Have it stand still: outside of any transaction of a table that it shares, or with ``locking`` in
        one.

        A process that is stopped in the middle of a transaction keeps the file's lock, and nobody writes
        there until it goes on or ends. Which of the two an experiment means must not be left to chance. A
        TimeoutError where it cannot be caught so.
        """
        process = self.instances[number].process
        async with asyncio.timeout(CATCH):
            while process is not None and process.returncode is None:
                process.send_signal(signal.SIGSTOP)
                while not _stands(process.pid):
                    await asyncio.sleep(0.001)
                if _locks(process.pid) is locking:
                    return
                process.send_signal(signal.SIGCONT)
                await asyncio.sleep(0.002)

    async def end(self) -> list[int]:
        """SIGTERM to all that is left, SIGKILL where that does not do; the status of each process."""
        for i in range(len(self.instances)):
            self.tell(i, signal.SIGCONT)
            self.tell(i, signal.SIGTERM)
        for i, made in enumerate(self.instances):
            if made.process is not None:
                try:
                    async with asyncio.timeout(10):
                        await made.process.wait()
                except TimeoutError:
                    self.tell(i, signal.SIGKILL)
                    await made.process.wait()
            if made.port is not None:
                made.port.close()
        return [m.process.returncode or 0 for m in self.instances if m.process is not None]

    def timeline(self) -> list[dict[str, Any]]:
        """All structured lines of all processes as one, by wall time.

        Lines that are none come with ``raw``.
        """
        lines: list[dict[str, Any]] = []
        for made in self.instances:
            for log in sorted(made.folder.glob("log.*")):
                wall = 0.0
                for raw in log.read_bytes().splitlines():
                    try:
                        line = orjson.loads(raw)
                    except orjson.JSONDecodeError:
                        line = {"raw": raw.decode(errors="replace"), "instance": made.name, "wall": wall}
                    wall = float(line["wall"])
                    lines.append(line)
        return sorted(lines, key=lambda line: float(line["wall"]))


def _stands(pid: int) -> bool:
    """It is stopped, or gone."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] in "TtZ"
    except FileNotFoundError:
        return True


def _locks(pid: int) -> bool:
    """It holds a file's lock for writing, by the kernel's table (proc(5), /proc/locks)."""
    rows = (line.split() for line in Path("/proc/locks").read_text().splitlines())
    return any(row[1:5] == ["POSIX", "ADVISORY", "WRITE", str(pid)] for row in rows)
