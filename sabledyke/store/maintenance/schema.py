"""``store check`` and ``store migrate``: check that a record is usable, and migrate its schema."""

from __future__ import annotations

from sabledyke.store import startup, statements
from sabledyke.store.connect import open_at_start
from sabledyke.store.maintenance.pages import Report, count_rows
from sabledyke.store.section import Target
from sabledyke.store.session import Session
from sabledyke.store.statements import SCHEMA_VERSION


async def check(target: Target, report: Report) -> bool:
    """Check that the record can be opened, has this program's schema, and is not corrupt."""
    async with open_at_start(target, create=False) as session:
        if not await _check_schema(session, report):
            return False
        if session.backend == "sqlite" and not await _check_file(session, report):
            return False
        await _report_contents(session, report)
        return True


async def migrate(target: Target, report: Report) -> bool:
    """Migrate the schema in place, without loss of rows."""
    async with open_at_start(target) as session:
        found = await startup.migrate(session, report)
    before = "" if found == SCHEMA_VERSION else f", was {found}"
    report(f"schema {SCHEMA_VERSION}{before}")
    return True


async def _check_schema(session: Session, report: Report) -> bool:
    found = await startup.schema_version(session)
    if found < 0:
        report("a restore was not finished: empty the database and restore again")
        return False
    if found != SCHEMA_VERSION:
        is_newer = found > SCHEMA_VERSION
        advice = "use a newer program" if is_newer else "run store migrate, or start a scheduler"
        report(f"schema {found}, but this program requires {SCHEMA_VERSION}: {advice}")
        return False
    report(f"schema {found}")
    return True


async def _check_file(session: Session, report: Report) -> bool:
    faults = [str(row[0]) for row in await session.query("PRAGMA quick_check")]
    if faults != ["ok"]:
        report(f"the file is corrupt: {faults[0]}")
        return False
    return True


async def _report_contents(session: Session, report: Report) -> None:
    for table in statements.COUNT_ROWS:
        report(f"{table}: {await count_rows(session, table)} rows")
    for instance, incarnation, batches, entries, _ in await session.query(statements.SELECT_INCARNATIONS):
        report(f"instance {instance}: incarnation {incarnation}, {batches} batches, {entries} entries")
