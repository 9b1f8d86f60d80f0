"""A change of the fleet's topic, with the conditions under which it may be written."""

from __future__ import annotations

from dataclasses import dataclass

from sabledyke.rollout.records import Record


@dataclass(slots=True, frozen=True)
class StateChange:
    """Records to write and keys to delete in one append, which is rejected if a condition does not hold.

    Attributes:
        description: One line on the change, for the log and the command line.
        records: Records to write.
        deleted_keys: Keys to delete.
        expected_end: Next offset that the topic must still have; None if other writes may come first.
        expected_offsets: Keys with the offset that each must still have, 0 for a key without a record.
    """

    description: str
    records: tuple[Record, ...] = ()
    deleted_keys: tuple[str, ...] = ()
    expected_end: int | None = None
    expected_offsets: tuple[tuple[str, int], ...] = ()
