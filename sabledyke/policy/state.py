"""What the scheduler remembers of volumes, requests and storage nodes.

These records hold no decisions; each is changed by the module that owns the decision it serves. Times are
milliseconds on the scheduler's clock, sizes units.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from math import inf

from sabledyke.policy.events import PossibleExecution, Request
from sabledyke.policy.nodes import NodeEntry, NodeState
from sabledyke.policy.settings import Plan, RequestClass


@dataclass(slots=True, eq=False)
class VolumeState:
    """A volume's token buckets at this scheduler: its share of the plan's reservation and limit.

    Attributes:
        quota_share: The share of both that this scheduler has.
        refilled_ms: Up to when the buckets were filled.
        share_stated_ms: When a request last stated this share.
    """

    plan: Plan
    quota_share: float
    reserved_tokens: float
    limit_tokens: float
    refilled_ms: float
    share_stated_ms: float


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that was accepted and is not forgotten yet.

    Attributes:
        due_ms: Queue order: arrival plus latency objective, capped by the deadline.
        full_value_until_ms: Until when an answer earns the full value, counted from the client's first try.
        admission_draw: Its random draw from 0 to 1 where admission to a warming node is by chance.
        value: What a timely answer earns, per unit.
        open_attempts: Attempts that have not ended, by number.
        possible_execution: When and where it was first sent such that it may have run.
        waiting: It is queued at a node, or waits for a node to be selected.
        completed: It has its final answer, or needs none any more.
    """

    request: Request
    request_class: RequestClass
    volume: VolumeState
    due_ms: float
    full_value_until_ms: float
    reserved: bool
    admission_draw: float
    value: float = 0.0
    attempts_started: int = 0
    open_attempts: dict[int, NodeRecord] = field(default_factory=dict)
    possible_execution: PossibleExecution | None = None
    waiting: bool = False
    completed: bool = False

    @property
    def order_key(self) -> int:
        """The data key by which it must run in order; 0 for none."""
        return self.request.data_key if self.request_class.ordered else 0


@dataclass(slots=True, eq=False)
class KindStatistics:
    """Recent statistics of the nodes of one kind."""

    window_units: float
    latency_ms: float
    budget_units: float
    latency_updated_ms: float
    requested_units: float = 0.0  # from warm nodes, over their recent periods
    served_units: float = 0.0  # of those, within the latency objective


@dataclass(slots=True, eq=False)
class NodeRecord:
    """What this scheduler knows of a storage node.

    Attributes:
        budget_units: What may be sent in one period.
        window_units: The in-flight limit.
        latency_ms: Smoothed answer time.
        period_number: The current period.
        latency_updated_ms: When an answer last updated ``latency_ms``.
        decayed_ms: Up to when old statistics have decayed towards those of the kind.
        listed_ms: When it was first listed, or listed with a new start.
        warming_since_ms: When its warm-up began.
        sent_units: Sent in this period.
        requested_units: Requested in this period, or carried over in the queue.
        served_units: Served in this period within the latency objective.
        answer_count: Successful answers in this period; ``late_count`` of them came past their due time.
        strained: In the last period the budget was used up and answers were late.
        recent_served_units: ``served_units`` of the last periods.
        period_loads: Load for each active volume, of the periods in the admission lookback.
        sessions: When each active volume last sent a request here.
        in_flight: Start time and units of attempts, by request id and attempt number.
        recent_sends: Time and units of what was sent within the overload window.
        attempts_since_response: Attempts since the last sign that the node responds.
        error_rate: Smoothed fraction of its answers that were errors.
        overtaken_ms: Attempts sent before this were overtaken by a later one that was answered.
        window_reduced_ms: When the in-flight limit last shrank.
        unresponsive_since_ms: Since when it has not responded; inf while it responds.
        next_probe_ms: When an unresponsive node may next be sent a request.
        draining_since_ms: When it was listed as draining, while it still serves.
    """

    entry: NodeEntry
    budget_units: float
    window_units: float
    latency_ms: float
    period_number: int
    latency_updated_ms: float = 0.0
    decayed_ms: float = 0.0
    listed_ms: float = 0.0
    warming_since_ms: float = -inf
    sent_units: float = 0.0
    requested_units: float = 0.0
    served_units: float = 0.0
    answer_count: int = 0
    late_count: int = 0
    strained: bool = False
    recent_served_units: deque[float] = field(default_factory=deque)
    period_loads: deque[float] = field(default_factory=deque)
    sessions: dict[int, float] = field(default_factory=dict)
    queue: list[PendingRequest] = field(default_factory=list)
    in_flight: OrderedDict[tuple[int, int], tuple[float, float]] = field(default_factory=OrderedDict)
    in_flight_units: float = 0.0
    recent_sends: deque[tuple[float, float]] = field(default_factory=deque)
    last_response_ms: float = -inf
    attempts_since_response: int = 0
    error_rate: float = 0.0
    overtaken_ms: float = -inf
    window_reduced_ms: float = -inf
    unresponsive_since_ms: float = inf
    next_probe_ms: float = -inf
    draining_since_ms: float = -inf

    @property
    def ready(self) -> bool:
        """Whether discovery lists it as ready."""
        return self.entry.state is NodeState.READY

    @property
    def unresponsive(self) -> bool:
        """Whether it has stopped responding."""
        return self.unresponsive_since_ms < inf

    @property
    def busy(self) -> bool:
        """Whether requests are queued or in flight here."""
        return bool(self.queue or self.in_flight)
