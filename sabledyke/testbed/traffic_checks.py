"""What is checked of the requests that reach storage nodes: nothing runs twice, no cold node is overloaded.

Pure: the caller says when each request came.
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
        at_s: When it came.
        shard: The node's shard.
        request_id: The request that brought it.
    """

    at_s: float
    shard: int
    request_id: str


class DeduplicationCheck:
    """Counts how often each idempotency key ran, and where.

    Attributes:
        runs: How often, by key.
        violations: How many runs were repeats at another shard or after the window, which no node drops.
    """

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.violations = 0
        self._arrivals: dict[str, list[Run]] = {}

    def on_run(self, key: str, shard: int, now_s: float, request_id: str = "") -> None:
        """Count a run; the nodes of its shard drop a repeat within the window together."""
        arrivals = self._arrivals.setdefault(key, [])
        arrivals.append(Run(now_s, shard, request_id))
        first = arrivals[0]
        self.runs[key] += 1
        if first.shard != shard or now_s > first.at_s + DEDUPLICATION_WINDOW_MS / 1000:
            self.violations += 1

    def sent_again_by_clients(self) -> list[str]:
        """Return the keys that came under more than one request: their clients sent what had run before.

        A scheduler's own repeat comes under the same request; ``RepeatCheck`` says whether it was in order.
        """
        return [
            key for key, arrivals in self._arrivals.items() if len({run.request_id for run in arrivals}) > 1
        ]

    def describe_repeats(self) -> str:
        """Return the arrivals of each key that came more than once, so that its repeats can be traced."""
        lines = [f"{key}: {arrivals}" for key, arrivals in self._arrivals.items() if len(arrivals) > 1]
        return "\n".join(lines)


class ConnectionState(Enum):
    """What a node sees of the connection that an attempt came on."""

    OPEN = "open"
    CLOSED = "closed"
    RESET = "reset"  # also where the scheduler closed it before it had read all that was sent


@dataclass(slots=True)
class Arrival:
    """One attempt of a request, as a node saw it.

    Attributes:
        at_s: When it came.
        is_answered: Whether the node has sent its answer.
        is_answer_read: Whether the scheduler has read that, as its connection was used again.
        end: How its connection ended, as far as was seen; ``OPEN`` before.
    """

    at_s: float
    is_answered: bool = False
    is_answer_read: bool = False
    end: ConnectionState = ConnectionState.OPEN

    @property
    def is_given_up(self) -> bool:
        """Whether the scheduler has ended it before it read an answer."""
        if not self.is_answered:
            return self.end is not ConnectionState.OPEN
        return self.end is ConnectionState.RESET and not self.is_answer_read


class RepeatCheck:
    """Checks that a request comes again only once its attempt before was cancelled or lost.

    For deployments without second copies. An attempt that was answered counts as lost where its connection
    was reset over the unread answer.

    Attributes:
        allowed: The repeats that were in order, each with what was seen of the attempt before.
        untimely: Those that were not.
    """

    def __init__(self, state_of: Callable[[Any], ConnectionState]) -> None:
        """Make a check.

        Args:
            state_of: Returns the state of a connection now.
        """
        self.allowed: list[str] = []
        self.untimely: list[str] = []
        self._state_of = state_of
        self._arrivals: dict[str, list[tuple[Arrival, Any]]] = {}  # with their connections, by request
        self._latest: WeakKeyDictionary[Any, Arrival] = WeakKeyDictionary()  # by connection

    def on_arrival(self, request_id: str, connection: Any, now_s: float) -> Arrival:
        """Process that an attempt of a request has come on this connection."""
        before = self._latest.get(connection)
        if before is not None:
            before.is_answer_read = before.is_answered
        attempts = self._arrivals.setdefault(request_id, [])
        for earlier, its_connection in attempts:
            if earlier.end is ConnectionState.OPEN:
                earlier.end = self._state_of(its_connection)
            repeats = self.allowed if earlier.is_given_up else self.untimely
            repeats.append(f"{request_id}: again after {now_s - earlier.at_s:.3f} s, {earlier}")
        arrival = Arrival(now_s)
        self._latest[connection] = arrival
        attempts.append((arrival, connection))
        return arrival


@dataclass(slots=True)
class _WarmingNode:
    started_at_s: float
    recent_s: deque[float] = field(default_factory=deque)  # when its latest requests came


class SlowStartCheck:
    """Compares what nodes are sent after a restart with what would overload them.

    Attributes:
        max_load: The most that a cold node was sent, over what makes it fail; 1 or more is a failure.
    """

    def __init__(self, warm_up_s: float) -> None:
        self.max_load = 0.0
        self._warm_up_s = warm_up_s
        self._warming_nodes: dict[int, _WarmingNode] = {}

    def on_restart(self, number: int, now_s: float) -> None:
        """A node started again, and is cold."""
        self._warming_nodes[number] = _WarmingNode(now_s)

    def on_request(self, number: int, now_s: float) -> None:
        """A request reached a node."""
        node = self._warming_nodes.get(number)
        if node is None:
            return
        node.recent_s.append(now_s)
        while node.recent_s[0] < now_s - SLOW_START_WINDOW_S:
            node.recent_s.popleft()
        self.max_load = max(self.max_load, len(node.recent_s) / self._max_requests(node))
        if now_s > node.started_at_s + self._warm_up_s + SLOW_START_WINDOW_S:
            del self._warming_nodes[number]

    def _max_requests(self, node: _WarmingNode) -> float:
        """Return the number of requests in the window at which the node fails."""
        warm_up = (node.recent_s[0] - node.started_at_s) / self._warm_up_s
        fraction = min(1.0, SLOW_START_FRACTION + (1 - SLOW_START_FRACTION) * warm_up)
        capacity = NODE_CAPACITY_UNITS_PER_S * SLOW_START_WINDOW_S
        return max(SLOW_START_MIN_REQUESTS, OVERLOAD_MULTIPLE * capacity * fraction)
