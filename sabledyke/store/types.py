"""The terms of the store: intents, entries of the receipt journal, positions and batches.

Plain data without I/O. Times are Unix milliseconds.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from sabledyke.core import ClientRequest

Value = str | int | float | bytes | None
Row = tuple[Any, ...]  # of Values; what each column holds is the statement's business

OUTCOME_SERVED = "served"  # outcomes as the journal stores them, beside those of ``core``
OUTCOME_DEPARTED = "departed"
OUTCOME_UNCONFIRMED = "unconfirmed"
MAX_PLAIN_TOKEN_LENGTH = 128


class WriteState(StrEnum):
    """The state of a recorded write, as the column ``state`` stores it."""

    SENT = "sent"
    SERVED = "served"
    UNKNOWN = "unknown"  # it may have run
    NEVER = "never"  # it was never sent

    @classmethod
    def _missing_(cls, _: object) -> WriteState:
        """Read any other text as UNKNOWN: such a write is not on record as never sent."""
        return cls.UNKNOWN


@dataclass(slots=True, frozen=True)
class SendRecord:
    """The first send of a write that may have run: when and where."""

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
    """A completed keyed write, as the receipt journal has it.

    Attributes:
        completed_at_ms: When it had its final answer.
        began_at_ms: When it was accepted.
        class_name: Its request class.
        volume: Its volume, in hex.
        key: Its idempotency key, as ``idempotency_token`` writes it.
        piece: The piece of data that it wrote, in hex.
        shard: The shard that it was sent to.
        node: The storage node that it was sent to; empty for none.
        units: Its cost.
        digest: The SHA-256 of what was written, in hex.
        outcome: What the client was answered (``served``, ``refused``, ``failed``); ``departed`` where it had
            left; ``unconfirmed`` where a node had served the write but the journal could not accept its entry
            in time, so that the client was answered ``failed``.
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
    """How far an instance has come.

    Attributes:
        incarnation: Which start of the instance this is, from 1.
        batches: How many batches it has written, over all incarnations.
        last_sequence: The number of the journal's last entry, 0 for none.
        head_hash: The hash of that entry, in hex.
    """

    incarnation: int
    batches: int = 0
    last_sequence: int = 0
    head_hash: str = ""


@dataclass(slots=True, frozen=True)
class DriftFinding:
    """A node showed other data than the journal's last served write of a piece left there."""

    found_at_ms: int
    volume: str
    piece: str
    node: str
    expected_digest: str
    found_digest: str


class Settlement(NamedTuple):
    """The state to record for a write that has ended."""

    name: str
    state: WriteState


@dataclass(slots=True, frozen=True)
class Step:
    """One statement of a transaction and the rows to run it with; ``$1::type`` stands for a value."""

    sql: str
    rows: Sequence[Row] = ((),)


@dataclass(slots=True)
class RecordBatch:
    """What goes into one transaction, from one position to the next.

    Attributes:
        before: The position that the transaction requires.
        after: The position that it leaves.
        intents: Writes about to be sent.
        entries: Entries for the journal.
        hashes: Their hashes.
        settled: States of writes that have ended.
        drifts: Findings of drift.
        forget_before_ms: Writes sent before that are deleted, some at a time; 0 for none.
    """

    before: JournalPosition
    after: JournalPosition
    intents: list[Intent] = field(default_factory=list)
    entries: list[JournalEntry] = field(default_factory=list)
    hashes: list[str] = field(default_factory=list)
    settled: list[Settlement] = field(default_factory=list)
    drifts: list[DriftFinding] = field(default_factory=list)
    forget_before_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class RecordedWrite:
    """A write that the record has already, by another incarnation or another scheduler."""

    first_send: SendRecord
    state: WriteState


def idempotency_token(request: ClientRequest) -> str:
    """Return a key as the record has it: as the client wrote it, or a digest of one that is long or odd.

    Guards against keys that no database accepts as text, or that make rows of kilobytes.
    """
    token = request.idempotency_key
    if len(token) <= MAX_PLAIN_TOKEN_LENGTH and token.isascii() and token.isprintable():
        return token
    return "sha256:" + hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


def write_name(request: ClientRequest) -> str:
    """Return what a keyed write is recorded by; empty for other work."""
    if not (request.write and request.idempotency_key):
        return ""
    return f"{request.class_index}/{request.volume:x}/{idempotency_token(request)}"
