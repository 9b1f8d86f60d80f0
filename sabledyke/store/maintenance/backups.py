"""``store backup`` and ``store restore``: complete and audited copies of a record."""

from __future__ import annotations

import os
from pathlib import Path

from sabledyke.store import startup, statements
from sabledyke.store.connect import open_at_start
from sabledyke.store.database_errors import StoreError
from sabledyke.store.maintenance.auditing import audit_session
from sabledyke.store.maintenance.pages import (
    Advance,
    Report,
    count_rows,
    journal_pages,
    progress_display,
    require_current_schema,
    write_pages,
)
from sabledyke.store.maintenance.schema import check
from sabledyke.store.section import Target
from sabledyke.store.session import Session
from sabledyke.store.statements import PAGE_ROWS, SCHEMA_VERSION
from sabledyke.store.types import Row, Step


async def backup(target: Target, path: str, report: Report) -> bool:
    """Copy a record, which may be in service, into a SQLite file that appears only when it is complete.

    Returns:
        True if the copy passes its audit.

    Raises:
        StoreError: The file exists, or the record cannot be opened.
    """
    if Path(path).exists():
        raise StoreError(f"{path} exists already: a backup never overwrites a file")
    partial_path = path + ".part"
    Path(partial_path).unlink(missing_ok=True)
    async with open_at_start(target, create=False) as source:
        await require_current_schema(source)
        async with open_at_start(Target(path=partial_path)) as copy:
            await startup.migrate(copy)
            async with source.snapshot():
                rows = await _copy(source, copy, statements.INSERT_SAME_INCARNATION)
            passed = await audit_session(copy, report)
            # Leaves a single file, without a write-ahead log.
            await copy.query("PRAGMA journal_mode = DELETE")
    _sync(partial_path)
    os.replace(partial_path, path)
    _sync(str(Path(path).absolute().parent))
    warning = "" if passed else "; the record itself does not pass its audit"
    report(f"{rows} rows were copied to {path}{warning}")
    return passed


async def restore(target: Target, path: str, report: Report) -> bool:
    """Fill an empty record from a backup that passes its checks; older incarnations cannot write to it.

    Returns:
        True if the backup passed its checks and was copied.

    Raises:
        StoreError: The record is not empty, or cannot be opened.
    """
    if not await check(Target(path=path), report):
        return False
    async with open_at_start(Target(path=path), create=False) as source:
        if not await audit_session(source, report):
            report("nothing was restored")
            return False
        async with open_at_start(target) as copy:
            await startup.migrate(copy)
            await _require_empty(copy, target)
            # Guards against a start on a partly restored record: no program accepts a negative version.
            await _set_version(copy, -SCHEMA_VERSION)
            rows = await _copy(source, copy, statements.INSERT_NEXT_INCARNATION)
            await _set_version(copy, SCHEMA_VERSION)
    report(f"{rows} rows were restored to {target}")
    return True


async def _require_empty(session: Session, target: Target) -> None:
    for table in statements.COUNT_ROWS:
        if await count_rows(session, table):
            raise StoreError(f"store {target}: holds rows in {table}: a restore needs an empty record")
    if await session.query(statements.SELECT_INCARNATIONS):
        raise StoreError(f"store {target}: has been in service: a restore needs an empty record")


async def _set_version(session: Session, version: int) -> None:
    await session.transact([Step(statements.UPSERT_SCHEMA_VERSION, [(version,)])])


async def _copy(source: Session, copy: Session, insert_incarnation: str) -> int:
    """Copy all rows; return their number without the incarnations."""
    total_rows = 0
    for table in statements.COUNT_ROWS:
        total_rows += await count_rows(source, table)
    incarnations = await source.query(statements.SELECT_INCARNATIONS)
    with progress_display("copy", total_rows) as advance:
        copied = await _copy_tables(source, copy, incarnations, advance)
    if incarnations:  # copied last, because a record counts as in service once it has incarnations
        await copy.transact([Step(insert_incarnation, incarnations)])
    return copied


async def _copy_tables(source: Session, copy: Session, incarnations: list[Row], advance: Advance) -> int:
    copied = 0

    async def insert_rows(sql: str, rows: list[Row]) -> None:
        nonlocal copied
        await copy.transact([Step(sql, rows)])
        copied += len(rows)
        advance(len(rows))

    for incarnation in incarnations:
        async for rows in journal_pages(source, str(incarnation[0])):
            await insert_rows(statements.INSERT_JOURNAL_ENTRY, rows)
    async for rows in write_pages(source):
        await insert_rows(statements.INSERT_WRITE, rows)
    drift = await source.query(statements.SELECT_DRIFT)
    for first in range(0, len(drift), PAGE_ROWS):
        await insert_rows(statements.INSERT_DRIFT, drift[first : first + PAGE_ROWS])
    return copied


def _sync(path: str) -> None:
    """Flush a file or directory to the disk, so that a finished backup survives a crash."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
