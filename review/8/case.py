"""The connection of a duty's call is reset during a planned restart: two schedulers act at the same time."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

ACT_S = 1.7  # and never longer than Lease-Remaining-Ms
TERM_AFTER_S = 0.2  # after the beginning of an act
RESET_AFTER_S = 0.4
# TROUBLE=term and TROUBLE=reset play one disruption alone.
RESTARTS = rig.TROUBLE and os.environ.get("TROUBLE") != "reset"
RESETS = rig.TROUBLE and os.environ.get("TROUBLE") != "term"
OPERATOR = """
[lease]
path = "{folder}/leases.sqlite3"
[[lease.duty]]
name = "sweep"
kind = "call"
url = "http://127.0.0.1:{port}/sweep"
every_s = 2
"""


@dataclass
class Act:
    """One act of the duty."""

    holder: str
    token: int
    began_at: float
    ends_at: float


class SweepService:
    """The called service: it works on each call to its end, and rejects tokens older than the latest."""

    def __init__(self, record: rig.Record) -> None:
        self.acts: list[Act] = []
        self.both_ready = False
        self.reset_act: Act | None = None
        self._record = record

    async def handle(self, call: rig.Message, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run one act; the connection of the first one is reset while the service works on."""
        token = int(call.headers["lease-token"])
        if token < max((act.token for act in self.acts), default=0):
            writer.write(rig.answer(409))
            return
        length_s = min(ACT_S, 0.9 * float(call.headers["lease-remaining-ms"]) / 1000)
        began = time.monotonic()
        act = Act(call.headers["lease-holder"].partition(".")[0], token, began, began + length_s)
        self.acts.append(act)
        remaining_ms = call.headers["lease-remaining-ms"]
        self._record.add(
            f"act {len(self.acts)} begins: {act.holder}, token {token}, {remaining_ms} ms remain"
        )
        if RESETS and self.both_ready and self.reset_act is None:
            self.reset_act = act
            await asyncio.sleep(RESET_AFTER_S)
            self._record.add(f"the connection of {act.holder}'s act is reset; the act goes on")
            rig.reset(writer)
        await asyncio.sleep(max(0.0, act.ends_at - time.monotonic()))
        self._record.add(f"an act of {act.holder}, token {token}, ends after {length_s:.2f} s")
        writer.write(rig.answer(200))


def overlaps(acts: list[Act]) -> list[tuple[Act, Act]]:
    """Return the pairs of acts of two schedulers of which one began while the other was at work."""
    return [
        (first, second)
        for first in acts
        for second in acts
        if first.holder != second.holder and first.began_at <= second.began_at < first.ends_at
    ]


async def play(schedulers: dict[str, rig.Scheduler], service: SweepService) -> None:
    """Restart the holder in the middle of its first act, then watch for some seconds."""
    for scheduler in schedulers.values():
        await scheduler.start()
    await asyncio.sleep(1.0)
    service.both_ready, begun = True, len(service.acts)
    until = time.monotonic() + 15
    while len(service.acts) == begun and time.monotonic() < until:
        await asyncio.sleep(0.01)
    if RESTARTS and len(service.acts) > begun:
        await asyncio.sleep(TERM_AFTER_S)
        holder = schedulers[service.acts[-1].holder]
        holder.send(signal.SIGTERM)
        await holder.wait(5.0)
    await asyncio.sleep(4.0)


async def case(record: rig.Record) -> int:
    """Look for acts of two schedulers at the same time."""
    service = SweepService(record)
    discovery = rig.Discovery()
    await discovery.open()
    server = rig.Service(service.handle)
    await server.open()
    folder = tempfile.TemporaryDirectory(prefix="review-")
    operator = OPERATOR.format(folder=folder.name, port=server.port)
    schedulers = {
        name: rig.Scheduler(record, discovery, rig.settings(), operator, name) for name in ("n0", "n1")
    }
    try:
        await play(schedulers, service)
    finally:
        for scheduler in schedulers.values():
            await scheduler.end()
        server.close()
        discovery.close()
        folder.cleanup()
    twice = overlaps(service.acts)
    for first, second in twice:
        early_s = first.ends_at - second.began_at
        record.add(
            f"TWO AT ONCE: {second.holder} (token {second.token}) began {early_s:.3f} s before the act of"
            f" {first.holder} (token {first.token}) ended"
        )
    summary = f"{len(service.acts)} acts, {len(twice)} began while another scheduler's was at work"
    record.add(summary)
    print(summary)
    if not service.acts:
        return rig.COULD_NOT_RUN
    return rig.BROKEN if twice else rig.HELD


rig.run_case(FOLDER, case)
