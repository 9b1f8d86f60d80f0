"""Data types of the store: intents, entries of the receipt journal, positions and batches.

This module performs no I/O. Times are Unix milliseconds.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from sabledyke.core import ClientRequest

Value = str | int | float | bytes | None
Row = tuple[Any, ...]  # a tuple of Values; the statement defines the columns

# Outcomes as the journal stores them; ``core.AnswerStatus`` holds the others.
OUTCOME_SERVED = "served"
OUTCOME_DEPARTED = "departed"
OUTCOME_UNCONFIRMED = "unconfirmed"
MAX_PLAIN_TOKEN_LENGTH = 128


class WriteState(StrEnum):
    """The state of a recorded write, as the column ``state`` stores it.

    Attributes:
        SENT: The write may have been sent, and its outcome is not recorded yet.
        SERVED: A node served the write.
        UNKNOWN: The write may have run.
        NEVER: The write was never sent.
    """

    SENT = "sent"
    SERVED = "served"
    UNKNOWN = "unknown"
    NEVER = "never"

    @classmethod
    def _missing_(cls, _: object) -> WriteState:
        """Return UNKNOWN for any other text, because only NEVER proves that a write was not sent."""
        return cls.UNKNOWN


@dataclass(slots=True, frozen=True)
class SendRecord:
    """The time, shard and zone of the first send of a write that may have run."""

    sent_at_ms: float
    shard: int
    zone: int

    @property
    def place(self) -> tuple[int, int]:
        """Shard and zone of the node."""
        return self.shard, self.zone


@dataclass(slots=True, frozen=True)
class Intent:
    """A keyed write that is about to be sent; it is recorded durably before the send."""

    name: str
    sent: SendRecord


@dataclass(slots=True, frozen=True)
class JournalEntry:
    """A completed keyed write, as the receipt journal stores it.

    Attributes:
        completed_at_ms: Time of the final answer.
        began_at_ms: Time at which the write was accepted.
        class_name: Name of the request class.
        volume: Volume, in hex.
        key: Idempotency key in the form that ``idempotency_token`` returns.
        piece: Piece of data that was written, in hex.
        shard: Shard that the write was sent to.
        node: Storage node that the write was sent to; empty for none.
        units: Cost of the write.
        digest: SHA-256 of the written data, in hex.
        outcome: Answer to the client (``served``, ``refused``, ``failed``); ``departed`` if the client had
            disconnected; ``unconfirmed`` if a node served the write but its entry could not be written to the
            journal in time, so that the client was answered ``failed``.
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
    """The position of an instance's journal.

    Attributes:
        incarnation: Number of the instance's current start, from 1.
        batches: Number of batches written, over all incarnations.
        last_sequence: Number of the last journal entry, 0 for none.
        head_hash: Hash of that entry, in hex.
    """

    incarnation: int
    batches: int = 0
    last_sequence: int = 0
    head_hash: str = ""


@dataclass(slots=True, frozen=True)
class DriftFinding:
    """A node returned data that differs from the last served write of the piece in the journal."""

    found_at_ms: int
    volume: str
    piece: str
    node: str
    expected_digest: str
    found_digest: str


class Settlement(NamedTuple):
    """The state to record for a completed write."""

    name: str
    state: WriteState


@dataclass(slots=True, frozen=True)
class Step:
    """One statement of a transaction and the rows to run it with; its parameters are ``$1::type``."""

    sql: str
    rows: Sequence[Row] = ((),)


@dataclass(slots=True)
class RecordBatch:
    """The contents of one transaction, which advances the journal from one position to the next.

    Attributes:
        before: The position that the transaction requires.
        after: The position after the transaction.
        intents: Intents of writes that are about to be sent.
        entries: Entries to append to the journal.
        hashes: Hashes of the entries.
        settled: States of completed writes.
        drifts: Findings of drift.
        delete_before_ms: Writes sent before this time are deleted, a bounded number per batch; 0 for none.
    """

    before: JournalPosition
    after: JournalPosition
    intents: list[Intent] = field(default_factory=list)
    entries: list[JournalEntry] = field(default_factory=list)
    hashes: list[str] = field(default_factory=list)
    settled: list[Settlement] = field(default_factory=list)
    drifts: list[DriftFinding] = field(default_factory=list)
    delete_before_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class RecordedWrite:
    """A write that another incarnation or another scheduler has already recorded."""

    first_send: SendRecord
    state: WriteState


def idempotency_token(request: ClientRequest) -> str:
    """Return an idempotency key as it is recorded: unchanged if short printable ASCII, else as a digest.

    Guards against keys that databases reject as text and against rows of several kilobytes.
    """
    token = request.idempotency_key
    if len(token) <= MAX_PLAIN_TOKEN_LENGTH and token.isascii() and token.isprintable():
        return token
    return "sha256:" + hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


def write_name(request: ClientRequest) -> str:
    """Return the name under which a keyed write is recorded; empty for any other request."""
    if not (request.write and request.idempotency_key):
        return ""
    return f"{request.class_index}/{request.volume:x}/{idempotency_token(request)}"
