"""Bad clients send bodies in tiny chunks: others are answered long after their time, or never."""

from __future__ import annotations

import asyncio
import os
import random
import secrets
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

CLIENTS = 8
BAD_CLIENTS = 60
BODY_BYTES = 60_000  # below the 64 KiB that a body holds at most
BEFORE_S, TROUBLE_S, AFTER_S = 1.5, 12.0, 8.0
DEADLINE_S = 2.0
LOST_AFTER_S = DEADLINE_S + 0.5 + 0.05
# TROUBLE=length plays the same bad clients with the same bodies, sent with a Content-Length.
CHUNKED = os.environ.get("TROUBLE") != "length"
FRAMING = "Transfer-Encoding: chunked" if CHUNKED else f"Content-Length: {BODY_BYTES}"
BODY = b"1\r\nx\r\n" * BODY_BYTES + b"0\r\n\r\n" if CHUNKED else b"x" * BODY_BYTES


async def be_bad(scheduler: rig.Scheduler, record: rig.Record) -> None:
    """Ask for a class that does not exist, again and again, as fast as the answers come."""
    while True:
        ident = secrets.token_hex(8)
        head = (
            f"PUT /api/{rig.VOLUME}/{1:016x} HTTP/1.1\r\nHost: x\r\nReq-Id: {ident}\r\nReq-Kind: nothing\r\n"
            f"Tier: base\r\nReq-Deadline: 5.000\r\n{FRAMING}\r\n\r\n"
        )
        began = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", scheduler.port)
            writer.write(head.encode() + BODY)
            got = await reader.read(4096)
            writer.close()
        except OSError:
            got = b""
            await asyncio.sleep(0.01)
        record.add(f"bad client: {got[:12].decode()!r} after {time.monotonic() - began:.3f} s")


class Readers:
    """Usual clients, each with a connection of its own, which read small pieces now and then."""

    def __init__(self, scheduler: rig.Scheduler, record: rig.Record) -> None:
        self.sent: list[rig.Sent] = []
        self.waiting: dict[int, rig.Sent] = {}  # by client
        self.done = False
        self._scheduler = scheduler
        self._record = record

    async def use(self, number: int) -> None:
        """Be one client."""
        client = rig.Client(self._scheduler.port, self._record)
        while not self.done:
            if not client.connected:
                await client.connect()
            ident = secrets.token_hex(8)
            data = rig.request_bytes(ident, "lettura", number % 3, DEADLINE_S, number)
            self.waiting[number] = rig.Sent(ident, sent_at=time.monotonic(), fate="no answer yet")
            self.sent.append(await client.ask(ident, data, 30.0))
            del self.waiting[number]
            await asyncio.sleep(random.uniform(0.05, 0.15))


async def play(scheduler: rig.Scheduler, readers: Readers, record: rig.Record) -> None:
    """Read alone, then beside the bad clients, then alone until all is answered."""
    await scheduler.start()
    usual = [asyncio.create_task(readers.use(number)) for number in range(CLIENTS)]
    await asyncio.sleep(BEFORE_S)
    bad: list[asyncio.Task[None]] = []
    if rig.TROUBLE:
        record.add(f"{BAD_CLIENTS} bad clients begin")
        bad = [asyncio.create_task(be_bad(scheduler, record)) for _ in range(BAD_CLIENTS)]
    await asyncio.sleep(TROUBLE_S)
    await rig.stop(bad)
    record.add("the bad clients are gone")
    readers.done = True
    await asyncio.wait(usual, timeout=AFTER_S)
    for one in readers.waiting.values():
        one.ended_at = time.monotonic()
        readers.sent.append(one)
    await rig.stop(usual)


async def case(record: rig.Record) -> int:
    """Look for requests of usual clients whose answer came over half a second after their time."""

    async def serve(message: rig.Message, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.02)
        record.add(f"node ran {message.headers['req-id']}")
        writer.write(rig.answer(200, b"data"))

    discovery = rig.Discovery()
    nodes = await rig.serve_nodes(discovery, [serve] * 3)
    scheduler = rig.Scheduler(record, discovery, rig.settings())
    readers = Readers(scheduler, record)
    try:
        await play(scheduler, readers, record)
    finally:
        await scheduler.end()
        for service in (*nodes, discovery):
            service.close()
    late = [one for one in readers.sent if one.ended_at - one.sent_at > LOST_AFTER_S]
    for one in late:
        record.add(f"LOST: {one.ident}, {one.fate} {one.ended_at - one.sent_at:.3f} s after it was sent")
    longest = max((one.ended_at - one.sent_at for one in readers.sent), default=0.0)
    summary = f"{len(readers.sent)} reads of {DEADLINE_S} s, longest {longest:.2f} s, {len(late)} lost"
    record.add(summary)
    print(summary)
    if not any(one.fate == "200" for one in readers.sent):
        return rig.COULD_NOT_RUN
    return rig.BROKEN if late else rig.HELD


rig.run_case(FOLDER, case)
