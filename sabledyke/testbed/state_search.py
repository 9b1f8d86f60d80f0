"""An explicit-state search: every state that can be reached, each once, nearest first.

Told: where to begin, what may follow a state, and what must hold in each. Knows nothing of what is modelled.
Bounded by ``most`` states. ``explore`` keeps every state, with its predecessor and the step to it;
``explore_wide`` spreads each layer over several processes, and keeps 16 bytes of a digest and a predecessor's
number for each: two states with one digest (chance below 1e-24 at 10 million) would be taken for one.
"""

from __future__ import annotations

import multiprocessing
import os
import pickle
from array import array
from collections import deque
from collections.abc import Callable, Hashable, Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, Generic, TypeVar

S = TypeVar("S", bound=Hashable)
CHUNK = 200  # states that a process is given at once


@dataclass(slots=True, frozen=True)
class Found(Generic[S]):
    """How a search ended: whole, at its bound, or at a state in which something does not hold."""

    states: int
    steps: int
    whole: bool  # all that can be reached was looked at
    broken: str = ""
    trace: tuple[tuple[str, S], ...] = ()  # the shortest way there: the step taken, and the state it led to


def explore(
    starts: Iterable[S],
    follow: Callable[[S], Iterable[tuple[str, S]]],
    broken: Callable[[S], str],
    most: int,
) -> Found[S]:
    """Breadth first, so that a trace is as short as any. ``broken`` names what does not hold, or is ""."""
    came: dict[S, tuple[S | None, str]] = {}
    queue: deque[S] = deque()
    for start in starts:
        if start not in came:
            came[start] = None, "start"
            queue.append(start)
    steps = 0
    for state in queue:
        if why := broken(state):
            return Found(len(came), steps, False, why, tuple(_way(came, state)))
    while queue:
        state = queue.popleft()
        for name, after in follow(state):
            steps += 1
            if after in came:
                continue
            came[after] = state, name
            if why := broken(after):
                return Found(len(came), steps, False, why, tuple(_way(came, after)))
            if len(came) >= most:
                return Found(len(came), steps, False)
            queue.append(after)
    return Found(len(came), steps, True)


def _way(came: dict[S, tuple[S | None, str]], state: S) -> Iterator[tuple[str, S]]:
    back: list[tuple[str, S]] = []
    at: S | None = state
    while at is not None:
        before, name = came[at]
        back.append((name, at))
        at = before
    yield from reversed(back)


def explore_wide(
    starts: Iterable[S], follow: Callable[[S], Iterable[tuple[str, S]]], broken: Callable[[S], str], most: int
) -> Found[S]:
    """The same on all cores, a layer after the other, so that a trace is still as short as any.

    ``follow`` and ``broken`` are sent to the processes, as functions of a module or partials of them.
    """
    layer, order, came = list[tuple[int, bytes]](), list[bytes](), array("q")
    seen, steps = set[bytes](), 0
    for start in starts:
        if (print_ := digest(start)) not in seen:
            seen.add(print_)
            layer.append((len(order), pickle.dumps(start)))
            order.append(print_)
            came.append(-1)
        if why := broken(start):
            return Found(len(order), 0, False, why, (("start", start),))
    with multiprocessing.get_context("spawn").Pool(os.cpu_count(), _begin, (follow, broken)) as pool:
        while layer:
            chunks, layer = [layer[i : i + CHUNK] for i in range(0, len(layer), CHUNK)], []
            for made, counted in pool.imap(_layer, chunks):
                steps += counted
                for parent, print_, packed, why in made:
                    if print_ in seen:
                        continue
                    seen.add(print_)
                    layer.append((len(order), packed))
                    order.append(print_)
                    came.append(parent)
                    if why:
                        path = _prints(order, came)
                        return Found(len(order), steps, False, why, tuple(_again(starts, follow, path)))
                    if len(order) >= most:
                        return Found(len(order), steps, False)
    return Found(len(order), steps, True)


_MODEL: list[Any] = []  # what a process of ``explore_wide`` was given


def _begin(*model: Any) -> None:
    _MODEL[:] = model


def digest(state: Hashable) -> bytes:
    """Of its text, which says all of it."""
    return blake2b(repr(state).encode(), digest_size=16).digest()


Made = list[tuple[int, bytes, bytes, str]]  # parent's number, digest, packed state, what does not hold


def _layer(chunk: list[tuple[int, bytes]]) -> tuple[Made, int]:
    """In one of the processes: what follows these states, each once, and how many steps were looked at."""
    follow, broken = _MODEL
    made, known, steps = Made(), set[bytes](), 0
    for number, packed in chunk:
        for _, after in follow(pickle.loads(packed)):
            steps += 1
            if (print_ := digest(after)) not in known:
                known.add(print_)
                made.append((number, print_, pickle.dumps(after), broken(after)))
    return made, steps


def _prints(order: list[bytes], came: array[int]) -> list[bytes]:
    """Digests on the way to the state that came last."""
    path, at = list[bytes](), len(order) - 1
    while at >= 0:
        path.append(order[at])
        at = came[at]
    return path[::-1]


def _again(
    starts: Iterable[S], follow: Callable[[S], Iterable[tuple[str, S]]], path: list[bytes]
) -> Iterator[tuple[str, S]]:
    """The states themselves, by going that way once more."""
    state = next(s for s in starts if digest(s) == path[0])
    yield "start", state
    for print_ in path[1:]:
        name, state = next((n, s) for n, s in follow(state) if digest(s) == print_)
        yield name, state
