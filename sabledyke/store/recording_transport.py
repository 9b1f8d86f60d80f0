"""The driver of the record: a transport that wraps another, and a filter between the listeners and the core.

It carries out the decisions of ``IntentManager``. An attempt of a keyed write reaches the connection pool
after its intent is durable, and a served answer reaches its client after its journal entry is durable.
``BatchWriter`` writes both.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable
from dataclasses import replace

from sabledyke import log
from sabledyke.application.extensions import AnswerCallback, Submit
from sabledyke.core import ANSWER_GUARD_MS, Answer, AnswerStatus, AttemptResult, ClientRequest, Transport
from sabledyke.net import clock
from sabledyke.net.connection_pool import ReportAttempt
from sabledyke.policy.events import Outcome, PossibleExecution
from sabledyke.policy.nodes import NodeEntry, NodeId, NodeState, node_name
from sabledyke.policy.settings import Settings
from sabledyke.store.batch_writer import TICK_S, BatchWriter, Opener
from sabledyke.store.drift import DriftDetector
from sabledyke.store.effects import (
    AttemptId,
    BlockAttempt,
    CompleteWrite,
    Effect,
    ExpireAttempt,
    LogLine,
    SendAttempt,
)
from sabledyke.store.intent_manager import IntentManager
from sabledyke.store.open_requests import OpenWrite, SentAttempt, ServedAnswer, WaitingAttempt
from sabledyke.store.types import (
    OUTCOME_DEPARTED,
    OUTCOME_SERVED,
    DriftFinding,
    SendRecord,
    write_name,
)

# A served answer is passed on or fails this long before its deadline.
ANSWER_MARGIN_MS = ANSWER_GUARD_MS + 1000 * TICK_S + 10
MIN_TIMEOUT_MS = 1.0  # shortest timeout of an attempt whose intent became durable late
LOGGED_DIGEST_LENGTH = 12


class RecordingTransport:
    """The record's transport; a server has one.

    Attributes:
        intents: The decisions about the record.
        settings: The settings in force.
        writer: The driver of the database.
        drift: The detector of drift on the nodes.
        report: The callback for results of attempts.
        inner: The wrapped transport.
    """

    def __init__(
        self,
        intents: IntentManager,
        opener: Opener,
        settings: Settings,
        node_entry: Callable[[NodeId], NodeEntry],
    ) -> None:
        self.intents = intents
        self.settings = settings
        self.writer = BatchWriter(intents, opener, self._carry_out)
        self.drift = DriftDetector()
        self.report: ReportAttempt
        self.inner: Transport
        self._node_entry = node_entry
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[AttemptId, WaitingAttempt] = {}
        self._sent: dict[AttemptId, SentAttempt] = {}
        self._open_writes: dict[int, OpenWrite] = {}  # by request
        self._served: dict[int, ServedAnswer] = {}  # by ticket
        self._last_ticket = 0

    async def open(self) -> None:
        """Open the database and begin an incarnation.

        Raises:
            DatabaseError: The database cannot be opened or written.
        """
        windows = (request_class.deduplication_window_ms for request_class in self.settings.classes)
        await self.writer.open(max(windows))

    async def close(self) -> None:
        """Write the remaining entries for a bounded time, then close the database."""
        await self.writer.close()

    # Between the listeners and the core.

    def submit(self, request: ClientRequest, done: AnswerCallback, onward: Submit) -> int:
        """Pass a request to the core; reject keyed writes while they cannot be recorded.

        Args:
            request: The request.
            done: The callback for the final answer.
            onward: The function that submits a request to the core.

        Returns:
            The number of the request; 0 if it was rejected here.
        """
        now_ms = clock.now()
        name = write_name(request)
        if not request.write:
            return onward(request, lambda answer: self._on_read(request, now_ms, answer, done))
        if name and not self.intents.accepts_writes():
            retry_after_ms = self.intents.health.retry_after_ms(now_ms, self.settings.max_retry_after_ms)
            self._loop.call_soon(done, Answer(AnswerStatus.REJECTED, retry_after_ms=retry_after_ms))
            return 0
        if name:
            self._note_earlier_send(request, name)
        digest = hashlib.sha256(request.body).hexdigest()
        write = OpenWrite(request, name, now_ms, now_ms + request.remaining_ms - ANSWER_MARGIN_MS, digest)
        self.drift.on_write_began(write.piece)
        request_id = onward(request, lambda answer: self._on_answer(request_id, write, answer, done))
        self._open_writes[request_id] = write
        return request_id

    def on_client_departed(self, request_id: int) -> None:
        """Journal an open write whose client has disconnected; it has no answer."""
        write = self._open_writes.pop(request_id, None)
        if write is not None:
            self.drift.on_write_completed(clock.now(), write.piece, None)
            self._journal(write, OUTCOME_DEPARTED, None)

    def fail_pending_answers(self) -> None:
        """Fail all served answers that wait for their journal entries, which are recorded as unconfirmed.

        Guards against connections that close at the end of a shutdown while answers wait for a slow database.
        """
        self._carry_out(self.intents.fail_pending_answers())

    def _note_earlier_send(self, request: ClientRequest, name: str) -> None:
        first = self.intents.earlier_send(name)
        if first is not None:
            node = NodeEntry(b"", first.shard, first.zone, -1, 0.0, 1.0, NodeState.GONE)
            request.possible_execution = PossibleExecution(first.sent_at_ms, node)

    def _on_answer(self, request_id: int, write: OpenWrite, answer: Answer, done: AnswerCallback) -> None:
        self._open_writes.pop(request_id, None)
        served = answer.status is AnswerStatus.SERVED
        self.drift.on_write_completed(clock.now(), write.piece, write.digest if served else None)
        if not served or not write.name:
            self._journal(write, answer.status.value, None)
            done(answer)
            return
        self._last_ticket += 1
        self._served[self._last_ticket] = ServedAnswer(done, answer)
        self._journal(write, OUTCOME_SERVED, self._last_ticket)

    def _journal(self, write: OpenWrite, outcome: str, ticket: int | None) -> None:
        if not write.name:
            return
        class_name = self.settings.classes[write.request.class_index].name
        entry = write.journal_entry(clock.now(), class_name, outcome)
        self._carry_out(self.intents.on_write_completed(write.name, entry, ticket, write.deadline_ms))
        self.writer.schedule()

    def _on_read(
        self, request: ClientRequest, requested_at_ms: float, answer: Answer, done: AnswerCallback
    ) -> None:
        piece = request.volume, request.data_key
        is_whole = answer.status is AnswerStatus.SERVED and answer.body_stream is None
        if is_whole and self.drift.can_compare(requested_at_ms, piece):
            digest = hashlib.sha256(answer.body).hexdigest()
            node = node_name(request.last_node.node_id) if request.last_node else ""
            finding = self.drift.compare(clock.now(), requested_at_ms, piece, digest, node)
            if finding is not None:
                self._on_drift(finding)
        done(answer)

    def _on_drift(self, finding: DriftFinding) -> None:
        found = finding.found_digest[:LOGGED_DIGEST_LENGTH]
        expected = finding.expected_digest[:LOGGED_DIGEST_LENGTH]
        log.emit(
            "drift",
            f"{finding.node} shows volume {finding.volume} piece {finding.piece} with digest {found},"
            f" where {expected} was written",
        )
        self.intents.on_drift(finding)
        self.writer.schedule()

    # Between the core and the connection pool.

    def start(
        self, request_id: int, number: int, node: NodeId, request: ClientRequest, timeout: float
    ) -> None:
        """Start an attempt; one of a keyed write waits until its intent is durable."""
        name = write_name(request)
        if not name:
            self.inner.start(request_id, number, node, request, timeout)
            return
        attempt = request_id, number
        now_ms = clock.now()
        deadline_ms = now_ms + timeout
        node_entry = self._node_entry(node)
        self._waiting[attempt] = WaitingAttempt(node, request, name, now_ms, deadline_ms)
        send = SendRecord(now_ms, node_entry.shard, node_entry.zone)
        request_class = self.settings.classes[request.class_index]
        effects = self.intents.on_attempt(now_ms, attempt, name, send, deadline_ms, request_class)
        if any(not isinstance(effect, SendAttempt) for effect in effects):
            # A transport must not report a result from inside a call.
            self._loop.call_soon(self._carry_out, effects)
        else:
            self._carry_out(effects)
        self.writer.schedule()

    def cancel(self, request_id: int, number: int) -> None:
        """Cancel an attempt, whether it waits for its intent or was sent."""
        attempt = request_id, number
        if attempt not in self._waiting:
            self.inner.cancel(request_id, number)
        elif self.intents.on_attempt_cancelled(attempt):
            self._end_unsent(attempt, AttemptResult(Outcome.CANCELLED, may_have_run=False))

    def close_idle(self, node: NodeId) -> None:
        """Close idle connections to a node."""
        self.inner.close_idle(node)

    def on_attempt_completed(self, request_id: int, number: int, result: AttemptResult) -> None:
        """Report the result of an attempt that the wrapped transport carried."""
        sent = self._sent.pop((request_id, number), None)
        if sent is not None:
            self.intents.on_attempt_completed(sent.name, may_have_run=result.may_have_run)
            result = replace(result, held_back_ms=sent.waited_ms)
        self.report(request_id, number, result)

    # Effects.

    def _carry_out(self, effects: list[Effect]) -> None:
        now_ms = clock.now()
        for effect in effects:
            match effect:
                case SendAttempt(attempt):
                    self._send(now_ms, attempt)
                case ExpireAttempt(attempt):
                    self._end_unsent(attempt, AttemptResult(Outcome.EXPIRED, may_have_run=False))
                case BlockAttempt(attempt):
                    self._end_unsent(attempt, AttemptResult(Outcome.ERROR, may_have_run=True))
                case CompleteWrite(ticket, journaled):
                    served = self._served.pop(ticket)
                    if not journaled:
                        served.answer.discard()
                    served.done(served.answer if journaled else Answer(AnswerStatus.FAILED))
                case LogLine(text):
                    log.emit("store", text)

    def _send(self, now_ms: float, attempt: AttemptId) -> None:
        waiting = self._waiting.pop(attempt)
        self._sent[attempt] = SentAttempt(waiting.name, now_ms - waiting.requested_at_ms)
        remaining_ms = max(MIN_TIMEOUT_MS, waiting.deadline_ms - now_ms)
        self.inner.start(*attempt, waiting.node, waiting.request, remaining_ms)

    def _end_unsent(self, attempt: AttemptId, result: AttemptResult) -> None:
        waiting = self._waiting.pop(attempt, None)
        if waiting is not None:
            self.report(*attempt, replace(result, held_back_ms=clock.now() - waiting.requested_at_ms))
