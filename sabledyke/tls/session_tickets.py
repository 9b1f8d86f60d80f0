"""Cache of TLS session tickets.

Tickets are used newest first and only once, since a reused ticket lets an observer link connections (RFC
8446, C.4). All times are in milliseconds and are passed in.

Bounds: at most ``MAX_TICKETS_PER_NODE`` tickets per node and ``MAX_TICKETS`` in total; above the total, the
oldest ticket of the node whose last ticket was received longest ago is evicted. Tickets older than
``MAX_AGE_MS`` are not used. All tickets of a restarted or removed node, or of a replaced generation of keys,
are dropped.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Generic, TypeVar

Ticket = TypeVar("Ticket")

MAX_TICKETS_PER_NODE = 8
MAX_TICKETS = 4096
MAX_AGE_MS = 2 * 3600 * 1000.0
"""Servers keep their ticket keys for hours, and a rotation of the keyring drops tickets earlier."""


@dataclass(slots=True, frozen=True)
class _CachedTicket(Generic[Ticket]):
    received_ms: float
    generation: int  # generation number of the keyring
    ticket: Ticket


@dataclass(slots=True)
class _NodeTickets(Generic[Ticket]):
    """Tickets of one incarnation of a storage node, which ``started_ms`` identifies."""

    started_ms: float
    tickets: deque[_CachedTicket[Ticket]]  # newest last


class TicketCache(Generic[Ticket]):
    """Cache of the tickets of all storage nodes.

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
        # Ordered by the time of the last received ticket, newest last.
        self._nodes: OrderedDict[bytes, _NodeTickets[Ticket]] = OrderedDict()
        self.ticket_count = 0

    @property
    def node_count(self) -> int:
        """Number of storage nodes with cached tickets."""
        return len(self._nodes)

    def add(self, now_ms: float, node: bytes, started_ms: float, generation: int, ticket: Ticket) -> None:
        """Cache a ticket received from the incarnation of a storage node that started at ``started_ms``."""
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
        """Remove and return the newest usable ticket, or None; unusable newer tickets are dropped."""
        known = self._nodes.get(node)
        if known is None:
            return None
        if known.started_ms != started_ms:  # a restarted node most likely has new ticket keys
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
        """Drop the tickets of a storage node that was removed or restarted."""
        known = self._nodes.pop(node, None)
        if known is not None:
            self.ticket_count -= len(known.tickets)

    def drop_older_generations(self, generation: int) -> None:
        """Drop the tickets of all earlier generations of keys."""
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
