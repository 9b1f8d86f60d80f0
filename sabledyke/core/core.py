"""Processing of requests between front ends and storage nodes, from submission to the final answer.

Front ends submit a ``ClientRequest`` and get one ``Answer`` for each; transports start and cancel attempts
and report one ``AttemptResult`` for each; ``Scheduler.handle`` makes the decisions. The core uses no wire
protocol, socket or clock: each call is given the time in milliseconds, and the driver calls ``run_batch``
when events wait or a timer is due.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable

from sabledyke import log
from sabledyke.core.final_answers import SHUTDOWN_POLL_MS, FinalAnswers
from sabledyke.core.known_nodes import listed_entry, takes_attempt, update_nodes
from sabledyke.core.open_request import (
    ANSWER_GUARD_MS,
    OpenRequest,
    SentAttempt,
    policy_request,
)
from sabledyke.core.timers import TimerQueue
from sabledyke.core.types import (
    EXPIRED_UNSENT,
    Answer,
    AttemptResult,
    ClientRequest,
    EndpointSource,
    Transport,
)
from sabledyke.invariants import check, report_violation
from sabledyke.metrics import Metrics
from sabledyke.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdle,
    Fail,
    FetchList,
    Log,
    Reject,
    SetTimer,
    StartAttempt,
    WatchList,
)
from sabledyke.policy.events import (
    AttemptCompleted,
    ClientDisconnected,
    Event,
    Outcome,
    PossibleExecution,
    TimerFired,
)
from sabledyke.policy.nodes import EndpointList, NodeEntry, NodeId, NodeState
from sabledyke.policy.scheduler import Scheduler
from sabledyke.policy.settings import Settings


class Core:
    """Passes batches of events to the policy and carries out its actions.

    Attributes:
        settings: The settings in force.
        scheduler: The policy.
        transport: The transport that sends attempts to nodes.
        lists: Discovery, the source of the endpoint list.
        nodes: Known entries of the endpoint list, by node.
        metrics: Counters of attempts, answers and rejections.
        last_request_id: Number of the newest request; 0 before the first.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        transport: Transport,
        lists: EndpointSource,
        wake: Callable[[], None],
    ) -> None:
        """Make a core without requests.

        Args:
            settings: The settings.
            seed: The seed of the policy's random choices.
            transport: The transport that sends attempts to nodes.
            lists: Discovery, the source of the endpoint list.
            wake: Called when the first event of a batch is queued.
        """
        self.settings = settings
        self.scheduler = Scheduler(settings, seed)
        self.transport = transport
        self.lists = lists
        self.nodes: dict[NodeId, NodeEntry] = {}
        self.metrics = Metrics()
        self._wake = wake
        self._events: list[Event] = []
        self._timers = TimerQueue()
        self._answers = FinalAnswers(
            self.metrics,
            self._timers,
            settings.max_retry_after_ms,
            lambda request_id: self._add_event(ClientDisconnected(request_id)),
        )
        self._requests = self._answers.requests
        self.last_request_id = 0

    @property
    def unanswered(self) -> int:
        """Number of requests that wait for an answer."""
        return sum(not request.answered for request in self._requests.values())

    @property
    def open_requests(self) -> list[OpenRequest]:
        """Requests that wait for an answer or for the outcome of an attempt."""
        return list(self._requests.values())

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings; requests that are already accepted keep their class and deadline."""
        self.settings = settings
        self._answers.max_retry_after_ms = settings.max_retry_after_ms
        self.scheduler.apply_settings(settings)

    def shut_down_by(self, now_ms: float, answer_by_ms: float, available_again_at_ms: float) -> None:
        """Answer every request by a given time, at which the process ends.

        Guards against an exit that leaves accepted requests without an answer. A request that is still
        unanswered at that time is rejected if it has certainly not run or may be repeated, and else failed.

        Args:
            now_ms: The time.
            answer_by_ms: Time of the last answer.
            available_again_at_ms: Expected time at which a server is available again for rejected clients.
        """
        self._answers.shut_down_by(answer_by_ms, available_again_at_ms)
        self.scheduler.shut_down_by(now_ms, self._answers.answer_all_by_ms)

    def submit(self, now_ms: float, client_request: ClientRequest, done: Callable[[Answer], None]) -> int:
        """Accept a request and pass it to the policy with the next batch.

        Args:
            now_ms: The time.
            client_request: The request.
            done: Called once with the answer, and never before this call returns.

        Returns:
            The request's number.
        """
        self.last_request_id += 1
        request_id = self.last_request_id
        self._requests[request_id] = OpenRequest(
            client_request=client_request,
            request_class=self.settings.classes[client_request.class_index],
            deadline_ms=min(now_ms + client_request.remaining_ms, self._answers.answer_all_by_ms),
            done=done,
            first_execution=client_request.possible_execution,
        )
        self._timers.add_answer_guard(now_ms + client_request.remaining_ms - ANSWER_GUARD_MS, request_id)
        self._add_event(policy_request(request_id, client_request))
        return request_id

    def on_client_disconnected(self, request_id: int) -> None:
        """Close a request whose client has disconnected; it gets no answer."""
        self._answers.on_client_disconnected(request_id)

    def on_attempt_completed(self, now_ms: float, request_id: int, number: int, end: AttemptResult) -> None:
        """Process the one result of an attempt; a served request is answered at once."""
        request = self._requests.get(request_id)
        is_in_flight = request is not None and number in request.in_flight
        if not check(is_in_flight, "one outcome per attempt", f"{request_id}"):
            if end.body_stream is not None:
                end.body_stream.close()
            return
        assert request is not None
        attempt = request.in_flight.pop(number)
        self.metrics.count_attempt(end.outcome, may_have_run=end.may_have_run)
        if end.may_have_run and request.first_execution is None:
            request.first_execution = PossibleExecution(*attempt)
        if end.outcome is Outcome.OK and not request.answered:
            self._answers.serve(request_id, end.body, end.body_stream)
        elif end.body_stream is not None:
            end.body_stream.close()
        self._add_event(
            AttemptCompleted(
                request_id,
                attempt.node.node_id,
                number,
                end.outcome,
                request.answered,
                now_ms - attempt.sent_at_ms - end.held_back_ms,
                end.used_percent,
                end.other_schedulers_units,
                end.load_report,
            )
        )
        self._answers.forget_if_finished(request_id)

    def on_endpoint_list(self, update: EndpointList) -> list[NodeId]:
        """Process an update of the endpoint list; return the nodes that were removed."""
        removed = update_nodes(self.nodes, update)
        self._add_event(update)
        return removed

    def may_write(self, now_ms: float, request_id: int, number: int) -> bool:
        """Return whether an attempt may be written now that its connection is established.

        Guards against sends for a client that has disconnected, to a node that drains or was restarted in the
        meantime, past the client's deadline, and past the deduplication window. An attempt that may not be
        written has not run.
        """
        request = self._requests.get(request_id)
        if request is None or request.answered or number not in request.in_flight:
            return False
        if request.attempt_time_ms(now_ms) <= 0 or not request.client_request.client_connected():
            return False
        attempt = request.in_flight[number]
        if not takes_attempt(self.nodes, attempt, now_ms, self.settings.drain_grace_ms):
            return False
        return request.may_run_at(attempt.node, now_ms, excluding=number)

    def has_attempts_at(self, node: NodeId) -> bool:
        """Return whether an attempt is in flight at a node."""
        return any(request.has_attempt_at(node) for request in self._requests.values())

    def next_batch_due(self) -> float | None:
        """Return the time of the next ``run_batch`` call without new events; None if no timer is set."""
        return self._timers.next_due_ms

    def run_batch(self, now_ms: float) -> None:
        """Pass all events and due timers to the policy, and carry out its actions."""
        due = self._timers.pop_due(now_ms)
        self._events.extend(TimerFired(token) for token in due.policy_tokens)
        if due.shutdown_poll:
            self._timers.add_shutdown_poll(now_ms + SHUTDOWN_POLL_MS)
        for action in self._decide(now_ms):
            self._carry_out(now_ms, action)
        self._answers.answer_remaining(now_ms)
        for request_id in due.guarded_requests:
            self._answers.fail_if_unanswered(now_ms, request_id)

    def _decide(self, now_ms: float) -> list[Action]:
        events = self._events
        if not events:
            return []
        self._events = []
        try:
            return self.scheduler.handle(now_ms, events)
        # An error in one decision must not end the process and drop its requests.
        except Exception:
            log.emit("fault", traceback.format_exc())
            report_violation("the module decides without a fault")
            return []

    def _carry_out(self, now_ms: float, action: Action) -> None:
        match action:
            case StartAttempt(request_id, node, timeout_ms):
                self._start_attempt(now_ms, request_id, node, timeout_ms)
            case Reject(request_id, after_ms):
                self._answers.reject(now_ms, request_id, after_ms, action.reason)
            case Fail(request_id):
                self._answers.fail(request_id, action.reason)
            case CancelAttempt(request_id, number):
                self._cancel_attempt(request_id, number)
            case SetTimer(token, delay_ms):
                self._timers.add_policy_timer(now_ms + delay_ms, token)
            case CloseIdle(node):
                self.transport.close_idle(node)
            case Log(text):
                log.emit("module", text)
            case WatchList(on):
                self.lists.watch(on=on)
            case FetchList():
                self.lists.fetch()
            case _:
                report_violation("the module asks only for what is allowed here", repr(action))

    def _start_attempt(self, now_ms: float, request_id: int, node: NodeId, timeout_ms: float) -> None:
        request = self._requests.get(request_id)
        is_open = request is not None and not request.answered
        if not check(is_open, "no send after the end", f"{request_id}"):
            return
        assert request is not None
        entry = listed_entry(self.nodes, node)
        number = request.attempt_count
        request.attempt_count += 1
        may_run = request.may_run_at(entry, now_ms)
        check(may_run, "no repeat beyond its key", f"request {request_id}")
        request.in_flight[number] = SentAttempt(now_ms, entry)
        request.client_request.last_node = entry
        remaining_ms = request.attempt_time_ms(now_ms)
        is_allowed = may_run and entry.state is not NodeState.GONE and number < self.settings.max_attempts
        if not is_allowed or remaining_ms <= 0:
            self.on_attempt_completed(now_ms, request_id, number, EXPIRED_UNSENT)
            return
        limit_ms = min(timeout_ms, remaining_ms) if timeout_ms else remaining_ms
        self.transport.start(request_id, number, node, request.client_request, limit_ms)

    def _cancel_attempt(self, request_id: int, number: int) -> None:
        request = self._requests.get(request_id)
        if request is not None and number in request.in_flight:
            self.transport.cancel(request_id, number)

    def _add_event(self, event: Event) -> None:
        if not self._events:
            self._wake()
        self._events.append(event)
