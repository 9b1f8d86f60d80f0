"""The hash chain of the receipt journal, which reveals changed and missing entries.

Each hash is the SHA-256 of the previous hash and the entry as canonical JSON. The chain of an instance
continues across its incarnations. ``ChainAudit`` decides whether rows are those that were appended. This
module performs no I/O.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import ClassVar

import orjson

from sabledyke.store.types import JournalEntry, JournalPosition, Row


def entry_hash(head_hash: str, instance: str, sequence: int, incarnation: int, entry: JournalEntry) -> str:
    """Return the hash of an entry, in hex.

    Args:
        head_hash: The hash of the previous entry, empty for the first.
        instance: The instance that owns the journal.
        sequence: The number of the entry, from 1.
        incarnation: The incarnation that appended it.
        entry: The entry.
    """
    fields = [
        instance,
        sequence,
        incarnation,
        entry.completed_at_ms,
        entry.began_at_ms,
        entry.class_name,
        entry.volume,
        entry.key,
        entry.piece,
        entry.shard,
        entry.node,
        float(entry.units),
        entry.digest,
        entry.outcome,
    ]
    return _hash(head_hash, fields)


def extend_chain(
    position: JournalPosition, instance: str, entries: list[JournalEntry]
) -> tuple[JournalPosition, list[str]]:
    """Return the position after one batch with these entries, and the entries' hashes."""
    head_hash = position.head_hash
    sequence = position.last_sequence
    hashes: list[str] = []
    for entry in entries:
        sequence += 1
        head_hash = entry_hash(head_hash, instance, sequence, position.incarnation, entry)
        hashes.append(head_hash)
    after = JournalPosition(position.incarnation, position.batches + 1, sequence, head_hash)
    return after, hashes


@dataclass(slots=True)
class ChainAudit:
    """An audit of one instance's journal, row by row in order.

    Attributes:
        instance: The instance that owns the journal.
        last_sequence: The number of the last row that was read.
        head_hash: The hash stored in that row.
        incarnation: The incarnation stored in that row.
        faults: Descriptions of the first faults, at most ``MAX_NAMED_FAULTS``.
        unnamed_faults: Number of further faults.
        outcomes: Number of entries by outcome.
    """

    MAX_NAMED_FAULTS: ClassVar[int] = 20

    instance: str
    last_sequence: int = 0
    head_hash: str = ""
    incarnation: int = 0
    faults: list[str] = field(default_factory=list)
    unnamed_faults: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)

    @property
    def passed(self) -> bool:
        """True if no fault was found."""
        return not self.faults

    def on_row(self, row: Row) -> None:
        """Check the next row of the journal, with the columns of ``statements.JOURNAL_COLUMNS``."""
        instance, sequence, incarnation, *fields, units, digest, outcome, stored_hash = row
        assert isinstance(sequence, int)
        assert isinstance(incarnation, int)
        if sequence != self.last_sequence + 1:
            self._add_gap(sequence)
        if incarnation < self.incarnation:
            self._add_fault(
                f"entry {sequence} is of incarnation {incarnation}, but follows one of {self.incarnation}"
            )
        expected_hash = _hash(
            self.head_hash,
            [instance, sequence, incarnation, *fields, _as_float(units), digest, outcome],
        )
        if expected_hash != stored_hash and sequence == self.last_sequence + 1:
            self._add_fault(f"entry {sequence} was changed, or the one before it")
        # The next row is checked against the stored hash, so that one changed entry is reported only once.
        self.last_sequence = sequence
        self.head_hash = str(stored_hash)
        self.incarnation = incarnation
        self.outcomes[str(outcome)] = self.outcomes.get(str(outcome), 0) + 1

    def on_end(self, position: JournalPosition) -> None:
        """Check, after the last row, that the journal ends at the instance's recorded position."""
        last = position.last_sequence
        if self.last_sequence < last:
            self._add_fault(f"entries {self.last_sequence + 1} to {last} are missing at the end")
        elif self.last_sequence > last:
            self._add_fault(f"entries {last + 1} to {self.last_sequence} were appended by no batch")
        elif self.head_hash != position.head_hash:
            self._add_fault(f"the last entry, {self.last_sequence}, differs from the one that was appended")

    def _add_gap(self, sequence: int) -> None:
        first = self.last_sequence + 1
        last = sequence - 1
        missing = f"entry {first} is" if first == last else f"entries {first} to {last} are"
        self._add_fault(f"{missing} missing")

    def _add_fault(self, text: str) -> None:
        if len(self.faults) < self.MAX_NAMED_FAULTS:
            self.faults.append(f"{self.instance}: {text}")
        else:
            self.unnamed_faults += 1


def _hash(head_hash: str, fields: list[object]) -> str:
    return hashlib.sha256(head_hash.encode() + orjson.dumps(fields)).hexdigest()


def _as_float(value: object) -> object:
    """Return units as the chain hashes them, because SQLite returns a whole number as an integer."""
    return float(value) if isinstance(value, int) else value
