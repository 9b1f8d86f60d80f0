"""The store's terms: intents, entries of the receipt journal, positions and batches. Plain data, no I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from sabledyke.core import Work

Value = str | int | float | bytes | None
Row = tuple[Any, ...]  # of Values; what each column holds is the statement's business

SENT, SERVED, UNKNOWN, NEVER = "sent", "served", "unknown", "never"  # states of a recorded write


@dataclass(slots=True, frozen=True)
class SendRecord:
    """A write's first send that may have run: when, in Unix milliseconds, and where."""

    sent_at_ms: float
    shard: int
    zone: int

    @property
    def place(self) -> tuple[int, int]:
        """Shard and zone."""
        return self.shard, self.zone


@dataclass(slots=True, frozen=True)
class Intent:
    """A keyed write that is about to be sent; durable before it is."""

    name: str
    sent: SendRecord


@dataclass(slots=True, frozen=True)
class JournalEntry:
    """A finished keyed write, as the receipt journal has it.

    ``at`` and ``began`` are Unix milliseconds, ``digest`` the SHA-256 of what was written, in hex.
    ``outcome`` is what the client was told (``served``, ``refused``, ``failed``), ``departed`` where it had
    left, or ``unconfirmed`` where a box had served the write but the journal could not take its entry in
    time, so that the client was told ``failed``.
    """

    completed_at_ms: int
    began_at_ms: int
    class_name: str
    volume: str
    key: str
    piece: str
    shard: int
    node: str
    units: float
    digest: str
    outcome: str


@dataclass(slots=True, frozen=True)
class JournalPosition:
    """How far an instance has come: its life, batches written, the journal's last entry and its hash."""

    incarnation: int
    batches: int = 0
    last_sequence: int = 0
    head_hash: str = ""


@dataclass(slots=True, frozen=True)
class DriftFinding:
    """A box showed other data than the journal's last served write of a piece left there."""

    found_at_ms: int
    volume: str
    piece: str
    node: str
    expected_digest: str
    found_digest: str


@dataclass(slots=True, frozen=True)
class Step:
    """One statement of a transaction and the rows to run it with; ``$1::type`` stands for a value."""

    sql: str
    rows: Sequence[Row] = ((),)


@dataclass(slots=True)
class RecordBatch:
    """What goes into one transaction, from one position to the next."""

    before: JournalPosition
    after: JournalPosition
    intents: list[Intent] = field(default_factory=list)
    entries: list[JournalEntry] = field(default_factory=list)
    hashes: list[str] = field(default_factory=list)
    settled: list[tuple[str, str]] = field(default_factory=list)  # name, state
    drifts: list[DriftFinding] = field(default_factory=list)
    forget_before_ms: float = 0.0  # writes sent before that are dropped, some at a time; 0 for none


@dataclass(slots=True, frozen=True)
class RecordedWrite:
    """A write that the record has already, by another life or another scheduler."""

    first_send: SendRecord
    state: str


def idempotency_token(work: Work) -> str:
    """A key as the record has it: as the client wrote it, or a digest of one that is long or odd.

    Guards against keys that no database takes as text, or that make rows of kilobytes.
    """
    token = work.token
    if len(token) <= 128 and token.isascii() and token.isprintable():
        return token
    return "sha256:" + hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


def write_name(work: Work) -> str:
    """What a keyed write is recorded by; empty for other work."""
    return f"{work.class_}/{work.volume:x}/{idempotency_token(work)}" if work.write and work.token else ""
