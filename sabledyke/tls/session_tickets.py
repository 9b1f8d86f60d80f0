"""Session tickets: which to resume from, and which are forgotten.

Told: tickets as they come, per box and start of the box; times in milliseconds. Decides: the next to use,
newest first and each once (RFC 8446, C.4: a ticket used twice lets an observer link connections). Never
knows a socket or a clock.

Bounds: ``EACH`` a box, ``MOST`` in all (the box whose last came longest ago gives way), ``AGE``; a box that
restarted or is gone, and a generation of keys that was withdrawn, lose all of theirs.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Generic, TypeVar

S = TypeVar("S")

EACH, MOST = 8, 4096
AGE = 2 * 3600 * 1000.0  # ms: servers keep their ticket keys for hours, and the keyring changes anyhow


@dataclass(slots=True)
class _Of(Generic[S]):
    """The tickets of one start of a box."""

    born: float
    tickets: deque[tuple[float, int, S]]  # when it came, generation of the keyring, ticket; the newest last


class Tickets(Generic[S]):
    """All tickets that are kept."""

    def __init__(self, each: int = EACH, most: int = MOST, age: float = AGE) -> None:
        self._each, self._most, self._age = each, most, age
        self._boxes: OrderedDict[bytes, _Of[S]] = OrderedDict()  # the one that got a ticket last is last
        self.size = 0

    def put(self, now: float, node: bytes, born: float, generation: int, ticket: S) -> None:
        """Keep a ticket of a box that started at ``born``."""
        known = self._boxes.get(node)
        if known is None or known.born != born:
            self.forget(node)
            known = self._boxes[node] = _Of(born, deque())
        self._boxes.move_to_end(node)
        known.tickets.append((now, generation, ticket))
        self.size += 1
        if len(known.tickets) > self._each:
            known.tickets.popleft()
            self.size -= 1
        while self.size > self._most:
            first = next(iter(self._boxes))
            self._boxes[first].tickets.popleft()
            self.size -= 1
            if not self._boxes[first].tickets:
                del self._boxes[first]

    def take(self, now: float, node: bytes, born: float, generation: int) -> S | None:
        """The newest that can be used, taken away; older and withdrawn ones go with it."""
        known = self._boxes.get(node)
        if known is None:
            return None
        if known.born != born:  # it restarted: its ticket keys are another's, most likely
            self.forget(node)
            return None
        found = None
        while known.tickets and found is None:
            at, of, ticket = known.tickets.pop()
            self.size -= 1
            if of == generation and now - at < self._age:
                found = ticket
        if not known.tickets:
            del self._boxes[node]
        return found

    def forget(self, node: bytes) -> None:
        """The box is gone, or has started anew."""
        known = self._boxes.pop(node, None)
        if known is not None:
            self.size -= len(known.tickets)

    def withdraw(self, generation: int) -> None:
        """The keyring has a new generation: no ticket of an earlier one is used again."""
        for node, known in list(self._boxes.items()):
            kept = deque(t for t in known.tickets if t[1] >= generation)
            self.size -= len(known.tickets) - len(kept)
            known.tickets = kept
            if not kept:
                del self._boxes[node]
