"""Releases under faults: processes of the program as a fleet, who starts them again, and a judge that only
probes.

Each process is started again when it ends, as the version that its ``wants`` file names. The judge connects
to every door a few dozen times a second and knows nothing of tickets: who does not answer is out. Runs on
loopback, bounded in time; ends only what it started.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal
import sqlite3
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from itertools import combinations
from pathlib import Path
from typing import Any

from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.etcd_backend import EtcdBackend
from sabledyke.compacted_log.reader import LogReader
from sabledyke.compacted_log.records import Backend, Message
from sabledyke.compacted_log.sqlite_backend import SqliteBackend
from sabledyke.errors import CompactedLogError
from sabledyke.placement import evacuation
from sabledyke.placement.volume_placement import VolumePlacement
from sabledyke.rollout import commands, disruption_budget, plan_changes
from sabledyke.rollout.configuration_switch import RETIRED_VERSION
from sabledyke.rollout.fleet_view import FleetView, view_of
from sabledyke.rollout.moves import Move
from sabledyke.rollout.record_codec import decode
from sabledyke.rollout.records import (
    FLEET_TOPIC,
    Drain,
    DrainPhase,
    Member,
    MemberState,
    Plan,
    PlanStage,
    Record,
    Ticket,
)
from sabledyke.testbed import cluster
from sabledyke.testbed.cluster import Cluster
from sabledyke.testbed.etcd_server import Etcd
from sabledyke.testbed.fault_proxy import Proxy
from sabledyke.testbed.workload import SETTINGS, TIP, Boxes, Client, Count

PROBE = 0.025  # seconds between probes of one door, in a fleet of up to 5
SLOW = 180.0  # seconds that a busy machine may take for what a story waits for
PATIENCE = 5.0  # seconds that an open door has for one: on a busy machine all may stand still for one or two
DOWN = 0.1  # seconds before a process that ended is started again
AGAIN = 0.05  # seconds between looks at the board
AWAY = 0.3  # seconds for which a drained box is gone
GRACE = 300  # ms in which a member may still send a draining box what no other can serve


@dataclass(slots=True, frozen=True)
class Setting:
    """A fleet: its size, what its board and lease stand on, and its times in ms."""

    size: int = 3
    backend: str = "table"
    ttl: int = 1000
    every: int = 50
    silent: int = 2000
    back: int = 20_000
    soak: int = 300
    sites: int = 1
    lag: int = 20
    valid: int = 3000
    clients: int = 0  # with boxes to serve them, and a discovery
    copies: int = 1  # boxes of each shard
    warm: int = 500  # of a box
    topics: tuple[str, ...] = ()  # of an operator's own
    clean: float = 5.0  # seconds
    limit: float = 0.0  # units a second of each volume on the tier ``capped``, and as many at once
    shares: bool = False  # members share limits out by demand
    beat: int = 500  # of that
    between: bool = True  # a proxy stands between each process and the etcd, for faults of the network


@dataclass(slots=True)
class Seen:
    """What the judge saw of one process: when it answered and when not, in order."""

    downs: list[tuple[float, float]] = field(
        default_factory=list
    )  # from the first failed probe to the next good
    since: float | None = None
    up: bool = False


def most_out(seen: list[Seen], now: float) -> int:
    """How many were out at once, at the worst moment; a time that has not ended counts until ``now``."""
    marks: list[tuple[float, int]] = []
    for one in seen:
        open_ = [(one.since, now)] if one.since is not None else []
        for begin, end in [*one.downs, *open_]:
            marks += [(begin, 1), (end, -1)]
    most = out = 0
    for _, step in sorted(marks):
        out += step
        most = max(most, out)
    return most


class Fleet:
    """One run; use it as a context."""

    def __init__(self, setting: Setting, folder: Path, seed: int = 1) -> None:
        self.setting, self._folder, self._seed = setting, folder, seed
        self.cluster = Cluster(folder, setting.size)
        self.etcd = Etcd()
        self.seen = [Seen() for _ in range(setting.size)]
        self.proxies: list[Proxy] = []  # by instance, to the etcd
        self.boxes, self.count = Boxes(setting.copies, warm=setting.warm / 1000), Count()
        self.parts: dict[str, str] = {}  # what members are called in the transcript, where it matters
        self.held: set[int] = set()  # whom nobody starts again
        self.retired: set[int] = set()  # who went for good, and counts as out no longer
        self.replaced: list[str] = []  # boxes that were taken away, in order
        self.clients: list[Client] = []
        self._versions = ["1"] * setting.size
        self._tasks: list[asyncio.Task[None]] = []
        self.stubborn = False  # whoever starts processes goes on with the version that they have
        self._reader, self._homes = LogReader(), LogReader()

    async def __aenter__(self) -> Fleet:
        await self.etcd.open()
        more: dict[str, Any] = {}
        if self.setting.clients:
            self.boxes.open()
            times = {"warm_up": self.setting.warm, "stop_sending_within": GRACE, "tip_multiple": TIP}
            settings = {**SETTINGS, "invariants": {**cluster.DEFAULT_SETTINGS["invariants"], **times}}
            if limit := self.setting.limit:
                capped = {"name": "capped", "usual_rate": limit, "ceiling_rate": limit, "limit_burst": limit}
                settings["grades"] = [*cluster.DEFAULT_SETTINGS["grades"], capped]
            more = {"settings": settings, "discovery": f"127.0.0.1:{self.boxes.discovery}"}
        for i in range(self.setting.size):
            if self.setting.between:
                self.proxies.append(Proxy(self.etcd.port, self._seed + i))
                await self.proxies[i].open()
            self.cluster.prepare(i, self._operator(i), **dict(more))
        self.board = CompactedLog(self.shelf(), self._seed)
        await self.board.backend.open()
        await asyncio.gather(*(self.cluster.start(i) for i in range(self.setting.size)))
        loop = asyncio.get_running_loop()
        for i in range(self.setting.size):
            self._tasks += [loop.create_task(self._keep(i)), loop.create_task(self._probe(i))]
        await self.until(
            lambda v: len(v.members) == self.setting.size
            and not disruption_budget.members_out(v)
            and v.epoch is not None
        )
        if self.setting.copies > 1:
            self._tasks.append(loop.create_task(self._take_away()))
        if self.setting.sites > 1:
            self._tasks.append(loop.create_task(self._read_homes()))
        for n in range(self.setting.clients):
            self.clients.append(Client(f"c{n}-{self._seed}", self._doors, range(n, n + 40), 0.2, self.count))
            self._tasks.append(loop.create_task(self.clients[-1].run()))
        return self

    def _doors(self, volume: int) -> list[int]:
        """Where a volume's clients go: every volume has a first member, and goes to the next where that is
        out.
        """
        ports = [one.port.getsockname()[1] for one in self.cluster.instances if one.port is not None]
        home = self.homes().get(f"{volume:016x}")
        known = [home.member, home.previous_member] if home is not None else []
        first = [int(name.removeprefix("n")) for name in known if name]
        return [
            ports[i] for i in dict.fromkeys([*first, *((volume + k) % len(ports) for k in range(len(ports)))])
        ]

    async def _read_homes(self) -> None:
        """As clients do: where volumes are at home, from the board."""
        while True:
            with contextlib.suppress(CompactedLogError):
                await self.board.catch_up(evacuation.PLACEMENTS_TOPIC, self._homes)
            await asyncio.sleep(0.1)

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.statuses = await self.cluster.stop()
        for client in self.clients:
            client.close()
        await self.boxes.close()
        await self.board.backend.close()
        for proxy in self.proxies:
            await proxy.close()
        await self.etcd.close()

    def shelf(self) -> Backend:
        """One more way to the board."""
        if self.setting.backend == "table":
            return SqliteBackend(str(self._folder / "board.sqlite3"))
        return EtcdBackend([f"127.0.0.1:{self.etcd.port}"], "fleet/")

    def _operator(self, i: int) -> str:
        s, where = (
            self.setting,
            (f'path = "{self._folder}/board.sqlite3"', f'path = "{self._folder}/leases.sqlite3"'),
        )
        if s.backend == "etcd":
            port = self.proxies[i].port if s.between else self.etcd.port
            where = (f'etcd = ["127.0.0.1:{port}"]\nprefix = "fleet/"',) * 2
        return f"""
[log]
format = "json"

[board]
{where[0]}
lag = {s.lag}
tomb_s = 1.0
clean_s = {s.clean}
topics = {list(s.topics)}

[lease]
{where[1]}
ttl_ms = {s.ttl}
renew_ms = {s.ttl // 5}
margin_ms = {s.ttl // 4}

[rollout]
site = "s{i % s.sites}"
version = "{self._versions[i]}"
wants = "wants"
every_ms = {s.every}
beat_ms = {s.silent // 8}
silent_ms = {s.silent}
back_ms = {s.back}
soak_ms = {s.soak}
valid_ms = {s.valid}
{self._sites() if s.sites > 1 else ""}
{f"[fleet]{chr(10)}members = {s.size}{chr(10)}beat_ms = {s.beat}" if s.shares else ""}
"""

    def _sites(self) -> str:
        """Sites in a row, each 1 ms from the next, with room for all."""
        names = [f"s{i}" for i in range(self.setting.sites)]
        rows = [
            f'{{between = ["{a}", "{b}"], ms = {names.index(b) - names.index(a)}}}'
            for a, b in combinations(names, 2)
        ]
        room = ", ".join(f"{name} = 1000" for name in names)
        return f"[sites]\nroom = {{{room}}}\ndistance = [{', '.join(rows)}]\n"

    async def _keep(self, i: int) -> None:
        """Start it again whenever it ends, as the version that it wants."""
        made = self.cluster.instances[i]
        while True:
            assert made.process is not None
            await made.process.wait()
            await asyncio.sleep(DOWN)
            while i in self.held:
                await asyncio.sleep(AGAIN)
            wants = made.folder / "wants"
            if wants.exists() and not self.stubborn:
                if wants.read_text().strip() == RETIRED_VERSION:
                    self.retired.add(i)
                    return
                self._versions[i] = wants.read_text().strip()
                (made.folder / "operator.toml").write_text(self._operator(i))
            await self.cluster.start(i)

    async def _take_away(self) -> None:
        """Whoever cares for the boxes: a drained one is replaced, once for each drain."""
        known, reader = set[int](), LogReader()
        while True:
            with contextlib.suppress(CompactedLogError):
                await self.board.catch_up(FLEET_TOPIC, reader)
            seen = view_of(reader.latest, reader.position)
            for drain in seen.drains.values():
                if drain.phase is DrainPhase.DRAINED and drain.begun_offset not in known:
                    known.add(drain.begun_offset)
                    self.replaced.append(drain.name)
                    number, gone = int(drain.name.removeprefix("box")), seen.plans[drain.plan].removes_nodes
                    task = self.boxes.remove(number) if gone else self.boxes.replace(number, AWAY)
                    self._tasks.append(asyncio.get_running_loop().create_task(task))
            await asyncio.sleep(AGAIN)

    async def _probe(self, i: int) -> None:
        held = self.cluster.instances[i].port
        assert held is not None
        seen, port = self.seen[i], int(held.getsockname()[1])
        while i not in self.retired:
            began = time.monotonic()
            good = await self._answers(port)
            if good and seen.since is not None:
                seen.downs.append((seen.since, began))
                seen.since = None
            elif not good and seen.up and seen.since is None:
                seen.since = began
            seen.up |= good  # before its first answer it is not out yet
            await asyncio.sleep(max(PROBE, self.setting.size * PROBE / 5))
        if seen.since is not None:
            seen.downs.append((seen.since, time.monotonic()))
            seen.since = None

    async def _answers(self, port: int) -> bool:
        try:
            async with asyncio.timeout(PATIENCE):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
                said = await reader.read(64)
                writer.close()
                return b" 200 " in said
        except (OSError, TimeoutError):
            return False

    async def look(self) -> FleetView:
        """The board as it stands."""
        return await commands.read_view(self.board, self._reader)

    async def until(self, holds: Callable[[FleetView], Any], seconds: float = SLOW) -> FleetView:
        """Wait until something holds on the board; a TimeoutError where it does not in time."""
        async with asyncio.timeout(seconds):
            while True:
                with contextlib.suppress(CompactedLogError):  # it may stand still just now
                    if holds(seen := await self.look()):
                        return seen
                await asyncio.sleep(AGAIN)

    async def _say(self, decide: Callable[[FleetView], Move]) -> None:
        """An operator's word, for as long as the board may stand still."""
        await commands.apply(self.board, self._reader, decide, retries=20)

    async def begin(self, plan: Plan) -> None:
        """Put a plan on the board, as an operator does."""

        def decide(seen: FleetView) -> Move:
            plan_changes.validate(plan, seen)
            return Move("plan", (plan,), expected_end=seen.next_offset)

        await self._say(decide)

    async def word(self, name: str, stage: PlanStage) -> None:
        """Halt it, resume it, or have it go back."""

        def decide(seen: FleetView) -> Move:
            said = plan_changes.change_stage(seen.plans[name], stage, "by the experiment")
            return Move("word", (said,), expected_end=seen.next_offset)

        await self._say(decide)

    async def forget(self, name: str) -> None:
        """A member is gone for good."""
        await self._say(lambda seen: plan_changes.forget_member(name, seen))

    async def coordinator(self) -> int:
        """Which instance coordinates."""
        seen = await self.until(lambda v: v.epoch is not None)
        assert seen.epoch is not None
        return int(seen.epoch.name.partition(".")[0].removeprefix("n"))

    async def fault(self, what: str, who: int = 0, lasts: float = 0.0) -> None:
        """``kill`` or ``pause`` a process, ``stall`` the board, or ``part``, ``part_to``, ``part_from``: cut
        its way to the etcd, both ways or one.
        """
        match what:
            case "kill":
                self.cluster.send_signal(who, signal.SIGKILL)
            case "pause":
                await self.cluster.pause(who)
                await asyncio.sleep(lasts)
                self.cluster.send_signal(who, signal.SIGCONT)
            case "stall":
                async with self.stalled():
                    await asyncio.sleep(lasts)
            case _:
                self.proxies[who].partition(to_server=what != "part_from", to_client=what != "part_to")
                await asyncio.sleep(lasts)
                self.proxies[who].heal()

    @contextlib.asynccontextmanager
    async def stalled(self) -> AsyncIterator[None]:
        """The board stands still meanwhile."""
        if self.setting.backend == "etcd":
            await self.etcd.close()
            try:
                yield
            finally:
                await self.etcd.reopen()
        else:
            lock = sqlite3.connect(self._folder / "board.sqlite3", isolation_level=None, timeout=5)
            lock.execute("BEGIN EXCLUSIVE")
            try:
                yield
            finally:
                lock.execute("ROLLBACK")
                lock.close()

    async def log(self) -> list[Message]:
        """All that is kept of the fleet's topic, in order."""
        messages = list[Message]()
        while page := await self.board.read_page(FLEET_TOPIC, messages[-1].offset + 1 if messages else 1):
            messages += page
        return messages

    def homes(self) -> dict[str, VolumePlacement]:
        """Where volumes are at home, as clients last read it."""
        return evacuation.decode_placements(self._homes.latest)

    async def late(self) -> FleetView:
        """What somebody sees who reads the board for the first time now."""
        reader = LogReader()
        await self.board.catch_up(FLEET_TOPIC, reader, 7)
        return view_of(reader.latest, reader.position)

    def most_out(self) -> int:
        """By the judge, so far."""
        return most_out(self.seen, time.monotonic())

    def outs(self) -> list[int]:
        """How often each was out by the judge, one that it has not yet seen come back among them."""
        return [len(one.downs) + (one.since is not None) for one in self.seen]


def transcript(messages: list[Message], names: Mapping[str, str] | None = None) -> str:
    """What plans, tickets and members went through from the first plan on, a line each.

    Left out is what differs from run to run, or on a busy machine: offsets, tokens, figures of lives, asks,
    beats, who coordinates, tickets that were given back unused, and what members say of themselves until they
    are ready again. ``names`` says which are called otherwise, where their parts differ from run to run.
    """
    lines, held, grants = list[str](), dict[str, Record](), dict[str, int]()
    for message in messages:
        record, before = decode(message), held.get(message.key)
        match record:
            case Plan():
                why = f" ({record.reason})" if record.reason else ""
                done = ", ".join(record.released) or "-"
                step = f", step {record.step}" if record.retiring_site else ""
                lines.append(f"plan {record.name}: {record.stage.value}{why}{step}, released {done}")
            case Drain():
                lines.append(f"{record.name}: {record.phase.value}")
            case None if isinstance(before, Drain):
                lines.append(f"{before.name}: its drain is over")
            case Ticket():
                what = record.settings_result or ("is used" if record.used else "is granted")
                if not record.used:
                    grants[record.name] = len(lines)
                to = (
                    f"take on {record.target}"
                    if record.settings
                    else f"come back as {record.target or 'it is'}"
                )
                lines.append(f"ticket of {record.name}, to {to}: {what}")
            case Member(state=MemberState.READY) if isinstance(
                before, Member
            ) and record.incarnation > before.incarnation:
                lines.append(f"{record.name}: ready in a later life, as version {record.version}")
            case None if isinstance(before, Ticket) and before.used:
                lines.append(f"ticket of {before.name}: over")
            case None if isinstance(before, Ticket):  # it came too late, and was asked for anew
                lines[grants[before.name]] = ""
        if record is not None and not (isinstance(record, Member) and record.state is not MemberState.READY):
            held[message.key] = record
        elif record is None:
            held.pop(message.key, None)
    first = next((i for i, line in enumerate(lines) if line.startswith("plan ")), 0)
    text = "\n".join(filter(None, lines[first:]))
    return re.sub(r"\w+", lambda word: (names or {}).get(word[0], word[0]), text)


def plan(name: str, size: int, **of: Any) -> Plan:
    """A plan for all of a fleet."""
    return Plan(name, tuple(f"n{i}" for i in range(size)), **of)


async def play(
    setting: Setting, folder: Path, story: Callable[[Fleet], Awaitable[None]], seed: int = 1
) -> Fleet:
    """Run a story in a fleet of its own."""
    async with Fleet(setting, folder, seed) as fleet:
        await story(fleet)
    return fleet


__all__ = ["Fleet", "Setting", "most_out", "plan", "play", "transcript"]
