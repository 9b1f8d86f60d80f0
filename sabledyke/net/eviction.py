"""Chooses the client connection to close when a new one arrives at the limit.

Connections are closed in this order: those that have their last answer, those without any request, those
that have stopped within a request, and those between two requests, each that has waited longest first. Young
ones of the first three kinds are kept, as a request may be on its way; new connections wait for them to age.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from enum import Enum, auto
from math import inf

from sabledyke.net.client_connection import ClientConnection

FINISHED_GRACE_S = 0.05  # time for a client to read its last answer
UNUSED_GRACE_S = 0.2  # minimum age of a connection without a request; its client may be slow to send one
PARTIAL_GRACE_S = 0.3  # minimum time since the last byte of a partly received request
SCAN_LIFETIME_S = 0.05  # time after which the candidates are collected again
SCAN_INTERVAL_S = 0.005  # minimum time between two collections
MAX_WAIT_S = 0.5  # time for which new connections wait for young ones that keep sending parts of requests


class EvictionKind(Enum):
    """States of a connection that could be closed for a new one."""

    FINISHED = auto()  # the last answer was sent, and the client had time to read it
    UNUSED = auto()  # no read or write was sent
    PARTIAL = auto()  # the client has stopped within a request
    BETWEEN_REQUESTS = auto()
    YOUNG = auto()  # a request, or the rest of one, may be on its way
    PROCESSING = auto()  # input of it waits to be parsed
    BUSY = auto()  # a request of it is in work


class Evictor:
    """The candidates of one front end.

    Guards against a crowd of clients for each of which all connections are looked through: the candidates are
    collected for many evictions at a time, and each is checked again when its turn has come.

    Args:
        clients: The connections, in ascending order of last use.

    Attributes:
        awaits_candidates: True if connections without a complete request were found that can close soon.
    """

    def __init__(self, clients: Iterable[ClientConnection]) -> None:
        self.awaits_candidates = False
        self._clients = clients
        self._candidates: deque[tuple[EvictionKind, ClientConnection]] = deque()
        self._scanned_at_s = -inf
        self._waits_since_s = inf  # since then no connection without a complete request could be closed

    def has_candidate(self, now_s: float) -> bool:
        """Return whether ``choose`` would find a connection."""
        client = self.choose(now_s)
        if client is not None:
            self._candidates.appendleft((classify(client, now_s), client))
        return client is not None

    def choose(self, now_s: float) -> ClientConnection | None:
        """Return the connection to close; None if there is none at present."""
        if now_s - self._scanned_at_s >= SCAN_LIFETIME_S:
            self._scan(now_s)
        chosen = self._next_candidate(now_s)
        if chosen is None and now_s - self._scanned_at_s >= SCAN_INTERVAL_S:
            self._scan(now_s)
            chosen = self._next_candidate(now_s)
        return chosen

    def _next_candidate(self, now_s: float) -> ClientConnection | None:
        while self._candidates:
            kind, client = self._candidates.popleft()
            if client.stream.closed() or classify(client, now_s) is not kind:
                continue
            if kind is EvictionKind.FINISHED or not client.has_unread_request:
                return client
        return None

    def _scan(self, now_s: float) -> None:
        """Collect the candidates; those between requests only if nothing else can be closed soon."""
        self._scanned_at_s = now_s
        by_kind: dict[EvictionKind, list[ClientConnection]] = {kind: [] for kind in EvictionKind}
        for client in self._clients:
            by_kind[classify(client, now_s)].append(client)
        unused = sorted(by_kind[EvictionKind.UNUSED], key=_last_activity)
        partial = sorted(by_kind[EvictionKind.PARTIAL], key=_last_input)
        young = sorted(by_kind[EvictionKind.YOUNG], key=_last_input)
        self._candidates = deque()
        self._add(EvictionKind.FINISHED, by_kind[EvictionKind.FINISHED])
        self._add(EvictionKind.UNUSED, unused)
        self._add(EvictionKind.PARTIAL, partial)
        if self._candidates or not young:
            self._waits_since_s = inf
        else:
            self._waits_since_s = min(self._waits_since_s, now_s)
        waited = now_s - self._waits_since_s >= MAX_WAIT_S
        self.awaits_candidates = bool(unused or partial or young or by_kind[EvictionKind.PROCESSING])
        if waited or not self.awaits_candidates:
            self._add(EvictionKind.BETWEEN_REQUESTS, by_kind[EvictionKind.BETWEEN_REQUESTS])
            self._add(
                EvictionKind.YOUNG,
                [client for client in young if not client.idle and client.finished_at_s == inf],
            )

    def _add(self, kind: EvictionKind, clients: Iterable[ClientConnection]) -> None:
        self._candidates.extend((kind, client) for client in clients)


def _last_activity(client: ClientConnection) -> float:
    return client.last_activity_s


def _last_input(client: ClientConnection) -> float:
    return client.last_input_s


def classify(client: ClientConnection, now_s: float) -> EvictionKind:
    """Return what a connection is doing at a time of the event loop."""
    if client.finished_at_s < inf:
        read = now_s - client.finished_at_s >= FINISHED_GRACE_S
        return EvictionKind.FINISHED if read else EvictionKind.YOUNG
    if client.busy:
        return EvictionKind.BUSY
    if client.has_unprocessed_input:
        return EvictionKind.PROCESSING
    if not client.idle:
        stopped = now_s - client.last_input_s >= PARTIAL_GRACE_S
        return EvictionKind.PARTIAL if stopped else EvictionKind.YOUNG
    if not client.never_requested:
        return EvictionKind.BETWEEN_REQUESTS
    aged = now_s - client.last_activity_s >= UNUSED_GRACE_S
    return EvictionKind.UNUSED if aged else EvictionKind.YOUNG
