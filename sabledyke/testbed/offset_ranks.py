"""Ranks of offsets in a fleet model: only the order of offsets has an effect, not their values."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import replace
from typing import Any

from sabledyke.rollout.records import Drain, DrainAcknowledgement, Record
from sabledyke.rollout.state_changes import StateChange
from sabledyke.testbed.model_log import F, FleetState
from sabledyke.testbed.state_updates import ranks

NO_OFFSET = 0
"""Offset of a key without a record."""


class OffsetRanks:
    """Replaces the offsets in a state by their ranks."""

    def __init__(self, state: FleetState, other_offsets: Iterable[int] = ()) -> None:
        """Rank the offsets of the log, of all pending changes, and of others.

        Args:
            state: State of the fleet.
            other_offsets: Offsets that the instances store outside their pending changes.
        """
        offsets = {NO_OFFSET, state.next_offset, *other_offsets}
        for record in mentioned_records(state):
            offsets.update(_record_offsets(record))
        for change in _pending_changes(state):
            offsets.add(change.expected_end or NO_OFFSET)
            offsets.update(offset for _, offset in change.expected_offsets)
        self.offsets = ranks(offsets)

    def record(self, record: Record) -> Record:
        """Return the record with ranks as offsets."""
        return replace(record, **self.ranked_fields(record))

    def ranked_fields(self, record: Record) -> dict[str, Any]:
        """Return the fields of a record that contain offsets, with ranks in their place."""
        fields: dict[str, Any] = {"offset": self.offsets[record.offset]}
        if isinstance(record, Drain):
            fields["begun_offset"] = self.offsets[record.begun_offset]
        elif isinstance(record, DrainAcknowledgement):
            fields["drains"] = tuple(self.offsets[offset] for offset in record.drains)
        return fields

    def change(self, change: StateChange | None) -> StateChange | None:
        """Return the change with ranks as offsets."""
        if change is None:
            return None
        return replace(
            change,
            records=tuple(self.record(record) for record in change.records),
            expected_end=None if change.expected_end is None else self.offsets[change.expected_end],
            expected_offsets=tuple((key, self.offsets[offset]) for key, offset in change.expected_offsets),
        )

    def state(self, state: F, instances: tuple[object, ...]) -> F:
        """Return the state with ranks as offsets, and with these instances, which contain ranks already."""
        ranked: F = state._replace(
            records=tuple(self.record(record) for record in state.records),
            next_offset=self.offsets[state.next_offset],
            instances=instances,
            coordinators=tuple(
                coordinator._replace(pending=self.change(coordinator.pending))
                for coordinator in state.coordinators
            ),
        )
        return ranked


def mentioned_records(state: FleetState) -> Iterator[Record]:
    """Return the records of the log and of all pending changes."""
    yield from state.records
    for change in _pending_changes(state):
        yield from change.records


def _pending_changes(state: FleetState) -> Iterator[StateChange]:
    for process in (*state.instances, *state.coordinators):
        if process.pending is not None:
            yield process.pending


def _record_offsets(record: Record) -> Iterator[int]:
    yield record.offset
    if isinstance(record, Drain):
        yield record.begun_offset
    elif isinstance(record, DrainAcknowledgement):
        yield from record.drains
