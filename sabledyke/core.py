"""The life of a request between a front and the boxes, in no wire's terms.

Fronts hand in ``Work`` and get one ``Answer`` each; transports start and cancel attempts and report one
``Ended`` each; ``Scheduler.handle`` decides. No wire, socket or clock is known here: every call says what
time it is, in milliseconds, and the driver calls ``turn`` when events wait or a timer is due.
"""

from __future__ import annotations

import heapq
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import Protocol

from sabledyke import log
from sabledyke.invariants import check
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
from sabledyke.policy.events import AttemptCompleted, ClientDisconnected, Event, Outcome, Request, TimerFired
from sabledyke.policy.nodes import EndpointList, ListKind, NodeEntry, NodeId, NodeState, node_name
from sabledyke.policy.retry import may_repeat
from sabledyke.policy.scheduler import Scheduler
from sabledyke.policy.settings import RepeatSafety, RequestClass, Settings

# The client must have its answer inside its deadline, which it counts from when it sent: the core answers
# this long before, and attempts end earlier still, so that their time-outs reach the module first.
ANSWER_GUARD_MS, ATTEMPT_GUARD_MS = 30.0, 60.0
SHUTDOWN_POLL_MS = 10.0  # ms between looks, at the end, at what has come since
# Part of the drain's grace in which an attempt may still be written that was decided before its node left the
# list as ready; the policy uses up to half of the grace for its decisions.
WRITE_GRACE_FRACTION = 0.25


def _always() -> bool:
    return True


class AnswerStatus(Enum):
    """How a request ended."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class ClientRequest:
    """What a client asks; ``remaining`` is how long it still waits, ``token`` its idempotency key."""

    class_index: int
    plan_index: int
    volume: int
    data_key: int
    units: float
    shard: int
    scheduler_count: float
    remaining_ms: float  # milliseconds
    repeated: bool
    write: bool
    client_request_id: str
    idempotency_key: str = ""
    method: str = ""  # as an HTTP client wrote them; empty from other fronts
    target: str = ""
    body: bytes = b""
    read_size_bytes: int = 0  # bytes a read wants, where the front's wire says so
    possible_execution: tuple[float, NodeEntry] | None = None  # a former life sent it then, there
    last_node: NodeEntry | None = None  # where its last attempt went
    quota_share: float = 0.0  # see ``interface.Request``
    client_connected: Callable[[], bool] = (
        _always  # its client is still there, as its connection tells at this moment
    )


@dataclass(slots=True, frozen=True)
class Answer:
    """The one final answer; ``retry_after`` in milliseconds, 0 for no advice."""

    status: AnswerStatus
    body: bytes = b""
    retry_after_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How an attempt ended, and whether it may have run."""

    outcome: Outcome
    may_have_run: bool
    body: bytes = b""
    used_percent: int = 0
    other_schedulers_units: int = 0
    load_report: tuple[float, ...] = ()
    held_back_ms: float = 0.0  # ms for which it was held back here: no time of the box's


class Transport(Protocol):
    """Carries attempts to boxes; reports each once through ``Core.ended``, never from inside a call."""

    def start(self, request_id: int, number: int, node: NodeId, work: ClientRequest, timeout: float) -> None:
        """Start an attempt that may take ``timeout`` milliseconds."""

    def cancel(self, request_id: int, number: int) -> None:
        """Give up an attempt; an unknown one is ignored."""

    def close_idle(self, node: NodeId) -> None:
        """Close idle connections to a node."""


class EndpointSource(Protocol):
    """Discovery, as the core asks it; it reports through ``Core.listed``."""

    def watch(self, on: bool) -> None:
        """Watch for changes from now on, or stop."""

    def fetch(self) -> None:
        """Ask for the whole list once."""


@dataclass(slots=True)
class _Open:
    """A request taken and not yet forgotten."""

    work: ClientRequest
    kind: RequestClass  # as it came: a new configuration moves neither its name nor its window
    deadline: float
    done: Callable[[Answer], None]
    answered: bool = False
    attempts: int = 0
    out: dict[int, tuple[float, NodeEntry]] = field(default_factory=dict)
    ran: tuple[float, NodeEntry] | None = None  # first send that may have run, and where


class Core:
    """Feeds the module batches of events and carries out its actions."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        transport: Transport,
        lists: EndpointSource,
        wake: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.scheduler = Scheduler(settings, seed)
        self.transport, self.lists, self._wake = transport, lists, wake
        self._events: list[Event] = []
        self._timers: list[tuple[float, int, int]] = []  # when, module's token or -1, request of a guard
        self._open: dict[int, _Open] = {}
        self._ids = 0
        self.nodes: dict[NodeId, NodeEntry] = {}
        self.metrics = Metrics()
        self._until = self._back = inf  # the end: by when all is answered, when somebody serves here again

    @property
    def unanswered(self) -> int:
        """Requests that are still owed an answer."""
        return sum(not r.answered for r in self._open.values())

    def apply_settings(self, settings: Settings) -> None:
        """Go by new settings from now on; what was taken stays, under the deadlines it came with."""
        self.settings = settings
        self.scheduler.apply_settings(settings)

    def shut_down_by(self, when: float, back: float) -> None:
        """The program ends: have every request answered by ``when``; who is refused is told to come ``back``.

        Guards against an end that cuts off what was taken: what is still owed then is answered here, refused
        where it has certainly not run or may be repeated, else failed.
        """
        self._until, self._back = min(self._until, when), back
        self.scheduler.shut_down_by(self._until)
        for request in self._open.values():
            request.deadline = min(request.deadline, self._until)
        heapq.heappush(self._timers, (self._until, -2, 0))

    def submit(self, now: float, work: ClientRequest, done: Callable[[Answer], None]) -> int:
        """Take a request; ``done`` is called once, and never from inside this call."""
        self._ids += 1
        request_id = self._ids
        deadline = min(now + work.remaining_ms, self._until)
        kind = self.settings.classes[work.class_index]
        usable = (
            work.remaining_ms if work.remaining_ms > ATTEMPT_GUARD_MS else 0.0
        )  # else no attempt could end in time
        self._open[request_id] = _Open(work, kind, deadline, done, ran=work.possible_execution)
        heapq.heappush(self._timers, (now + work.remaining_ms - ANSWER_GUARD_MS, -1, request_id))
        self._event(
            Request(
                request_id,
                work.class_index,
                work.plan_index,
                work.data_key,
                usable,
                work.volume,
                work.units,
                work.shard,
                work.scheduler_count,
                work.repeated,
                work.write,
                work.possible_execution,
                work.quota_share,
            )
        )
        return request_id

    def on_client_disconnected(self, request_id: int) -> None:
        """The client is gone: nothing is owed any more."""
        request = self._open.get(request_id)
        if request is not None and not request.answered:
            request.answered = True
            self._event(ClientDisconnected(request_id))
            self._forget(request_id)

    def on_attempt_completed(self, now: float, request_id: int, number: int, end: AttemptResult) -> None:
        """An attempt's one outcome."""
        request = self._open.get(request_id)
        if not check(
            request is not None and number in request.out, "one outcome per attempt", f"{request_id}"
        ):
            return
        assert request is not None
        sent, node = request.out.pop(number)
        self.metrics.count_attempt(end.outcome, may_have_run=end.may_have_run)
        if end.may_have_run:
            request.ran = request.ran or (sent, node)
        if end.outcome is Outcome.OK and not request.answered:
            self._answer(request_id, Answer(AnswerStatus.SERVED, end.body))
        self._event(
            AttemptCompleted(
                request_id,
                node.node_id,
                number,
                end.outcome,
                request.answered,
                now - sent - end.held_back_ms,
                end.used_percent,
                end.other_schedulers_units,
                end.load_report,
            )
        )
        self._forget(request_id)

    def on_endpoint_list(self, news: EndpointList) -> list[NodeId]:
        """News of the list of nodes; returns those that are gone, which are forgotten here.

        Guards against growing with every box there ever was: attempts keep the entry that they need.
        """
        self.nodes.update((entry.node_id, entry) for entry in news.entries)
        part = news.kind in (ListKind.DELTA, ListKind.FAILED)
        named = self.nodes.keys() if part else {entry.node_id for entry in news.entries}
        gone = [n for n, e in self.nodes.items() if e.state is NodeState.GONE or n not in named]
        for node in gone:
            del self.nodes[node]
        self._event(news)
        return gone

    def may_write(self, now: float, request_id: int, number: int) -> bool:
        """Whether an attempt may be written now; asked in the turn that writes it, as its connection may
        have taken long to come up.

        Guards against work for a client that has left, for a node that drains or started anew meanwhile, past
        the client's time, and past the window in which a repeat is recognised. What does not go has not run.
        """
        request = self._open.get(request_id)
        if request is None or request.answered or number not in request.out:
            return False
        if now >= request.deadline - ATTEMPT_GUARD_MS or not request.work.client_connected():
            return False
        decided, entry = request.out[number]
        here = self.nodes.get(entry.node_id)
        if here is not None and here.started_ms != entry.started_ms:
            return False
        ready = here is not None and here.state is NodeState.READY
        if not ready and now > decided + WRITE_GRACE_FRACTION * self.settings.drain_grace_ms:
            return False
        others = [sent for other, sent in request.out.items() if other != number]
        return self._may_run(now, request, entry, others)

    def has_attempts_at(self, node: NodeId) -> bool:
        """Is an attempt out at this box?"""
        return any(entry.node_id == node for r in self._open.values() for _, entry in r.out.values())

    def next_batch_due(self) -> float | None:
        """When ``turn`` must be called next, if no event comes before."""
        return self._timers[0][0] if self._timers else None

    def run_batch(self, now: float) -> None:
        """Hand the module all that has come in, and do what it says."""
        late = []
        while self._timers and self._timers[0][0] <= now:
            _, token, request_id = heapq.heappop(self._timers)
            if token >= 0:
                self._events.append(TimerFired(token))
            elif token == -2:
                heapq.heappush(self._timers, (now + SHUTDOWN_POLL_MS, -2, 0))
            elif request_id in self._open and not self._open[request_id].answered:
                late.append(request_id)
        events, self._events = self._events, []
        if events:
            try:
                actions = self.scheduler.handle(now, events)
            except Exception:  # guards against a fault in a decision ending the program with all it took
                log.emit("fault", traceback.format_exc())
                check(False, "the module decides without a fault")
                actions = []
            for action in actions:
                self._carry_out(now, action)
        if now >= self._until:
            self._answer_all(now)
        # Guards against a module that keeps silent: the client still gets its one answer in time.
        for request_id in late:
            request = self._open.get(request_id)
            if request is not None and not request.answered:
                self._answer(request_id, Answer(AnswerStatus.FAILED))
                self._event(ClientDisconnected(request_id))
                self._forget(request_id)
                check(False, "every request is answered by the module in time", f"request {request_id}")

    def _answer_all(self, now: float) -> None:
        """The end: whoever is owed an answer gets it now."""
        for request_id, request in [(i, r) for i, r in self._open.items() if not r.answered]:
            ran = request.ran is not None or bool(request.out)
            harmless = not ran or request.kind.repeat_safety is RepeatSafety.IDEMPOTENT
            verdict = AnswerStatus.REJECTED if harmless else AnswerStatus.FAILED
            self._answer(request_id, Answer(verdict, retry_after_ms=self._advice(now, 0.0)))
            self._event(ClientDisconnected(request_id))
            self._forget(request_id)

    def _advice(self, now: float, after: float) -> float:
        """Advice to who is refused: the module's, at the end not before somebody serves here again."""
        back = self._back - now if self._back < inf else 0.0
        return min(max(after, back), self.settings.max_retry_after_ms) if back > after else after

    def _event(self, event: Event) -> None:
        if not self._events:
            self._wake()
        self._events.append(event)

    def _carry_out(self, now: float, action: Action) -> None:
        match action:
            case StartAttempt(request_id, node, timeout):
                self._send(now, request_id, node, timeout)
            case Reject(request_id, after):
                self._finish(
                    request_id, Answer(AnswerStatus.REJECTED, retry_after_ms=self._advice(now, after))
                )
            case Fail(request_id):
                self._finish(request_id, Answer(AnswerStatus.FAILED))
            case CancelAttempt(request_id, number):
                if request_id in self._open and number in self._open[request_id].out:
                    self.transport.cancel(request_id, number)
            case SetTimer(token, delay):
                heapq.heappush(self._timers, (now + delay, token, 0))
            case WatchList(on):
                self.lists.watch(on)
            case FetchList():
                self.lists.fetch()
            case CloseIdle(node):
                self.transport.close_idle(node)
            case Log(text):
                log.emit("module", text)
            case _:
                check(False, "the module asks only for what is allowed here", repr(action))

    def _send(self, now: float, request_id: int, node: NodeId, timeout: float) -> None:
        request = self._open.get(request_id)
        if not check(request is not None and not request.answered, "no send after the end", f"{request_id}"):
            return
        assert request is not None
        number, request.attempts = request.attempts, request.attempts + 1
        left = request.deadline - ATTEMPT_GUARD_MS - now
        entry = self.nodes.get(node)
        if not check(entry is not None, "no send to a box that is not listed", node_name(node)):
            entry = NodeEntry(node, -1, -1, -1, 0.0, 0.0, NodeState.GONE)
        assert entry is not None
        beyond = entry.state is NodeState.GONE
        repeats = self._may_run(now, request, entry, list(request.out.values()))
        beyond |= not check(repeats, "no repeat beyond its key", f"request {request_id}")
        request.out[number], request.work.last_node = (now, entry), entry
        if beyond or number >= self.settings.max_attempts or left <= 0:
            self.on_attempt_completed(now, request_id, number, AttemptResult(Outcome.EXPIRED, False))
            return
        self.transport.start(request_id, number, node, request.work, min(timeout, left) if timeout else left)

    def _may_run(
        self, now: float, request: _Open, here: NodeEntry, out: list[tuple[float, NodeEntry]]
    ) -> bool:
        """Rule 2, seen from here: a write is never sent again where and when its key does not hold.

        ``out`` are its other attempts whose end is not known.
        """
        sent = [request.ran] if request.ran else out
        if not sent:
            return True
        at, first = min(sent, key=lambda s: s[0])
        return may_repeat(request.kind, at, (first.shard, first.zone), now, (here.shard, here.zone))

    def _finish(self, request_id: int, answer: Answer) -> None:
        if request_id in self._open and not self._open[request_id].answered:
            self._answer(request_id, answer)
            self._forget(request_id)

    def _answer(self, request_id: int, answer: Answer) -> None:
        request = self._open[request_id]
        check(not request.answered, "one final answer", f"request {request_id}")
        request.answered = True
        self.metrics.count_answer(answer.status.value, request.kind.name)
        request.done(answer)

    def _forget(self, request_id: int) -> None:
        request = self._open.get(request_id)
        if request is not None and request.answered and not request.out:
            del self._open[request_id]
