"""Helpers with which the models derive one state from another and keep the number of states finite."""

from __future__ import annotations

from collections.abc import Set as AbstractSet
from typing import Any, Protocol, TypeVar

T = TypeVar("T")


class BudgetedState(Protocol):
    """A state, a NamedTuple, with a budget of faults."""

    @property
    def budget(self) -> Any:
        """The remaining number of each fault, a NamedTuple with one field per fault."""

    def _replace(self, *args: Any, **kwargs: Any) -> Any: ...


B = TypeVar("B", bound=BudgetedState)


def spend(state: B, fault: str) -> B:
    """Return the state with the remaining number of a fault reduced by one."""
    budget = state.budget
    budget = budget._replace(**{fault: getattr(budget, fault) - 1})
    spent: B = state._replace(budget=budget)
    return spent


def replaced_at(items: tuple[T, ...], index: int, item: T) -> tuple[T, ...]:
    """Return the items with the one at this index replaced."""
    return (*items[:index], item, *items[index + 1 :])


def ranks(numbers: AbstractSet[int], first: int = 0) -> dict[int, int]:
    """Return the rank of each number in ascending order, starting at ``first``."""
    return {number: rank for rank, number in enumerate(sorted(numbers), first)}
