"""The one final answer of each request: decided by the policy, by the deadline or by the shutdown.

Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from sabledyke.core.open_request import GUARD_POSTPONEMENT_MS, OpenRequest
from sabledyke.core.timers import TimerQueue
from sabledyke.core.types import Answer, AnswerStatus, BodyStream
from sabledyke.invariants import check, report_violation
from sabledyke.metrics import Metrics
from sabledyke.policy.actions import RejectReason

# Interval between checks for new requests after the time by which a shutdown answers all requests.
SHUTDOWN_POLL_MS = 10.0


class FinalAnswers:
    """Answers the requests of one core, and drops them once they have no attempt in flight.

    Attributes:
        requests: Requests that wait for an answer or for the outcome of an attempt, by number.
        max_retry_after_ms: Longest delay after which a client may be asked to retry.
        answer_all_by_ms: Time by which all requests are answered; inf without a shutdown.
    """

    def __init__(
        self,
        metrics: Metrics,
        timers: TimerQueue,
        max_retry_after_ms: float,
        on_closed: Callable[[int], None],
    ) -> None:
        """Create the table of answers for a core without requests.

        Args:
            metrics: Counters of answers and rejections.
            timers: The core's timers.
            max_retry_after_ms: Longest delay after which a client may be asked to retry.
            on_closed: Called with the number of each request that ends without a decision of the policy.
        """
        self.requests: dict[int, OpenRequest] = {}
        self.max_retry_after_ms = max_retry_after_ms
        self.answer_all_by_ms = inf
        self._available_again_at_ms = inf
        self._metrics = metrics
        self._timers = timers
        self._on_closed = on_closed

    def shut_down_by(self, answer_by_ms: float, available_again_at_ms: float) -> None:
        """Answer every request by a given time; the earliest time of all calls counts.

        Args:
            answer_by_ms: Time of the last answer.
            available_again_at_ms: Expected time at which a server is available again for rejected clients.
        """
        self.answer_all_by_ms = min(self.answer_all_by_ms, answer_by_ms)
        self._available_again_at_ms = available_again_at_ms
        for request in self.requests.values():
            request.deadline_ms = min(request.deadline_ms, self.answer_all_by_ms)
        self._timers.add_shutdown_poll(self.answer_all_by_ms)

    def serve(self, request_id: int, body: bytes, body_stream: BodyStream | None = None) -> None:
        """Answer an unanswered request with the body from a storage node; the caller drops the request."""
        self._answer(request_id, Answer(AnswerStatus.SERVED, body, body_stream=body_stream))

    def reject(self, now_ms: float, request_id: int, advised_ms: float, reason: RejectReason) -> None:
        """Reject a request unless it is already answered; its client may retry after the advised delay."""
        retry_after_ms = self._retry_after_ms(now_ms, advised_ms)
        self._finish(request_id, Answer(AnswerStatus.REJECTED, retry_after_ms=retry_after_ms), reason)

    def fail(self, request_id: int, reason: RejectReason) -> None:
        """Fail a request unless it is already answered."""
        self._finish(request_id, Answer(AnswerStatus.FAILED), reason)

    def on_client_disconnected(self, request_id: int) -> None:
        """Close a request whose client has disconnected; it gets no answer."""
        request = self.requests.get(request_id)
        if request is not None and not request.answered:
            request.answered = True
            self._close(request_id)

    def forget_if_finished(self, request_id: int) -> None:
        """Drop a request that is answered and has no attempt in flight."""
        request = self.requests.get(request_id)
        if request is not None and request.finished:
            del self.requests[request_id]

    def answer_remaining(self, now_ms: float) -> None:
        """Answer every request that is unanswered when the time of a shutdown has passed."""
        if now_ms < self.answer_all_by_ms:
            return
        unanswered = [number for number, request in self.requests.items() if not request.answered]
        for request_id in unanswered:
            may_be_rejected = self.requests[request_id].may_be_rejected
            status = AnswerStatus.REJECTED if may_be_rejected else AnswerStatus.FAILED
            answer = Answer(status, retry_after_ms=self._retry_after_ms(now_ms, 0.0))
            self._answer(request_id, answer, RejectReason.SHUTDOWN)
            self._close(request_id)

    def fail_if_unanswered(self, now_ms: float, request_id: int) -> None:
        """Fail a request whose deadline is near and that the policy has not answered.

        Guards against a policy that makes no decision: the client still gets its one answer in time. Attempts
        time out earlier. If one is still in flight, the process was delayed and the outcome is about to be
        reported; the answer is then postponed once, as the policy answers on that outcome.
        """
        request = self.requests.get(request_id)
        if request is None or request.answered:
            return
        if request.in_flight and not request.guard_postponed:
            request.guard_postponed = True
            self._timers.add_answer_guard(now_ms + GUARD_POSTPONEMENT_MS, request_id)
            return
        self._answer(request_id, Answer(AnswerStatus.FAILED), RejectReason.GUARD)
        self._close(request_id)
        report_violation("every request is answered by the module in time", f"request {request_id}")

    def _retry_after_ms(self, now_ms: float, advised_ms: float) -> float:
        """Return the advised delay, or in a shutdown the time until a server is available if longer."""
        if self._available_again_at_ms == inf:
            return advised_ms
        available_in_ms = self._available_again_at_ms - now_ms
        if available_in_ms <= advised_ms:
            return advised_ms
        return min(available_in_ms, self.max_retry_after_ms)

    def _finish(self, request_id: int, answer: Answer, reason: RejectReason) -> None:
        request = self.requests.get(request_id)
        if request is not None and not request.answered:
            self._answer(request_id, answer, reason)
            self.forget_if_finished(request_id)

    def _answer(self, request_id: int, answer: Answer, reason: RejectReason | None = None) -> None:
        request = self.requests[request_id]
        check(not request.answered, "one final answer", f"request {request_id}")
        request.answered = True
        self._metrics.count_answer(answer.status.value, request.request_class.name)
        if reason is not None:
            self._metrics.rejections[reason] += 1
        request.done(answer)

    def _close(self, request_id: int) -> None:
        """Notify the policy of a request that ended without its decision."""
        self._on_closed(request_id)
        self.forget_if_finished(request_id)
