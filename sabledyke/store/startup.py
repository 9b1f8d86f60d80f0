"""Opening a database for the record: its schema brought up to date, and an incarnation for this start.

Decides which migrations are missing, by number. Every step is one transaction, so that a kill at any point
leaves a version that the next start goes on from.
"""

from __future__ import annotations

from collections.abc import Callable

from sabledyke.store import statements
from sabledyke.store.database_errors import DatabaseError, DatabaseErrorKind
from sabledyke.store.session import Session
from sabledyke.store.statements import MIGRATIONS, SCHEMA_VERSION
from sabledyke.store.types import JournalPosition, RecordedWrite, Row, Step

MAX_RECENT_WRITES = (
    16_384  # earlier sends that a start reads; older or more of them are found by their intents
)
FIRST_NUMBERED_VERSION = 2  # version 1 has no table that holds its number
MAX_LOST_RACES = 2 * SCHEMA_VERSION  # migrations that may be lost to another start


async def schema_version(session: Session) -> int:
    """Return the version of the schema that is there.

    0 for none, 1 for a file from before there were versions, negative for a restore that was not finished.
    """
    tables = {row[0] for row in await session.query(statements.SELECT_TABLE_NAMES[session.backend])}
    if "schema_version" not in tables:
        return 1 if "writes" in tables else 0
    rows = await session.query(statements.SELECT_SCHEMA_VERSION)
    if len(rows) != 1 or not isinstance(rows[0][0], int):
        raise DatabaseError(DatabaseErrorKind.SCHEMA, "schema_version does not hold one version")
    return rows[0][0]


async def migrate(session: Session, report: Callable[[str], None] = lambda _: None) -> int:
    """Bring the schema up to date in place, a version at a time.

    Guards against two that start at once: the second finds its transaction rejected, reads the version again
    and goes on from what the first one made.

    Args:
        session: The database.
        report: Called with a line for each version.

    Returns:
        The version that was found.

    Raises:
        DatabaseError: Where a migration fails, or the schema is newer or half restored.
    """
    found = await schema_version(session)
    if found < 0:
        unfinished = "a restore into it was not finished: empty it and restore again"
        raise DatabaseError(DatabaseErrorKind.SCHEMA, unfinished)
    version = found
    lost_races = 0
    while version < SCHEMA_VERSION:
        try:
            await session.transact(_migration_steps(version))
            report(f"schema {version + 1} of {SCHEMA_VERSION} is in place")
        except DatabaseError:
            lost_races += 1
            if await schema_version(session) <= version or lost_races > MAX_LOST_RACES:
                raise
        version = await schema_version(session)
    if version > SCHEMA_VERSION:
        newer = f"version {version}, where this program knows up to {SCHEMA_VERSION}"
        raise DatabaseError(DatabaseErrorKind.SCHEMA, newer)
    return found


async def begin_incarnation(session: Session, instance: str) -> JournalPosition:
    """Begin the next incarnation: from then on the database rejects what an older one writes."""
    results = await session.transact([Step(statements.BEGIN_INCARNATION, [(instance,)])])
    return position_from_row(results[0][0])


async def read_position(session: Session, instance: str) -> JournalPosition:
    """Return where the instance stands, once nothing that was under way can change it any more.

    Raises:
        DatabaseError: Where that fails, or the record does not know the instance.
    """
    results = await session.transact([Step(statements.SELECT_POSITION, [(instance,)])])
    rows = results[0]
    if not rows:
        raise DatabaseError(DatabaseErrorKind.FENCED, "the record does not know this instance any more")
    return position_from_row(rows[0])


async def recent_writes(session: Session, since_ms: float) -> list[tuple[str, RecordedWrite]]:
    """Return earlier sends that may still be repeated, by name: a bounded number, newest first."""
    rows = await session.query(statements.SELECT_RECENT_WRITES, since_ms, MAX_RECENT_WRITES)
    return [(str(row[0]), statements.recorded_write(row)) for row in rows]


def position_from_row(row: Row) -> JournalPosition:
    """Return a row of SELECT_POSITION or BEGIN_INCARNATION as a position."""
    incarnation, batches, last_sequence, head_hash = row
    assert isinstance(incarnation, int)
    assert isinstance(batches, int)
    assert isinstance(last_sequence, int)
    return JournalPosition(incarnation, batches, last_sequence, str(head_hash))


def _migration_steps(version: int) -> list[Step]:
    """Return the steps from this version to the next."""
    steps = [Step(line) for line in MIGRATIONS[version]]
    if version + 1 >= FIRST_NUMBERED_VERSION:
        steps.append(Step(statements.UPSERT_SCHEMA_VERSION, [(version + 1,)]))
    return steps
