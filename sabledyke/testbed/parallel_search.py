"""An explicit-state search on all cores: each layer of a breadth-first search is distributed over processes.

The search stores a fingerprint of 16 bytes and the number of a predecessor for each state. It would treat two
states with the same fingerprint as one; the probability is below 1e-24 at 10 million states.
"""

from __future__ import annotations

import multiprocessing
import os
import pickle
from array import array
from collections.abc import Hashable, Iterable
from hashlib import blake2b
from typing import Any, Generic, NamedTuple, TypeVar

from sabledyke.testbed.state_search import INITIAL_ACTION, SearchResult, StateModel, Transition

S = TypeVar("S", bound=Hashable)
CHUNK_STATES = 200
"""Number of states in one task of a process."""
FINGERPRINT_BYTES = 16
NO_PREDECESSOR = -1


class _PackedState(NamedTuple):
    """A state of the current layer: its number in order of discovery, and its pickle."""

    number: int
    pickled: bytes


class _FoundState(NamedTuple):
    """A state that a process has found, and that the search may have found before."""

    predecessor: int
    fingerprint: bytes
    pickled: bytes
    violation: str


class _Expansion(NamedTuple):
    """The successors of the states of one chunk."""

    found_states: list[_FoundState]
    transition_count: int


def explore_parallel(model: StateModel[S], max_states: int) -> SearchResult[S]:
    """Explore a model on all cores, layer by layer, so that a trace is as short as one of ``explore``."""
    return _ParallelSearch(model, max_states).run()


def fingerprint(state: Hashable) -> bytes:
    """Return a digest of the state's ``repr``, which contains every field of the state."""
    return blake2b(repr(state).encode(), digest_size=FINGERPRINT_BYTES).digest()


class _ParallelSearch(Generic[S]):
    """One run of ``explore_parallel``."""

    def __init__(self, model: StateModel[S], max_states: int) -> None:
        self._model = model
        self._max_states = max_states
        self._fingerprints: list[bytes] = []
        self._predecessors = array("q")
        self._seen: set[bytes] = set()
        self._next_layer: list[_PackedState] = []
        self._transition_count = 0

    def run(self) -> SearchResult[S]:
        for state in self._model.initial_states:
            self._add(NO_PREDECESSOR, fingerprint(state), pickle.dumps(state))
            violation = self._model.violation(state)
            if violation:
                trace = (Transition(INITIAL_ACTION, state),)
                return self._result(is_complete=False, violation=violation, trace=trace)
        context = multiprocessing.get_context("spawn")
        with context.Pool(os.cpu_count(), _set_worker_model, (self._model,)) as pool:
            while self._next_layer:
                layer = self._next_layer
                self._next_layer = []
                chunks = [layer[i : i + CHUNK_STATES] for i in range(0, len(layer), CHUNK_STATES)]
                result = self._collect(pool.imap(_expand, chunks))
                if result is not None:
                    return result
        return self._result(is_complete=True)

    def _collect(self, expansions: Iterable[_Expansion]) -> SearchResult[S] | None:
        """Add the states that the processes found; return a result if the search ends, otherwise None."""
        for expansion in expansions:
            self._transition_count += expansion.transition_count
            for predecessor, digest, pickled, violation in expansion.found_states:
                if not self._add(predecessor, digest, pickled):
                    continue
                if violation:
                    return self._result(is_complete=False, violation=violation, trace=self._trace())
                if len(self._fingerprints) >= self._max_states:
                    return self._result(is_complete=False)
        return None

    def _add(self, predecessor: int, digest: bytes, pickled: bytes) -> bool:
        """Add a state to the next layer if it is new, and return whether it is."""
        if digest in self._seen:
            return False
        self._seen.add(digest)
        self._next_layer.append(_PackedState(len(self._fingerprints), pickled))
        self._fingerprints.append(digest)
        self._predecessors.append(predecessor)
        return True

    def _result(
        self, *, is_complete: bool, violation: str = "", trace: tuple[Transition[S], ...] = ()
    ) -> SearchResult[S]:
        return SearchResult(len(self._fingerprints), self._transition_count, is_complete, violation, trace)

    def _trace(self) -> tuple[Transition[S], ...]:
        """Return the path to the newest state, by replaying the model along the path's fingerprints."""
        first, *others = self._path()
        state = next(state for state in self._model.initial_states if fingerprint(state) == first)
        trace = [Transition(INITIAL_ACTION, state)]
        for digest in others:
            successors = self._model.successors(trace[-1].successor)
            trace.append(next(step for step in successors if fingerprint(step.successor) == digest))
        return tuple(trace)

    def _path(self) -> list[bytes]:
        """Return the fingerprints of the states on the path to the newest one."""
        reversed_path: list[bytes] = []
        number = len(self._fingerprints) - 1
        while number != NO_PREDECESSOR:
            reversed_path.append(self._fingerprints[number])
            number = self._predecessors[number]
        return reversed_path[::-1]


_worker_model: StateModel[Any]
"""The model whose states a process of the pool expands."""


def _set_worker_model(model: StateModel[Any]) -> None:
    global _worker_model
    _worker_model = model


def _expand(chunk: list[_PackedState]) -> _Expansion:
    """Return the successors of these states, each once. Runs in a process of the pool."""
    found_states: list[_FoundState] = []
    found_digests: set[bytes] = set()
    transition_count = 0
    for number, pickled in chunk:
        for _, successor in _worker_model.successors(pickle.loads(pickled)):
            transition_count += 1
            digest = fingerprint(successor)
            if digest in found_digests:
                continue
            found_digests.add(digest)
            violation = _worker_model.violation(successor)
            found_states.append(_FoundState(number, digest, pickle.dumps(successor), violation))
    return _Expansion(found_states, transition_count)
