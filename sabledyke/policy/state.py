"""Records of volumes, requests and storage nodes that the scheduler keeps between batches.

They make no decisions: each field is updated by the module whose decisions use it. Times are milliseconds on
the scheduler's clock, sizes units.
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
        quota_share: This scheduler's share of the reservation and of the limit.
        refilled_ms: Time up to which the buckets are refilled.
        share_stated_ms: Time at which a request last stated this share.
    """

    plan: Plan
    quota_share: float
    reserved_tokens: float
    limit_tokens: float
    refilled_ms: float
    share_stated_ms: float


@dataclass(slots=True, eq=False)
class PendingRequest:
    """An accepted request that is unanswered or still has open attempts.

    Attributes:
        due_ms: Queue order: arrival plus latency objective, capped by the deadline.
        full_value_until_ms: Latest time at which an answer earns the full value; initially ``due_ms``.
        admission_draw: Random number from 0 to 1 to compare with admission probabilities of warming nodes.
        value: Value of a timely answer, per unit.
        open_attempts: Attempts that have not ended, by number.
        possible_execution: Time and node of the first send after which the request may have run.
        waiting: True while the request is queued at a node or waits for the selection of one.
        completed: True once the request has its final answer or needs none any more.
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
        """Data key for which the request must run in order of arrival; 0 for none."""
        return self.request.data_key if self.request_class.ordered else 0


@dataclass(slots=True, eq=False)
class KindStatistics:
    """Recent statistics of the nodes of one kind."""

    window_units: float
    latency_ms: float
    budget_units: float
    latency_updated_ms: float
    requested_units: float = 0.0  # units requested from warm nodes in recent periods
    served_units: float = 0.0  # units that warm nodes served within the latency objective in these periods


@dataclass(slots=True, eq=False)
class NodeRecord:
    """State of a storage node, as this scheduler knows it.

    Attributes:
        budget_units: Units that may be sent to the node in one period.
        window_units: The in-flight limit.
        latency_ms: Smoothed answer time.
        period_number: Number of the node's current period.
        latency_updated_ms: Time at which an answer last updated ``latency_ms``.
        decayed_ms: Time up to which old statistics have decayed towards those of the kind.
        listed_ms: Time at which the node was first listed, or listed with a new start time.
        warming_since_ms: Start time of the node's warm-up.
        sent_units: Units sent to the node in this period.
        requested_units: Units requested in this period, or carried over in the queue.
        served_units: Units served in this period within the latency objective.
        answer_count: Successful answers in this period.
        late_count: Successful answers in this period that were received after the due time.
        strained: True if the budget was used up and answers were late in the last period.
        recent_served_units: ``served_units`` of the last periods.
        period_loads: Load per active volume, for each period in the admission lookback.
        sessions: Time of each volume's last request at the node, by volume.
        in_flight: Start time and units of attempts in flight, by request id and attempt number.
        recent_sends: Time and units of each send within the overload window.
        attempts_since_response: Attempts since the last response of the node.
        error_rate: Smoothed fraction of errors among the node's answers.
        overtaken_ms: Latest send time of an answered attempt; attempts sent earlier have been overtaken.
        window_reduced_ms: Time at which the in-flight limit was last reduced.
        unresponsive_since_ms: Time at which the node was marked as unresponsive; inf while it responds.
        next_probe_ms: Time from which an unresponsive node may be sent another request.
        draining_since_ms: Start of the drain; -inf if the node may not be sent requests while it drains.
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
        """True if discovery lists the node as ready."""
        return self.entry.state is NodeState.READY

    @property
    def unresponsive(self) -> bool:
        """True if the node is marked as unresponsive."""
        return self.unresponsive_since_ms < inf

    @property
    def busy(self) -> bool:
        """True if requests are queued or attempts in flight at the node."""
        return bool(self.queue or self.in_flight)
