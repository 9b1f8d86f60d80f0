"""The store's terms: intents, entries of the receipt journal, positions and batches. Plain data, no I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from sabledyke.core import ClientRequest

Value = str | int | float | bytes | None
Row = tuple[Any, ...]  # of Values; what each column holds is the statement's business

SENT, SERVED, UNKNOWN, NEVER = "sent", "served", "unknown", "never"  # states of a recorded write


@dataclass(slots=True, frozen=True)
class Sent:
    """A write's first send that may have run: when, in Unix milliseconds, and where."""

    at: float
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
    sent: Sent


@dataclass(slots=True, frozen=True)
class Entry:
    """A finished keyed write, as the receipt journal has it.

    ``at`` and ``began`` are Unix milliseconds, ``digest`` the SHA-256 of what was written, in hex.
    ``outcome`` is what the client was told (``served``, ``refused``, ``failed``), ``departed`` where it had
    left, or ``unconfirmed`` where a box had served the write but the journal could not take its entry in
    time, so that the client was told ``failed``.
    """

    at: int
    began: int
    class_: str
    volume: str
    key: str
    piece: str
    shard: int
    box: str
    units: float
    digest: str
    outcome: str


@dataclass(slots=True, frozen=True)
class Position:
    """How far an instance has come: its life, batches written, the journal's last entry and its hash."""

    life: int
    batch: int = 0
    seq: int = 0
    head: str = ""


@dataclass(slots=True, frozen=True)
class Drift:
    """A box showed other data than the journal's last served write of a piece left there."""

    at: int
    volume: str
    piece: str
    box: str
    wanted: str
    got: str


@dataclass(slots=True, frozen=True)
class Step:
    """One statement of a transaction and the rows to run it with; ``$1::type`` stands for a value."""

    sql: str
    rows: Sequence[Row] = ((),)


@dataclass(slots=True)
class Batch:
    """What goes into one transaction, from one position to the next."""

    before: Position
    after: Position
    intents: list[Intent] = field(default_factory=list)
    entries: list[Entry] = field(default_factory=list)
    hashes: list[str] = field(default_factory=list)
    settled: list[tuple[str, str]] = field(default_factory=list)  # name, state
    drifts: list[Drift] = field(default_factory=list)
    forget_before: float = 0.0  # writes sent before that are dropped, some at a time; 0 for none


@dataclass(slots=True, frozen=True)
class Found:
    """A write that the record has already, by another life or another scheduler."""

    sent: Sent
    state: str


def token_of(work: ClientRequest) -> str:
    """A key as the record has it: as the client wrote it, or a digest of one that is long or odd.

    Guards against keys that no database takes as text, or that make rows of kilobytes.
    """
    token = work.idempotency_key
    if len(token) <= 128 and token.isascii() and token.isprintable():
        return token
    return "sha256:" + hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


def name_of(work: ClientRequest) -> str:
    """What a keyed write is recorded by; empty for other work."""
    return (
        f"{work.class_index}/{work.volume:x}/{token_of(work)}" if work.write and work.idempotency_key else ""
    )
