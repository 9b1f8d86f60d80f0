"""An experiment on leases: N processes of the program, one authority, one resource, and faults between them.

Read from TOML, run in real time on loopback, and judged by the resource's own record. It ends by itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Annotated, Any, Literal

import orjson
from msgspec import Meta

from sabledyke.testbed.cluster import MOST, Cluster
from sabledyke.testbed.etcd_server import Etcd
from sabledyke.testbed.fault_proxy import Proxy
from sabledyke.testbed.fenced_resource import ActEvaluation, FencedResource, evaluate
from sabledyke.toml_tables import Table, convert, from_file, parsed

LONGEST = 600.0  # seconds
SLOW = 30.0  # seconds that a busy machine may take for what an experiment waits for
ENOUGH = 20  # acts that a run waits for, also on a busy machine
STARTED = 60.0  # seconds in which the first act must come


@dataclass(slots=True, frozen=True)
class Fault:
    """``what`` happens to ``who`` (a number, or the one that acted last) at ``at`` for ``lasts`` seconds."""

    at: float
    what: str
    who: int | str
    lasts: float


@dataclass(slots=True, frozen=True)
class Experiment:
    """What an experiment's file says; times of the lease in ms."""

    name: str
    instances: int = 5
    length: float = 8.0
    authority: str = "table"
    ttl: int = 2000
    renew: int = 400
    margin: int = 500
    drift: float = 0.02
    act: float = 20.0
    every: float = 0.05  # seconds between acts
    fenced: bool = True
    offsets: tuple[float, ...] = ()  # ms by instance
    rates: tuple[float, ...] = ()
    faults: tuple[Fault, ...] = ()


@dataclass(slots=True)
class Report:
    """What came of it. ``gaps``: ms from each fault that took the holder to the next act of another."""

    verdict: ActEvaluation
    refused: int
    gaps: list[float] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    timeline: list[dict[str, Any]] = field(default_factory=list)

    def lines(self) -> list[str]:
        """For people."""
        v = self.verdict
        return [
            f"{v.act_count} acts by {v.holder_count} holders; {v.overlap_count} overlapped, "
            f"{v.stale_count} out of turn",
            f"{self.refused} refused by their token; longest time without an act {v.longest_gap_ms:.0f} ms",
            "to another holder after each fault: " + (", ".join(f"{g:.0f} ms" for g in self.gaps) or "none"),
        ]


def load(path: str) -> Experiment:
    """Read a file; an OperatorError in one line where it cannot be used."""
    return from_file(path, read)


PLAIN = Experiment("")
Seconds = Annotated[float, Meta(ge=0, le=LONGEST)]


class ClockRow(Table, frozen=True, kw_only=True):
    """How an instance's clock goes."""

    who: Annotated[int, Meta(ge=0, lt=MOST)]
    offset_ms: Annotated[float, Meta(ge=-1e9, le=1e9)] = 0.0
    rate: Annotated[float, Meta(ge=0.5, le=2)] = 1.0


class FaultRow(Table, frozen=True, kw_only=True):
    """A fault, as the file has it."""

    what: Literal[
        "pause",
        "kill",
        "term",
        "part",
        "part_to",
        "part_from",
        "slow",
        "cut",
        "restart_authority",
        "hold_acts",
        "late",
        "lock",
    ]
    who: int | str = "holder"
    at_s: Seconds = 0.0
    for_s: Seconds = 0.0


class ExperimentTable(Table, frozen=True, kw_only=True):
    """As the file has it."""

    name: str
    instances: Annotated[int, Meta(ge=1, le=MOST)] = PLAIN.instances
    length_s: Annotated[float, Meta(ge=1, le=LONGEST)] = PLAIN.length
    authority: Literal["table", "etcd"]
    ttl_ms: Annotated[int, Meta(ge=100, le=60_000)] = PLAIN.ttl
    renew_ms: Annotated[int, Meta(ge=10, le=60_000)] = PLAIN.renew
    margin_ms: Annotated[int, Meta(ge=1, le=60_000)] = PLAIN.margin
    drift: Annotated[float, Meta(ge=0, le=0.2)] = PLAIN.drift
    act_ms: Annotated[float, Meta(ge=0, le=10_000)] = PLAIN.act
    every_s: Annotated[float, Meta(ge=0.01, le=3600)] = PLAIN.every
    fenced: bool = True
    clock: tuple[ClockRow, ...] = ()
    fault: tuple[FaultRow, ...] = ()

    def __post_init__(self) -> None:
        names = ("holder", *range(self.instances))
        if not {fault.who for fault in self.fault} <= {*names} or not {c.who for c in self.clock} <= {*names}:
            raise ValueError(f"who is holder, or a number below {self.instances}")


def read(text: str) -> Experiment:
    """The text of such a file."""
    said = convert(parsed(text), ExperimentTable, "file")
    offsets, rates = [0.0] * said.instances, [1.0] * said.instances
    for row in said.clock:
        offsets[row.who], rates[row.who] = row.offset_ms, row.rate
    return Experiment(
        said.name,
        said.instances,
        said.length_s,
        said.authority,
        said.ttl_ms,
        said.renew_ms,
        said.margin_ms,
        said.drift,
        said.act_ms,
        said.every_s,
        said.fenced,
        tuple(offsets),
        tuple(rates),
        tuple(Fault(f.at_s, f.what, f.who, f.for_s) for f in said.fault),
    )


class Run:
    """One run of it, in a folder of its own."""

    def __init__(self, experiment: Experiment, folder: Path, seed: int) -> None:
        self._e, self._folder, self._random = experiment, folder, Random(seed)
        self.resource = FencedResource(experiment.act, fenced=experiment.fenced)
        self._etcd = Etcd() if experiment.authority == "etcd" else None
        self.cluster = Cluster(folder, experiment.instances)
        self._proxies: list[tuple[Proxy | None, Proxy]] = []  # by instance: to the authority, to the resource
        self._tasks: set[asyncio.Task[None]] = set()
        self._taken: list[tuple[float, str]] = []  # when a fault took which holder

    async def play(self) -> Report:
        """Start all, inject the faults, end all."""
        await self.resource.open()
        if self._etcd is not None:
            await self._etcd.open()
        try:
            for i in range(self._e.instances):
                self._proxies.append(await self._proxied())
                self.cluster.prepare(i, self._operator(i))
            await asyncio.gather(*(self.cluster.start(i) for i in range(self._e.instances)))
            async with asyncio.timeout(STARTED):
                while not self.resource.acts:
                    await asyncio.sleep(0.01)
            await self._inject()
        finally:
            for task in self._tasks:
                task.cancel()
            statuses = await self.cluster.end()
            for pair in self._proxies:
                for proxy in pair:
                    if proxy is not None:
                        await proxy.close()
            await self.resource.close()
            if self._etcd is not None:
                await self._etcd.close()
        verdict, refused = evaluate(self.resource.acts), self.resource.fence.rejected
        report = Report(verdict, refused, self._gaps(), statuses, self.cluster.timeline())
        lines = b"".join(orjson.dumps(line) + b"\n" for line in report.timeline)
        (self._folder / "timeline.jsonl").write_bytes(lines)
        return report

    async def _proxied(self) -> tuple[Proxy | None, Proxy]:
        ahead = None if self._etcd is None else Proxy(self._etcd.port, self._random.getrandbits(32))
        act = Proxy(self.resource.port, self._random.getrandbits(32))
        for proxy in (ahead, act):
            if proxy is not None:
                await proxy.open()
        return ahead, act

    def _operator(self, i: int) -> str:
        e, (ahead, act) = self._e, self._proxies[i]
        where = f'path = "{self._folder / "leases.sqlite3"}"'
        if ahead is not None:
            where = f'etcd = ["127.0.0.1:{ahead.port}"]'
        offset, rate = (e.offsets or (0.0,) * e.instances)[i], (e.rates or (1.0,) * e.instances)[i]
        return f"""
[log]
format = "json"

[lease]
{where}
ttl_ms = {e.ttl}
renew_ms = {e.renew}
margin_ms = {e.margin}
drift = {e.drift}
clock = {{offset_ms = {offset}, rate = {rate}}}

[[lease.duty]]
name = "sweep"
kind = "call"
url = "http://127.0.0.1:{act.port}/act"
every_s = {e.every}
"""

    async def _inject(self) -> None:
        began = time.monotonic()
        for fault in sorted(self._e.faults, key=lambda f: f.at):
            await asyncio.sleep(max(0.0, began + fault.at - time.monotonic()))
            task = asyncio.create_task(self._fault(fault))
            self._tasks.add(task)
        await asyncio.sleep(max(0.0, began + self._e.length - time.monotonic()))
        if self._tasks:  # on a busy machine faults may take longer than they should
            await asyncio.wait(self._tasks, timeout=SLOW)
        await self._until(lambda: len(self.resource.acts) > ENOUGH)

    async def _until(self, holds: Callable[[], bool]) -> None:
        """Wait until something holds, but not for ever: what then lacks is for the judge to say."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SLOW):
                while not holds():
                    await asyncio.sleep(0.01)

    async def _fault(self, fault: Fault) -> None:
        holder = self._holder()
        who = holder if isinstance(fault.who, str) else fault.who
        if fault.what == "late":
            who = await self._kept_back()
        if who == self._holder() and fault.what not in ("restart_authority", "slow", "hold_acts"):
            self._taken.append((time.monotonic() * 1000, self.resource.last_holder))
        ahead, act = self._proxies[who]
        match fault.what:
            case "pause":
                await self.cluster.pause(who)
                await self._outlast(fault, who)
                self.cluster.tell(who, signal.SIGCONT)
            case "lock":  # it is stopped in the middle of a transaction, and killed: its end frees the table
                await self.cluster.pause(who, locking=True)
                await asyncio.sleep(fault.lasts)
                self.cluster.tell(who, signal.SIGKILL)
            case "kill" | "term":
                self.cluster.tell(who, signal.SIGKILL if fault.what == "kill" else signal.SIGTERM)
                await asyncio.sleep(fault.lasts)
                if fault.lasts:
                    await self.cluster.start(who)
            case "restart_authority" if self._etcd is not None:
                await self._etcd.restart(fault.lasts)
            case "hold_acts":  # the network keeps what it was given, and delivers it late
                act.part(back=False)
                await asyncio.sleep(fault.lasts)
                act.heal()
            case "late":  # it stands still behind an act that the network keeps until another has acted
                await self.cluster.pause(who)
                await asyncio.sleep(fault.lasts)
                await self._until(lambda: self._holder() != who)
                act.heal()  # while it stands still, and cannot close what the act is on its way on
                await self._until(lambda: act.to.held == 0)
                await asyncio.sleep(1)
                self.cluster.tell(who, signal.SIGCONT)
                await asyncio.sleep(1)
            case _ if ahead is not None:
                await self._between(fault, who, ahead)

    async def _outlast(self, fault: Fault, who: int) -> None:
        """The time of a fault; where it is longer than a lease, until another has acted: on a busy machine
        that may take longer than it should, and what comes after it is what the fault is about.
        """
        await asyncio.sleep(fault.lasts)
        if fault.lasts * 1000 > self._e.ttl:
            await self._until(lambda: self._holder() != who)

    def _holder(self) -> int:
        """Who acted last."""
        return int(self.resource.last_holder.partition(".")[0].removeprefix("n"))

    async def _kept_back(self) -> int:
        """Whose act the network keeps: that of whoever holds the lease by then. On a busy machine it may move
        on before an act is begun.
        """

        def kept_or_moved() -> bool:
            return act.to.held > 0 or self._holder() != who

        while True:
            who = self._holder()
            act = self._proxies[who][1]
            act.part(back=False)
            await self._until(kept_or_moved)
            if act.to.held or self._holder() == who:
                return who
            act.heal()

    async def _between(self, fault: Fault, who: int, proxy: Proxy) -> None:
        """A fault of the network between an instance and the authority."""
        if fault.what == "slow":  # nobody loses a lease by it
            for way in (proxy.to, proxy.back):
                way.delay, way.jitter = self._e.renew / 4, self._e.renew / 2
        elif fault.what == "cut":
            proxy.to.cut = proxy.back.cut = self._random.randrange(400)
        else:
            proxy.part(to=fault.what != "part_from", back=fault.what != "part_to")
        if fault.what in ("slow", "cut"):
            await asyncio.sleep(fault.lasts)
        else:
            await self._outlast(fault, who)
        proxy.heal()

    def _gaps(self) -> list[float]:
        acts = sorted(self.resource.acts, key=lambda act: act.start_ms)
        later = [
            [a.start_ms - at for a in acts if a.start_ms > at and a.holder != who] for at, who in self._taken
        ]
        return [gaps[0] for gaps in later if gaps]
