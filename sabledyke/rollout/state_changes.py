"""A change of the fleet's topic that was decided on, and what it rests on."""

from __future__ import annotations

from dataclasses import dataclass

from sabledyke.rollout.records import Record


@dataclass(slots=True, frozen=True)
class StateChange:
    """Records to write and keys to delete in one append, which is rejected where its conditions do not hold.

    Attributes:
        description: What is done, for the log and the command line.
        records: Records to write.
        deleted_keys: Keys to delete.
        expected_end: The next offset of the topic, where the move needs that nothing was written since.
        expected_offsets: Keys and the offsets that they must still stand at, 0 for a key that holds nothing.
    """

    description: str
    records: tuple[Record, ...] = ()
    deleted_keys: tuple[str, ...] = ()
    expected_end: int | None = None
    expected_offsets: tuple[tuple[str, int], ...] = ()
