"""The scheduler of one storage gateway: it takes batches of events and returns actions.

Each decision is made in a module of its own; the scheduler calls these modules in order. Normally a request
is sent to its node at once while the node's budget for the period has room. Further requests are queued and
sent by earliest due time (arrival plus latency objective, capped by the deadline). A volume that becomes
active at a node must pass an admission test. Times are milliseconds, sizes units.
"""

from __future__ import annotations

from math import ceil, inf

from sabledyke.policy.actions import Action, RejectReason, SetTimer, WatchList
from sabledyke.policy.admission import AdmissionControl
from sabledyke.policy.attempts import AttemptTracker
from sabledyke.policy.collaborators import Collaborators
from sabledyke.policy.concurrency import ConcurrencyLimiter
from sabledyke.policy.context import TICK_MS, Context
from sabledyke.policy.demand import Demand
from sabledyke.policy.discovery_schedule import DiscoverySchedule
from sabledyke.policy.dispatch import Dispatcher
from sabledyke.policy.events import (
    AnswerStarted,
    AttemptCompleted,
    ClientDisconnected,
    Event,
    Request,
    TimerFired,
)
from sabledyke.policy.node_directory import NodeDirectory
from sabledyke.policy.nodes import EndpointList, ListKind, NodeId
from sabledyke.policy.outlier import OutlierDetector
from sabledyke.policy.quota import VolumeQuotas
from sabledyke.policy.requests import RequestTable
from sabledyke.policy.retry import RetryPolicy
from sabledyke.policy.selection import NodeSelector
from sabledyke.policy.settings import RequestClass, Settings
from sabledyke.policy.slow_start import SlowStart
from sabledyke.policy.state import NodeRecord, PendingRequest

# Fraction of the allowed open requests above which queued requests of the lowest value are rejected.
CROWDED_FRACTION = 0.7
# Lowest value factor of a retry whose late answer earns nothing, so that an idle node still serves it.
MIN_RETRY_VALUE_FACTOR = 0.05
# Interval between evictions of idle records, and the idle time after which records may be evicted.
EVICTION_INTERVAL_MS = 10_000.0
# Timer tokens.
WAKE_TOKEN = 1
WATCH_TOKEN = 2
# Order of event types in a batch; other types come last. Endpoint lists and outcomes are processed before
# requests, as after a stall of the scheduler a single batch contains everything that happened meanwhile.
EVENT_ORDER = {
    event_type: order
    for order, event_type in enumerate((EndpointList, AnswerStarted, AttemptCompleted, Request))
}


class Scheduler:
    """Policy of one scheduler process. ``seed`` makes its random choices repeatable."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.context = context = Context(settings, seed)
        self.discovery = DiscoverySchedule(settings.scheduler_count)
        self.demand = Demand(context)
        self.directory = NodeDirectory(context)
        self.quotas = VolumeQuotas(context)
        self.retries = RetryPolicy(context, self.demand)
        self.slow_start = SlowStart(context, self.directory, self.demand)
        self.concurrency = ConcurrencyLimiter(context, self.directory, self.slow_start)
        self.requests = RequestTable(context, self.quotas, self.retries)
        self.outliers = OutlierDetector(context, self.requests, self.retries)
        collaborators = Collaborators(
            context,
            self.directory,
            self.requests,
            self.quotas,
            self.retries,
            self.concurrency,
            self.slow_start,
            self.outliers,
        )
        self.attempts = AttemptTracker(collaborators)
        self._selector = NodeSelector(collaborators, AdmissionControl(context))
        self._dispatcher = Dispatcher(collaborators, self.attempts)
        self._wake_at_ms = inf
        self._last_eviction_ms = -inf

    @property
    def nodes(self) -> dict[NodeId, NodeRecord]:
        """All known nodes, by id."""
        return self.directory.nodes

    def apply_settings(self, settings: Settings) -> None:
        """Puts new settings into force; classes and plans must keep their positions.

        The state of nodes and volumes is kept.
        """
        self.quotas.apply_settings(self.context.settings, settings)
        self.context.apply_settings(settings)
        self.discovery = DiscoverySchedule(settings.scheduler_count)
        self.directory.renumber_periods()

    def shut_down_by(self, now_ms: float, when_ms: float) -> None:
        """Limits all due times to ``when_ms``, at which the scheduler ends.

        The process that replaces this one takes over the limits of volumes.
        """
        self.quotas.hand_over(now_ms)
        self.context.shutdown_at_ms = min(self.context.shutdown_at_ms, when_ms)
        self.requests.shut_down_by(self.context.shutdown_at_ms)

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Processes the events that arrived by ``now_ms``, and returns the actions to carry out.

        Raises:
            ValueError: ``now_ms`` is before that of the last batch, or a request id is used twice.
        """
        self._begin_batch(now_ms)
        for event in sorted(events, key=lambda event: EVENT_ORDER.get(type(event), len(EVENT_ORDER))):
            self._on_event(event)
        for pending in self.requests.take_unassigned():
            self._selector.select(pending)
        for node in self.directory.active:
            self._dispatcher.dispatch_queue(node)
        self._shed_lowest_value()
        self._evict_idle()
        self.directory.drop_inactive()
        self._set_wake_timer()
        return self.context.actions

    def _begin_batch(self, now_ms: float) -> None:
        context = self.context
        if now_ms < context.now_ms:
            raise ValueError(f"time went back from {context.now_ms} to {now_ms}")
        context.now_ms = now_ms
        context.batch_lateness_ms = max(0.0, now_ms - self._wake_at_ms - TICK_MS)
        context.actions = []
        if context.started_at_ms == -inf:
            context.started_at_ms = now_ms
            if context.settings.polls_endpoint_list:
                self._set_watch_timer(self.discovery.first_call(context.random.random()))

    def _on_event(self, event: Event) -> None:
        match event:
            case EndpointList():
                self._on_endpoint_list(event)
            case AnswerStarted():
                if event.node_id in self.nodes:
                    self.outliers.on_response(self.nodes[event.node_id])
            case AttemptCompleted():
                self.attempts.on_completed(event)
            case Request():
                self._accept(event)
            case ClientDisconnected():
                if event.request_id in self.requests.requests:
                    self.requests.complete(self.requests.requests[event.request_id])
            case TimerFired():
                self._on_timer(event)

    def _on_timer(self, event: TimerFired) -> None:
        if event.token == WATCH_TOKEN:
            self.context.emit(WatchList())
        elif event.token == WAKE_TOKEN:
            self._wake_at_ms = inf

    def _on_endpoint_list(self, update: EndpointList) -> None:
        if update.kind is ListKind.FAILED:
            self._set_watch_timer(self.discovery.call_failed(self.context.random.random()))
            return
        self.discovery.call_answered()
        self.requests.unassigned += self.directory.on_endpoint_list(update)

    def _accept(self, request: Request) -> None:
        """Registers a request, and rejects it if its volume's limit would delay it past its full value."""
        if request.id in self.requests.requests:
            raise ValueError(f"request {request.id} was given twice")
        self.demand.on_arrival()
        self.retries.forget_old()
        pending = self._register(request)
        wait_ms = self.quotas.wait_for_limit_ms(pending)
        if wait_ms > max(0.0, pending.full_value_until_ms - self.context.now_ms):
            self.requests.reject(pending, RejectReason.LIMIT, wait_ms)
        else:
            self.requests.request_selection(pending)

    def _register(self, request: Request) -> PendingRequest:
        context = self.context
        request_class = context.settings.classes[request.class_index]
        objective_ms = request_class.latency_objective_ms
        volume = self.quotas.volume_of(request)
        reserved = self.quotas.reserve(volume, request.units)
        due_ms = min(context.now_ms + min(objective_ms, request.remaining_ms), context.shutdown_at_ms)
        pending = PendingRequest(
            request,
            request_class,
            volume,
            due_ms=due_ms,
            full_value_until_ms=due_ms,
            reserved=reserved,
            admission_draw=context.random.random(),
            possible_execution=request.possible_execution,
        )
        share = 1.0 if reserved else context.settings.share_value
        pending.value = share * request_class.value * volume.plan.value_factor
        if self._missed_objective(request, request_class):
            pending.value *= max(request_class.late_value, MIN_RETRY_VALUE_FACTOR)
        self.demand.on_value(pending.value)
        self.requests.add(pending)
        return pending

    def _missed_objective(self, request: Request, request_class: RequestClass) -> bool:
        """Returns whether the request is a client's retry that can only earn the value of a late answer.

        Only a request that its client marked as a retry counts as one, and its wait so far counts as at most
        the class's deadline. A missed objective lowers the value of the request but never rejects it: a node
        without more valuable requests may still serve it.
        """
        if not (request.repeated and self.context.settings.clients_mark_retries):
            return False
        return request_class.deadline_ms - request.remaining_ms >= request_class.latency_objective_ms

    def _shed_lowest_value(self) -> None:
        """Rejects queued requests of the lowest value while the open requests are close to their maximum.

        Each open request takes up a client connection: waiting requests must not keep more valuable ones from
        being accepted.
        """
        allowed = CROWDED_FRACTION * self.context.settings.max_open_requests
        if len(self.requests.requests) <= allowed:
            return
        open_count = sum(not pending.completed for pending in self.requests.requests.values())
        queued = [pending for node in self.directory.active for pending in node.queue]
        queued += self.requests.unassigned
        idle = [pending for pending in queued if not pending.open_attempts and not pending.completed]
        idle.sort(key=lambda pending: (pending.value, -pending.due_ms))
        for pending in idle[: max(0, ceil(open_count - allowed))]:
            self.requests.reject(pending, RejectReason.CROWD)

    def _evict_idle(self) -> None:
        """Drops records of idle volumes, data keys and removed nodes, so that memory stays bounded."""
        now_ms = self.context.now_ms
        if now_ms < self._last_eviction_ms + EVICTION_INTERVAL_MS:
            return
        self._last_eviction_ms = now_ms
        idle_since_ms = now_ms - max(EVICTION_INTERVAL_MS, self.context.settings.overload_window_ms)
        self.quotas.evict_full(idle_since_ms)
        self.requests.evict_settled_order()
        self.directory.evict_removed(idle_since_ms)

    def _set_wake_timer(self) -> None:
        if self._wake_at_ms == inf and (self.requests.unassigned or self.directory.active):
            self._wake_at_ms = self.context.now_ms + TICK_MS
            self.context.emit(SetTimer(WAKE_TOKEN, TICK_MS))

    def _set_watch_timer(self, delay_ms: float) -> None:
        self.context.emit(SetTimer(WATCH_TOKEN, delay_ms))
