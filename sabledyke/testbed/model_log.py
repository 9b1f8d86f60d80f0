"""The log of a fleet model: records as the compacted log keeps them, and states of fleets that share it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from functools import lru_cache
from typing import Any, NamedTuple, Protocol, TypeVar

from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.record_codec import key_of
from sabledyke.rollout.records import Record
from sabledyke.rollout.state_changes import StateChange
from sabledyke.testbed.state_updates import replaced_at

CACHED_VIEWS = 4096


class Coordinator(NamedTuple):
    """A process that believes to hold the coordinator's lease under this token."""

    token: int
    pending: StateChange | None = None
    """Decided, and not written yet."""


class LogContents(NamedTuple):
    """The records that hold, in the order of their keys, and the next offset."""

    records: tuple[Record, ...]
    next_offset: int


class FleetState(Protocol):
    """What the state of a fleet model has, a NamedTuple."""

    @property
    def records(self) -> tuple[Record, ...]:
        """All records of the log, in the order of their keys."""

    @property
    def next_offset(self) -> int:
        """The offset of the next record."""

    @property
    def highest_token(self) -> int:
        """The highest token under which a coordinator has written."""

    @property
    def instances(self) -> tuple[Any, ...]:
        """The members' processes."""

    @property
    def coordinators(self) -> tuple[Coordinator, ...]:
        """The coordinators."""

    @property
    def budget(self) -> Any:
        """How often each fault may still come, a NamedTuple."""

    def __hash__(self) -> int: ...

    def _replace(self, *args: Any, **kwargs: Any) -> Any: ...


F = TypeVar("F", bound=FleetState)


def append(log: LogContents, records: Iterable[Record], deleted_keys: Iterable[str]) -> LogContents:
    """Return the log after one append."""
    table = {key_of(record): record for record in log.records}
    next_offset = log.next_offset
    for record in records:
        table[key_of(record)] = replace(record, offset=next_offset)
        next_offset += 1
    for key in deleted_keys:
        table.pop(key, None)
        next_offset += 1
    return LogContents(tuple(table[key] for key in sorted(table)), next_offset)


def view_of(state: FleetState) -> FleetView:
    """Return the view of all records, which is shared and not to be changed."""
    return _view_of(state.records, state.next_offset)


@lru_cache(maxsize=CACHED_VIEWS)
def _view_of(records: tuple[Record, ...], next_offset: int) -> FleetView:
    view = FleetView(next_offset)
    for record in records:
        view.put(record)
    return view


def with_append(state: F, records: Iterable[Record], deleted_keys: Iterable[str] = ()) -> F:
    """Return the state after one append to its log."""
    log = append(LogContents(state.records, state.next_offset), records, deleted_keys)
    appended: F = state._replace(records=log.records, next_offset=log.next_offset)
    return appended


def with_instance(state: F, index: int, instance: object) -> F:
    """Return the state with this instance at the index."""
    changed: F = state._replace(instances=replaced_at(state.instances, index, instance))
    return changed


def with_coordinator(state: F, index: int, coordinator: Coordinator) -> F:
    """Return the state with this coordinator at the index."""
    changed: F = state._replace(coordinators=replaced_at(state.coordinators, index, coordinator))
    return changed
