"""Checks of the requests that reach storage nodes: for double execution, and overload in slow start.

The checks do no I/O: the caller provides the arrival times.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any
from weakref import WeakKeyDictionary

from sabledyke.testbed.deployment import (
    DEDUPLICATION_WINDOW_MS,
    NODE_CAPACITY_UNITS_PER_S,
    OVERLOAD_MULTIPLE,
    SLOW_START_FRACTION,
    SLOW_START_MIN_REQUESTS,
    SLOW_START_WINDOW_S,
)


@dataclass(slots=True, frozen=True)
class Run:
    """One arrival of a keyed write at a node.

    Attributes:
        at_s: The arrival time in seconds.
        shard: The node's shard.
        request_id: The id of the request that carried the write.
    """

    at_s: float
    shard: int
    request_id: str


class DeduplicationCheck:
    """Counts the runs of each idempotency key, and those that nodes cannot deduplicate.

    Attributes:
        runs: The number of runs, by key.
        violations: The number of repeats at another shard or after the window, which no node drops.
    """

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.violations = 0
        self._arrivals: dict[str, list[Run]] = {}

    def on_run(self, key: str, shard: int, now_s: float, request_id: str = "") -> None:
        """Count a run; the nodes of one shard drop each other's repeats within the window."""
        arrivals = self._arrivals.setdefault(key, [])
        arrivals.append(Run(now_s, shard, request_id))
        first = arrivals[0]
        self.runs[key] += 1
        if first.shard != shard or now_s > first.at_s + DEDUPLICATION_WINDOW_MS / 1000:
            self.violations += 1

    def keys_resent_by_clients(self) -> list[str]:
        """Return the keys that came under more than one request id: their clients sent a write again.

        A scheduler's repeat has the same request id; ``RepeatCheck`` checks that the protocol allows it.
        """
        return [
            key for key, arrivals in self._arrivals.items() if len({run.request_id for run in arrivals}) > 1
        ]

    def describe_repeats(self) -> str:
        """Return the arrivals of each key that came more than once, one key per line."""
        lines = [f"{key}: {arrivals}" for key, arrivals in self._arrivals.items() if len(arrivals) > 1]
        return "\n".join(lines)


class ConnectionState(Enum):
    """State of an attempt's connection, as the node sees it."""

    OPEN = "open"
    CLOSED = "closed"
    RESET = "reset"  # includes a close by the scheduler with unread input


@dataclass(slots=True)
class Arrival:
    """One attempt of a request, as a node saw it.

    Attributes:
        at_s: The arrival time in seconds.
        is_answered: True if the node has sent its answer.
        is_answer_read: True if the scheduler has read the answer, as a later use of the connection shows.
        end: The end of the connection as seen so far; ``OPEN`` before it.
    """

    at_s: float
    is_answered: bool = False
    is_answer_read: bool = False
    end: ConnectionState = ConnectionState.OPEN

    @property
    def is_abandoned(self) -> bool:
        """True if the scheduler ended the attempt, or lost its connection, before it read an answer."""
        if not self.is_answered:
            return self.end is not ConnectionState.OPEN
        return self.end is ConnectionState.RESET and not self.is_answer_read


class RepeatCheck:
    """Checks that a request is repeated only after its earlier attempts were cancelled or lost.

    It applies to deployments without hedged requests. An answered attempt counts as lost if its connection
    was reset before the answer was read.

    Attributes:
        allowed: Descriptions of allowed repeats, each with the earlier attempt.
        untimely: Descriptions of repeats after an attempt that was neither cancelled nor lost.
    """

    def __init__(self, state_of: Callable[[Any], ConnectionState]) -> None:
        """Create a check.

        Args:
            state_of: Returns the current state of a connection.
        """
        self.allowed: list[str] = []
        self.untimely: list[str] = []
        self._state_of = state_of
        self._arrivals: dict[str, list[tuple[Arrival, Any]]] = {}  # arrivals and connections, by request id
        self._latest: WeakKeyDictionary[Any, Arrival] = WeakKeyDictionary()  # latest arrival, by connection

    def on_arrival(self, request_id: str, connection: Any, now_s: float) -> Arrival:
        """Record the arrival of an attempt on a connection, and check each earlier attempt of its request."""
        before = self._latest.get(connection)
        if before is not None:
            before.is_answer_read = before.is_answered
        attempts = self._arrivals.setdefault(request_id, [])
        for earlier, its_connection in attempts:
            if earlier.end is ConnectionState.OPEN:
                earlier.end = self._state_of(its_connection)
            repeats = self.allowed if earlier.is_abandoned else self.untimely
            repeats.append(f"{request_id}: again after {now_s - earlier.at_s:.3f} s, {earlier}")
        arrival = Arrival(now_s)
        self._latest[connection] = arrival
        attempts.append((arrival, connection))
        return arrival


@dataclass(slots=True)
class _WarmingNode:
    started_at_s: float
    recent_s: deque[float] = field(default_factory=deque)  # arrival times in the window


class SlowStartCheck:
    """Compares the load of nodes in slow start with the load that makes them fail.

    Attributes:
        max_load: The highest load of a node in slow start, over the load that makes it fail; 1 is a failure.
    """

    def __init__(self, warm_up_s: float) -> None:
        self.max_load = 0.0
        self._warm_up_s = warm_up_s
        self._warming_nodes: dict[int, _WarmingNode] = {}

    def on_restart(self, number: int, now_s: float) -> None:
        """Record the restart of a node, which begins its slow start."""
        self._warming_nodes[number] = _WarmingNode(now_s)

    def on_request(self, number: int, now_s: float) -> None:
        """Count a request to a node, if the node is in slow start."""
        node = self._warming_nodes.get(number)
        if node is None:
            return
        node.recent_s.append(now_s)
        while node.recent_s[0] < now_s - SLOW_START_WINDOW_S:
            node.recent_s.popleft()
        self.max_load = max(self.max_load, len(node.recent_s) / self._overload_requests(node))
        if now_s > node.started_at_s + self._warm_up_s + SLOW_START_WINDOW_S:
            del self._warming_nodes[number]

    def _overload_requests(self, node: _WarmingNode) -> float:
        """Return the number of requests in the window at which the node fails."""
        warm_up = (node.recent_s[0] - node.started_at_s) / self._warm_up_s
        fraction = min(1.0, SLOW_START_FRACTION + (1 - SLOW_START_FRACTION) * warm_up)
        capacity = NODE_CAPACITY_UNITS_PER_S * SLOW_START_WINDOW_S
        return max(SLOW_START_MIN_REQUESTS, OVERLOAD_MULTIPLE * capacity * fraction)
