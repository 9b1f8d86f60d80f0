"""Adapter for the store of record."""

from __future__ import annotations

from collections.abc import Sequence
from io import BytesIO
from typing import Any

from sabledyke.store import audit_journal, maintenance, startup, statements
from sabledyke.store.connect import connect
from sabledyke.store.section import Target
from sabledyke.store.session import Session
from sabledyke.store.types import (
    DriftFinding,
    Intent,
    JournalEntry,
    RecordBatch,
    SendRecord,
    Settlement,
    Step,
    WriteState,
)
from tests.compatibility.program.values import values


async def write_schema_1(path: str) -> None:
    """Write a store of schema 1, which has no version: one table of writes."""
    session = await connect(Target(path=path))
    put = "INSERT INTO writes (name, at, shard, zone, state) VALUES ($1, $2, $3, $4, $5)"
    rows = [
        ("scontrino/3b4d60021/order-1", 1700000000100.5, 3, 1, "served"),
        ("scontrino/3b4d60021/order-2", 1700000000200.0, 4, 2, "unknown"),
        ("scontrino/3b4d60021/order-3", 1700000000300.0, 5, 0, "never"),
        ("scontrino/3b4d60021/order-4", 1700000000400.0, 6, 1, "sent"),
    ]
    await session.transact([Step(line) for line in statements.MIGRATIONS[0]])
    await session.transact([Step(put, rows)])
    await session.close()


async def open_record(path: str) -> Session:
    """Open the store of record in this file and migrate its schema."""
    session = await connect(Target(path=path))
    await startup.migrate(session)
    return session


async def begin_incarnation(session: Session, instance: str) -> list[Any]:
    """Begin the next incarnation of an instance; return its journal position.

    The position is the incarnation, the number of batches, and the number and hash of the last journal entry.
    """
    return values(await startup.begin_incarnation(session, instance))


async def write_batch(
    session: Session,
    instance: str,
    intents: Sequence[Sequence[Any]] = (),
    settled: Sequence[tuple[str, str]] = (),
    entries: Sequence[Sequence[Any]] = (),
    drifts: Sequence[Sequence[Any]] = (),
) -> None:
    """Write one batch; all values are in the order of their columns."""
    before, added = await startup.read_position(session, instance), [JournalEntry(*e) for e in entries]
    after, hashes = audit_journal.extend_chain(before, instance, added)
    sends = [Intent(name, SendRecord(*sent)) for name, sent in intents]
    states = [Settlement(name, WriteState(state)) for name, state in settled]
    batch = RecordBatch(
        before, after, sends, added, hashes, states, [DriftFinding(*drift) for drift in drifts]
    )
    results = await session.transact(statements.batch_steps(batch, instance))
    assert statements.accepted_intents(batch, results) == {name for name, _ in intents}


async def look_up(session: Session, name: str) -> Any:
    """Return a recorded write: the values of its first send, and its state."""
    (row,) = await session.query(statements.SELECT_WRITE, name)
    sent, state = (statements.recorded_write(row).first_send, statements.recorded_write(row).state)
    return [values(sent), state]


async def recent(session: Session) -> list[tuple[str, Any]]:
    """Return the writes that the program reads at its start, latest first."""
    return await startup.recent_writes(session, 0.0)


async def migrate(path: str) -> str:
    """Return the last output line of ``store migrate``."""
    output: list[str] = []
    assert await maintenance.migrate(Target(path=path), output.append)
    return output[-1]


async def audit(path: str) -> bool:
    """Return True if the journal passes its audit."""
    return await maintenance.audit(Target(path=path), lambda _: None)


async def export(path: str) -> bytes:
    """Return the journal as JSON lines."""
    file = BytesIO()
    await maintenance.export(Target(path=path), file, 0, lambda _: None)
    return file.getvalue()
