"""The SQL, for both backends: numbered migrations, and batches as the steps of one transaction.

Written once in PostgreSQL's way, with ``$1::type`` for values; ``for_sqlite`` turns that into SQLite's. Why
not an SQL toolkit: see ``docs/design/store.md``, where it was measured. No I/O here.
"""

from __future__ import annotations

import re

from sabledyke.store.types import RecordBatch, RecordedWrite, Row, SendRecord, Step

SCHEMA_VERSION = 2  # of the record's schema
FORGET_LIMIT_ROWS = 1000  # forgotten writes that one batch drops

# Version 1 is the table that SQLite files had before there were versions: such a file has no schema_version.
_V1 = (
    "CREATE TABLE IF NOT EXISTS writes (name TEXT PRIMARY KEY, at DOUBLE PRECISION NOT NULL,"
    " shard BIGINT NOT NULL, zone BIGINT NOT NULL, state TEXT NOT NULL)",
)
_V2 = (
    "CREATE TABLE IF NOT EXISTS schema_version (only_one BIGINT PRIMARY KEY, version BIGINT NOT NULL)",
    "ALTER TABLE writes ADD COLUMN instance TEXT NOT NULL DEFAULT ''",
    "ALTER TABLE writes ADD COLUMN life BIGINT NOT NULL DEFAULT 0",
    "CREATE INDEX writes_at ON writes (at)",
    # A write of an older life breaks the CHECK: the database itself gives the whole transaction up.
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

# What a database that serves as a box holds; it is made where it is missing, and has no versions yet.
NODE_TABLES = (
    "CREATE TABLE IF NOT EXISTS pieces (volume TEXT NOT NULL, piece TEXT NOT NULL, body BYTEA NOT NULL,"
    " PRIMARY KEY (volume, piece))",
    "CREATE TABLE IF NOT EXISTS keys (name TEXT PRIMARY KEY, attempt TEXT NOT NULL, state TEXT NOT NULL,"
    " at BIGINT NOT NULL, result BYTEA NOT NULL)",
    "CREATE INDEX IF NOT EXISTS keys_at ON keys (at)",
)

SELECT_TABLE_NAMES = {  # names of tables, by backend
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
# FOR UPDATE waits for a transaction that may still commit; SQLite has one writer at a time anyhow.
SELECT_POSITION = "SELECT life, batch, seq, head FROM lives WHERE instance = $1::text FOR UPDATE"
ADVANCE_POSITION = (
    "UPDATE lives SET fence = CASE WHEN life = $2::bigint AND batch = $3::bigint THEN 0 ELSE 1 END,"
    " batch = $3::bigint + 1, seq = $4::bigint, head = $5::text WHERE instance = $1::text"
)
# What never ran may be sent anew, and so may what this life recorded and has not sent.
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
    f" (SELECT name FROM writes WHERE at < $1::double precision ORDER BY at LIMIT {FORGET_LIMIT_ROWS})"
)
SELECT_WRITE = "SELECT name, at, shard, zone, state FROM writes WHERE name = $1::text"
SELECT_RECENT_WRITES = (
    "SELECT name, at, shard, zone, state FROM writes WHERE at >= $1::double precision AND state <> 'never'"
    " ORDER BY at DESC LIMIT $2::bigint"
)

# Walks, a page at a time: an audit or a copy of millions of rows holds one page in memory.
PAGE_ROWS = 2000
JOURNAL_COLUMNS = (
    "instance, seq, life, at, began, class, volume, token, piece, shard, box, units, digest," " outcome, hash"
)
SELECT_JOURNAL_PAGE = (
    f"SELECT {JOURNAL_COLUMNS} FROM journal WHERE instance = $1::text AND seq > $2::bigint"
    f" ORDER BY seq LIMIT {PAGE_ROWS}"
)
SELECT_INCARNATIONS = "SELECT instance, life, batch, seq, head FROM lives ORDER BY instance"
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
COUNT_WRITES_BY_STATE = "SELECT state, count(*) FROM writes GROUP BY state ORDER BY state"
INSERT_WRITE = (
    "INSERT INTO writes (name, at, shard, zone, state, instance, life) VALUES ($1::text,"
    " $2::double precision, $3::bigint, $4::bigint, $5::text, $6::text, $7::bigint)"
)
INSERT_NEXT_INCARNATION = (  # one higher: whoever wrote to the lost record is locked out of this one
    "INSERT INTO lives (instance, life, batch, seq, head, fence)"
    " VALUES ($1::text, $2::bigint + 1, $3::bigint, $4::bigint, $5::text, 0)"
)

INSERT_SAME_INCARNATION = INSERT_NEXT_INCARNATION.replace("$2::bigint + 1", "$2::bigint")

# The database as a box. A claim makes the key the attempt's own; only then is its piece written.
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
# Waits where the attempt's own transaction still holds the row: it then finds what that one left.
FENCE_KEY = (
    "INSERT INTO keys (name, attempt, state, at, result) VALUES ($1::text, $2::text, 'fenced', $3::bigint,"
    " $4::bytea) ON CONFLICT (name) DO UPDATE SET attempt = excluded.attempt WHERE keys.state = 'fenced'"
)
SELECT_PIECE = "SELECT body FROM pieces WHERE volume = $1::text AND piece = $2::text"
DELETE_OLD_KEYS = (
    f"DELETE FROM keys WHERE name IN (SELECT name FROM keys WHERE at < $1::bigint ORDER BY at LIMIT {FORGET_LIMIT_ROWS})"
)

_VALUE = re.compile(r"\$(\d+)(::(double precision|[a-z]+))?")


def to_sqlite(sql: str) -> str:
    """A statement as SQLite reads it; a table with a key of its own needs no row numbers beside it."""
    text = _VALUE.sub(r"?\1", sql).removesuffix(" FOR UPDATE")
    return text + " WITHOUT ROWID" if text.startswith("CREATE TABLE") and "PRIMARY KEY" in text else text


def batch_steps(batch: RecordBatch, instance: str) -> list[Step]:
    """A batch as one transaction; its first step fails, and with it all, where this life is not the last."""
    after, life = batch.after, batch.after.incarnation
    out = [Step(ADVANCE_POSITION, [(instance, life, batch.before.batches, after.last_sequence, after.head_hash)])]
    if batch.settled:  # first: what never ran may be recorded anew in the same batch
        out.append(Step(SETTLE_WRITE, [(name, state, instance, life) for name, state in batch.settled]))
    if batch.intents:
        rows: list[Row] = [
            (i.name, i.sent.sent_at_ms, i.sent.shard, i.sent.zone, instance, life) for i in batch.intents
        ]
        out.append(Step(INSERT_INTENT, rows))
    if batch.entries:
        first = batch.before.last_sequence + 1
        out.append(
            Step(
                INSERT_JOURNAL_ENTRY,
                [
                    (
                        instance,
                        first + i,
                        life,
                        e.completed_at_ms,
                        e.began_at_ms,
                        e.class_name,
                        e.volume,
                        e.key,
                        e.piece,
                        e.shard,
                        e.node,
                        e.units,
                        e.digest,
                        e.outcome,
                        h,
                    )
                    for i, (e, h) in enumerate(zip(batch.entries, batch.hashes, strict=True))
                ],
            )
        )
    if batch.drifts:
        out.append(
            Step(INSERT_DRIFT, [(instance, d.found_at_ms, d.volume, d.piece, d.node, d.expected_digest, d.found_digest) for d in batch.drifts])
        )
    if batch.forget_before_ms:
        out.append(Step(DELETE_OLD_WRITES, [(batch.forget_before_ms,)]))
    return out


def accepted_intents(batch: RecordBatch, results: list[list[Row]]) -> set[str]:
    """Names of the batch's intents that the record took, from the results of its steps."""
    if not batch.intents:
        return set()
    return {str(row[0]) for row in results[2 if batch.settled else 1]}


def recorded_write(row: Row) -> RecordedWrite:
    """A row of LOOK_UP or RECENT, without its name."""
    _, at, shard, zone, state = row
    assert isinstance(at, float | int) and isinstance(shard, int) and isinstance(zone, int)
    return RecordedWrite(SendRecord(float(at), shard, zone), str(state))
