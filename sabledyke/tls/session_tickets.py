"""Cache of TLS session tickets.

Tickets are used newest first and each once: a ticket used twice lets an observer link connections (RFC 8446,
C.4). All times are milliseconds, and are passed in.

Bounds: ``MAX_TICKETS_PER_NODE``, ``MAX_TICKETS`` in all (the node whose last ticket came longest ago loses
one), ``MAX_AGE_MS``; a node that restarted or was removed, and a generation of keys that was replaced, lose
all theirs.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Generic, TypeVar

Ticket = TypeVar("Ticket")

MAX_TICKETS_PER_NODE = 8
MAX_TICKETS = 4096
MAX_AGE_MS = 2 * 3600 * 1000.0
"""Servers keep their ticket keys for hours, and the keyring changes anyhow."""


@dataclass(slots=True, frozen=True)
class _CachedTicket(Generic[Ticket]):
    received_ms: float
    generation: int  # of the keyring
    ticket: Ticket


@dataclass(slots=True)
class _NodeTickets(Generic[Ticket]):
    """The tickets of one incarnation of a storage node."""

    started_ms: float
    tickets: deque[_CachedTicket[Ticket]]  # the newest last


class TicketCache(Generic[Ticket]):
    """The tickets of all storage nodes.

    Attributes:
        ticket_count: Number of cached tickets.
    """

    def __init__(
        self,
        max_per_node: int = MAX_TICKETS_PER_NODE,
        max_total: int = MAX_TICKETS,
        max_age_ms: float = MAX_AGE_MS,
    ) -> None:
        self._max_per_node = max_per_node
        self._max_total = max_total
        self._max_age_ms = max_age_ms
        # The node that received a ticket last is last.
        self._nodes: OrderedDict[bytes, _NodeTickets[Ticket]] = OrderedDict()
        self.ticket_count = 0

    @property
    def node_count(self) -> int:
        """Number of storage nodes that have tickets."""
        return len(self._nodes)

    def add(self, now_ms: float, node: bytes, started_ms: float, generation: int, ticket: Ticket) -> None:
        """Cache a ticket of a storage node that started at ``started_ms``."""
        known = self._nodes.get(node)
        if known is None or known.started_ms != started_ms:
            self.forget(node)
            known = _NodeTickets(started_ms, deque())
            self._nodes[node] = known
        self._nodes.move_to_end(node)
        known.tickets.append(_CachedTicket(now_ms, generation, ticket))
        self.ticket_count += 1
        if len(known.tickets) > self._max_per_node:
            known.tickets.popleft()
            self.ticket_count -= 1
        self._evict_excess()

    def pop_newest(self, now_ms: float, node: bytes, started_ms: float, generation: int) -> Ticket | None:
        """Remove and return the newest usable ticket; newer ones that are unusable are dropped."""
        known = self._nodes.get(node)
        if known is None:
            return None
        if known.started_ms != started_ms:  # it restarted, and most likely has other ticket keys
            self.forget(node)
            return None
        usable = None
        while known.tickets and usable is None:
            newest = known.tickets.pop()
            self.ticket_count -= 1
            if newest.generation == generation and now_ms - newest.received_ms < self._max_age_ms:
                usable = newest.ticket
        if not known.tickets:
            del self._nodes[node]
        return usable

    def forget(self, node: bytes) -> None:
        """Drop the tickets of a storage node that was removed or has restarted."""
        known = self._nodes.pop(node, None)
        if known is not None:
            self.ticket_count -= len(known.tickets)

    def drop_older_generations(self, generation: int) -> None:
        """Drop the tickets of all generations of keys before this one."""
        for node, known in list(self._nodes.items()):
            retained = deque(cached for cached in known.tickets if cached.generation >= generation)
            self.ticket_count -= len(known.tickets) - len(retained)
            known.tickets = retained
            if not retained:
                del self._nodes[node]

    def _evict_excess(self) -> None:
        while self.ticket_count > self._max_total:
            node, oldest = next(iter(self._nodes.items()))
            oldest.tickets.popleft()
            self.ticket_count -= 1
            if not oldest.tickets:
                del self._nodes[node]
