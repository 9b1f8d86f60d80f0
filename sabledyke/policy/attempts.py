"""Attempts: their start, and the effect of their outcomes on the node's statistics and on the request."""

from __future__ import annotations

from math import inf

from sabledyke.policy.actions import RejectReason, StartAttempt
from sabledyke.policy.collaborators import Collaborators
from sabledyke.policy.concurrency import smoothing_weight
from sabledyke.policy.events import AttemptCompleted, Outcome, PossibleExecution
from sabledyke.policy.state import NodeRecord, PendingRequest

# Outcomes after which the request may still be running at the node.
MAY_STILL_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
# Outcomes with which a draining node refuses or interrupts requests: it is then sent no more of them.
DRAIN_ENDING = (Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.RESET)
# Outcomes in which the node itself responded.
RESPONSES = (Outcome.OK, Outcome.ERROR, Outcome.REJECTED)
MIN_TIMEOUT_MS = 1.0


class AttemptTracker:
    """Starts attempts and processes their outcomes."""

    def __init__(self, collaborators: Collaborators) -> None:
        self._context = collaborators.context
        self._directory = collaborators.directory
        self._requests = collaborators.requests
        self._quotas = collaborators.quotas
        self._retries = collaborators.retries
        self._concurrency = collaborators.concurrency
        self._outliers = collaborators.outliers

    def start(self, pending: PendingRequest, node: NodeRecord) -> None:
        """Starts an attempt and adds it to the statistics, budgets and limits that count attempts.

        The attempt times out when the request's full value ends: a later answer earns little, and the attempt
        would take up capacity that other requests can use.
        """
        now_ms = self._context.now_ms
        units = pending.request.units
        number = pending.attempts_started
        if number:
            self._retries.on_retry()
        else:
            self._quotas.charge_limit(pending)
        pending.attempts_started = number + 1
        pending.open_attempts[number] = node
        pending.waiting = False
        node.in_flight[pending.request.id, number] = now_ms, units
        node.in_flight_units += units
        node.sent_units += units
        node.recent_sends.append((now_ms, units))
        while node.recent_sends[0][0] < now_ms - self._context.settings.overload_window_ms:
            node.recent_sends.popleft()
        self._outliers.schedule_probe(node)
        timeout_ms = max(MIN_TIMEOUT_MS, pending.full_value_until_ms - now_ms)
        self._context.emit(StartAttempt(pending.request.id, node.entry.node_id, timeout_ms))

    def on_completed(self, event: AttemptCompleted) -> None:
        """Processes an attempt's outcome; the outcome of an attempt that is no longer open is ignored."""
        pending = self._requests.requests.get(event.request_id)
        if pending is None or event.attempt not in pending.open_attempts:
            return
        node = pending.open_attempts.pop(event.attempt)
        released = node.in_flight.pop((event.request_id, event.attempt), (self._context.now_ms, 0.0))
        sent_ms, units = released
        node.in_flight_units -= units
        self._concurrency.close_period(node)
        self._note_possible_execution(pending, node, event.outcome, sent_ms)
        self._note_response(node, event.outcome)
        self._update_estimates(pending, node, event, sent_ms, units)
        self._decide(pending, node, event)
        self._directory.mark_active(node)

    def _note_possible_execution(
        self, pending: PendingRequest, node: NodeRecord, outcome: Outcome, sent_ms: float
    ) -> None:
        if outcome in DRAIN_ENDING:
            node.draining_since_ms = -inf
        if outcome in MAY_STILL_RUN:
            self._requests.delay_order(pending)
        if outcome in MAY_STILL_RUN or outcome is Outcome.ERROR:
            pending.possible_execution = pending.possible_execution or PossibleExecution(sent_ms, node.entry)

    def _note_response(self, node: NodeRecord, outcome: Outcome) -> None:
        if outcome not in RESPONSES:
            return
        weight = smoothing_weight(self._context, node.last_response_ms)
        node.error_rate += weight * ((outcome is Outcome.ERROR) - node.error_rate)
        self._outliers.on_response(node)

    def _update_estimates(
        self, pending: PendingRequest, node: NodeRecord, event: AttemptCompleted, sent_ms: float, units: float
    ) -> None:
        """Updates the estimates of the node's latency and of the rate of lost answers."""
        outcome = event.outcome
        if outcome is Outcome.OK:
            self._on_success(pending, node, event, sent_ms, units)
        elif outcome is Outcome.NO_CONNECTION and sent_ms > node.last_response_ms:
            self._outliers.mark_unresponsive(node)
        elif outcome in (Outcome.REJECTED, Outcome.TIMEOUT) and units:
            elapsed_ms = max(event.elapsed_ms, self._context.shortest_objective_ms)
            self._concurrency.on_answer(node, elapsed_ms, units)
        elif outcome is Outcome.RESET and node.last_response_ms > sent_ms:
            self._outliers.on_answer_lost()

    def _on_success(
        self, pending: PendingRequest, node: NodeRecord, event: AttemptCompleted, sent_ms: float, units: float
    ) -> None:
        # The answer may have waited while this scheduler was stalled; the stall is no latency of the node.
        without_stall_ms = event.elapsed_ms - self._context.batch_lateness_ms
        elapsed_ms = max(min(node.latency_ms, event.elapsed_ms), without_stall_ms)
        self._concurrency.on_answer(node, elapsed_ms, units)
        node.overtaken_ms = max(node.overtaken_ms, sent_ms)
        self._outliers.on_answer_received()
        node.answer_count += 1
        if self._context.now_ms > pending.due_ms:
            node.late_count += 1
        else:
            node.served_units += units

    def _decide(self, pending: PendingRequest, node: NodeRecord, event: AttemptCompleted) -> None:
        """Completes the request, retries it or rejects it."""
        if event.request_completed or pending.completed or event.outcome is Outcome.OK:
            self._requests.complete(pending)
            return
        if pending.open_attempts or pending.waiting:
            return
        if event.outcome is not Outcome.TIMEOUT and self._retries.may_retry(pending, node):
            self._requests.request_selection(pending)
        else:
            self._requests.reject(pending, RejectReason.ATTEMPTS)
