"""The receipt journal's chain: each entry's hash covers the one before, so that a change or a gap shows.

Told: rows. Decides: whether they are what was once appended. SHA-256 over the previous hash and the entry as
canonical JSON; the chain of an instance goes on over its lives. No I/O.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

import orjson

from sabledyke.store.types import JournalEntry, JournalPosition, Row


def entry_hash(head: str, instance: str, seq: int, life: int, entry: JournalEntry) -> str:
    """The hash of an entry, in hex, after the chain's ``head`` ('' for the first)."""
    return _hash(
        head,
        [
            instance,
            seq,
            life,
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
        ],
    )


def _hash(head: str, fields: list[object]) -> str:
    return hashlib.sha256(head.encode() + orjson.dumps(fields)).hexdigest()


def extend_chain(position: JournalPosition, instance: str, entries: list[JournalEntry]) -> tuple[JournalPosition, list[str]]:
    """The position after one batch with these entries, and the entries' hashes."""
    head, seq, hashes = position.head_hash, position.last_sequence, list[str]()
    for entry in entries:
        seq += 1
        head = entry_hash(head, instance, seq, position.incarnation, entry)
        hashes.append(head)
    return JournalPosition(position.incarnation, position.batches + 1, seq, head), hashes


@dataclass(slots=True)
class ChainAudit:
    """Walks one instance's journal in its order; ``faults`` names what is wrong, a bounded number of
    times."""

    instance: str
    last_sequence: int = 0
    head_hash: str = ""
    incarnation: int = 0
    faults: list[str] = field(default_factory=list)
    unnamed_faults: int = 0  # faults beyond those named
    outcomes: dict[str, int] = field(default_factory=dict)

    MAX_NAMED_FAULTS = 20

    def _fault(self, text: str) -> None:
        if len(self.faults) < self.MAX_NAMED_FAULTS:
            self.faults.append(f"{self.instance}: {text}")
        else:
            self.unnamed_faults += 1

    def on_row(self, row: Row) -> None:
        """One row of the journal, with the columns of ``JOURNAL_COLUMNS``."""
        instance, seq, life, at, began, *rest, units, digest, outcome, told = row
        assert isinstance(seq, int) and isinstance(life, int)
        if seq != self.last_sequence + 1:
            first, last = self.last_sequence + 1, seq - 1
            some = f"entry {first} is" if first == last else f"entries {first} to {last} are"
            self._fault(f"{some} missing")
        if life < self.incarnation:
            self._fault(f"entry {seq} is of life {life}, after one of life {self.incarnation}")
        values = [instance, seq, life, at, began, *rest, _number(units), digest, outcome]
        wanted = _hash(self.head_hash, values)
        if wanted != told and seq == self.last_sequence + 1:
            self._fault(f"entry {seq} was changed, or the one before it")
        # Goes on from what the row says: one changed entry is one fault, not a fault of all that follow.
        self.last_sequence, self.head_hash, self.incarnation = seq, str(told), life
        self.outcomes[str(outcome)] = self.outcomes.get(str(outcome), 0) + 1

    def on_end(self, position: JournalPosition) -> None:
        """After the last row: where the instance itself says that its journal ends."""
        if self.last_sequence < position.last_sequence:
            self._fault(f"entries {self.last_sequence + 1} to {position.last_sequence} are missing at the end")
        elif self.last_sequence > position.last_sequence:
            self._fault(f"entries {position.last_sequence + 1} to {self.last_sequence} were appended by no batch")
        elif self.head_hash != position.head_hash:
            self._fault(f"the last entry, {self.last_sequence}, is not the one that was appended")

    @property
    def passed(self) -> bool:
        """Nothing was found."""
        return not self.faults


def _number(value: object) -> object:
    return float(value) if isinstance(value, int) else value
