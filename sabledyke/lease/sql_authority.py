"""The embedded authority: a row for each lease, in SQLite (or PostgreSQL), each ask one transaction.

The row holds no time: whoever wants a lease must see its row stand still for a whole lease on a clock of
its own, so that clocks may differ as they like, and a restart of the database changes nothing. Tokens only
rise: a row is never deleted. A lease costs one row; the file is in WAL mode, each transaction a ``BEGIN
IMMEDIATE``, and a look none: those who watch neither wait for a lock nor hold one.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

from sabledyke.lease.types import (
    NOBODY,
    Ask,
    AuthorityError,
    Granted,
    Look,
    Release,
    Renew,
    Renewed,
    Reply,
    Sight,
    Standing,
    Take,
)
from sabledyke.store.connect import connect
from sabledyke.store.database_errors import PASSING, Kind, StoreError, StoreFault
from sabledyke.store.section import Target
from sabledyke.store.session import Session
from sabledyke.store.types import Row, Step, Value

TABLE = (
    "CREATE TABLE IF NOT EXISTS leases (duty TEXT PRIMARY KEY, token BIGINT NOT NULL, beat BIGINT NOT NULL,"
    " holder TEXT NOT NULL, ttl BIGINT NOT NULL, seen BIGINT NOT NULL, recall BIGINT NOT NULL,"
    " done BIGINT NOT NULL)"
)
COLUMNS = "token, beat, holder, ttl, seen, recall, done"
LOOK = f"SELECT {COLUMNS} FROM leases WHERE duty = $1::text"
ALL = f"SELECT duty, {COLUMNS} FROM leases ORDER BY duty"
TAKE = (
    "INSERT INTO leases (duty, token, beat, holder, ttl, seen, recall, done)"
    " VALUES ($1::text, 1, 0, $2::text, $3::bigint, $4::bigint, 0, 0)"
    " ON CONFLICT (duty) DO UPDATE SET token = leases.token + 1, beat = 0, holder = excluded.holder,"
    " ttl = excluded.ttl, seen = excluded.seen, recall = 0"
    " WHERE leases.token = $5::bigint AND leases.beat = $6::bigint RETURNING token"
)
MINE = "WHERE duty = $1::text AND holder = $2::text AND token = $3::bigint"
RENEW = f"UPDATE leases SET beat = beat + 1, ttl = $4::bigint, seen = $5::bigint {MINE} RETURNING recall"
FREED = "UPDATE leases SET beat = beat + 1, holder = '', recall = 0"
RELEASE = f"{FREED} {MINE} RETURNING token"
RECALL = "UPDATE leases SET recall = 1 WHERE duty = $1::text AND holder <> '' RETURNING holder, token"
FREE = f"{FREED} WHERE duty = $1::text AND holder <> '' RETURNING token"
DONE = "UPDATE leases SET done = $3::bigint WHERE duty = $1::text AND token = $2::bigint RETURNING token"


T = TypeVar("T")


def sight(rows: list[Row]) -> Sight:
    """A row as LOOK reads it; none for a lease that nobody ever held."""
    if not rows:
        return Sight(NOBODY, "", True)
    token, beat, holder, ttl = rows[0][:4]
    return Sight((int(token), int(beat)), str(holder), holder == "", float(ttl))


class TableAuthority:
    """See ``terms.Authority``."""

    counts = False

    def __init__(self, target: Target, ttl: float) -> None:
        self.target, self._ttl = target, int(ttl)
        self._session: Session | None = None
        self._connecting = asyncio.Lock()  # guards against two asks that each open a connection

    async def open(self) -> None:
        """Make the table where it is missing; a StoreError in one line where that cannot be done.

        Guards against a start that fails because another process stands still inside its transaction: a
        table that does not answer now is asked again, and made when it first does.
        """
        try:
            await (await self._connected()).script([TABLE])
        except StoreFault as fault:
            self._give_up()
            if fault.kind not in PASSING:
                raise StoreError(f"lease {self.target}: {fault}") from None

    async def ask(self, duty: str, me: str, ask: Ask) -> Reply:
        """See ``terms.Authority``."""
        look, wall = Step(LOOK, [(duty,)]), int(time.time() * 1000)
        match ask:
            case Look():
                return sight(await self._one(LOOK, duty))
            case Take((token, beat)):
                steps = [Step(TAKE, [(duty, me, self._ttl, wall, token, beat)]), look]
            case Renew(token):
                steps = [Step(RENEW, [(duty, me, token, self._ttl, wall)]), look]
            case Release(token):
                steps = [Step(RELEASE, [(duty, me, token)]), look]
        try:
            done = await self._do(lambda session: session.transact(steps))
        except StoreFault as fault:
            self._give_up()
            raise AuthorityError(str(fault)) from None
        if isinstance(ask, Take) and done[0]:
            return Granted(int(done[0][0][0]))
        if isinstance(ask, Renew) and done[0]:
            return Renewed(bool(done[0][0][0]))
        return sight(done[-1])

    async def done(self, duty: str, token: int, at: int) -> bool:
        """See ``terms.Authority``."""
        return bool(await self._one(DONE, duty, token, at))

    async def last(self, duty: str) -> int:
        """See ``terms.Authority``."""
        rows = await self._one(LOOK, duty)
        return int(rows[0][6]) if rows else 0

    async def standing(self) -> list[Standing]:
        """Every lease, for operators."""
        now, rows = time.time() * 1000, await self._one(ALL)
        return [
            Standing(str(duty), str(holder), int(token), max(0.0, seen + ttl - now), bool(recall), int(done))
            for duty, token, _, holder, ttl, seen, recall, done in rows
        ]

    async def recall(self, duty: str, *, at_once: bool) -> bool:
        """Ask its holder to give it up, or free it at once; False where nobody holds it."""
        return bool(await self._one(FREE if at_once else RECALL, duty))

    async def _do(self, what: Callable[[Session], Awaitable[T]]) -> T:
        session = await self._connected()
        try:
            return await what(session)
        except StoreFault as fault:
            if fault.kind is not Kind.SCHEMA:
                raise
        await session.script([TABLE])  # it could not be made at the start
        return await what(session)

    async def _one(self, sql: str, *values: Value) -> list[Row]:
        try:
            if sql.startswith("SELECT"):
                return await self._do(lambda session: session.query(sql, *values))
            return (await self._do(lambda session: session.transact([Step(sql, [values])])))[0]
        except StoreFault as fault:
            self._give_up()
            raise AuthorityError(str(fault)) from None

    async def close(self) -> None:
        """See ``terms.Authority``."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _connected(self) -> Session:
        async with self._connecting:
            if self._session is None or self._session.closed:
                self._session = await connect(self.target)
            return self._session

    def _give_up(self) -> None:
        """Guards against an answer of one ask being taken for that of the next.

        The connection is not reused.
        """
        if self._session is not None:
            self._session.abort()
            self._session = None
