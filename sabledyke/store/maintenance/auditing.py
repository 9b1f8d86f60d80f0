"""``store audit``: checks the hash chain of each instance, and reports changed, missing or added entries."""

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
    """Audit a record, which may be in service; return True if it passes."""
    async with open_at_start(target, create=False) as session:
        await require_current_schema(session)
        async with session.snapshot():
            return await audit_session(session, report)


async def audit_session(session: Session, report: Report) -> bool:
    """Audit the record of an open session; return True if it passes."""
    incarnations = await session.query(statements.SELECT_INCARNATIONS)
    started = {str(row[0]) for row in incarnations}
    unknown = {str(row[0]) for row in await session.query(statements.SELECT_JOURNAL_INSTANCES)} - started
    passed = not unknown
    with progress_display("audit", await count_rows(session, "journal")) as advance:
        for instance, *position in incarnations:
            final_position = startup.position_from_row(tuple(position))
            passed &= await _audit_instance(session, str(instance), final_position, report, advance)
    for instance in sorted(unknown):
        report(f"{instance}: has journal entries, but has never started on this record")
    return passed


async def _audit_instance(
    session: Session, instance: str, final_position: JournalPosition, report: Report, advance: Advance
) -> bool:
    chain_audit = ChainAudit(instance)
    async for rows in journal_pages(session, instance):
        for row in rows:
            chain_audit.on_row(row)
        advance(len(rows))
    chain_audit.on_end(final_position)
    outcomes = ", ".join(f"{count} {outcome}" for outcome, count in sorted(chain_audit.outcomes.items()))
    result = "the chain is intact" if chain_audit.passed else "THE CHAIN IS BROKEN"
    report(f"{instance}: {outcomes or 'no entries'}: {result}")
    for fault in chain_audit.faults:
        report(f"  {fault}")
    if chain_audit.unnamed_faults:
        report(f"  and {chain_audit.unnamed_faults} more")
    return chain_audit.passed
