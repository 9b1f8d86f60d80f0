"""A node that is reached by TLS dies within an answer: the client is served the part as if it were whole."""

from __future__ import annotations

import asyncio
import secrets
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER), str(FOLDER.parent), str(FOLDER.parent.parent)]

import node  # noqa: E402
import rig  # noqa: E402

try:
    from tests.standins.keys import Authority
except ImportError as missing:
    print(f"could not run: {missing}; see review/build-2.sh", file=sys.stderr)
    sys.exit(rig.COULD_NOT_RUN)

READS = 4
ROUNDS = 3
OPERATOR = '[tls]\nroots = "FOLDER/roots.pem"\nname = "{host}"\n'


class NodeProcess:
    """The node as a process of its own, which can be killed."""

    def __init__(self, pair: Path) -> None:
        self.port = 0
        self._pair = pair
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it at a free port."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, str(FOLDER / "node.py"), str(self._pair), stdout=asyncio.subprocess.PIPE
        )
        assert self._process.stdout is not None
        self.port = int(await asyncio.wait_for(self._process.stdout.readline(), 10.0))

    async def kill(self) -> None:
        """Kill it."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


async def read(scheduler: rig.Scheduler, record: rig.Record) -> rig.Sent:
    """Read the node's piece."""
    client = rig.Client(scheduler.port, record)
    await client.connect()
    ident = secrets.token_hex(8)
    sent = await client.ask(ident, rig.request_bytes(ident, "lettura", 0, 5.0, 1), 6.0)
    record.add(f"client {ident}: {len(sent.body)} of {len(node.whole())} bytes")
    client.close()
    return sent


async def play(scheduler: rig.Scheduler, process: NodeProcess, record: rig.Record) -> list[rig.Sent]:
    """Read a few times at once; the node dies within the answers."""
    warm = await read(scheduler, record)  # the first handshake, and an answer that is not disturbed
    reads = [asyncio.create_task(read(scheduler, record)) for _ in range(READS)]
    await asyncio.sleep(0.3)
    if rig.TROUBLE:
        record.add("SIGKILL to the node")
        await process.kill()
    return [warm, *await asyncio.gather(*reads)]


async def one_round(record: rig.Record) -> list[rig.Sent]:
    """Start a node and a scheduler, and play."""
    discovery = rig.Discovery()
    await discovery.open()
    scheduler = rig.Scheduler(record, discovery, rig.settings(), OPERATOR)
    root = Authority()
    chain, key = root.issue("s-00000000")
    (scheduler.folder / "roots.pem").write_bytes(root.root)
    pair = scheduler.folder / "pair.pem"
    pair.touch(0o600)
    pair.write_bytes(key + b"\n" + chain)
    process = NodeProcess(pair)
    try:
        await process.start()
        discovery.add("s-00000000", process.port, 0)
        await scheduler.start()
        return await play(scheduler, process, record)
    finally:
        await process.kill()
        await scheduler.end()
        discovery.close()


async def case(record: rig.Record) -> int:
    """Look for answers that are served although they are not whole."""
    sent = [one for _ in range(ROUNDS) for one in await one_round(record)]
    served = [one for one in sent if one.fate == "200"]
    cut = [one for one in served if one.body != node.whole()]
    for one in cut:
        record.add(f"WRONG DATA: {one.ident} was served {len(one.body)} bytes with status 200, as if whole")
    summary = f"{len(sent)} reads, {len(served)} answered 200, {len(cut)} of these with a part of the data"
    record.add(summary)
    print(summary)
    if len(served) == len(cut):
        return rig.COULD_NOT_RUN
    return rig.BROKEN if cut else rig.HELD


rig.run_case(FOLDER, case)
