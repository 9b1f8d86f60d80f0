"""No write is repeated or lost after stalls, faults at every message, full disks and random kills."""

from __future__ import annotations

import asyncio
import random
import sqlite3
from contextlib import suppress
from pathlib import Path

import pytest

from sabledyke.store.session import SqliteSession
from tests.standins.postgres_faults import ConnectionCutError, FaultPoint, fault_at
from tests.store.record_deployment import (
    BACKENDS,
    RecordDeployment,
    run_scenario,
)


@pytest.mark.parametrize("backend", BACKENDS)
def test_a_stall_rejects_only_keyed_writes_and_ends_by_itself(
    tmp_path: Path, backend: str, capfd: pytest.CaptureFixture[str]
) -> None:
    """Guards against writes that wait throughout a stall of commits.

    The rig checks an invariant at the end: no request is answered by the core's guard timer.
    """

    async def scenario(deployment: RecordDeployment) -> None:
        assert (await deployment.put("before"))[0] == 200
        stalled, end = asyncio.Event(), asyncio.Event()

        async def script(point: FaultPoint) -> None:
            if point.label == "COMMIT" and not end.is_set():
                stalled.set()
                await end.wait()

        other = sqlite3.connect(deployment.file, isolation_level=None)
        if backend == "sqlite":
            other.execute("BEGIN EXCLUSIVE")
        else:
            deployment.postgres.script = script
        first = await asyncio.gather(*(deployment.put(f"first{n}", piece=n) for n in range(5)))
        assert {s for s, _, _ in first} <= {500, 503}
        later = [await deployment.put(f"later{n}", piece=n) for n in range(5)]
        assert all(s == 503 and float(h["retry-after"]) > 0 for s, h, _ in later)
        assert all([(await deployment.get(n))[0] == 200 for n in range(5)])
        assert not deployment.nodes[0].sent.keys() & {"first0", "later0"}  # no unrecorded write is sent
        end.set()
        other.close()
        await deployment.put_until_served("after", piece=9)
        assert deployment.recording_transport.intents.health.stalls == 1
        assert deployment.recording_transport.intents.health.accepts_writes

    run_scenario(tmp_path, backend, scenario)
    reported = capfd.readouterr().err
    assert "keyed writes are rejected" in reported
    assert "the database answers again after" in reported


@pytest.mark.parametrize("fault", ["cut before", "cut after", "40001", "53300", "57P01", "slow"])
@pytest.mark.parametrize("message", range(1, 13))
def test_a_fault_at_any_message_of_the_record_repeats_no_write(
    tmp_path: Path, message: int, fault: str
) -> None:
    """Clients write while the connection breaks, fails or is slow at one message."""

    async def scenario(deployment: RecordDeployment) -> None:
        first = deployment.postgres.sessions
        start = deployment.postgres.message_counts[first]
        deployment.postgres.script = fault_at(first, start + message, fault)
        answers = [await deployment.put(f"k{n}", f"{n}".encode(), n) for n in range(4)]
        await deployment.put_until_served("last", piece=9)
        assert {s for s, _, _ in answers} <= {200, 500, 503}
        if fault in ("40001", "slow"):
            assert {s for s, _, _ in answers} == {200}
        served = {k for k, outcome in deployment.journal() if outcome == "served"}
        assert {f"k{n}" for n, (s, _, _) in enumerate(answers) if s == 200} <= served
        assert all(n == 1 for n in deployment.nodes[0].sent.values())

    run_scenario(tmp_path, "postgresql", scenario)


def test_connections_of_other_programs_are_not_counted_as_sessions(tmp_path: Path) -> None:
    """Guards against miscounted sessions when a port is reused and clients of its former service connect."""

    async def scenario(deployment: RecordDeployment) -> None:
        for _ in range(2):
            _, writer = await asyncio.open_connection("127.0.0.1", deployment.postgres.port)
            writer.close()
            await writer.wait_closed()
        assert deployment.postgres.sessions == 1
        assert deployment.postgres.message_counts.keys() == {1}
        assert (await deployment.put("k"))[0] == 200

    run_scenario(tmp_path, "postgresql", scenario)


class RandomClients:
    """Clients that repeat failed writes while nodes, commits and the server fail at random."""

    def __init__(self, deployment: RecordDeployment, rng: random.Random) -> None:
        self.served: set[str] = set()
        self._deployment = deployment
        self._rng = rng

    async def script(self, point: FaultPoint) -> None:
        """Cut some connections, and stall some commits."""
        if self._rng.random() < 0.01:
            raise ConnectionCutError
        if point.label == "COMMIT" and self._rng.random() < 0.03:
            await asyncio.sleep(0.3)

    async def run_incarnation(self, incarnation: int) -> None:
        """Start 15 clients, kill the server while they write, and start the next incarnation."""
        for node in self._deployment.nodes:
            node.write_behaviors = [self._rng.choice(("ok", "ok", "lost", "cut")) for _ in range(12)]
        numbers = range(incarnation * 15, incarnation * 15 + 15)
        clients = [asyncio.create_task(self.write(number)) for number in numbers]
        await asyncio.sleep(0.05 + self._rng.random() * 0.2)
        await self._deployment.kill()
        await self._deployment.restart_after_kill()
        await asyncio.gather(*clients)

    async def write(self, number: int) -> None:
        """Write with the key of this number, up to three times."""
        key = f"k{number}"
        for _ in range(3):
            with suppress(OSError, asyncio.IncompleteReadError):
                if (await self._deployment.put(key, piece=number, shard=number % 2))[0] == 200:
                    self.served.add(key)
                    return
            await asyncio.sleep(self._rng.random() * 0.1)


@pytest.mark.parametrize("backend", BACKENDS)
@pytest.mark.parametrize("seed", range(3))
def test_a_random_schedule_of_kills_and_faults_repeats_no_write(
    tmp_path: Path, seed: int, backend: str
) -> None:
    """Guards against repeated or lost writes when nodes, commits and the server fail at the same time."""

    async def scenario(deployment: RecordDeployment) -> None:
        clients = RandomClients(deployment, random.Random(seed))
        deployment.postgres.script = clients.script
        for incarnation in range(3):
            await clients.run_incarnation(incarnation)
        # On a busy machine, each kill may come before any write was served.
        for number in range(45, 65):
            if not clients.served:
                await clients.write(number)
        assert clients.served
        for node in deployment.nodes:
            assert all(effects == 1 for effects in node.effects.values())
        journalled = {key for key, outcome in deployment.journal() if outcome == "served"}
        assert clients.served <= journalled

    run_scenario(tmp_path, backend, scenario)


@pytest.mark.parametrize(
    ("pragma", "back"),
    [
        ("max_page_count = 1", "max_page_count = 1000000"),
        ("query_only = 1", "query_only = 0"),
    ],
)
def test_a_full_or_read_only_disk_causes_a_stall_and_loses_no_write(
    tmp_path: Path, pragma: str, back: str
) -> None:
    async def scenario(deployment: RecordDeployment) -> None:
        assert (await deployment.put("before"))[0] == 200
        session = deployment.recording_transport.writer.session
        assert isinstance(session, SqliteSession)
        deployment.nodes[0].write_behaviors = ["hold"]
        held = asyncio.create_task(deployment.put("held", piece=2))
        await deployment.nodes[0].holding.wait()
        await session.run(lambda db: db.execute(f"PRAGMA {pragma}").close())
        deployment.nodes[0].release.set()
        assert (await held)[0] in (200, 500)  # the last page may have room for one more entry
        n = 0  # number of writes until the present pages are full
        while (await deployment.put(f"k{n}", b"x" * 3000, n))[0] == 200:
            n += 1
        assert (await deployment.get())[0] == 200
        assert not deployment.recording_transport.intents.accepts_writes()
        await session.run(lambda db: db.execute(f"PRAGMA {back}").close())
        await deployment.put_until_served("after", piece=9)
        assert {"before", "held", "after"} <= {k for k, _ in deployment.journal()}

    run_scenario(tmp_path, "sqlite", scenario)
