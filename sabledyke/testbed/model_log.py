"""What models of a fleet share: records as a board keeps them, one of several replaced. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any, NamedTuple, Protocol, TypeVar

from sabledyke.rollout.moves import Move
from sabledyke.rollout.record_codec import key_of
from sabledyke.rollout.records import Record

T = TypeVar("T")


class Coordinator(NamedTuple):
    """One that believes to hold the lease under this token."""

    token: int
    pending: Move | None = None


def put(
    records: tuple[Record, ...], next_: int, writes: Iterable[Record], ends: Iterable[str]
) -> tuple[tuple[Record, ...], int]:
    """The records after one append, in the order of their keys, and the next offset."""
    table = {key_of(r): r for r in records}
    for record in writes:
        table[key_of(record)] = replace(record, offset=next_)
        next_ += 1
    for name in ends:
        table.pop(name, None)
        next_ += 1
    return tuple(table[k] for k in sorted(table)), next_


class Fleet(Protocol):
    """What a model's state has, a NamedTuple."""

    @property
    def records(self) -> tuple[Record, ...]:
        """All records, in order."""

    @property
    def next(self) -> int:
        """The number of the next record."""

    @property
    def processes(self) -> tuple[Any, ...]:
        """The processes of this state."""

    @property
    def coordinators(self) -> tuple[Coordinator, ...]:
        """The coordinators of this state."""

    def _replace(self, *args: Any, **kwargs: Any) -> Any: ...


M = TypeVar("M", bound=Fleet)


def with_append(model: M, writes: Iterable[Record], ends: Iterable[str]) -> M:
    """The model after one append."""
    records, next_ = put(model.records, model.next, writes, ends)
    after: M = model._replace(records=records, next=next_)
    return after


def with_process(model: M, i: int, process: object) -> M:
    """With this process in place ``i``."""
    after: M = model._replace(processes=swapped(model.processes, i, process))
    return after


def with_coordinator(model: M, i: int, one: Coordinator) -> M:
    """With this coordinator in place ``i``."""
    after: M = model._replace(coordinators=swapped(model.coordinators, i, one))
    return after


def swapped(some: tuple[T, ...], i: int, one: T) -> tuple[T, ...]:
    """With ``one`` in place ``i``."""
    return (*some[:i], one, *some[i + 1 :])
