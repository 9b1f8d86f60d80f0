"""``store audit``: every instance's chain is walked; a changed, missing or added entry is named."""

from __future__ import annotations

from sabledyke.store import startup, statements
from sabledyke.store.audit_journal import ChainAudit
from sabledyke.store.connect import open_at_start
from sabledyke.store.maintenance.pages import (
    Advance,
    Report,
    count_rows,
    journal_pages,
    progress_display,
    require_current_schema,
)
from sabledyke.store.section import Target
from sabledyke.store.session import Session
from sabledyke.store.types import JournalPosition


async def audit(target: Target, report: Report) -> bool:
    """Audit a record in service."""
    async with open_at_start(target, create=False) as session:
        await require_current_schema(session)
        async with session.snapshot():
            return await audit_session(session, report)


async def audit_session(session: Session, report: Report) -> bool:
    """Audit the record that a session shows."""
    incarnations = await session.query(statements.SELECT_INCARNATIONS)
    known = {str(row[0]) for row in incarnations}
    strangers = {str(row[0]) for row in await session.query(statements.SELECT_JOURNAL_INSTANCES)} - known
    sound = not strangers
    with progress_display("audit", await count_rows(session, "journal")) as advance:
        for instance, *position in incarnations:
            ends_at = startup.position_from_row(tuple(position))
            sound &= await _audit_instance(session, str(instance), ends_at, report, advance)
    for instance in sorted(strangers):
        report(f"{instance}: has entries, but never started here")
    return sound


async def _audit_instance(
    session: Session, instance: str, ends_at: JournalPosition, report: Report, advance: Advance
) -> bool:
    walk = ChainAudit(instance)
    async for rows in journal_pages(session, instance):
        for row in rows:
            walk.on_row(row)
        advance(len(rows))
    walk.on_end(ends_at)
    outcomes = ", ".join(f"{count} {outcome}" for outcome, count in sorted(walk.outcomes.items()))
    result = "the chain holds" if walk.passed else "THE CHAIN IS BROKEN"
    report(f"{instance}: {outcomes or 'no entries'}: {result}")
    for fault in walk.faults:
        report(f"  {fault}")
    if walk.unnamed_faults:
        report(f"  and {walk.unnamed_faults} more")
    return walk.passed
