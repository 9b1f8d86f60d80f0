"""What the store of record costs and how it stands a stall; figures for docs/design/store.md.

    python benchmarks/store.py [--before DIR] [--seconds N] [--quick]

Runs the real program on loopback before stand-in boxes: without a store, with SQLite, with PostgreSQL (a
stand-in server in a process of its own), and, where a checkout of the version before is named, that one with
its store and without. The variants take turns, several rounds of each; the figures are ratios of medians
within this one run, since machines are shared. Then the stall: the SQLite file is held by another
connection's BEGIN EXCLUSIVE for 8 s under 100 requests/s, 35% keyed writes. Last, starts on files of a
million rows and on empty ones.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import re
import secrets
import socket
import sqlite3
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests.standins import Discovery, HttpNode, Service, http  # noqa: E402
from tests.support.platform_config import platform_settings  # noqa: E402

BOXES, RATE, BUSY, KEYED = 4, 100.0, 400.0, 0.35
TICK = os.sysconf("SC_CLK_TCK")


def settings() -> dict[str, Any]:
    """A deployment of two classes."""
    out = platform_settings()
    base = out["profiles"][0]
    out["profiles"] = [
        base
        | {
            "name": "read",
            "semantics": "idempotent",
            "aim": 750,
            "hard_limit": 5000,
            "credit": 2,
            "keep_order": False,
        },
        base
        | {
            "name": "write",
            "semantics": "deduplicated",
            "group": "cell",
            "window": 6000,
            "aim": 1000,
            "hard_limit": 6000,
            "credit": 3,
            "keep_order": False,
        },
    ]
    out["family_info"]["changes_data"] = [False, True]
    out["grades"][0] |= {"usual_rate": 1000, "floor_rate": 1000}
    out["siblings"] = 1
    return out


class Box(HttpNode):
    """Answers after a few milliseconds."""

    def __init__(self) -> None:
        super().__init__()
        self.answer = self._later

    async def _later(self, _: object) -> bytes:
        self.seen.clear()
        await asyncio.sleep(0.005)
        return http(200, b"x" * 64)


@dataclass
class Program:
    """One scheduler under measurement."""

    process: asyncio.subprocess.Process
    port: int
    ready: float  # seconds from its start to the line that says it serves
    lines: list[str] = field(default_factory=list)

    def cpu(self) -> float:
        """Seconds of CPU so far, all threads."""
        words = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(words[11]) + int(words[12])) / TICK

    def memory(self) -> float:
        """MB resident now."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        assert found is not None
        return int(found.group(1)) / 1024

    async def end(self) -> str:
        """SIGTERM; what its last line says of invariants."""
        self.process.terminate()
        await self.process.wait()
        said = [line.rpartition("invariants broken: ")[2] for line in self.lines if "invariants" in line]
        return said[-1].strip() if said else "?"


async def boxes(make: Callable[[], Service] = Box) -> None:
    """What the process of the boxes does: boxes and discovery, until it is ended."""
    made, discovery = [make() for _ in range(BOXES)], Discovery()
    await discovery.open()
    for n, box in enumerate(made):
        await box.open()
        discovery.add(f"box-{n}", box.port, n)
        discovery.hosts[-1] |= {"site": "x"}
    print(orjson.dumps([discovery.port, discovery.listing()]).decode(), flush=True)
    await asyncio.sleep(3600)


class Field:
    """Boxes and discovery, in a process of their own: this one only asks."""

    async def open(self, *words: str) -> None:
        """Start it; by default this file's plain boxes."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, *(words or (__file__, "--boxes")), stdout=subprocess.PIPE
        )
        assert self._process.stdout is not None
        self.port, self.listing = orjson.loads(await self._process.stdout.readline())

    async def close(self) -> None:
        """End it."""
        self._process.terminate()
        await self._process.wait()

    async def start(self, tree: Path, folder: Path, store: str) -> Program:
        """A program of a checkout, with this [store] section or none."""
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{free_port()}",
            "seed": "1",
            "discovery": f"127.0.0.1:{self.port}",
            "settings": settings(),
            "known": self.listing,
            "limits": {"memory_mb": 192},
        }
        (folder / "config.json").write_bytes(orjson.dumps(config))
        words = [sys.executable, "-O", "-m", "sabledyke"]
        if store:
            (folder / "operator.toml").write_text(store)
            words += ["serve", "--operator", str(folder / "operator.toml")]
        environment = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        environment |= {"GW_CONFIG": str(folder / "config.json"), "SABLEDYKE_STORE_PASSWORD": "secret"}
        began = time.monotonic()
        process = await asyncio.create_subprocess_exec(
            *words, cwd=tree, env=environment, stderr=subprocess.PIPE
        )
        assert process.stderr is not None
        program = Program(process, 0, 0.0)
        while b"serves at" not in (line := await process.stderr.readline()):
            assert line, f"it did not start: {program.lines}"
            program.lines.append(line.decode())
        program.ready = time.monotonic() - began
        program.port = int(line.rpartition(b":")[2])

        async def listen() -> None:
            assert process.stderr is not None
            while more := await process.stderr.readline():
                program.lines.append(more.decode())

        program_lines.add(task := asyncio.create_task(listen()))
        task.add_done_callback(program_lines.discard)
        return program


program_lines: set[asyncio.Task[None]] = set()


def free_port() -> int:
    """A port that nobody listens at."""
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return int(free.getsockname()[1])


class Client:
    """Connections that are kept, one request at a time on each."""

    def __init__(self, port: int, seed: int) -> None:
        self._port, self._random = port, random.Random(seed)
        self._name = secrets.token_hex(6)  # no key of one run is a repeat of another's
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._ids = 0

    async def ask(self, write: bool) -> int:
        """One request; its status, 0 where the connection broke."""
        self._ids += 1
        ident = f"{self._name}-{self._ids}"
        piece = self._random.randrange(1 << 40)
        head = (
            f"{'PUT' if write else 'GET'} /api/{piece % 50:x}/{piece:x} HTTP/1.1\r\nReq-Id: {ident}\r\n"
            f"Req-Kind: {'write' if write else 'read'}\r\nTier: {PLAN}\r\nReq-Deadline: 5\r\n"
            f"IO-Info: units=1,shard={piece % BOXES},hosts=1\r\n"
        )
        if write:
            head += f"Idempotency-Key: {ident}\r\nContent-Length: 64\r\n\r\n{'x' * 64}"
        else:
            head += "\r\n"
        pair = self._idle.pop() if self._idle else await asyncio.open_connection("127.0.0.1", self._port)
        try:
            pair[1].write(head.encode())
            answer = (await pair[0].readuntil(b"\r\n\r\n")).lower()
            found = re.search(rb"content-length: (\d+)", answer)
            await pair[0].readexactly(int(found.group(1)) if found else 0)
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0
        if b"connection: close" in answer:
            pair[1].close()
        else:
            self._idle.append(pair)
        return int(answer.split()[1])

    def close(self) -> None:
        """All of them."""
        for _, writer in self._idle:
            writer.close()


PLAN = settings()["grades"][0]["name"]


async def steady(program: Program, seconds: float, rate: float = RATE) -> tuple[float, float]:
    """CPU microseconds and median milliseconds a request, at the stated rate."""
    return (await steady_with_tail(program, seconds, rate))[:2]


async def steady_with_tail(program: Program, seconds: float, rate: float) -> tuple[float, float, float]:
    """CPU microseconds, median and p99 milliseconds a request, arrivals drawn ahead."""
    chance, client, took = random.Random(1), Client(program.port, 2), list[float]()
    loop = asyncio.get_running_loop()

    async def one(at: float, write: bool) -> None:
        await client.ask(write)
        took.append(loop.time() - at)

    begin, at, tasks = loop.time() + 0.1, 0.0, []
    cpu = program.cpu()
    while at < seconds:
        at += chance.expovariate(rate)
        await asyncio.sleep(max(0.0, begin + at - loop.time()))
        tasks.append(asyncio.create_task(one(begin + at, chance.random() < KEYED)))
    await asyncio.gather(*tasks)
    spent = program.cpu() - cpu
    client.close()
    tail = statistics.quantiles(took, n=100)[98]
    return spent / len(tasks) * 1e6, statistics.median(took) * 1000, tail * 1000


async def flat_out(program: Program, seconds: float, lanes: int = 24) -> float:
    """Requests a second that lanes of clients get through, each asking again at once."""
    client, chance, count = Client(program.port, 3), random.Random(4), 0
    until = time.monotonic() + seconds

    async def lane() -> None:
        nonlocal count
        while time.monotonic() < until:
            served = await client.ask(chance.random() < KEYED) == 200
            count += served

    await asyncio.gather(*(lane() for _ in range(lanes)))
    client.close()
    return count / seconds


async def stall(field: Field, tree: Path, folder: Path, held: float) -> tuple[Counter[str], str]:
    """Outcomes of keyed writes and reads during and after, and which invariants broke."""
    path = folder / "stall.sqlite3"
    program = await field.start(tree, folder, f'[store]\npath = "{path}"\n')
    client, chance, seen = Client(program.port, 5), random.Random(6), Counter[str]()
    loop = asyncio.get_running_loop()
    slow = Counter[str]()

    async def one(write: bool, when: str) -> None:
        began = loop.time()
        status = await client.ask(write)
        took = loop.time() - began
        what = f"{when}, {'keyed write' if write else 'read'}"
        seen[f"{what}: {status}"] += 1
        slow[what] = max(slow[what], int(took * 1000))

    async def load(seconds: float, when: str) -> None:
        end, tasks = loop.time() + seconds, []
        while loop.time() < end:
            await asyncio.sleep(chance.expovariate(RATE))
            tasks.append(asyncio.create_task(one(chance.random() < KEYED, when)))
        waiting.extend(tasks)

    waiting: list[asyncio.Task[None]] = []
    await load(1, "before")
    other = sqlite3.connect(path, isolation_level=None, timeout=5)
    other.execute("BEGIN EXCLUSIVE")
    await load(held, "stalled")
    other.execute("COMMIT")
    other.close()
    await load(1, "first second after")
    await load(5, "later")
    await asyncio.gather(*waiting)
    client.close()
    for what, ms in slow.items():
        seen[f"{what}: slowest ms"] = ms
    return seen, await program.end()


async def starts(field: Field, tree: Path, folder: Path, rows: int) -> tuple[float, float, float]:
    """Seconds until it serves, MB then, and MB after a while of load, on a file of so many rows."""
    path = folder / f"rows-{rows}.sqlite3"
    text = f'[store]\npath = "{path}"\n'
    program = await field.start(tree, folder, text)
    await program.end()
    if rows:
        fill(path, rows)
    program = await field.start(tree, folder, text)
    ready, memory = program.ready, program.memory()
    await steady(program, 3)
    after = program.memory()
    await program.end()
    return ready, memory, after


def fill(path: Path, rows: int) -> None:
    """A record of its last hour, and a journal as long where there is one."""
    now = time.time() * 1000
    with sqlite3.connect(path) as db:
        tables = {row[0] for row in db.execute("SELECT name FROM sqlite_master WHERE type = 'table'")}
        new = "journal" in tables
        more = ", 'n0', 1" if new else ""
        db.executemany(
            f"INSERT INTO writes VALUES (?, ?, 1, 0, 'served'{more})",
            ((f"1/1/{i:032x}", now - 3.4e6 * i / rows) for i in range(rows)),
        )
        if new:
            db.executemany(
                "INSERT INTO journal VALUES"
                " ('n0', ?, 1, 0, 0, 'write', '1', ?, '1', 0, 'box', 1, '', 'served', '')",
                ((i + 1, f"{i:032x}") for i in range(rows)),
            )
            db.execute("UPDATE lives SET seq = ?", (rows,))


async def commits(folder: Path) -> None:
    """Writes a second through the record's own batches, by their size."""
    from sabledyke.store import startup, statements
    from sabledyke.store.connect import connect
    from sabledyke.store.health import StoreLimits
    from sabledyke.store.intent_manager import IntentManager
    from sabledyke.store.section import Target
    from sabledyke.store.types import JournalEntry

    print("the record's batches on SQLite (WAL, FULL): size, commits/s, writes/s, CPU us a write")
    for size in (1, 4, 16, 64, 256):
        session = await connect(Target(path=str(folder / f"batch-{size}.sqlite3")))
        await startup.migrate(session)
        keeper = IntentManager("n0", StoreLimits(batch=size), 1, 1e9)
        keeper.on_opened(await startup.begin_incarnation(session, "n0"), [], 0)
        count = max(200, size * 20)
        began, cpu, batches = time.perf_counter(), time.process_time(), 0
        for n in range(0, count, size):
            for i in range(n, n + size):
                entry = JournalEntry(
                    i, i, "write", f"{1:016x}", f"{i:032x}", f"{i:016x}", 0, "box-0", 1.0, "0" * 64, "served"
                )
                keeper.on_write_completed(f"1/1/{i:032x}", entry, None)
            batch = keeper.next_batch(n)
            assert batch is not None
            await session.transact(statements.batch_steps(batch, "n0"))
            keeper.on_batch_committed(n, set(), {})
            batches += 1
        took, spent = time.perf_counter() - began, time.process_time() - cpu
        print(f"  {size:4d} {batches / took:8.0f} {count / took:8.0f} {spent / count * 1e6:8.1f}")
        await session.close()


Figures = dict[str, list[float]]


def tell(cpu: Figures, busy: Figures, took: Figures, most: Figures) -> None:
    """The table of what the store costs."""
    base, full = statistics.median(cpu["off"]), statistics.median(most["off"])
    much = statistics.median(busy["off"])
    rounds = len(cpu["off"])
    print(f"CPU us a request at {RATE:.0f} and {BUSY:.0f} requests/s, {KEYED:.0%} keyed writes; median")
    print(f"answer at {RATE:.0f}; requests/s flat out; medians of {rounds} rounds in turn")
    words = (f"at {RATE:.0f}", "of off", f"at {BUSY:.0f}", "of off", "median ms", "flat out", "of off")
    heads = "".join(f"{h:>12s}" for h in words)
    print(" " * 20 + heads)
    for variant in cpu:
        c, m = statistics.median(cpu[variant]), statistics.median(most[variant])
        wait, b = statistics.median(took[variant]), statistics.median(busy[variant])
        print(
            f"  {variant:18s}{c:12.0f}{c / base:12.2f}{b:12.0f}{b / much:12.2f}{wait:12.1f}{m:12.0f}"
            f"{m / full:12.2f}",
            flush=True,
        )


async def main() -> None:
    """All of it."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--before", type=Path)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--parts", default="cost,commits,stall,starts")
    parser.add_argument("--boxes", action="store_true", help=argparse.SUPPRESS)
    said = parser.parse_args()
    if said.boxes:
        return await boxes()
    with tempfile.TemporaryDirectory(dir=os.environ.get("BENCH_DIR")) as name:
        folder, field = Path(name), Field()
        await field.open()
        server = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.standins.postgres",
            str(folder / "pg.sqlite3"),
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        assert server.stdout is not None
        port = int(await server.stdout.readline())
        variants = {
            "off": (ROOT, ""),
            "sqlite": (ROOT, f'[store]\npath = "{folder}/new.sqlite3"\n'),
            "postgresql": (ROOT, f'[store]\nurl = "postgresql://sabledyke@127.0.0.1:{port}/record"\n'),
        }
        variants["sqlite, gather 0"] = ROOT, variants["sqlite"][1] + "gather_ms = 0\n"
        if said.before:
            variants["before, off"] = said.before, ""
            variants["before, sqlite"] = said.before, f'[store]\npath = "{folder}/old.sqlite3"\n'
        cpu: dict[str, list[float]] = {v: [] for v in variants}
        busy: dict[str, list[float]] = {v: [] for v in variants}
        took: dict[str, list[float]] = {v: [] for v in variants}
        most: dict[str, list[float]] = {v: [] for v in variants}
        for _ in range((1 if said.quick else said.rounds) if "cost" in said.parts else 0):
            for variant, (tree, text) in variants.items():
                program = await field.start(tree, folder, text)
                spent, wait = await steady(program, said.seconds)
                cpu[variant].append(spent)
                busy[variant].append((await steady(program, said.seconds, BUSY))[0])
                took[variant].append(wait)
                most[variant].append(await flat_out(program, said.seconds / 2))
                await program.end()
        if "cost" in said.parts:
            tell(cpu, busy, took, most)
        server.terminate()
        await server.wait()
        if "commits" in said.parts:
            await commits(folder)
        held = 2.0 if said.quick else 8.0
        for label, tree in (("now", ROOT), ("before", said.before)):
            if tree is None or "stall" not in said.parts:
                continue
            seen, broken = await stall(field, tree, folder, held)
            (folder / "stall.sqlite3").unlink()
            print(f"file held for {held:.0f} s, {label}; invariants broken: {broken}")
            for what, count in sorted(seen.items()):
                print(f"  {what:45s} {count}")
        rows = 10_000 if said.quick else 1_000_000
        if "starts" not in said.parts:
            return await field.close()
        print("starts: rows, s until it serves, MB then, MB after 3 s of load")
        for label, tree in (("now", ROOT), ("before", said.before)):
            if tree is None:
                continue
            for count in (0, rows):
                where = folder / label.replace(",", "")
                where.mkdir(exist_ok=True)
                ready, memory, after = await starts(field, tree, where, count)
                print(f"  {label:8s} {count:9d} {ready:8.2f} {memory:8.1f} {after:8.1f}", flush=True)
        await field.close()


if __name__ == "__main__":
    asyncio.run(main())
