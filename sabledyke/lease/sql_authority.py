"""Authority in SQLite or PostgreSQL: one row for each lease, and one transaction for each request.

The row holds no time that a decision depends on: a process acquires a held lease only after it has seen the
row unchanged for the lease's duration on its own clock. Clocks may therefore have any offset, and a restart
of the database has no effect. Tokens only rise, as a row is never deleted. The file is in WAL mode, and each
transaction begins with ``BEGIN IMMEDIATE``; an inspection needs no transaction, so that watchers neither wait
for a lock nor hold one.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

from sabledyke.errors import AuthorityError
from sabledyke.lease.types import (
    UNACQUIRED_STATUS,
    Acquire,
    Granted,
    Inspect,
    LeaseReply,
    LeaseRequest,
    LeaseStatus,
    LeaseSummary,
    LeaseVersion,
    Release,
    Renew,
    Renewed,
)
from sabledyke.store.connect import connect
from sabledyke.store.database_errors import TRANSIENT_KINDS, DatabaseError, DatabaseErrorKind, StoreError
from sabledyke.store.section import Target
from sabledyke.store.session import Session
from sabledyke.store.types import Row, Step, Value

CREATE_TABLE_SQL = (
    "CREATE TABLE IF NOT EXISTS leases (duty TEXT PRIMARY KEY, token BIGINT NOT NULL, beat BIGINT NOT NULL,"
    " holder TEXT NOT NULL, ttl BIGINT NOT NULL, seen BIGINT NOT NULL, recall BIGINT NOT NULL,"
    " done BIGINT NOT NULL)"
)
STATUS_SQL = "SELECT token, beat, holder, ttl FROM leases WHERE duty = $1::text"
LAST_COMPLETED_SQL = "SELECT done FROM leases WHERE duty = $1::text"
SUMMARIES_SQL = "SELECT duty, holder, token, ttl, seen, recall, done FROM leases ORDER BY duty"
ACQUIRE_SQL = (
    "INSERT INTO leases (duty, token, beat, holder, ttl, seen, recall, done)"
    " VALUES ($1::text, 1, 0, $2::text, $3::bigint, $4::bigint, 0, 0)"
    " ON CONFLICT (duty) DO UPDATE SET token = leases.token + 1, beat = 0, holder = excluded.holder,"
    " ttl = excluded.ttl, seen = excluded.seen, recall = 0"
    " WHERE leases.token = $5::bigint AND leases.beat = $6::bigint RETURNING token"
)
_WHERE_MINE = "WHERE duty = $1::text AND holder = $2::text AND token = $3::bigint"
_WHERE_NOT_FREE = "WHERE duty = $1::text AND holder <> ''"
_SET_FREE = "UPDATE leases SET beat = beat + 1, holder = '', recall = 0"
RENEW_SQL = (
    "UPDATE leases SET beat = beat + 1, ttl = $4::bigint, seen = $5::bigint"
    f" {_WHERE_MINE} RETURNING recall"
)
RELEASE_SQL = f"{_SET_FREE} {_WHERE_MINE} RETURNING token"
RECALL_SQL = f"UPDATE leases SET recall = 1 {_WHERE_NOT_FREE} RETURNING holder, token"
FREE_SQL = f"{_SET_FREE} {_WHERE_NOT_FREE} RETURNING token"
RECORD_COMPLETION_SQL = (
    "UPDATE leases SET done = $3::bigint WHERE duty = $1::text AND token = $2::bigint RETURNING token"
)

ResultT = TypeVar("ResultT")


class SqlAuthority:
    """Authority in a database."""

    tracks_expiry = False

    def __init__(self, target: Target, ttl_ms: float) -> None:
        """Create an authority in this database; ``open`` connects to it."""
        self.target = target
        self._ttl_ms = int(ttl_ms)
        self._session: Session | None = None
        self._connecting = asyncio.Lock()  # prevents concurrent requests from opening two connections

    async def open(self) -> None:
        """Create the table if it is missing.

        A transient failure is ignored, for example a lock held by a process that is paused inside its
        transaction: the start goes on, and the table is created when the database first answers.

        Raises:
            StoreError: The table cannot be created.
        """
        try:
            session = await self._connected_session()
            await session.script([CREATE_TABLE_SQL])
        except DatabaseError as error:
            self._discard_session()
            if error.kind not in TRANSIENT_KINDS:
                raise StoreError(f"lease {self.target}: {error}") from error

    async def request(self, task_name: str, holder_id: str, request: LeaseRequest) -> LeaseReply:
        """Execute a request as one statement or one transaction."""
        match request:
            case Inspect():
                return _decode_status(await self._query(STATUS_SQL, task_name))
            case Acquire(version):
                changed, status = await self._change_and_read(
                    ACQUIRE_SQL,
                    task_name,
                    holder_id,
                    self._ttl_ms,
                    _wall_clock_ms(),
                    version.token,
                    version.renewals,
                )
                return Granted(int(changed[0][0])) if changed else status
            case Renew(token):
                changed, status = await self._change_and_read(
                    RENEW_SQL, task_name, holder_id, token, self._ttl_ms, _wall_clock_ms()
                )
                return Renewed(recalled=bool(changed[0][0])) if changed else status
            case Release(token):
                _, status = await self._change_and_read(RELEASE_SQL, task_name, holder_id, token)
                return status

    async def record_completion(self, task_name: str, token: int, at_unix_ms: int) -> bool:
        """Store the completion time in the lease's row if the token is the latest one."""
        return bool(await self._change(RECORD_COMPLETION_SQL, task_name, token, at_unix_ms))

    async def last_completed_unix_ms(self, task_name: str) -> int:
        """Return the completion time of the lease's row; 0 for never."""
        rows = await self._query(LAST_COMPLETED_SQL, task_name)
        return int(rows[0][0]) if rows else 0

    async def list_leases(self) -> list[LeaseSummary]:
        """Return all leases, with the remaining time by the wall clock."""
        now_ms = time.time() * 1000
        return [
            LeaseSummary(
                task_name=str(task_name),
                holder=str(holder),
                token=int(token),
                remaining_ms=max(0.0, seen_ms + ttl_ms - now_ms),
                recalled=bool(recalled),
                last_completed_unix_ms=int(completed_ms),
            )
            for task_name, holder, token, ttl_ms, seen_ms, recalled, completed_ms in await self._query(
                SUMMARIES_SQL
            )
        ]

    async def recall(self, task_name: str, *, at_once: bool) -> bool:
        """Mark the lease's row as recalled, or free it immediately."""
        return bool(await self._change(FREE_SQL if at_once else RECALL_SQL, task_name))

    async def close(self) -> None:
        """Close the database session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _change_and_read(self, sql: str, *values: Value) -> tuple[list[Row], LeaseStatus]:
        """Change a lease, and read its status in the same transaction.

        The first of ``values`` must be the name of the leader task.
        """
        steps = [Step(sql, [values]), Step(STATUS_SQL, [values[:1]])]
        changed, found = await self._run(lambda session: session.transact(steps))
        return changed, _decode_status(found)

    async def _change(self, sql: str, *values: Value) -> list[Row]:
        results = await self._run(lambda session: session.transact([Step(sql, [values])]))
        return results[0]

    async def _query(self, sql: str, *values: Value) -> list[Row]:
        return await self._run(lambda session: session.query(sql, *values))

    async def _run(self, operation: Callable[[Session], Awaitable[ResultT]]) -> ResultT:
        try:
            return await self._run_with_table(operation)
        except DatabaseError as error:
            self._discard_session()
            raise AuthorityError(str(error)) from error

    async def _run_with_table(self, operation: Callable[[Session], Awaitable[ResultT]]) -> ResultT:
        session = await self._connected_session()
        try:
            return await operation(session)
        except DatabaseError as error:
            if error.kind is not DatabaseErrorKind.SCHEMA:
                raise
        await session.script([CREATE_TABLE_SQL])  # the table could not be created at the start
        return await operation(session)

    async def _connected_session(self) -> Session:
        async with self._connecting:
            if self._session is None or self._session.closed:
                self._session = await connect(self.target)
            return self._session

    def _discard_session(self) -> None:
        """Abort the session, so that a late answer to one request is not taken for that of the next."""
        if self._session is not None:
            self._session.abort()
            self._session = None


def _decode_status(rows: list[Row]) -> LeaseStatus:
    """Decode the rows of ``STATUS_SQL``; a lease that was never held has none."""
    if not rows:
        return UNACQUIRED_STATUS
    token, renewals, holder, ttl_ms = rows[0]
    version = LeaseVersion(int(token), int(renewals))
    return LeaseStatus(version, str(holder), is_free=holder == "", ttl_ms=float(ttl_ms))


def _wall_clock_ms() -> int:
    return int(time.time() * 1000)
