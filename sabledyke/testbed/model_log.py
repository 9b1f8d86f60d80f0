"""The log of a fleet model: the records that the compacted log retains, and the states that contain them."""

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
    """A process that holds the coordinator's lease under a token, or has not noticed its loss."""

    token: int
    pending: StateChange | None = None
    """The change that it has decided on and not written yet."""


class LogContents(NamedTuple):
    """The latest record of each key, in the order of the keys, and the next offset."""

    records: tuple[Record, ...]
    next_offset: int


class FleetState(Protocol):
    """Common fields of the states of fleet models, which are NamedTuples."""

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
        """The remaining number of each fault, a NamedTuple."""

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
    """Return the view of all records. It is cached and shared: callers must not change it."""
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
    """Return the state with the instance at this index replaced."""
    changed: F = state._replace(instances=replaced_at(state.instances, index, instance))
    return changed


def with_coordinator(state: F, index: int, coordinator: Coordinator) -> F:
    """Return the state with the coordinator at this index replaced."""
    changed: F = state._replace(coordinators=replaced_at(state.coordinators, index, coordinator))
    return changed
