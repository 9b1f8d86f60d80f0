"""Commands for leases, and changes of their settings while the program runs."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from sabledyke import log
from sabledyke.__main__ import main
from sabledyke.config import ConfigError
from sabledyke.errors import LeaseLostError
from sabledyke.lease import section
from sabledyke.lease.etcd_authority import EtcdAuthority
from sabledyke.lease.extension import LeaseExtension
from sabledyke.lease.manager import LeaseManager
from sabledyke.lease.sql_authority import SqlAuthority
from sabledyke.lease.types import Authority
from sabledyke.operator_config import OperatorConfig
from sabledyke.store.section import Target
from tests.lease.support import CALL, TIMEOUT_S, TIMES, etcd_server

COMMANDS = (
    (["status"], 0, "held by n0.life"),
    (["release", "sweep"], 0, "its holder releases it at its next renewal"),
    (["release", "nothing"], 1, "it has no holder"),
)


@pytest.mark.parametrize("backend", ["table", "etcd"])
def test_operators_list_leases_and_request_their_release(
    backend: str, tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(log, "_limiter", log.Limiter())

    async def run() -> None:
        async with etcd_server() as etcd:
            file = tmp_path / "operator.toml"
            where = f'etcd = ["127.0.0.1:{etcd.port}"]' if backend == "etcd" else f'path = "{tmp_path / "l"}"'
            file.write_text(f"[lease]\n{where}\n")
            async with _held_lease(file) as (manager, authority):
                assert await authority.record_completion("sweep", manager.current_token(), 12)
                assert not await authority.record_completion("sweep", 0, 13)
                for arguments, status, said in COMMANDS:
                    command = ["lease", *arguments, "--operator", str(file)]
                    assert await asyncio.to_thread(main, command) == status
                    out = capsys.readouterr().out
                    assert said in out
                    if arguments == ["release", "sweep"]:
                        assert "released by n0.life" in out
                # The holder learns of the recall at its next renewal, and then releases the lease.
                while manager.leading.is_set():
                    await asyncio.sleep(0.01)
                assert await authority.last_completed_unix_ms("sweep") == 12

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))


def test_a_recall_reports_that_the_holder_waits_for_an_operation(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a command that reports a release while the holder still waits for an operation."""
    monkeypatch.setattr(log, "_limiter", log.Limiter())

    async def run() -> None:
        file = tmp_path / "operator.toml"
        times = "ttl_ms = 1000\nrenew_ms = 100\nmargin_ms = 100"
        file.write_text(f'[lease]\npath = "{tmp_path / "l"}"\n{times}\n')
        command = ["lease", "release", "sweep", "--operator", str(file)]
        async with _held_lease(file) as (manager, _):
            async with manager.operation():
                assert await asyncio.to_thread(main, command) == 0
                assert "n0.life releases it after the operation in flight" in capsys.readouterr().out
                assert manager.current_token() == 1  # for the steps of this operation
            with pytest.raises(LeaseLostError):
                manager.current_token()

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))


@contextlib.asynccontextmanager
async def _held_lease(file: Path) -> AsyncIterator[tuple[LeaseManager, Authority]]:
    """Run a manager that holds the lease ``sweep`` of the authority in an operator's file."""
    authority = _authority(section.load(str(file)))
    await authority.open()
    manager = LeaseManager("sweep", "n0.life", authority, TIMES, 1)
    task = asyncio.create_task(manager.run())
    await manager.leading.wait()
    yield manager, authority
    await manager.stop()
    await task
    await authority.close()


def _authority(settings: section.LeaseSection) -> Authority:
    """Return the authority of these settings, with leases of 1 s."""
    if settings.path:
        return SqlAuthority(Target(path=settings.path), 1000)
    return EtcdAuthority(settings.etcd_endpoints, settings.prefix, 1000, 1000)


def test_new_times_and_leader_tasks_require_no_restart_but_another_authority_does(tmp_path: Path) -> None:
    def operator(path: str, **more: Any) -> OperatorConfig:
        table = {"path": str(tmp_path / path), "ttl_ms": 500, "renew_ms": 50, "margin_ms": 50, "duty": [CALL]}
        return OperatorConfig(lease=section.read(table | more, None))

    async def run() -> None:
        first = operator("l")
        second = operator("l", ttl_ms=800, duty=[CALL, CALL | {"name": "e"}])
        assert first.lease is not None
        extension = LeaseExtension("n0", 1, first.lease, None)
        await extension.open()
        await extension.managers[0].leading.wait()
        token_before = extension.managers[0].current_token()
        with pytest.raises(ConfigError, match="the lease authority differs; a change requires a restart"):
            extension.check_operator_config(operator("other"))
        extension.check_operator_config(second)
        extension.apply_operator_config(second)
        while len(extension.managers) != 2 or not all(m.leading.is_set() for m in extension.managers):
            await asyncio.sleep(0.01)
        assert [manager.times.ttl_ms for manager in extension.managers] == [800, 800]
        assert extension.managers[0].current_token() > token_before
        await extension.close()

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))
