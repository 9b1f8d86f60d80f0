"""A client repeats a keyed write after the program was killed at one of the steps of the write."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sqlite3
import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest

from sabledyke.store import maintenance
from sabledyke.store.section import Target
from tests.store.record_deployment import (
    KeyedNode,
)
from tests.support.platform_config import ROOT, platform_settings

SETTLE_S = 0.05  # time to wait for an answer that must not arrive
TEST_TIMEOUT_S = 40


class KilledProgram:
    """The program in a process of its own, with one node that deduplicates by idempotency key."""

    def __init__(self, tmp_path: Path) -> None:
        self.record = tmp_path / "record.sqlite3"
        self.node = KeyedNode()
        self._operator = tmp_path / "operator.toml"
        self._operator.write_text(f'[store]\npath = "{self.record}"\nstall_ms = 9000\n')
        self._config = tmp_path / "config.json"
        self._settings = platform_settings()
        self._settings["profiles"][0] |= {
            "name": "write",
            "semantics": "deduplicated",
            "group": "cell",
            "window": 60000,
            "aim": 5000,
            "hard_limit": 20000,
        }
        with socket.socket() as port_socket:
            port_socket.bind(("127.0.0.1", 0))
            self._port = port_socket.getsockname()[1]

    async def start(self) -> asyncio.subprocess.Process:
        """Start the program, and wait until it accepts requests."""
        self._config.write_bytes(orjson.dumps(self._configuration()))
        environment = {**os.environ, "GW_CONFIG": str(self._config)}
        for name in ("GW_NAME", "GW_LISTEN", "GW_DISCOVERY"):
            environment.pop(name, None)
        arguments = ("-O", "-m", "sabledyke", "serve", "--operator", str(self._operator))
        program = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, cwd=ROOT, env=environment, stderr=subprocess.PIPE
        )
        assert program.stderr is not None
        while b"serves at" not in (line := await program.stderr.readline()):
            assert line, "it did not start"
        return program

    async def put(self, ident: str) -> int:
        """Write with the key ``k``; return the status, 0 if there was no answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        plan = self._settings["grades"][0]["name"]
        head = (
            f"PUT /api/1/1 HTTP/1.1\r\nReq-Id: {ident}\r\nReq-Kind: write\r\nTier: {plan}\r\n"
            "Req-Deadline: 15\r\nIO-Info: units=1,shard=0,hosts=1\r\nIdempotency-Key: k\r\n"
            "Content-Length: 1\r\n\r\nx"
        )
        writer.write(head.encode())
        try:
            line = await reader.readline()
            return int(line.split()[1]) if line else 0
        except ConnectionError:
            return 0
        finally:
            writer.close()

    def _configuration(self) -> dict[str, Any]:
        entry = {
            "host": "box-0",
            "dial": f"127.0.0.1:{self.node.port}",
            "site": "x",
            "class": "m",
            "block": 0,
            "health": "ready",
            "share": 1.0,
            "born_ms": 0,
        }
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{self._port}",
            "discovery": "127.0.0.1:9",
            "seed": "1",
            "limits": {"cores": 1, "memory_mb": 64, "sockets": 1024},
            "settings": self._settings,
            "known": {"seq": 1, "whole": True, "hosts": [entry]},
        }


async def kill_and_repeat(deployment: KilledProgram, when: str) -> None:
    """Kill the program during a write, start it again, and repeat the write."""
    node = deployment.node
    await node.open()
    program = await deployment.start()
    node.write_behaviors = ["hold"]
    first = asyncio.create_task(deployment.put("a"))
    await node.holding.wait()  # the intent is durable, and the node has run the write
    lock = sqlite3.connect(deployment.record, isolation_level=None)
    if when == "served":  # the entry cannot be written, so the answer is not passed on
        lock.execute("BEGIN IMMEDIATE")
    if when != "sent":
        node.release.set()
    if when == "journalled":
        assert await first == 200
    else:
        await asyncio.sleep(SETTLE_S)
    program.send_signal(signal.SIGKILL)
    await program.wait()
    lock.close()
    node.release.set()
    if when != "journalled":
        assert await first in (0, 500)  # the client has no answer, or one with unknown outcome
    program = await deployment.start()
    assert await deployment.put("b") == 200
    assert node.effects == {"k": 1}
    program.terminate()
    await program.wait()
    node.die()


@pytest.mark.parametrize("when", ["sent", "served", "journalled"])
def test_a_program_killed_between_the_steps_of_a_write_does_not_repeat_it(tmp_path: Path, when: str) -> None:
    """Guards against a second execution after SIGKILL, a restart, and the client's repeat."""
    deployment = KilledProgram(tmp_path)

    async def bounded() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await kill_and_repeat(deployment, when)

    asyncio.run(bounded())
    with sqlite3.connect(deployment.record) as db:
        rows = db.execute("SELECT life, outcome FROM journal ORDER BY seq").fetchall()
        assert rows == ([(1, "served")] if when == "journalled" else []) + [(2, "served")]
    reported: list[str] = []
    assert asyncio.run(maintenance.audit(Target(path=str(deployment.record)), reported.append)), reported
