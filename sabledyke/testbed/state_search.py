"""An explicit-state search: visits every reachable state of a model once, in breadth-first order.

The search takes a model's initial states, its successor function and its invariants, and does not depend on
the modelled system. ``explore`` stores every state in memory, with its predecessor and the action between
them; ``parallel_search`` runs the same search on all cores and stores only fingerprints of states.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

S = TypeVar("S", bound=Hashable)

INITIAL_ACTION = "start"
"""``Transition.action`` of the initial state at the start of a trace."""


class Transition(NamedTuple, Generic[S]):
    """A named action and the state to which it leads."""

    action: str
    successor: S


@dataclass(slots=True, frozen=True)
class StateModel(Generic[S]):
    """The model that a search explores.

    ``parallel_search`` pickles it, so its functions must be module-level functions or partials of those.

    Attributes:
        initial_states: The states from which the search starts.
        successors: Returns the transitions that a state allows.
        violation: Returns the invariant that a state violates, "" for none.
    """

    initial_states: tuple[S, ...]
    successors: Callable[[S], Iterable[Transition[S]]]
    violation: Callable[[S], str]


@dataclass(slots=True, frozen=True)
class SearchResult(Generic[S]):
    """Result of a search, which ends complete, at its bound, or at a state that violates an invariant.

    Attributes:
        state_count: Number of states that were found.
        transition_count: Number of transitions that were followed.
        is_complete: True if all reachable states were visited and none violates an invariant.
        violation: The violated invariant, "" for none.
        trace: A shortest path to the violation.
    """

    state_count: int
    transition_count: int
    is_complete: bool
    violation: str = ""
    trace: tuple[Transition[S], ...] = ()


def explore(model: StateModel[S], max_states: int) -> SearchResult[S]:
    """Explore a model in this process, breadth first, so that the returned trace is a shortest one."""
    return _Search(model, max_states).run()


class _Search(Generic[S]):
    """One run of ``explore``."""

    def __init__(self, model: StateModel[S], max_states: int) -> None:
        self._model = model
        self._max_states = max_states
        self._predecessors: dict[S, tuple[S | None, str]] = {}
        self._queue: deque[S] = deque()
        self._transition_count = 0

    def run(self) -> SearchResult[S]:
        for state in self._model.initial_states:
            if state not in self._predecessors:
                self._predecessors[state] = (None, INITIAL_ACTION)
                self._queue.append(state)
        for state in self._queue:
            violation = self._model.violation(state)
            if violation:
                return self._violated(state, violation)
        while self._queue:
            result = self._expand(self._queue.popleft())
            if result is not None:
                return result
        return self._result(is_complete=True)

    def _expand(self, state: S) -> SearchResult[S] | None:
        """Follow the transitions of a state; return a result if the search ends there, otherwise None."""
        for action, successor in self._model.successors(state):
            self._transition_count += 1
            if successor in self._predecessors:
                continue
            self._predecessors[successor] = (state, action)
            violation = self._model.violation(successor)
            if violation:
                return self._violated(successor, violation)
            if len(self._predecessors) >= self._max_states:
                return self._result(is_complete=False)
            self._queue.append(successor)
        return None

    def _violated(self, state: S, violation: str) -> SearchResult[S]:
        return self._result(is_complete=False, violation=violation, trace=self._trace_to(state))

    def _result(
        self, *, is_complete: bool, violation: str = "", trace: tuple[Transition[S], ...] = ()
    ) -> SearchResult[S]:
        return SearchResult(len(self._predecessors), self._transition_count, is_complete, violation, trace)

    def _trace_to(self, last: S) -> tuple[Transition[S], ...]:
        reversed_trace: list[Transition[S]] = []
        state: S | None = last
        while state is not None:
            predecessor, action = self._predecessors[state]
            reversed_trace.append(Transition(action, state))
            state = predecessor
        return tuple(reversed(reversed_trace))
