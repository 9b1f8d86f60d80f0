"""``store export``: writes the journal as JSON lines."""

from __future__ import annotations

from typing import IO

import orjson

from sabledyke.store import statements
from sabledyke.store.connect import open_at_start
from sabledyke.store.maintenance.pages import (
    Report,
    as_int,
    count_rows,
    instances,
    journal_pages,
    progress_display,
    require_current_schema,
)
from sabledyke.store.section import Target
from sabledyke.store.session import Session


async def export(target: Target, file: IO[bytes], since_ms: int, report: Report) -> bool:
    """Write one JSON object for each entry of the journal, oldest first within each instance.

    Args:
        target: The record.
        file: The file to write to.
        since_ms: Unix milliseconds; entries completed before this time are skipped.
        report: Called with the number of entries written.
    """
    async with open_at_start(target, create=False) as session:
        await require_current_schema(session)
        async with session.snapshot():
            written = await _export(session, file, since_ms)
    report(f"{written} entries")
    return True


async def _export(session: Session, file: IO[bytes], since_ms: int) -> int:
    names = statements.JOURNAL_COLUMNS.split(", ")
    written = 0
    with progress_display("export", await count_rows(session, "journal")) as advance:
        for instance in await instances(session):
            async for rows in journal_pages(session, instance):
                for row in rows:
                    if as_int(row[3]) >= since_ms:
                        file.write(orjson.dumps(dict(zip(names, row, strict=True))) + b"\n")
                        written += 1
                advance(len(rows))
    return written
