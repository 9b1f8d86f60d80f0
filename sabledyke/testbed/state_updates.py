"""Small steps by which models derive a state from another one, and keep the number of states finite."""

from __future__ import annotations

from collections.abc import Set as AbstractSet
from typing import Any, Protocol, TypeVar

T = TypeVar("T")


class BudgetedState(Protocol):
    """A state, a NamedTuple, that says how often each fault may still come."""

    @property
    def budget(self) -> Any:
        """A NamedTuple of counts by the fault's name."""

    def _replace(self, *args: Any, **kwargs: Any) -> Any: ...


B = TypeVar("B", bound=BudgetedState)


def spend(state: B, fault: str) -> B:
    """Return the state with this fault to come once less."""
    budget = state.budget
    budget = budget._replace(**{fault: getattr(budget, fault) - 1})
    spent: B = state._replace(budget=budget)
    return spent


def replaced_at(items: tuple[T, ...], index: int, item: T) -> tuple[T, ...]:
    """Return the items with another one at this index."""
    return (*items[:index], item, *items[index + 1 :])


def ranks(numbers: AbstractSet[int], first: int = 0) -> dict[int, int]:
    """Return the rank of each number, where only the order of the numbers matters."""
    return {number: rank for rank, number in enumerate(sorted(numbers), first)}
