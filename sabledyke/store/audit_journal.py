"""The receipt journal's chain: each entry's hash covers the one before, so that a change or a gap shows.

Told: rows. Decides: whether they are what was once appended. SHA-256 over the previous hash and the entry as
canonical JSON; the chain of an instance goes on over its lives. No I/O.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

import orjson

from sabledyke.store.types import Entry, Position, Row


def link(head: str, instance: str, seq: int, life: int, entry: Entry) -> str:
    """The hash of an entry, in hex, after the chain's ``head`` ('' for the first)."""
    return _hash(
        head,
        [
            instance,
            seq,
            life,
            entry.at,
            entry.began,
            entry.class_,
            entry.volume,
            entry.key,
            entry.piece,
            entry.shard,
            entry.box,
            float(entry.units),
            entry.digest,
            entry.outcome,
        ],
    )


def _hash(head: str, fields: list[object]) -> str:
    return hashlib.sha256(head.encode() + orjson.dumps(fields)).hexdigest()


def extend(position: Position, instance: str, entries: list[Entry]) -> tuple[Position, list[str]]:
    """The position after one batch with these entries, and the entries' hashes."""
    head, seq, hashes = position.head, position.seq, list[str]()
    for entry in entries:
        seq += 1
        head = link(head, instance, seq, position.life, entry)
        hashes.append(head)
    return Position(position.life, position.batch + 1, seq, head), hashes


@dataclass(slots=True)
class Audit:
    """Walks one instance's journal in its order; ``faults`` names what is wrong, a bounded number of
    times."""

    instance: str
    seq: int = 0
    head: str = ""
    life: int = 0
    faults: list[str] = field(default_factory=list)
    more: int = 0  # faults beyond those named
    outcomes: dict[str, int] = field(default_factory=dict)

    MOST = 20

    def _fault(self, text: str) -> None:
        if len(self.faults) < self.MOST:
            self.faults.append(f"{self.instance}: {text}")
        else:
            self.more += 1

    def row(self, row: Row) -> None:
        """One row of the journal, with the columns of ``JOURNAL_COLUMNS``."""
        instance, seq, life, at, began, *rest, units, digest, outcome, told = row
        assert isinstance(seq, int) and isinstance(life, int)
        if seq != self.seq + 1:
            first, last = self.seq + 1, seq - 1
            some = f"entry {first} is" if first == last else f"entries {first} to {last} are"
            self._fault(f"{some} missing")
        if life < self.life:
            self._fault(f"entry {seq} is of life {life}, after one of life {self.life}")
        values = [instance, seq, life, at, began, *rest, _number(units), digest, outcome]
        wanted = _hash(self.head, values)
        if wanted != told and seq == self.seq + 1:
            self._fault(f"entry {seq} was changed, or the one before it")
        # Goes on from what the row says: one changed entry is one fault, not a fault of all that follow.
        self.seq, self.head, self.life = seq, str(told), life
        self.outcomes[str(outcome)] = self.outcomes.get(str(outcome), 0) + 1

    def end(self, position: Position) -> None:
        """After the last row: where the instance itself says that its journal ends."""
        if self.seq < position.seq:
            self._fault(f"entries {self.seq + 1} to {position.seq} are missing at the end")
        elif self.seq > position.seq:
            self._fault(f"entries {position.seq + 1} to {self.seq} were appended by no batch")
        elif self.head != position.head:
            self._fault(f"the last entry, {self.seq}, is not the one that was appended")

    @property
    def ok(self) -> bool:
        """Nothing was found."""
        return not self.faults


def _number(value: object) -> object:
    return float(value) if isinstance(value, int) else value
