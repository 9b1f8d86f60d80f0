"""``store reconcile``: compares the journal with the record of sends, and reports drift found on nodes."""

from __future__ import annotations

from dataclasses import dataclass, field

from sabledyke.store import statements
from sabledyke.store.connect import open_at_start
from sabledyke.store.maintenance.pages import (
    Report,
    count_rows,
    instances,
    journal_pages,
    progress_display,
    require_current_schema,
    write_pages,
)
from sabledyke.store.section import Target
from sabledyke.store.session import Session
from sabledyke.store.types import OUTCOME_SERVED, OUTCOME_UNCONFIRMED, WriteState

MAX_SHOWN_FINDINGS = 20  # findings of each kind that are listed; any others are only counted
LOGGED_DIGEST_LENGTH = 12

WriteKey = tuple[int, str]  # a volume and an idempotency key as recorded


@dataclass(slots=True)
class _Reconciliation:
    """Disagreements between the record of sends and the journal, by the names of the writes.

    Attributes:
        missing: Writes recorded as served that are not served in the journal.
        contradicting: Writes served in the journal that are recorded as never sent.
        in_doubt: Writes that may have run although no client was answered that they did.
    """

    missing: list[str] = field(default_factory=list)
    contradicting: list[str] = field(default_factory=list)
    in_doubt: list[str] = field(default_factory=list)

    def add(self, name: str, state: str, *, journaled: bool) -> None:
        """Compare one recorded write with the journal."""
        if state == WriteState.SERVED:
            if not journaled:
                self.missing.append(name)
        elif state == WriteState.NEVER:
            if journaled:
                self.contradicting.append(name)
        elif not journaled:
            self.in_doubt.append(name)


async def reconcile(target: Target, report: Report) -> bool:
    """Compare the journal with the record of sends, and report the drift that was found.

    Writes in doubt are reported but are not faults: the client was answered ``failed``, and the write may
    have run. The result is True if there are no other findings.
    """
    async with open_at_start(target, create=False) as session:
        await require_current_schema(session)
        async with session.snapshot():
            return await _reconcile(session, report)


async def _reconcile(session: Session, report: Report) -> bool:
    recorded = await _recorded_writes(session)
    journaled = await _journaled_keys(session, recorded)
    found = _Reconciliation()
    for key, (name, state) in recorded.items():
        found.add(name, state, journaled=key in journaled)
    drift = await _drift_lines(session)
    _report_findings(report, "recorded as served, but not in the journal", found.missing)
    _report_findings(report, "served in the journal, but recorded as never sent", found.contradicting)
    _report_findings(report, "in doubt: may have run, but was not answered as served", found.in_doubt)
    _report_findings(report, "storage nodes that returned other data than was written", drift)
    return not (found.missing or found.contradicting or drift)


async def _recorded_writes(session: Session) -> dict[WriteKey, tuple[str, str]]:
    """Return the name and state of each recorded write."""
    writes: dict[WriteKey, tuple[str, str]] = {}
    with progress_display("record", await count_rows(session, "writes")) as advance:
        async for rows in write_pages(session):
            for row in rows:
                name = str(row[0])
                _, volume, token = name.split("/", 2)
                writes[int(volume, 16), token] = name, str(row[4])
            advance(len(rows))
    return writes


async def _journaled_keys(session: Session, recorded: dict[WriteKey, tuple[str, str]]) -> set[WriteKey]:
    """Return the recorded writes that a node has served according to the journal."""
    served: set[WriteKey] = set()
    with progress_display("journal", await count_rows(session, "journal")) as advance:
        for instance in await instances(session):
            async for rows in journal_pages(session, instance):
                for row in rows:
                    key = int(str(row[6]), 16), str(row[7])
                    if key in recorded and row[13] in (OUTCOME_SERVED, OUTCOME_UNCONFIRMED):
                        served.add(key)
                advance(len(rows))
    return served


async def _drift_lines(session: Session) -> list[str]:
    lines: list[str] = []
    for _, _, volume, piece, node, expected, found in await session.query(statements.SELECT_DRIFT):
        shown = str(found)[:LOGGED_DIGEST_LENGTH]
        written = str(expected)[:LOGGED_DIGEST_LENGTH]
        lines.append(f"{node}: volume {volume} piece {piece} shows {shown}, but {written} was written")
    return lines


def _report_findings(report: Report, title: str, findings: list[str]) -> None:
    report(f"{title}: {len(findings)}")
    for finding in sorted(findings)[:MAX_SHOWN_FINDINGS]:
        report(f"  {finding}")
    if len(findings) > MAX_SHOWN_FINDINGS:
        report(f"  and {len(findings) - MAX_SHOWN_FINDINGS} more")
