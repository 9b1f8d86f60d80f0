"""An experiment on sums: processes share out a limit, clients lean on one, then on another, and faults come
between them; boxes that know nothing of it count what they get from all together.

Read from TOML, run in real time on loopback. The judge keeps one store of the limit, as the platform's rule
does: it fills at the limit up to its burst, each unit that came takes one, and it may not go below the slack.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import Annotated, Any, Literal

from msgspec import Meta

from sabledyke.testbed.deployment import SHARD_COUNT
from sabledyke.testbed.fleet import Fleet, play
from sabledyke.testbed.fleet_faults import FleetFault
from sabledyke.testbed.fleet_settings import FleetSettings
from sabledyke.testbed.scenario import Report
from sabledyke.testbed.workload import Client, ClientMetrics
from sabledyke.toml_tables import Table, convert, from_file, parsed

LEANING, SPREAD = 1000, 1001  # volumes: one whose clients all come to one member, one whose come to all
SLACK = 0.1  # of the burst, below which the store may not go: the platform's, or one of the largest requests
LARGEST = 4.0  # units
SETTLES = 3.0  # seconds after a move or a fault in which what is served does not count
OFFERED = 2.0  # times its limit that each volume is asked for
RATE = 8.0  # requests a second of one client
FEW, BACK = 0.5, 0.5  # seconds that are looked at, and the part of the limit that says that work is back


class FaultRow(Table, frozen=True, kw_only=True):
    """What happens, when, to whom, for how long; ``leaning`` is the member that the clients lean on.

    ``hang``: the box that holds the spread volume answers nobody.
    """

    at: Annotated[float, Meta(ge=0, le=600)]
    what: Literal["kill", "kill_part", "pause", "stall", "part", "part_to", "part_from", "hang"]
    who: Literal["leaning", "other"] = "other"
    for_s: Annotated[float, Meta(ge=0, le=60)] = 0.0
    share: Annotated[float, Meta(gt=0, lt=1)] = 0.42  # of the members, that are killed at once


class Experiment(Table, frozen=True, kw_only=True):
    """As the file has it."""

    name: str
    limit: Annotated[float, Meta(ge=4, le=1000)]
    instances: Annotated[int, Meta(ge=1, le=64)] = 10
    backend: Literal["table", "etcd"] = "table"
    shares: bool = True  # else each member keeps an even part, as the platform has it
    beat_ms: Annotated[int, Meta(ge=50, le=10_000)] = 500
    length_s: Annotated[float, Meta(ge=1, le=600)] = 30.0
    moves_s: Annotated[float, Meta(ge=1, le=600)] = 10.0  # after so long clients lean on another member
    least: Annotated[float, Meta(ge=0, le=1)] = 0.0  # of its limit, that is served to the leaning volume
    most_tried: Annotated[float, Meta(gt=0)] = 1e9  # requests a second at a box that has hung for a while
    back_s: Annotated[float, Meta(gt=0)] = 1e9  # in which its work comes back to it
    fault: tuple[FaultRow, ...] = ()


def load(path: str) -> Experiment:
    """Read a file; an OperatorError in one line where it cannot be used."""
    return from_file(path, lambda text: read(parsed(text)))


def read(data: dict[str, Any]) -> Experiment:
    """The data of such a file."""
    return convert(data, Experiment, "file")


def least_store(times: Iterable[float], limit: float) -> float:
    """The least that a store of the limit ever held, full at first, where each of these took one unit."""
    store, last, least = limit, 0.0, limit
    for now in sorted(times):
        store = min(limit, store + (now - last) * limit) - 1 if last else store - 1
        last, least = now, min(least, store)
    return least


@dataclass(slots=True)
class _Play:
    """What is told while one runs."""

    leans: int = 0  # the member that clients lean on
    disturbed: list[tuple[float, float]] = field(default_factory=list)  # spans that do not count
    hung: list[tuple[float, float, list[float]]] = field(default_factory=list)  # from, to, what came


async def run(what: Experiment, folder: Path, seed: int) -> Report:
    """Play it, and judge it."""
    report, random, told = Report(), Random(seed), _Play()
    setting = FleetSettings(
        what.instances,
        what.backend,
        client_count=1,
        volume_limit=what.limit,
        shares_quotas=what.shares,
        quota_report_interval_ms=what.beat_ms,
        lease_ttl_ms=3000,
        heartbeat_timeout_ms=8000,
        poll_interval_ms=200,
        has_proxies=any("part" in f.what for f in what.fault),
    )

    async def story(fleet: Fleet) -> None:
        ports = [instance.port_number for instance in fleet.cluster.instances]
        counts, clients = {LEANING: ClientMetrics(), SPREAD: ClientMetrics()}, list[Client]()
        for n in range(max(1, round(OFFERED * what.limit / RATE))):
            for volume, count in counts.items():
                door = partial(_door, ports, told, n if volume == SPREAD else -1)
                name = f"{volume}-{n}-{seed}"
                clients.append(Client(name, door, [volume], 1 / RATE, count, "capped", len(ports)))
        tasks = [asyncio.create_task(client.run()) for client in clients]
        began = time.monotonic()
        tasks.append(asyncio.create_task(_move(what, told)))
        faults = [asyncio.create_task(_fault(fleet, row, told, random)) for row in what.fault]
        await asyncio.sleep(what.length_s)
        ended = time.monotonic()
        await asyncio.gather(*faults)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for client in clients:
            client.close()
        _judge(what, fleet, told, (began, ended), counts, report)

    fleet = await play(setting, folder, story, seed)
    if bad := [status for status in fleet.statuses if status]:
        report.wrong.append(f"processes ended with {bad}")
    return report


def _door(ports: list[int], told: _Play, own: int, _: int) -> list[int]:
    """Where a client goes: to the member that all lean on, or to its own."""
    return [ports[told.leans if own < 0 else own % len(ports)]]


async def _move(what: Experiment, told: _Play) -> None:
    """Clients lean on one member after the other."""
    while True:
        now = time.monotonic()
        told.disturbed.append((now, now + SETTLES))
        await asyncio.sleep(what.moves_s)
        told.leans = (told.leans + 1) % what.instances


async def _fault(fleet: Fleet, row: FaultRow, told: _Play, random: Random) -> None:
    await asyncio.sleep(row.at)
    began, size = time.monotonic(), fleet.settings.size
    others = [i for i in range(size) if i != told.leans]
    if row.what == "hang":
        came = await fleet.nodes.hang(SPREAD % SHARD_COUNT, row.for_s)
        told.hung.append((began, time.monotonic(), came))
    elif row.what == "kill_part":
        some = random.sample(range(size), max(1, int(size * row.share)))
        await asyncio.gather(*(fleet.inject(FleetFault.KILL, i) for i in some))
    else:
        who = told.leans if row.who == "leaning" or not others else random.choice(others)
        await fleet.inject(FleetFault(row.what), who, row.for_s)
    told.disturbed.append((began, time.monotonic() + 2 * SETTLES))


def _judge(
    what: Experiment,
    fleet: Fleet,
    told: _Play,
    span: tuple[float, float],
    counts: dict[int, ClientMetrics],
    report: Report,
) -> None:
    slack = max(LARGEST, SLACK * what.limit)
    for volume, name in {LEANING: "leaning", SPREAD: "spread"}.items():
        times, ends = fleet.nodes.unit_times.get(f"{volume:016x}", []), counts[volume].outcomes
        least = least_store(times, what.limit)
        inside = (t for t in times if span[0] <= t <= span[1])
        calm = [t for t in inside if not any(a <= t <= b for a, b in told.disturbed)]
        seconds = _calm(span, told.disturbed)
        share = len(calm) / seconds / what.limit if seconds else 0.0
        report.lines += [
            f"{name}: {share:.2f} of its limit served in {seconds:.0f} calm seconds, {len(times)} units in "
            f"all; its store never under {least:.1f} of {what.limit:.0f} (may be {-slack:.0f})",
            f"  asked {ends.total()}: {dict(sorted(ends.items()))}",
        ]
        if least < -slack:
            report.wrong.append(f"{name}: the limit's store was at {least:.1f}, and may be at {-slack:.1f}")
        if volume == LEANING and share < what.least:
            report.wrong.append(f"{name}: {share:.2f} of its limit served, of {what.least:.2f}")
        if ends["cut"] or ends["wrong"]:
            report.wrong.append(f"{name}: {ends['cut']} answers were cut off and {ends['wrong']} wrong")

    for began, ended, came in told.hung:
        tried = sum(t > (began + ended) / 2 for t in came) / (ended - began) * 2
        times = fleet.nodes.unit_times.get(f"{SPREAD:016x}", [])
        enough = what.limit * FEW * BACK
        later = [t for t in times if t > ended]
        back = next((t - ended for t in later if sum(t <= u < t + FEW for u in later) >= enough), 1e9)
        report.lines.append(f"a hung box was tried {tried:.1f} times a second, work back in {back:.2f} s")
        if tried > what.most_tried or back > what.back_s:
            report.wrong.append(f"it may be tried {what.most_tried:g} times, and want {what.back_s:g} s")


def _calm(span: tuple[float, float], disturbed: list[tuple[float, float]]) -> float:
    """Seconds of the span that count."""
    calm, at = 0.0, span[0]
    for begin, end in sorted(disturbed):
        calm += max(0.0, min(begin, span[1]) - at)
        at = max(at, end)
    return calm + max(0.0, span[1] - at)
