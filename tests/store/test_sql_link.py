"""A database as a storage node: reads and keyed writes through the server, with faults at every message."""

from __future__ import annotations

import asyncio
import sqlite3
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from sabledyke.protocol import discovery
from tests.standins.postgres_faults import ConnectionCutError, FaultPoint, fault_at
from tests.store.record_deployment import BACKENDS
from tests.store.sql_node_deployment import SqlNodeDeployment, run_scenario
from tests.support.server_rig import DEPLOYMENT


def at_first_commit(
    fault: Callable[[FaultPoint], Awaitable[None]], stage: str
) -> Callable[[FaultPoint], Awaitable[None]]:
    """Return a script that applies a fault at the first COMMIT after a key was claimed."""
    seen: list[FaultPoint] = []
    claimed: set[int] = set()

    async def script(point: FaultPoint) -> None:
        if point.label.startswith("INSERT INTO keys"):
            claimed.add(point.session)
        if point.label == "COMMIT" and point.session in claimed and point.stage == stage and not seen:
            seen.append(point)
            await fault(point)

    return script


async def cut(_: FaultPoint) -> None:
    raise ConnectionCutError


@pytest.mark.parametrize("backend", BACKENDS)
def test_pieces_are_written_and_read_and_a_repeat_gets_the_first_result(tmp_path: Path, backend: str) -> None:
    async def scenario(deployment: SqlNodeDeployment) -> None:
        status, first = await deployment.put("k", b"one")
        assert status == 200
        assert await deployment.get() == (200, b"one")
        assert await deployment.put("k", b"two") == (200, first)
        assert await deployment.get() == (200, b"one")
        assert (await deployment.put("l", b"three"))[0] == 200
        assert await deployment.get() == (200, b"three")
        assert (await deployment.get(99))[0] == 503  # a missing piece; a retry of a read is harmless
        answers = await asyncio.gather(*(deployment.put(f"m{n}", b"%d" % n, n) for n in range(12)))
        assert {s for s, _ in answers} == {200}
        assert [await deployment.get(n) for n in range(12)] == [(200, b"%d" % n) for n in range(12)]
        assert len(deployment.rows("SELECT * FROM keys")) == 14
        assert deployment.postgres.sessions <= 3  # the configured maximum of sessions

    run_scenario(tmp_path, backend, scenario)


def test_a_commit_whose_answer_is_lost_is_found_by_its_key(tmp_path: Path) -> None:
    async def scenario(deployment: SqlNodeDeployment) -> None:
        await deployment.warm_up()
        deployment.postgres.script = at_first_commit(cut, "after")
        status, result = await deployment.put("k", b"one")
        assert status == 200
        assert await deployment.put("k", b"two") == (200, result)
        assert await deployment.get() == (200, b"one")
        assert len(deployment.rows("SELECT * FROM keys")) == 2

    run_scenario(tmp_path, "postgresql", scenario)


def test_a_commit_that_never_happened_is_fenced_before_the_write_is_retried(tmp_path: Path) -> None:
    async def scenario(deployment: SqlNodeDeployment) -> None:
        await deployment.warm_up()
        deployment.postgres.script = at_first_commit(cut, "before")
        claims = deployment.count_statements("INSERT INTO keys")
        assert (await deployment.put("k", b"one"))[0] == 200
        assert await deployment.get() == (200, b"one")
        # The server receives the claim, its fence, and the second claim.
        assert deployment.count_statements("INSERT INTO keys") == claims + 3
        assert deployment.rows("SELECT state FROM keys WHERE name LIKE '%k'") == [("done",)]

    run_scenario(tmp_path, "postgresql", scenario)


def test_a_commit_that_happens_late_is_awaited_and_not_repeated(tmp_path: Path) -> None:
    """Guards against a repeat of a write whose key is absent only until the old transaction commits.

    The connection is lost, and the server commits the transaction later.
    """

    async def scenario(deployment: SqlNodeDeployment) -> None:
        await deployment.warm_up()

        async def commit_late(_: FaultPoint) -> None:
            deployment.postgres.cut_connections()
            await asyncio.sleep(0.15)  # the server then continues with the COMMIT that it has received

        deployment.postgres.script = at_first_commit(commit_late, "before")
        claims = deployment.count_statements("INSERT INTO keys")
        assert (await deployment.put("k", b"one"))[0] == 200
        # The server receives the claim, and the fence that waits for it.
        assert deployment.count_statements("INSERT INTO keys") == claims + 2
        assert deployment.rows("SELECT state FROM keys WHERE name LIKE '%k'") == [("done",)]

    run_scenario(tmp_path, "postgresql", scenario)


def test_a_commit_that_stalls_past_the_deadline_may_have_run_and_is_not_repeated(tmp_path: Path) -> None:
    async def scenario(deployment: SqlNodeDeployment) -> None:
        await deployment.warm_up()

        stall_ended = []

        async def stall(_: FaultPoint) -> None:
            await asyncio.sleep(5)
            stall_ended.append(True)

        deployment.postgres.script = at_first_commit(stall, "before")
        claims = deployment.count_statements("INSERT INTO pieces")
        assert (await deployment.put("k", b"one"))[0] == 500
        assert not stall_ended  # the answer does not wait for the end of the stall
        assert deployment.count_statements("INSERT INTO pieces") == claims + 1
        assert await deployment.get(9) == (200, b"x")  # reads are not delayed

    run_scenario(tmp_path, "postgresql", scenario)


@pytest.mark.parametrize("fault", ["cut before", "cut after", "40001", "53300", "57P01", "slow"])
@pytest.mark.parametrize("message", range(1, 24, 3))
def test_a_fault_at_any_message_causes_at_most_one_execution_and_a_correct_answer(
    tmp_path: Path, message: int, fault: str
) -> None:
    async def scenario(deployment: SqlNodeDeployment) -> None:
        await deployment.warm_up()
        first, start = max(deployment.postgres.message_counts.items())
        deployment.postgres.script = fault_at(first, start + message, fault)
        status, _ = await deployment.put("k", b"one")
        assert status in (200, 500, 503)
        done = deployment.rows("SELECT state FROM keys WHERE name LIKE '%k'")
        piece = deployment.rows(f"SELECT body FROM pieces WHERE piece = '{1:016x}'")
        assert piece == ([(b"one",)] if done == [("done",)] else [])
        if status == 200:
            assert piece
        if status == 503:
            assert not piece  # a rejected write has not run, so a retry is harmless
        deadline = time.monotonic() + 5
        # The scheduler may first send single requests as probes to the node.
        while (await deployment.put("k", b"one"))[0] != 200:
            assert time.monotonic() < deadline
        assert await deployment.get() == (200, b"one")

    run_scenario(tmp_path, "postgresql", scenario)


def test_a_locked_file_rejects_writes_and_an_aborted_commit_never_happens(tmp_path: Path) -> None:
    async def scenario(deployment: SqlNodeDeployment) -> None:
        await deployment.warm_up()
        other = sqlite3.connect(deployment.path, isolation_level=None)
        other.execute("BEGIN IMMEDIATE")
        assert (await deployment.put("k", b"one"))[0] == 503
        assert await deployment.get(9) == (200, b"x")
        other.execute("COMMIT")
        other.close()
        assert not deployment.rows("SELECT * FROM keys WHERE name LIKE '%k'")
        assert (await deployment.put("k", b"one"))[0] == 200

    run_scenario(tmp_path, "sqlite", scenario)


def test_removed_nodes_leave_no_connection(tmp_path: Path) -> None:
    async def scenario(deployment: SqlNodeDeployment) -> None:
        assert (await deployment.put("k"))[0] == 200
        deployment.discovery.hosts.pop()
        deployment.server.assembly.on_endpoint_list(
            discovery.read_listing(deployment.discovery.listing(), DEPLOYMENT)
        )
        while deployment.postgres.connected:
            await asyncio.sleep(0.005)

    run_scenario(tmp_path, "postgresql", scenario)
