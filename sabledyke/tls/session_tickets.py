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

MAX_TICKETS_PER_NODE, MAX_TICKETS = 8, 4096
MAX_AGE_MS = 2 * 3600 * 1000.0  # ms: servers keep their ticket keys for hours, and the keyring changes anyhow


@dataclass(slots=True)
class _NodeTickets(Generic[S]):
    """The tickets of one start of a box."""

    born: float
    tickets: deque[tuple[float, int, S]]  # when it came, generation of the keyring, ticket; the newest last


class TicketCache(Generic[S]):
    """All tickets that are kept."""

    def __init__(
        self, each: int = MAX_TICKETS_PER_NODE, most: int = MAX_TICKETS, age: float = MAX_AGE_MS
    ) -> None:
        self._each, self._most, self._age = each, most, age
        self._nodes: OrderedDict[bytes, _NodeTickets[S]] = (
            OrderedDict()
        )  # the one that got a ticket last is last
        self.ticket_count = 0

    def add(self, now: float, node: bytes, born: float, generation: int, ticket: S) -> None:
        """Keep a ticket of a box that started at ``born``."""
        known = self._nodes.get(node)
        if known is None or known.born != born:
            self.forget(node)
            known = self._nodes[node] = _NodeTickets(born, deque())
        self._nodes.move_to_end(node)
        known.tickets.append((now, generation, ticket))
        self.ticket_count += 1
        if len(known.tickets) > self._each:
            known.tickets.popleft()
            self.ticket_count -= 1
        while self.ticket_count > self._most:
            first = next(iter(self._nodes))
            self._nodes[first].tickets.popleft()
            self.ticket_count -= 1
            if not self._nodes[first].tickets:
                del self._nodes[first]

    def pop_newest(self, now: float, node: bytes, born: float, generation: int) -> S | None:
        """The newest that can be used, taken away; older and withdrawn ones go with it."""
        known = self._nodes.get(node)
        if known is None:
            return None
        if known.born != born:  # it restarted: its ticket keys are another's, most likely
            self.forget(node)
            return None
        found = None
        while known.tickets and found is None:
            at, of, ticket = known.tickets.pop()
            self.ticket_count -= 1
            if of == generation and now - at < self._age:
                found = ticket
        if not known.tickets:
            del self._nodes[node]
        return found

    def forget(self, node: bytes) -> None:
        """The box is gone, or has started anew."""
        known = self._nodes.pop(node, None)
        if known is not None:
            self.ticket_count -= len(known.tickets)

    def drop_older_generations(self, generation: int) -> None:
        """The keyring has a new generation: no ticket of an earlier one is used again."""
        for node, known in list(self._nodes.items()):
            kept = deque(t for t in known.tickets if t[1] >= generation)
            self.ticket_count -= len(known.tickets) - len(kept)
            known.tickets = kept
            if not kept:
                del self._nodes[node]
