"""A node gives a long answer slowly: the scheduler cuts it off, although its first bytes came in time."""

from __future__ import annotations

import asyncio
import hashlib
import secrets
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

READS = 6
ANSWER_BYTES = 192 * 1024
BYTES_A_SECOND = 64_000  # DAYS names no other rate
PIECE_BYTES = 3200


def content(ident: str) -> bytes:
    """Return the data that a node holds for a request."""
    return hashlib.sha256(ident.encode()).digest() * (ANSWER_BYTES // 32)


class Node:
    """A node that begins its answer at once, and gives the rest of it at a steady rate."""

    def __init__(self, record: rig.Record) -> None:
        self.given: dict[str, int] = {}  # bytes of the body by request
        self.cut_off: set[str] = set()
        self._record = record

    async def handle(
        self, message: rig.Message, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        ident = message.headers["req-id"]
        whole = rig.answer(200, content(ident))
        began = time.monotonic()
        self._record.add(f"node ran {ident} and begins its answer")
        for start in range(0, len(whole), PIECE_BYTES):
            if writer.is_closing():
                self.cut_off.add(ident)
                self._record.add(f"node: {ident} is cut off after {start} of {len(whole)} bytes")
                return
            writer.write(whole[start : start + PIECE_BYTES])
            self.given[ident] = start
            if rig.TROUBLE:
                due = began + (start + PIECE_BYTES) / BYTES_A_SECOND
                await asyncio.sleep(max(0.0, due - time.monotonic()))
        self._record.add(f"node gave {ident} whole after {time.monotonic() - began:.3f} s")


async def read(scheduler: rig.Scheduler, record: rig.Record, ident: str, piece: int) -> rig.Sent:
    """Read one piece, with the whole deadline of its class."""
    client = rig.Client(scheduler.port, record)
    await client.connect()
    sent = await client.ask(ident, rig.request_bytes(ident, "lettura", piece % 3, 5.0, piece), 10.0)
    client.close()
    return sent


async def case(record: rig.Record) -> int:
    """Read long pieces, one after the other, and look for answers that were cut off."""
    node = Node(record)
    discovery = rig.Discovery()
    nodes = await rig.serve_nodes(discovery, [node.handle] * 3)
    scheduler = rig.Scheduler(record, discovery, rig.settings())
    idents = [secrets.token_hex(8) for _ in range(READS)]
    try:
        await scheduler.start()
        sent = [await read(scheduler, record, ident, piece) for piece, ident in enumerate(idents)]
        await asyncio.sleep(0.2)
    finally:
        await scheduler.end()
        for service in (*nodes, discovery):
            service.close()
    whole = [one.ident for one in sent if one.fate == "200" and one.body == content(one.ident)]
    lost = [one for one in sent if one.ident in node.cut_off and one.ident not in whole]
    for one in lost:
        record.add(f"LOST: {one.ident}, its node was still giving; answered {one.fate}")
    summary = f"{len(sent)} long reads, {len(whole)} served whole, {len(lost)} cut off while the node gave"
    record.add(summary)
    print(summary)
    if not node.given:
        return rig.COULD_NOT_RUN
    return rig.BROKEN if lost else rig.HELD


rig.run_case(FOLDER, case)
