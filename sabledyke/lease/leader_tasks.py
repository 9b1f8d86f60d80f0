"""Leader tasks: maintenance of the record, or a call to a service that does the work.

Each run is one operation (``LeaseManager.operation``), and the lease is not released before it has ended.
Each step gets the token from the lease manager immediately before it takes effect. Effects are fenced: the
record's database rejects a step whose token is older than one it has seen (``fencing``), and a called service
answers 409.
"""

from __future__ import annotations

import asyncio
import os
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Protocol

from tornado.httpclient import HTTPError

from sabledyke import log
from sabledyke.errors import (
    AuthorityError,
    FencedError,
    LeaseLostError,
    OperationNotBegunError,
    OperationUnresolvedError,
)
from sabledyke.lease import fencing
from sabledyke.lease.manager import LeaseManager
from sabledyke.lease.section import LeaderTask
from sabledyke.lease.service_calls import LeaseSource, call_service
from sabledyke.lease.types import Authority
from sabledyke.store import maintenance
from sabledyke.store.connect import connect
from sabledyke.store.database_errors import DatabaseError, DatabaseErrorKind, StoreError
from sabledyke.store.section import Target

RETRY_DELAY_S = 0.5
MAX_LOGGED_FINDINGS = 4


class TokenSource(LeaseSource, Protocol):
    """Interface of a lease manager that actions use."""

    def current_token(self) -> int:
        """Return the token of the held lease, or raise LeaseLostError."""


Action = Callable[[TokenSource], Awaitable[None]]
RecordCheck = Callable[[Target, maintenance.Report], Awaitable[bool]]


async def run_leader_task(
    task: LeaderTask, action: Action, manager: LeaseManager, authority: Authority
) -> None:
    """Run a leader task whenever it is due and the lease is held, until cancelled.

    The authority stores the time of the last completion, so that a new holder continues the schedule.
    """
    while True:
        await manager.leading.wait()
        try:
            wait_ms = await _wait_until_due_ms(task, authority)
            if wait_ms > 0:
                await asyncio.sleep(min(wait_ms, task.interval_ms) / 1000)
                continue
            async with manager.operation() as lease:
                token = lease.token
                await action(manager)
                await authority.record_completion(task.name, token, int(time.time() * 1000))
        except LeaseLostError:
            manager.recheck()
        except FencedError as error:
            log.emit("duty", str(error))
            manager.on_fenced(token)
        except (
            OperationNotBegunError,
            OperationUnresolvedError,
            AuthorityError,
            DatabaseError,
            StoreError,
            HTTPError,
            OSError,
        ) as error:
            log.emit("duty", f"{task.name}: failed, will be retried: {error}", duty=task.name)
            await asyncio.sleep(RETRY_DELAY_S)
        except Exception:  # a fault in one run must not end the task permanently
            log.emit("fault", traceback.format_exc())
            await asyncio.sleep(RETRY_DELAY_S)


def action_of(task: LeaderTask, record: Target | None) -> Action:
    """Return the action of one run of this task; it is called under the task's lease."""
    if task.kind == "call":
        return lambda manager: call_service(task, manager)
    assert record is not None
    if task.kind == "backup":
        return lambda manager: _back_up(task, record, manager)
    check = maintenance.audit if task.kind == "audit" else maintenance.reconcile
    return lambda manager: _check_record(task, record, manager, check)


async def check_fence(target: Target, task_name: str, token: int) -> None:
    """Present the token to the record's database.

    Raises:
        FencedError: The database has seen a later token.
        DatabaseError: The database did not answer, or failed in another way.
    """
    session = await connect(target, create=False)
    try:
        await session.transact(fencing.token_check_steps(task_name, token))
    except DatabaseError as error:
        if error.kind is DatabaseErrorKind.FENCED:
            raise FencedError(f"{task_name}: the record has seen a later token than {token}") from error
        if error.kind is not DatabaseErrorKind.SCHEMA:
            raise
        await session.script([fencing.CREATE_TABLE_SQL])  # before the first leader task on this record
        await session.transact(fencing.token_check_steps(task_name, token))
    finally:
        await session.close()


async def _wait_until_due_ms(task: LeaderTask, authority: Authority) -> float:
    last_completed_ms = await authority.last_completed_unix_ms(task.name)
    return last_completed_ms + task.interval_ms - time.time() * 1000


async def _check_record(task: LeaderTask, record: Target, manager: TokenSource, check: RecordCheck) -> None:
    """Audit or reconcile the record; its findings are valid only if no later holder has begun meanwhile."""
    findings: list[str] = []
    await check_fence(record, task.name, manager.current_token())
    passed = await check(record, findings.append)
    token = manager.current_token()
    await check_fence(record, task.name, token)
    result = "passed" if passed else f"FAILED: {'; '.join(findings[:MAX_LOGGED_FINDINGS])}"
    _log_result(task, token, result, passed=passed)


async def _back_up(task: LeaderTask, record: Target, manager: TokenSource) -> None:
    """Copy the record to a new file.

    The copy gets its final name, and older copies are removed, only after the fence has accepted the token.
    """
    folder = Path(task.folder)
    token = manager.current_token()
    await check_fence(record, task.name, token)
    folder.mkdir(parents=True, exist_ok=True)
    backup = folder / f"{task.name}.{token}.{time.time_ns() // 1_000_000}.sqlite3"
    unfinished = backup.with_suffix(".working")
    try:
        passed = await maintenance.backup(record, str(unfinished), lambda _: None)
        token = manager.current_token()
        await check_fence(record, task.name, token)
        os.replace(unfinished, backup)
    finally:
        unfinished.unlink(missing_ok=True)
    _remove_old_backups(task, folder, manager)
    result = backup.name if passed else f"{backup.name}, but the record did not pass its audit"
    _log_result(task, token, result, passed=passed)


def _remove_old_backups(task: LeaderTask, folder: Path, manager: TokenSource) -> None:
    backups = sorted(folder.glob(f"{task.name}.*.*.sqlite3"), key=_backup_time_ms)
    for old in backups[: -task.keep]:
        manager.current_token()
        old.unlink(missing_ok=True)


def _backup_time_ms(backup: Path) -> int:
    return int(backup.name.split(".")[-2])


def _log_result(task: LeaderTask, token: int, result: str, *, passed: bool) -> None:
    log.emit("duty", f"{task.name}: {result}", duty=task.name, token=token, well=int(passed))
