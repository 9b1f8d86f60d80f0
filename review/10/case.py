"""A planned restart while the record's database commits slowly: writes that ran end without an answer."""

from __future__ import annotations

import asyncio
import os
import random
import secrets
import signal
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parent.parent)]

import rig  # noqa: E402

from tests.standins.postgres import Postgres  # noqa: E402
from tests.standins.postgres_faults import FaultPoint  # noqa: E402

CLIENTS = 32
COMMIT_S = 0.2  # the operators' page calls a batch a stall from 250 ms on
# TROUBLE=term and TROUBLE=slow play one disruption alone.
RESTARTS = rig.TROUBLE and os.environ.get("TROUBLE") != "slow"
SLOW = rig.TROUBLE and os.environ.get("TROUBLE") != "term"


class Writers:
    """Clients that write without pause, each write with a key of its own."""

    def __init__(self, scheduler: rig.Scheduler, record: rig.Record) -> None:
        self.fates: list[rig.Sent] = []
        self.restart_begun = False  # from then on clients open no further connections
        self._scheduler = scheduler
        self._record = record

    async def use(self, number: int) -> None:
        """Be one client."""
        client = rig.Client(self._scheduler.port, self._record)
        while client.connected or not self.restart_begun:
            if not client.connected:
                await client.connect()
            ident = secrets.token_hex(8)
            data = rig.request_bytes(ident, "scontrino", number % 3, 5.0, number, b"x" * 200, f"k-{ident}")
            self.fates.append(await client.ask(ident, data, 6.0))
            await asyncio.sleep(random.uniform(0.0, 0.4))


async def restart(scheduler: rig.Scheduler, record: rig.Record) -> None:
    """Restart as planned, with SIGKILL later than the platform's earliest."""
    scheduler.send(signal.SIGTERM)
    ended = await scheduler.wait(4.5)
    record.add(f"4.5 s after SIGTERM, or earlier: the scheduler's status is {ended}")
    if ended is None:
        scheduler.send(signal.SIGKILL)
    await asyncio.sleep(0.3)


async def commit_slowly(point: FaultPoint) -> None:
    """Delay each commit of the database."""
    if SLOW and (point.stage, point.label) == ("before", "COMMIT"):
        await asyncio.sleep(COMMIT_S)


async def case(record: rig.Record) -> int:
    """Write, restart as planned, and look for writes that ran and were never answered."""
    ran: set[str] = set()

    async def serve(message: rig.Message, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(random.uniform(0.01, 0.06))
        ran.add(message.headers["req-id"])
        record.add(f"node ran {message.headers['req-id']}")
        writer.write(rig.answer(200, message.body))

    discovery = rig.Discovery()
    nodes = await rig.serve_nodes(discovery, [serve] * 3)
    folder = tempfile.TemporaryDirectory(prefix="review-")
    postgres = Postgres(f"{folder.name}/database.sqlite3", script=commit_slowly)
    await postgres.open()
    os.environ["SABLEDYKE_STORE_PASSWORD"] = "secret"
    operator = f'[store]\nurl = "postgresql://sabledyke@127.0.0.1:{postgres.port}/record"\n'
    scheduler = rig.Scheduler(record, discovery, rig.settings(), operator)
    writers = Writers(scheduler, record)
    clients: list[asyncio.Task[None]] = []
    try:
        await scheduler.start()
        clients = [asyncio.create_task(writers.use(number)) for number in range(CLIENTS)]
        await asyncio.sleep(3.0)
        if RESTARTS:
            writers.restart_begun = True
            await restart(scheduler, record)
        else:
            await asyncio.sleep(4.0)
    finally:
        await rig.stop(clients)
        await scheduler.end()
        await postgres.end()
        for service in (*nodes, discovery):
            service.close()
        folder.cleanup()
    lost = [sent for sent in writers.fates if sent.fate in ("closed", "silent") and sent.ident in ran]
    for sent in lost:
        ended_s = sent.ended_at - sent.sent_at
        record.add(f"LOST: {sent.ident} ran; no answer, its connection was {sent.fate} after {ended_s:.3f} s")
    served = sum(sent.fate == "200" for sent in writers.fates)
    summary = f"{len(writers.fates)} writes, {served} served, {len(lost)} that ran were never answered"
    record.add(summary)
    print(summary)
    if not served:
        return rig.COULD_NOT_RUN
    return rig.BROKEN if lost else rig.HELD


rig.run_case(FOLDER, case)
