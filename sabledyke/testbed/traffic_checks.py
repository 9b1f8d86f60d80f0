"""What is checked of the requests that reach storage nodes: nothing runs twice, no cold node is overloaded.

Pure: the caller says when each request came.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

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

        A scheduler's own repeat comes under the same request. Within the window and at the same shard the
        protocol allows it, where the earlier attempt was cancelled or lost.
        """
        return [
            key for key, arrivals in self._arrivals.items() if len({run.request_id for run in arrivals}) > 1
        ]

    def describe_repeats(self) -> str:
        """Return the arrivals of each key that came more than once, so that its repeats can be traced."""
        lines = [f"{key}: {arrivals}" for key, arrivals in self._arrivals.items() if len(arrivals) > 1]
        return "\n".join(lines)


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
