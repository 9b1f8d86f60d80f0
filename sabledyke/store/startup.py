"""Opening a database for the record: its schema brought up to date, and a life of its own for this start.

Told: a session. Decides: which migrations are missing, by number. Every step is one transaction, so that a
kill at any point leaves a version that the next start goes on from.
"""

from __future__ import annotations

from collections.abc import Callable

from sabledyke.store import statements
from sabledyke.store.database_errors import Kind, StoreFault
from sabledyke.store.session import Session
from sabledyke.store.statements import MIGRATIONS, VERSION
from sabledyke.store.types import Found, Position, Row, Step

MOST_RECENT = 16_384  # earlier sends that a start reads; older or more of them are found by their intents


async def version(session: Session) -> int:
    """The version of the schema that is there: 0 for none, 1 for a file from before there were versions."""
    tables = {row[0] for row in await session.query(statements.HAS_TABLES[session.backend])}
    if "schema_version" not in tables:
        return 1 if "writes" in tables else 0
    rows = await session.query(statements.GET_VERSION)
    if len(rows) != 1 or not isinstance(rows[0][0], int):
        raise StoreFault(Kind.SCHEMA, "schema_version does not hold one version")
    return rows[0][0]


async def migrate(session: Session, said: Callable[[str], None] = lambda _: None) -> int:
    """Bring the schema up to date in place, a version at a time; the version that was found.

    Guards against two that start at once: who comes second finds its transaction refused, looks again and
    goes on from what the first one made.
    """
    found = now = await version(session)
    if now < 0:
        raise StoreFault(Kind.SCHEMA, "a restore into it was not finished: empty it and restore again")
    lost_races = 0
    while now < VERSION:
        lines = [Step(line) for line in MIGRATIONS[now]]
        if now + 1 >= 2:
            lines.append(Step(statements.SET_VERSION, [(now + 1,)]))
        try:
            await session.transact(lines)
            said(f"schema {now + 1} of {VERSION} is in place")
        except StoreFault:
            again, lost_races = await version(session), lost_races + 1
            if again <= now or lost_races > 2 * VERSION:
                raise
        now = await version(session)
    if now > VERSION:
        raise StoreFault(Kind.SCHEMA, f"version {now}, where this program knows up to {VERSION}")
    return found


def position(row: Row) -> Position:
    """A row of POSITION or NEW_LIFE."""
    life, batch, seq, head = row
    assert isinstance(life, int) and isinstance(batch, int) and isinstance(seq, int)
    return Position(life, batch, seq, str(head))


async def new_life(session: Session, instance: str) -> Position:
    """Take the next life number: from then on the database refuses what an older life writes."""
    rows = (await session.transact([Step(statements.NEW_LIFE, [(instance,)])]))[0]
    return position(rows[0])


async def read_position(session: Session, instance: str) -> Position:
    """Where the instance stands, once nothing that was under way can change it any more."""
    rows = (await session.transact([Step(statements.POSITION, [(instance,)])]))[0]
    if not rows:
        raise StoreFault(Kind.FENCED, "the record does not know this instance any more")
    return position(rows[0])


async def recent(session: Session, since: float) -> list[tuple[str, Found]]:
    """Earlier sends that may still be repeated: a bounded number, newest first."""
    rows = await session.query(statements.RECENT, since, MOST_RECENT)
    return [(str(row[0]), statements.found(row)) for row in rows]
