"""Opening a database for the record: its schema brought up to date, and a life of its own for this start.

Told: a session. Decides: which migrations are missing, by number. Every step is one transaction, so that a
kill at any point leaves a version that the next start goes on from.
"""

from __future__ import annotations

from collections.abc import Callable

from sabledyke.store import statements
from sabledyke.store.database_errors import DatabaseErrorKind, DatabaseError
from sabledyke.store.session import Session
from sabledyke.store.statements import MIGRATIONS, SCHEMA_VERSION
from sabledyke.store.types import RecordedWrite, JournalPosition, Row, Step

MAX_RECENT_WRITES = 16_384  # earlier sends that a start reads; older or more of them are found by their intents


async def schema_version(session: Session) -> int:
    """The version of the schema that is there: 0 for none, 1 for a file from before there were versions."""
    tables = {row[0] for row in await session.query(statements.SELECT_TABLE_NAMES[session.backend])}
    if "schema_version" not in tables:
        return 1 if "writes" in tables else 0
    rows = await session.query(statements.SELECT_SCHEMA_VERSION)
    if len(rows) != 1 or not isinstance(rows[0][0], int):
        raise DatabaseError(DatabaseErrorKind.SCHEMA, "schema_version does not hold one version")
    return rows[0][0]


async def migrate(session: Session, said: Callable[[str], None] = lambda _: None) -> int:
    """Bring the schema up to date in place, a version at a time; the version that was found.

    Guards against two that start at once: who comes second finds its transaction refused, looks again and
    goes on from what the first one made.
    """
    found = now = await schema_version(session)
    if now < 0:
        raise DatabaseError(DatabaseErrorKind.SCHEMA, "a restore into it was not finished: empty it and restore again")
    lost_races = 0
    while now < SCHEMA_VERSION:
        lines = [Step(line) for line in MIGRATIONS[now]]
        if now + 1 >= 2:
            lines.append(Step(statements.UPSERT_SCHEMA_VERSION, [(now + 1,)]))
        try:
            await session.transact(lines)
            said(f"schema {now + 1} of {SCHEMA_VERSION} is in place")
        except DatabaseError:
            again, lost_races = await schema_version(session), lost_races + 1
            if again <= now or lost_races > 2 * SCHEMA_VERSION:
                raise
        now = await schema_version(session)
    if now > SCHEMA_VERSION:
        raise DatabaseError(DatabaseErrorKind.SCHEMA, f"version {now}, where this program knows up to {SCHEMA_VERSION}")
    return found


def position_from_row(row: Row) -> JournalPosition:
    """A row of POSITION or NEW_LIFE."""
    life, batch, seq, head = row
    assert isinstance(life, int) and isinstance(batch, int) and isinstance(seq, int)
    return JournalPosition(life, batch, seq, str(head))


async def begin_incarnation(session: Session, instance: str) -> JournalPosition:
    """Take the next life number: from then on the database refuses what an older life writes."""
    rows = (await session.transact([Step(statements.BEGIN_INCARNATION, [(instance,)])]))[0]
    return position_from_row(rows[0])


async def read_position(session: Session, instance: str) -> JournalPosition:
    """Where the instance stands, once nothing that was under way can change it any more."""
    rows = (await session.transact([Step(statements.SELECT_POSITION, [(instance,)])]))[0]
    if not rows:
        raise DatabaseError(DatabaseErrorKind.FENCED, "the record does not know this instance any more")
    return position_from_row(rows[0])


async def recent_writes(session: Session, since: float) -> list[tuple[str, RecordedWrite]]:
    """Earlier sends that may still be repeated: a bounded number, newest first."""
    rows = await session.query(statements.SELECT_RECENT_WRITES, since, MAX_RECENT_WRITES)
    return [(str(row[0]), statements.recorded_write(row)) for row in rows]
