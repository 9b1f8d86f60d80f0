"""Nodes answer some requests twice, the second time a little late: a client gets a foreign answer."""

from __future__ import annotations

import asyncio
import random
import secrets
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

CLIENTS = 10
NODES = 3
SECONDS = 12.0
ONE_WAY_S = 0.001  # BRIEF: 0.7 to 1.3 ms one way between the rooms
DOUBLED_SHARE = 0.05 if rig.TROUBLE else 0.0
SECOND_AFTER_S = 0.003
PIECES = 1000


class Node:
    """A node that echoes the id of a request, and some answers twice if nothing else waits then."""

    def __init__(self, name: str, record: rig.Record) -> None:
        self.doubled = 0
        self._name = name
        self._record = record

    async def handle(
        self, message: rig.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request; the second answer is sent only while no byte of a next request has come."""
        ident = message.headers["req-id"]
        await asyncio.sleep(random.uniform(0.001, 0.004))
        whole = rig.answer(200, f"data of {ident}".encode())
        writer.write(whole)
        self._record.add(f"{self._name} ran {ident}")
        if random.random() >= DOUBLED_SHARE:
            return
        await asyncio.sleep(SECOND_AFTER_S)
        if not rig.has_input(reader):
            self.doubled += 1
            self._record.add(f"{self._name} answers {ident} a second time")
            writer.write(whole)


async def read_without_pause(scheduler: rig.Scheduler, record: rig.Record, wrong: list[str]) -> None:
    """Be a client that reads one piece after the other, and compares each answer with its own request."""
    client = rig.Client(scheduler.port, record)
    while True:
        if not client.connected:
            await client.connect()
        ident = secrets.token_hex(8)
        piece = random.randrange(PIECES)
        data = rig.request_bytes(ident, "lettura", piece % NODES, 5.0, piece)
        sent = await client.ask(ident, data, 6.0)
        if sent.fate == "200" and sent.body != f"data of {ident}".encode():
            wrong.append(ident)
            record.add(f"FOREIGN: the answer to {ident} is {sent.body.decode()!r}")
        await asyncio.sleep(random.uniform(0.0, 0.08))


async def case(record: rig.Record) -> int:
    """Read through nodes at a distance of a millisecond, and look for foreign answers."""
    nodes = [Node(f"node {number}", record) for number in range(NODES)]
    services = [rig.Service(node.handle) for node in nodes]
    discovery = rig.Discovery()
    await discovery.open()
    wires = []
    for shard, service in enumerate(services):
        await service.open()
        wire = rig.Wire(service.port, ONE_WAY_S)
        await wire.open()
        wires.append(wire)
        discovery.add(f"s-0000000{shard}", wire.port, shard)
    scheduler = rig.Scheduler(record, discovery, rig.settings())
    wrong: list[str] = []
    clients: list[asyncio.Task[None]] = []
    try:
        await scheduler.start()
        clients = [asyncio.create_task(read_without_pause(scheduler, record, wrong)) for _ in range(CLIENTS)]
        await asyncio.sleep(SECONDS)
    finally:
        await rig.stop(clients)
        await scheduler.end()
        for service in (*wires, *services, discovery):
            service.close()
    doubled = sum(node.doubled for node in nodes)
    served = record.count(": 200 after")
    summary = (
        f"{served} reads served, {doubled} answers sent twice, {len(wrong)} clients got a foreign answer"
    )
    record.add(summary)
    print(summary)
    if not served:
        return rig.COULD_NOT_RUN
    return rig.BROKEN if wrong else rig.HELD


rig.run_case(FOLDER, case)
