"""What the board and a release cost: a late join, cleaning, a decision, a member at rest, the time of a
release, and what it and a site's retirement cost in service.

    python -m benchmarks.agreement [MESSAGES] [SIZE ...]

Ratios are of two things in one run. The etcd is the laboratory's stand-in, in this process. Bounded: about
six minutes with 1,000,000 messages and fleets of 5 and 12.
"""

from __future__ import annotations

import asyncio
import signal
import sqlite3
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Awaitable
from dataclasses import replace
from pathlib import Path

from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.compaction import CompactionPolicy
from sabledyke.compacted_log.reader import LogReader
from sabledyke.compacted_log.records import (
    Draft,
    Message,
    encode_fields,
    encode_message,
    head_key,
    message_key,
    position_key,
)
from sabledyke.compacted_log.sqlite_backend import SqliteBackend
from sabledyke.errors import CompactedLogError
from sabledyke.lease.manager import boottime_ms
from sabledyke.rollout import disruption_budget, node_drain, planner
from sabledyke.rollout.change_tracker import ChangeTracker
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import (
    Drain,
    DrainPhase,
    Epoch,
    ListedNode,
    Member,
    MemberState,
    Plan,
    PlanStage,
    TicketRequest,
)
from sabledyke.rollout.timeouts import Timeouts
from sabledyke.testbed.fleet import Fleet, plan_for_all, play
from sabledyke.testbed.fleet_settings import FleetSettings

KEYS, VALUE = 10_000, b"x" * 100
WARM, STEADY = 15.0, 30.0  # seconds: boxes are learnt, and service is counted before anything happens
SLOW = CompactionPolicy(
    min_lag_messages=1000, tombstone_retention_ms=1e12, min_dirty_ratio=0.5, max_bytes_per_s=1e12
)


def fill(path: str, messages: int) -> None:
    """A topic of so many messages over ``KEYS`` keys, written past the board: appending is measured apart."""
    db, last, size = sqlite3.connect(path), dict[str, tuple[int, int]](), 0
    dirty = 0
    with db:
        for n in range(1, messages + 1):
            key = f"article-{n * 7919 % KEYS}"
            made = Message(n, key, VALUE, "w", 1, n)
            db.execute("INSERT INTO board VALUES (?, 1, ?)", (message_key("t", n), encode_message(made)))
            dirty += last[key][1] if key in last else 0
            last[key], size = (n, made.size_bytes), size + made.size_bytes
        for key, (offset, bytes_) in last.items():
            db.execute(
                "INSERT INTO board VALUES (?, 1, ?)",
                (position_key("t", key), encode_fields(offset, bytes_, False)),
            )
        head = encode_fields(messages + 1, 0, size, dirty, 0)
        db.execute("INSERT INTO board VALUES (?, 1, ?)", (head_key("t"), head))
    db.close()


async def join(board: CompactedLog) -> float:
    """Seconds of a late joiner until it has caught up."""
    began, reader = time.perf_counter(), LogReader()
    while not reader.caught_up:  # news are used as they come
        await board.poll("t", reader, 2000)
    assert len(reader.latest) == KEYS
    return time.perf_counter() - began


async def memory(board: CompactedLog) -> float:
    """Bytes that a reader keeps for each key."""
    tracemalloc.start()
    reader = LogReader()
    while not reader.caught_up:
        await board.poll("t", reader, 2000)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / len(reader.latest)


async def log(messages: int) -> None:
    """Joining, cleaning, and joining again; what cleaning does to an append beside it."""
    with tempfile.TemporaryDirectory() as folder:
        path = str(Path(folder) / "board.sqlite3")
        shelf = SqliteBackend(path, 30.0)
        await shelf.open()
        fill(path, messages)
        board = CompactedLog(shelf)
        whole = await join(board)
        other = CompactedLog(SqliteBackend(path, 30.0))
        pen = await other.claim_writer("other", "w")
        alone = [await timed(pen.append([_draft(n)])) for n in range(200)]
        size = (await board.head("t")).size_bytes
        cleaning, beside = asyncio.create_task(cleaned(board)), list[float]()
        began, cpu = time.perf_counter(), time.process_time()
        while not cleaning.done():
            beside.append(await timed(pen.append([_draft(0)])))
        took = time.perf_counter() - began
        after = await join(board)
        p99 = [sorted(some)[len(some) * 99 // 100] * 1000 for some in (alone, beside)]
        times = whole / after
        print(f"late join: {whole:.2f} s over {messages} messages, {after:.3f} s cleaned: {times:.0f} times")
        spent = time.process_time() - cpu
        speed = size / took / 1e6
        print(f"cleaning beside appends: {took:.1f} s, {speed:.2f} MB/s, {spent:.1f} s of CPU in all")
        print(f"a reader keeps {await memory(board):.0f} bytes a key of {len(VALUE)} bytes")
        print(
            f"an append's p99: {p99[0]:.1f} ms alone, {p99[1]:.1f} ms beside cleaning ({len(beside)} appends)"
        )
        await shelf.close()
        await other.backend.close()


async def cleaned(board: CompactedLog) -> None:
    """Until there is nothing to clean; what a lock turned down is tried again, as in service."""
    while True:
        try:
            await board.compact("t", SLOW, lambda: 1, boottime_ms)
            return
        except CompactedLogError:
            continue


def _draft(n: int) -> Draft:
    return Draft(f"k{n}", VALUE)


async def timed(what: Awaitable[object]) -> float:
    """Seconds that it takes."""
    began = time.perf_counter()
    await what
    return time.perf_counter() - began


def decisions(members: int) -> None:
    """Microseconds of one decision, where the first 100 of a plan are released and all others ask."""
    seen = FleetView(9999, epoch=Epoch("c", 1, 1))
    for i in range(members):
        name = f"n{i}"
        seen.members[name] = Member(name, 1, "1", f"s{i % 10}", MemberState.READY, i + 2)
        seen.requests[name] = TicketRequest(name, "p", 1, 1, i + 5000)
    first = tuple(f"n{i}" for i in range(min(100, members // 2)))
    seen.plans["p"] = replace(
        plan_for_all("p", members, max_out=5, max_out_per_site=1), released=first, offset=9000
    )
    began = time.perf_counter()
    for _ in range(200):
        assert planner.decide(seen, "c", 1, 0.0, ChangeTracker(), Timeouts()) is not None
    print(f"a decision over {members} members: {(time.perf_counter() - began) / 200 * 1e6:.0f} us")


def drains(members: int, count: int) -> None:
    """Microseconds of one decision about boxes, a tenth of which are drained, with nothing to do."""
    seen = FleetView(9999, epoch=Epoch("c", 1, 1))
    yard = {f"b{i}": ListedNode(f"b{i}", i % 4, i // 4, True, 0.0) for i in range(count)}
    for i in range(members):
        seen.members[f"n{i}"] = Member(f"n{i}", 1, "1", "", MemberState.READY, i + 2)
    out = tuple(yard)[: count // 10]
    seen.plans["p"] = Plan("p", (), len(out), nodes=tuple(yard), offset=9000)
    for i, name in enumerate(out):
        seen.drains[name] = Drain(name, "p", 1, 0.0, 5000 + i, DrainPhase.LEAVING, 5000 + i)
    began = time.perf_counter()
    for _ in range(20):
        assert node_drain.decide(seen, 1, 0.0, ChangeTracker(), Timeouts(), yard) is None
    took = (time.perf_counter() - began) / 20 * 1e6
    print(f"a decision over {count} boxes, {len(out)} of them drained, and {members} members: {took:.0f} us")


async def service(what: str, size: int = 6) -> None:
    """Served and p99 in a release, or while a site of two retires, over those of as long before it."""

    async def story(fleet: Fleet) -> None:
        async def through(what: Awaitable[object]) -> tuple[float, float, float]:
            """Seconds that it takes, the share served meanwhile, and their p99."""
            metrics = fleet.metrics
            served, asked = metrics.outcomes["served"], metrics.request_count
            metrics.reset_latencies()
            took = await timed(what)
            share = (metrics.outcomes["served"] - served) / (metrics.request_count - asked)
            return took, share, metrics.p99_s()

        await fleet.wait_until(lambda v: len(fleet.placements()) >= 20)
        await asyncio.sleep(WARM)
        _, before, p99 = await through(asyncio.sleep(STEADY))
        if what == "release":
            await fleet.add_plan(plan_for_all("p", size))
        else:
            gone = tuple(f"n{i}" for i in range(0, size, 3))
            await fleet.add_plan(Plan("p", gone, retiring_site="s0"))
        over = fleet.wait_until(lambda v: v.plans["p"].stage is PlanStage.DONE, 600)
        took, share, slow = await through(over)
        lost = 1 - share / before
        print(f"a {what} in a fleet of {size}, {took:.1f} s: {lost:.2%} lost of a steady {before:.2%}")
        print(f"  p99 {slow / p99:.2f} times that before; {fleet.metrics.outcomes['cut']} answers cut off")
        if what != "release":
            homes = fleet.placements().values()
            least = sum(h.origin_site == "s0" for h in homes)
            print(f"  volumes moved {sum(h.move_count for h in homes) / least:.2f} times the least")

    with tempfile.TemporaryDirectory() as folder:
        made = FleetSettings(
            size,
            client_count=8,
            site_count=3,
            nodes_per_shard=2,
            heartbeat_timeout_ms=8000,
            lease_ttl_ms=3000,
            poll_interval_ms=200,
        )
        await play(made, Path(folder), story)


async def release(size: int) -> None:
    """The time of a rolling restart over the least: members times one member's cycle, by hand in the same
    fleet, from SIGTERM until its door is open again.
    """
    took, cycles = list[float](), list[float]()

    async def story(fleet: Fleet) -> None:
        for i in range(min(size, 5)):
            downs, began = len(fleet.availability[i].outages), time.monotonic()
            fleet.cluster.send_signal(i, signal.SIGTERM)
            while len(fleet.availability[i].outages) == downs:
                await asyncio.sleep(0.005)
            cycles.append(time.monotonic() - began)
            await fleet.wait_until(lambda v: not disruption_budget.members_out(v))
        began = time.monotonic()
        await fleet.add_plan(plan_for_all("p", size))
        await fleet.wait_until(lambda v: v.plans["p"].stage is PlanStage.DONE, 600)
        took.append(time.monotonic() - began)
        assert fleet.max_out() == 1

    with tempfile.TemporaryDirectory() as folder:
        await play(FleetSettings(size, heartbeat_timeout_ms=4000), Path(folder), story)
    cycle = sum(cycles) / len(cycles)
    times = took[0] / size / cycle
    print(f"a release of {size}: {took[0]:.1f} s, {times:.2f} times its cycles of {cycle:.2f} s")


async def rest() -> None:
    """What a member costs at rest: CPU seconds of its process, with and without the
    parts, over ten seconds.
    """

    async def story(fleet: Fleet) -> None:
        pids = [one.process.pid for one in fleet.cluster.instances if one.process is not None]
        before = [cpu(pid) for pid in pids]
        fleet.stop_watching()  # no probes meanwhile
        await asyncio.sleep(10)
        spent = [cpu(pid) - b for pid, b in zip(pids, before, strict=True)]
        most, low = max(spent) / 10, min(spent) / 10
        print(f"a member at rest, looking every 200 ms: {low:.2%} to {most:.2%} of a core")

    with tempfile.TemporaryDirectory() as folder:
        settings = FleetSettings(3, poll_interval_ms=200, heartbeat_timeout_ms=8000, lease_ttl_ms=3000)
        await play(settings, Path(folder), story)


def cpu(pid: int) -> float:
    """CPU seconds of a process's threads so far; a tick of 10 ms would be a tenth of the aim."""
    threads = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(thread.read_text().split()[0]) for thread in threads) / 1e9


async def run(messages: int, sizes: list[int]) -> None:
    """All of it."""
    for members in (12, 200, 1000):
        decisions(members)
    drains(200, 1000)
    await log(messages)
    await rest()
    for what in ("release", "retirement"):
        await service(what)
    for size in sizes:
        await release(size)


if __name__ == "__main__":
    numbers = [int(word) for word in sys.argv[1:]]
    asyncio.run(run(numbers[0] if numbers else 1_000_000, numbers[1:] or [5, 12]))
