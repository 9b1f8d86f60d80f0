"""The SQL statements for both backends: numbered migrations, and batches as the steps of one transaction.

The statements are in PostgreSQL's dialect, with ``$1::type`` for values; ``to_sqlite`` translates them into
SQLite's. ``docs/design/store.md`` explains, with measurements, why no SQL toolkit is used. This module
performs no I/O.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

from sabledyke.store.types import (
    DriftFinding,
    Intent,
    JournalEntry,
    RecordBatch,
    RecordedWrite,
    Row,
    SendRecord,
    Step,
    WriteState,
)

SCHEMA_VERSION = 2  # schema version of the record
DELETION_LIMIT_ROWS = 1000  # maximum number of old writes, or of old keys, that one transaction deletes
PAGE_ROWS = 2000  # rows that an audit or a copy holds in memory, of possibly millions

# Version 1 is the table of SQLite files without a schema_version, from before schemas had versions.
_V1 = (
    "CREATE TABLE IF NOT EXISTS writes (name TEXT PRIMARY KEY, at DOUBLE PRECISION NOT NULL,"
    " shard BIGINT NOT NULL, zone BIGINT NOT NULL, state TEXT NOT NULL)",
)
_V2 = (
    "CREATE TABLE IF NOT EXISTS schema_version (only_one BIGINT PRIMARY KEY, version BIGINT NOT NULL)",
    "ALTER TABLE writes ADD COLUMN instance TEXT NOT NULL DEFAULT ''",
    "ALTER TABLE writes ADD COLUMN life BIGINT NOT NULL DEFAULT 0",
    "CREATE INDEX writes_at ON writes (at)",
    # A batch of an older incarnation violates the CHECK, so the database rolls its transaction back.
    "CREATE TABLE lives (instance TEXT PRIMARY KEY, life BIGINT NOT NULL, batch BIGINT NOT NULL,"
    " seq BIGINT NOT NULL, head TEXT NOT NULL, fence BIGINT NOT NULL CHECK (fence = 0))",
    "CREATE TABLE journal (instance TEXT NOT NULL, seq BIGINT NOT NULL, life BIGINT NOT NULL,"
    " at BIGINT NOT NULL, began BIGINT NOT NULL, class TEXT NOT NULL, volume TEXT NOT NULL,"
    " token TEXT NOT NULL, piece TEXT NOT NULL, shard BIGINT NOT NULL, box TEXT NOT NULL,"
    " units DOUBLE PRECISION NOT NULL, digest TEXT NOT NULL, outcome TEXT NOT NULL, hash TEXT NOT NULL,"
    " PRIMARY KEY (instance, seq))",
    "CREATE TABLE drift (instance TEXT NOT NULL, at BIGINT NOT NULL, volume TEXT NOT NULL,"
    " piece TEXT NOT NULL, box TEXT NOT NULL, wanted TEXT NOT NULL, got TEXT NOT NULL)",
)
MIGRATIONS = (_V1, _V2)

# The tables of a database that serves as a storage node; missing ones are created. They have no version.
NODE_TABLES = (
    "CREATE TABLE IF NOT EXISTS pieces (volume TEXT NOT NULL, piece TEXT NOT NULL, body BYTEA NOT NULL,"
    " PRIMARY KEY (volume, piece))",
    "CREATE TABLE IF NOT EXISTS keys (name TEXT PRIMARY KEY, attempt TEXT NOT NULL, state TEXT NOT NULL,"
    " at BIGINT NOT NULL, result BYTEA NOT NULL)",
    "CREATE INDEX IF NOT EXISTS keys_at ON keys (at)",
)

SELECT_TABLE_NAMES = {
    "sqlite": "SELECT name FROM sqlite_master WHERE type = 'table'",
    "postgresql": "SELECT tablename FROM pg_catalog.pg_tables WHERE schemaname = current_schema()",
}
SELECT_SCHEMA_VERSION = "SELECT version FROM schema_version"
UPSERT_SCHEMA_VERSION = (
    "INSERT INTO schema_version (only_one, version) VALUES (1, $1::bigint)"
    " ON CONFLICT (only_one) DO UPDATE SET version = excluded.version"
)

BEGIN_INCARNATION = (
    "INSERT INTO lives (instance, life, batch, seq, head, fence)"
    " VALUES ($1::text, 1, 0, 0, '', 0)"
    " ON CONFLICT (instance) DO UPDATE SET life = lives.life + 1 RETURNING life, batch, seq, head"
)
# FOR UPDATE waits for a transaction that may still commit; SQLite allows only one writer at a time.
SELECT_POSITION = "SELECT life, batch, seq, head FROM lives WHERE instance = $1::text FOR UPDATE"
ADVANCE_POSITION = (
    "UPDATE lives SET fence = CASE WHEN life = $2::bigint AND batch = $3::bigint THEN 0 ELSE 1 END,"
    " batch = $3::bigint + 1, seq = $4::bigint, head = $5::text WHERE instance = $1::text"
)
# Accepts new writes, writes that never ran, and writes that this incarnation recorded but has not sent.
INSERT_INTENT = (
    "INSERT INTO writes (name, at, shard, zone, state, instance, life) VALUES ($1::text,"
    " $2::double precision, $3::bigint, $4::bigint, 'sent', $5::text, $6::bigint)"
    " ON CONFLICT (name) DO UPDATE SET at = excluded.at, shard = excluded.shard, zone = excluded.zone,"
    " state = 'sent', instance = excluded.instance, life = excluded.life"
    " WHERE writes.state = 'never' OR (writes.state = 'sent' AND writes.instance = excluded.instance"
    " AND writes.life = excluded.life) RETURNING name"
)
SETTLE_WRITE = (
    "UPDATE writes SET state = $2::text WHERE name = $1::text AND ($2::text = 'served' OR"
    " (instance = $3::text AND life = $4::bigint AND state = 'sent'))"
)
INSERT_JOURNAL_ENTRY = (
    "INSERT INTO journal (instance, seq, life, at, began, class, volume, token, piece, shard, box, units,"
    " digest, outcome, hash) VALUES ($1::text, $2::bigint, $3::bigint, $4::bigint, $5::bigint, $6::text,"
    " $7::text, $8::text, $9::text, $10::bigint, $11::text, $12::double precision, $13::text, $14::text,"
    " $15::text)"
)
INSERT_DRIFT = (
    "INSERT INTO drift (instance, at, volume, piece, box, wanted, got) VALUES ($1::text, $2::bigint,"
    " $3::text, $4::text, $5::text, $6::text, $7::text)"
)
DELETE_OLD_WRITES = (
    "DELETE FROM writes WHERE name IN"
    f" (SELECT name FROM writes WHERE at < $1::double precision ORDER BY at LIMIT {DELETION_LIMIT_ROWS})"
)
SELECT_WRITE = "SELECT name, at, shard, zone, state FROM writes WHERE name = $1::text"
SELECT_RECENT_WRITES = (
    "SELECT name, at, shard, zone, state FROM writes WHERE at >= $1::double precision AND state <> 'never'"
    " ORDER BY at DESC LIMIT $2::bigint"
)

# Statements that read or copy a record, a page at a time.
JOURNAL_COLUMNS = (
    "instance, seq, life, at, began, class, volume, token, piece, shard, box, units, digest, outcome, hash"
)
SELECT_JOURNAL_PAGE = (
    f"SELECT {JOURNAL_COLUMNS} FROM journal WHERE instance = $1::text AND seq > $2::bigint"
    f" ORDER BY seq LIMIT {PAGE_ROWS}"
)
SELECT_INCARNATIONS = "SELECT instance, life, batch, seq, head FROM lives ORDER BY instance"
SELECT_JOURNAL_INSTANCES = "SELECT DISTINCT instance FROM journal"
COUNT_ROWS = {
    "writes": "SELECT count(*) FROM writes",
    "journal": "SELECT count(*) FROM journal",
    "drift": "SELECT count(*) FROM drift",
}
SELECT_WRITES_PAGE = (
    "SELECT name, at, shard, zone, state, instance, life FROM writes WHERE name > $1::text"
    f" ORDER BY name LIMIT {PAGE_ROWS}"
)
SELECT_DRIFT = "SELECT instance, at, volume, piece, box, wanted, got FROM drift ORDER BY at, volume, piece"
INSERT_WRITE = (
    "INSERT INTO writes (name, at, shard, zone, state, instance, life) VALUES ($1::text,"
    " $2::double precision, $3::bigint, $4::bigint, $5::text, $6::text, $7::bigint)"
)
# The higher incarnation fences off schedulers that wrote to the lost record.
INSERT_NEXT_INCARNATION = (
    "INSERT INTO lives (instance, life, batch, seq, head, fence)"
    " VALUES ($1::text, $2::bigint + 1, $3::bigint, $4::bigint, $5::text, 0)"
)

INSERT_SAME_INCARNATION = INSERT_NEXT_INCARNATION.replace("$2::bigint + 1", "$2::bigint")

# Statements of a storage node. A piece is written only if its attempt has claimed the key.
CLAIM_KEY = (
    "INSERT INTO keys (name, attempt, state, at, result) VALUES ($1::text, $2::text, 'done', $3::bigint,"
    " $4::bytea) ON CONFLICT (name) DO UPDATE SET attempt = excluded.attempt, state = 'done',"
    " at = excluded.at, result = excluded.result"
    " WHERE keys.state = 'fenced' AND keys.attempt <> excluded.attempt"
)
UPSERT_PIECE = (
    "INSERT INTO pieces (volume, piece, body) SELECT $1::text, $2::text, $3::bytea WHERE EXISTS"
    " (SELECT 1 FROM keys WHERE name = $4::text AND attempt = $5::text AND state = 'done')"
    " ON CONFLICT (volume, piece) DO UPDATE SET body = excluded.body"
)
SELECT_KEY = "SELECT attempt, state, result FROM keys WHERE name = $1::text"
# Waits for the attempt's own transaction if that holds the row, and then finds the row that it committed.
FENCE_KEY = (
    "INSERT INTO keys (name, attempt, state, at, result) VALUES ($1::text, $2::text, 'fenced', $3::bigint,"
    " $4::bytea) ON CONFLICT (name) DO UPDATE SET attempt = excluded.attempt WHERE keys.state = 'fenced'"
)
SELECT_PIECE = "SELECT body FROM pieces WHERE volume = $1::text AND piece = $2::text"
DELETE_OLD_KEYS = (
    "DELETE FROM keys WHERE name IN"
    f" (SELECT name FROM keys WHERE at < $1::bigint ORDER BY at LIMIT {DELETION_LIMIT_ROWS})"
)

_VALUE = re.compile(r"\$(\d+)(::(double precision|[a-z]+))?")


def to_sqlite(sql: str) -> str:
    """Return a statement in SQLite's dialect; a table with a primary key needs no row ids beside it."""
    text = _VALUE.sub(r"?\1", sql).removesuffix(" FOR UPDATE")
    if text.startswith("CREATE TABLE") and "PRIMARY KEY" in text:
        return text + " WITHOUT ROWID"
    return text


def batch_steps(batch: RecordBatch, instance: str) -> list[Step]:
    """Return a batch as the steps of one transaction.

    The first step fails, and with it the transaction, if a later incarnation has started. States come before
    intents, because a write that never ran may be recorded again in the same batch.
    """
    incarnation = batch.after.incarnation
    steps = [Step(ADVANCE_POSITION, [_position_row(batch, instance)])]
    if batch.settled:
        states = [(name, state.value, instance, incarnation) for name, state in batch.settled]
        steps.append(Step(SETTLE_WRITE, states))
    if batch.intents:
        steps.append(Step(INSERT_INTENT, _intent_rows(batch.intents, instance, incarnation)))
    if batch.entries:
        steps.append(Step(INSERT_JOURNAL_ENTRY, _journal_rows(batch, instance)))
    if batch.drifts:
        steps.append(Step(INSERT_DRIFT, _drift_rows(batch.drifts, instance)))
    if batch.delete_before_ms:
        steps.append(Step(DELETE_OLD_WRITES, [(batch.delete_before_ms,)]))
    return steps


def accepted_intents(batch: RecordBatch, results: list[list[Row]]) -> set[str]:
    """Return the names of the batch's intents that were recorded, from the results of its steps."""
    if not batch.intents:
        return set()
    intent_step = 2 if batch.settled else 1
    return {str(row[0]) for row in results[intent_step]}


def recorded_write(row: Row) -> RecordedWrite:
    """Return the write of a row of SELECT_WRITE or SELECT_RECENT_WRITES, without its name."""
    _, sent_at_ms, shard, zone, state = row
    assert isinstance(sent_at_ms, float | int)
    assert isinstance(shard, int)
    assert isinstance(zone, int)
    return RecordedWrite(SendRecord(float(sent_at_ms), shard, zone), WriteState(str(state)))


def _position_row(batch: RecordBatch, instance: str) -> Row:
    after = batch.after
    return (instance, after.incarnation, batch.before.batches, after.last_sequence, after.head_hash)


def _intent_rows(intents: Iterable[Intent], instance: str, incarnation: int) -> list[Row]:
    return [
        (intent.name, intent.sent.sent_at_ms, intent.sent.shard, intent.sent.zone, instance, incarnation)
        for intent in intents
    ]


def _journal_rows(batch: RecordBatch, instance: str) -> list[Row]:
    first = batch.before.last_sequence + 1
    pairs = zip(batch.entries, batch.hashes, strict=True)
    return [
        (instance, sequence, batch.after.incarnation, *_entry_values(entry), entry_hash)
        for sequence, (entry, entry_hash) in enumerate(pairs, first)
    ]


def _entry_values(entry: JournalEntry) -> Row:
    return (
        entry.completed_at_ms,
        entry.began_at_ms,
        entry.class_name,
        entry.volume,
        entry.key,
        entry.piece,
        entry.shard,
        entry.node,
        entry.units,
        entry.digest,
        entry.outcome,
    )


def _drift_rows(drifts: Iterable[DriftFinding], instance: str) -> list[Row]:
    return [
        (
            instance,
            drift.found_at_ms,
            drift.volume,
            drift.piece,
            drift.node,
            drift.expected_digest,
            drift.found_digest,
        )
        for drift in drifts
    ]
