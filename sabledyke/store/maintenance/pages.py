"""Iteration over a record's tables, a page at a time, and a progress display."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager

from sabledyke.store import startup, statements
from sabledyke.store.database_errors import DatabaseError, DatabaseErrorKind
from sabledyke.store.session import Session
from sabledyke.store.statements import SCHEMA_VERSION
from sabledyke.store.types import Row

Report = Callable[[str], None]
Advance = Callable[[int], object]


@contextmanager
def progress_display(title: str, total_rows: int) -> Iterator[Advance]:
    """Show a progress display, if stderr is a terminal and tqdm is installed."""
    try:
        from tqdm import tqdm
    except ImportError:
        yield lambda _: None
        return
    with tqdm(total=total_rows, desc=title, unit="row", disable=None, leave=False) as bar:
        yield bar.update


async def require_current_schema(session: Session) -> None:
    """Check the version of the record's schema.

    Raises:
        DatabaseError: The record does not have this program's schema.
    """
    found = await startup.schema_version(session)
    if found != SCHEMA_VERSION:
        advice = "run store migrate" if found < SCHEMA_VERSION else "use a newer program"
        text = f"version {found}, but this program requires {SCHEMA_VERSION}: {advice}"
        raise DatabaseError(DatabaseErrorKind.SCHEMA, text)


async def count_rows(session: Session, table: str) -> int:
    """Return the number of rows of a table."""
    rows = await session.query(statements.COUNT_ROWS[table])
    return as_int(rows[0][0])


async def instances(session: Session) -> list[str]:
    """Return the names of the instances that have started on this record."""
    return [str(row[0]) for row in await session.query(statements.SELECT_INCARNATIONS)]


async def journal_pages(session: Session, instance: str) -> AsyncIterator[list[Row]]:
    """Yield the pages of one instance's journal, oldest first."""
    last_sequence = 0
    while rows := await session.query(statements.SELECT_JOURNAL_PAGE, instance, last_sequence):
        yield rows
        last_sequence = as_int(rows[-1][1])


async def write_pages(session: Session) -> AsyncIterator[list[Row]]:
    """Yield the pages of the recorded writes, in the order of their names."""
    last_name = ""
    while rows := await session.query(statements.SELECT_WRITES_PAGE, last_name):
        yield rows
        last_name = str(rows[-1][0])


def as_int(value: object) -> int:
    """Return the value of an integer column, with its type checked."""
    assert isinstance(value, int)
    return value
