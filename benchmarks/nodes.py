"""Stand-ins for storage nodes and discovery in a separate process, for benchmarks.

python -m benchmarks.nodes
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from benchmarks.deployment import NODE_COUNT
from tests.standins import Discovery, HttpNode, Service, http

ROOT = Path(__file__).resolve().parent.parent
RESPONSE_DELAY_S = 0.005
RESPONSE = http(200, b"x" * 64)
MAX_LIFETIME_S = 3600


class SlowNode(HttpNode):
    """Responds to every request after a few milliseconds."""

    def __init__(self) -> None:
        super().__init__()
        self.answer = self._respond

    async def _respond(self, _: object) -> bytes:
        self.seen.clear()
        await asyncio.sleep(RESPONSE_DELAY_S)
        return RESPONSE


async def serve_nodes(make_node: Callable[[], Service] = SlowNode) -> None:
    """Print discovery's port and endpoint list, then serve until the process is terminated."""
    discovery = Discovery()
    await discovery.open()
    for number in range(NODE_COUNT):
        node = make_node()
        await node.open()
        discovery.add(f"box-{number}", node.port, number)
        discovery.hosts[-1] |= {"site": "x"}
    print(orjson.dumps([discovery.port, discovery.listing()]).decode(), flush=True)
    await asyncio.sleep(MAX_LIFETIME_S)


class NodeProcess(NamedTuple):
    """A process that serves stand-ins for storage nodes and discovery.

    Attributes:
        process: The started process.
        discovery_port: The port of the discovery stand-in.
        listing: The complete endpoint list.
    """

    process: asyncio.subprocess.Process
    discovery_port: int
    listing: Any

    @classmethod
    async def start(cls, *arguments: str) -> NodeProcess:
        """Start ``python -m`` with these arguments, by default with this module."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *(arguments or ("benchmarks.nodes",)),
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        assert process.stdout is not None
        discovery_port, listing = orjson.loads(await process.stdout.readline())
        return cls(process, discovery_port, listing)

    async def close(self) -> None:
        """Terminate the process and wait for its end."""
        self.process.terminate()
        await self.process.wait()


if __name__ == "__main__":
    asyncio.run(serve_nodes())
