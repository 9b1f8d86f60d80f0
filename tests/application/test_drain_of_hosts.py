"""A drain of NVMe hosts, with the program as a process of its own."""

from __future__ import annotations

import asyncio
import os
import socket
import subprocess
import sys
from pathlib import Path

import orjson

from tests.standins import Discovery, HttpNode, NvmeHost, http
from tests.support.console_calls import call
from tests.support.platform_config import ROOT, example_config

NQN = "nqn.2026-12.example:front"
HOST_COUNT = 3
WORK_S = 0.4  # time from the arrival of a write at the storage node to its answer
PATIENT_WRITE = {"aim": 1000.0, "hard_limit": 6000.0, "window": 6000.0}
DRAIN_LIMIT_S = 4.0  # DAYS, "Sending clients away"
TEST_TIMEOUT_S = 40
OPERATOR_FILE = """
[nvme]
listen = "127.0.0.1:{port}"
nqn = "{nqn}"
[[nvme.volume]]
namespace = 1
volume = "1"
grade = "base"
read_class = "read"
write_class = "write"
blocks = 4096
stripe = [0]
write_deadline_ms = 5000
"""


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


async def start(
    folder: Path, discovery: Discovery, nvme_port: int, console_port: int
) -> subprocess.Popen[str]:
    """Start the program with an NVMe front end, and wait until it accepts hosts and calls."""
    config = example_config() | {"listen": f"127.0.0.1:{free_port()}", "console": f"127.0.0.1:{console_port}"}
    config |= {"discovery": f"127.0.0.1:{discovery.port}", "known": discovery.listing()}
    config["settings"]["profiles"][1] |= PATIENT_WRITE
    (folder / "config.json").write_bytes(orjson.dumps(config))
    (folder / "operator.toml").write_text(OPERATOR_FILE.format(port=nvme_port, nqn=NQN))
    environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
    environment["GW_CONFIG"] = str(folder / "config.json")
    command = [sys.executable, "-O", "-m", "sabledyke", "serve", "--operator", str(folder / "operator.toml")]
    program = subprocess.Popen(command, cwd=ROOT, env=environment, text=True, stderr=subprocess.PIPE)
    assert program.stderr is not None
    while "serves the console" not in (line := await asyncio.to_thread(program.stderr.readline)):
        assert line, "it did not start"
    return program


# Review case 3: POST /admin/quiesce closed all queues of NVMe hosts; 12 of 12 writes in flight got no answer.
def test_a_drained_process_answers_the_writes_of_its_hosts_and_then_ends_their_queues(tmp_path: Path) -> None:
    arrived: list[float] = []

    async def answer_slowly(_: object) -> bytes | None:
        arrived.append(asyncio.get_running_loop().time())
        await asyncio.sleep(WORK_S)
        return http(200)

    async def scenario(nvme_port: int, console_port: int) -> None:
        hosts = [NvmeHost(nvme_port, NQN) for _ in range(HOST_COUNT + 1)]
        for host in hosts:
            await host.open()
        *busy, idle = hosts
        writes = [asyncio.create_task(host.write(1, 8 * n, bytes(512))) for n, host in enumerate(busy)]
        while len(arrived) < HOST_COUNT:
            await asyncio.sleep(0.01)
        assert (await call(console_port, "POST", "/admin/quiesce"))[0] == 200
        assert await idle.io[0].read() == b""
        assert not any(write.done() for write in writes)
        assert await asyncio.gather(*writes) == [0] * HOST_COUNT
        for host in busy:
            assert await host.io[0].read() == b""
            assert await host.admin_queue[0].read() == b""
        for host in hosts:
            host.close()

    async def run() -> None:
        node, discovery = HttpNode(), Discovery()
        node.answer = answer_slowly
        for service in (node, discovery):
            await service.open()
        discovery.add("plain", node.port, 0)
        nvme_port, console_port = free_port(), free_port()
        program = await start(tmp_path, discovery, nvme_port, console_port)
        try:
            async with asyncio.timeout(DRAIN_LIMIT_S + 2 * WORK_S):
                await scenario(nvme_port, console_port)
        finally:
            program.terminate()
            await asyncio.to_thread(program.communicate, timeout=TEST_TIMEOUT_S)
            for service in (node, discovery):
                service.die()
        assert program.returncode == 0

    asyncio.run(run())
