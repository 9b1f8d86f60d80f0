"""The record of served, repeated and unconfirmed writes, and of drift."""

from __future__ import annotations

import asyncio
import sqlite3
from pathlib import Path

import pytest

from sabledyke.store import maintenance
from tests.standins.postgres_faults import FaultPoint
from tests.store.record_deployment import (
    BACKENDS,
    RecordDeployment,
    record_deployment,
    run_scenario,
)


@pytest.mark.parametrize("backend", BACKENDS)
def test_a_served_write_is_in_the_journal_before_its_client_is_answered(tmp_path: Path, backend: str) -> None:
    async def scenario(deployment: RecordDeployment) -> None:
        answers = await asyncio.gather(*(deployment.put(f"k{n}", b"body", n, n % 2) for n in range(20)))
        assert [(s, b) for s, _, b in answers] == [(200, b"body")] * 20
        assert sorted(deployment.journal()) == sorted((f"k{n}", "served") for n in range(20))
        assert deployment.rows("SELECT state, count(*) FROM writes GROUP BY state") == [("served", 20)]
        assert await deployment.get(3, 1) == (200, b"body")
        columns = "class, volume, piece, shard, box, units, life"
        row = deployment.rows(f"SELECT {columns} FROM journal WHERE token = 'k3'")
        assert row == [("write", f"{1:016x}", f"{3:016x}", 1, "box-1", 1.0, 1)]

    run_scenario(tmp_path, backend, scenario)


@pytest.mark.parametrize("backend", BACKENDS)
def test_a_repeat_after_a_restart_respects_window_and_cell(tmp_path: Path, backend: str) -> None:
    async def scenario(deployment: RecordDeployment) -> None:
        deployment.nodes[0].write_behaviors = ["lost"] * 8
        assert (await deployment.put("k"))[0] == 500
        sent = deployment.nodes[0].sent["k"]
        await deployment.kill()
        deployment.nodes[0].write_behaviors = []
        await deployment.start_incarnation()
        assert (await deployment.put("k", shard=1))[0] == 500  # the shard belongs to another cell
        assert not deployment.nodes[1].sent
        assert (await deployment.put("k"))[0] == 200
        assert deployment.nodes[0].effects["k"] == 1
        await deployment.kill()
        with sqlite3.connect(deployment.file) as db:
            db.execute("UPDATE writes SET at = at - 1500")
        await deployment.start_incarnation()
        # The window has passed: the write is not sent, although only the database knows the first send.
        assert (await deployment.put("k"))[0] == 500
        assert deployment.nodes[0].sent["k"] == sent + 1
        assert deployment.recording_transport.intents.position.incarnation == 3

    run_scenario(tmp_path, backend, scenario)


@pytest.mark.parametrize("backend", BACKENDS)
def test_a_served_write_that_cannot_be_journalled_is_answered_failed(tmp_path: Path, backend: str) -> None:
    async def scenario(deployment: RecordDeployment) -> None:
        deployment.nodes[0].write_behaviors = ["hold"]
        write = asyncio.create_task(deployment.put("k", wait=2.0))
        await deployment.nodes[0].holding.wait()
        end = asyncio.Event()

        async def script(point: FaultPoint) -> None:
            if point.label == "COMMIT":
                await end.wait()

        deployment.postgres.script = script
        other = sqlite3.connect(deployment.file, isolation_level=None)
        if backend == "sqlite":
            other.execute("BEGIN IMMEDIATE")
        deployment.nodes[0].release.set()
        assert (await write)[0] == 500
        assert deployment.nodes[0].effects["k"] == 1
        end.set()
        other.close()
        await deployment.shut_down()
        outcomes = [o for k, o in deployment.journal() if k == "k"]
        assert outcomes[-1] == "unconfirmed"
        assert deployment.rows("SELECT state FROM writes") == [("served",)]

    run_scenario(tmp_path, backend, scenario)


def test_answers_that_differ_from_what_was_written_are_logged_and_recorded(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    async def run() -> None:
        async with record_deployment(tmp_path, "sqlite") as deployment:
            assert (await deployment.put("k", b"right", 5))[0] == 200
            assert await deployment.get(5) == (
                200,
                b"right",
            )
            path = next(iter(deployment.nodes[0].pieces))
            deployment.nodes[0].pieces[path] = b"wrong"
            assert await deployment.get(5) == (200, b"wrong")
            assert await deployment.get(5) == (200, b"wrong")
            await deployment.shut_down()
            reported: list[str] = []
            assert not await maintenance.reconcile(deployment.target(), reported.append)
            assert "storage nodes that returned other data than was written: 1" in reported
            assert "box-0" in "".join(reported)

    asyncio.run(run())
    assert capfd.readouterr().err.count("drift: box-0 shows volume") == 1


@pytest.mark.parametrize("backend", BACKENDS)
def test_the_database_rejects_batches_of_an_older_incarnation(
    tmp_path: Path, backend: str, capfd: pytest.CaptureFixture[str]
) -> None:
    async def scenario(deployment: RecordDeployment) -> None:
        assert (await deployment.put("a"))[0] == 200
        older = deployment.server
        newer = await deployment.start_incarnation()  # a second start under the same name
        assert deployment.recording_transport.intents.position.incarnation == 2
        deployment.server = older
        status, _, _ = await deployment.put("late")
        assert status == 503
        assert "late" not in deployment.nodes[0].sent
        assert (await deployment.get())[0] == 200  # reads are still served
        deployment.server = newer
        assert (await deployment.put("b"))[0] == 200
        assert [k for k, _ in deployment.journal()] == ["a", "b"]
        deployment.server = older
        await deployment.shut_down()
        deployment.server = newer

    run_scenario(tmp_path, backend, scenario)
    assert "was taken over by a later start under this name" in capfd.readouterr().err
