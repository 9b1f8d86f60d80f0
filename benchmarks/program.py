"""The complete program in a separate process, for measurements."""

from __future__ import annotations

import asyncio
import os
import re
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import orjson

from benchmarks.deployment import MEMORY_MB, SOCKETS, settings
from benchmarks.nodes import NodeProcess

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
USER_TICKS_FIELD = 11  # index among the fields of /proc/PID/stat after the process name
SYSTEM_TICKS_FIELD = 12


@dataclass
class Program:
    """One scheduler under measurement.

    Attributes:
        process: The process of the program.
        port: The port of its HTTP frontend.
        startup_s: Time in seconds from the start of the process until it logs that it serves.
        lines: The log lines so far.
    """

    process: asyncio.subprocess.Process
    port: int
    startup_s: float
    lines: list[str] = field(default_factory=list)

    def cpu_s(self) -> float:
        """Return the CPU time of all its threads in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])) / CLOCK_TICKS_PER_S

    def memory_mb(self) -> float:
        """Return the current resident memory in MB."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        assert found is not None
        return int(found.group(1)) / 1024

    async def stop(self) -> str:
        """Shut the program down; return the broken invariants that it logs last, or ``?``."""
        self.process.terminate()
        await self.process.wait()
        texts = [line.rpartition("invariants broken: ")[2] for line in self.lines if "invariants" in line]
        return texts[-1].strip() if texts else "?"


async def start_program(tree: Path, folder: Path, nodes: NodeProcess, operator_file: str = "") -> Program:
    """Start the program from a checkout, with these storage nodes.

    Args:
        tree: Path of the checkout.
        folder: Folder for the program's files.
        nodes: The process of storage nodes and discovery.
        operator_file: Text of the operator's file; empty for none.
    """
    arguments = _write_files(folder, nodes, operator_file)
    environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
    environment["GW_CONFIG"] = str(folder / "config.json")
    environment["SABLEDYKE_STORE_PASSWORD"] = "secret"
    began_s = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-O",
        "-m",
        "sabledyke",
        *arguments,
        cwd=tree,
        env=environment,
        stderr=subprocess.PIPE,
    )
    assert process.stderr is not None
    lines: list[str] = []
    port = await _read_port(process.stderr, lines)
    startup_s = time.monotonic() - began_s
    _collect_lines(process.stderr, lines)
    return Program(process, port, startup_s, lines)


def free_port() -> int:
    """Return a TCP port that is currently unused."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return int(unused.getsockname()[1])


def _write_files(folder: Path, nodes: NodeProcess, operator_file: str) -> list[str]:
    """Write the program's files; return the command-line arguments that name them."""
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "seed": "1",
        "discovery": f"127.0.0.1:{nodes.discovery_port}",
        "settings": settings(),
        "known": nodes.listing,
        "limits": {"cores": 1, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
    }
    (folder / "config.json").write_bytes(orjson.dumps(config))
    if not operator_file:
        return []
    path = folder / "operator.toml"
    path.write_text(operator_file)
    return ["serve", "--operator", str(path)]


async def _read_port(stream: asyncio.StreamReader, lines: list[str]) -> int:
    """Read log lines until the program reports that it serves; return its port."""
    line = await stream.readline()
    while b"serves at" not in line:
        assert line, f"the program did not start: {lines}"
        lines.append(line.decode())
        line = await stream.readline()
    return int(line.rpartition(b":")[2])


_collectors: set[asyncio.Task[None]] = set()


def _collect_lines(stream: asyncio.StreamReader, lines: list[str]) -> None:
    """Read the program's log in the background, so that a full pipe never blocks the program."""

    async def collect() -> None:
        async for line in stream:
            lines.append(line.decode())

    task = asyncio.create_task(collect())
    _collectors.add(task)
    task.add_done_callback(_collectors.discard)
