"""Opening of a record's database: schema migrations, and the incarnation of this start.

Decides which numbered migrations are missing. Each migration is one transaction, so that a start killed at
any point leaves a version from which the next start can continue.
"""

from __future__ import annotations

from collections.abc import Callable

from sabledyke.store import statements
from sabledyke.store.database_errors import DatabaseError, DatabaseErrorKind
from sabledyke.store.session import Session
from sabledyke.store.statements import MIGRATIONS, SCHEMA_VERSION
from sabledyke.store.types import JournalPosition, RecordedWrite, Row, Step

# Maximum number of earlier writes that a start reads; any others are found when their intents are recorded.
MAX_RECENT_WRITES = 16_384
FIRST_NUMBERED_VERSION = 2  # first schema that stores its version number
MAX_LOST_RACES = 2 * SCHEMA_VERSION  # migrations that may fail because another start made them first


async def schema_version(session: Session) -> int:
    """Return the version of the present schema.

    The version is 0 for an empty database, 1 for a file from before schemas had versions, and negative after
    an unfinished restore.
    """
    tables = {row[0] for row in await session.query(statements.SELECT_TABLE_NAMES[session.backend])}
    if "schema_version" not in tables:
        return 1 if "writes" in tables else 0
    rows = await session.query(statements.SELECT_SCHEMA_VERSION)
    if len(rows) != 1 or not isinstance(rows[0][0], int):
        raise DatabaseError(DatabaseErrorKind.SCHEMA, "schema_version does not hold one version")
    return rows[0][0]


async def migrate(session: Session, report: Callable[[str], None] = lambda _: None) -> int:
    """Migrate the schema in place, one version at a time.

    Guards against two concurrent starts: the transaction of the second one is rejected, and it continues from
    the version that the first one created.

    Args:
        session: The database.
        report: Called with a line for each version.

    Returns:
        The version before the migration.

    Raises:
        DatabaseError: A migration failed, or the schema is newer or partly restored.
    """
    found = await schema_version(session)
    if found < 0:
        unfinished = "a restore was not finished: empty the database and restore again"
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
        newer = f"version {version}, but this program supports versions up to {SCHEMA_VERSION}"
        raise DatabaseError(DatabaseErrorKind.SCHEMA, newer)
    return found


async def begin_incarnation(session: Session, instance: str) -> JournalPosition:
    """Begin the next incarnation; from then on the database rejects batches of older ones."""
    results = await session.transact([Step(statements.BEGIN_INCARNATION, [(instance,)])])
    return position_from_row(results[0][0])


async def read_position(session: Session, instance: str) -> JournalPosition:
    """Return the instance's position after any transaction in progress has ended.

    Raises:
        DatabaseError: The query failed, or the record does not contain the instance.
    """
    results = await session.transact([Step(statements.SELECT_POSITION, [(instance,)])])
    rows = results[0]
    if not rows:
        raise DatabaseError(DatabaseErrorKind.FENCED, "the record does not contain this instance any more")
    return position_from_row(rows[0])


async def recent_writes(session: Session, since_ms: float) -> list[tuple[str, RecordedWrite]]:
    """Return earlier writes that may still be repeated, with their names: a bounded number, newest first."""
    rows = await session.query(statements.SELECT_RECENT_WRITES, since_ms, MAX_RECENT_WRITES)
    return [(str(row[0]), statements.recorded_write(row)) for row in rows]


def position_from_row(row: Row) -> JournalPosition:
    """Return the position of a row of SELECT_POSITION or BEGIN_INCARNATION."""
    incarnation, batches, last_sequence, head_hash = row
    assert isinstance(incarnation, int)
    assert isinstance(batches, int)
    assert isinstance(last_sequence, int)
    return JournalPosition(incarnation, batches, last_sequence, str(head_hash))


def _migration_steps(version: int) -> list[Step]:
    """Return the steps of the migration from this version to the next."""
    steps = [Step(line) for line in MIGRATIONS[version]]
    if version + 1 >= FIRST_NUMBERED_VERSION:
        steps.append(Step(statements.UPSERT_SCHEMA_VERSION, [(version + 1,)]))
    return steps
