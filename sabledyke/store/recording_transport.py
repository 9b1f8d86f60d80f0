"""The record's driver: a transport round another, and what stands between fronts and the core.

It owns the clock and the connection and carries out what ``Keeper`` decides. An attempt of a keyed write goes
on to the pool once its intent is durable; a served answer goes on to its client once its entry is.
"""

from __future__ import annotations

import asyncio
import hashlib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from sabledyke import log
from sabledyke.application.extensions import Done, Submit
from sabledyke.core import ANSWER_GUARD_MS, Answer, AnswerStatus, AttemptResult, ClientRequest, Transport
from sabledyke.invariants import check
from sabledyke.net import clock
from sabledyke.net.connection_pool import Report
from sabledyke.policy.events import Outcome
from sabledyke.policy.nodes import NodeEntry, NodeId, NodeState, node_name
from sabledyke.policy.settings import Settings
from sabledyke.store import startup, statements
from sabledyke.store.connect import CONNECT, PATIENCE, patiently
from sabledyke.store.database_errors import Kind, StoreFault
from sabledyke.store.drift import DriftWatch
from sabledyke.store.intent_manager import Attempt, Blocked, Effect, Go, Keeper, Moot, Say, Told
from sabledyke.store.session import Session
from sabledyke.store.types import Batch, Drift, Entry, Found, Sent, name_of, token_of

TICK = 0.05  # seconds between looks at what waits, while anything does
MARGIN = (
    ANSWER_GUARD_MS + 1000 * TICK + 10
)  # ms before its deadline by which a served answer is passed on or given up
FLUSH = 1.0  # seconds at the end for what is still to be written

Opener = Callable[[float], Awaitable[Session]]  # seconds for a connection to come up


@dataclass(slots=True)
class _Held:
    """An attempt that waits for its intent."""

    node: NodeId
    work: ClientRequest
    name: str
    asked: float
    deadline: float


@dataclass(slots=True)
class _Asked:
    """A write in work, for its entry and for drift."""

    work: ClientRequest
    name: str  # empty where it has no key
    began: float
    deadline: float
    digest: str


class Recorder:
    """See the module's text; one for a server."""

    def __init__(
        self,
        keeper: Keeper,
        opener: Opener,
        settings: Settings,
        entry: Callable[[NodeId], NodeEntry],
    ) -> None:
        self.keeper, self.settings = keeper, settings
        self._opener, self._entry = opener, entry
        self.report: Report
        self.inner: Transport
        self.drift = DriftWatch()
        self._session: Session | None = None
        self._loop = asyncio.get_running_loop()
        self._held: dict[Attempt, _Held] = {}
        self._out: dict[Attempt, tuple[str, float]] = {}  # attempts of keyed writes: name, ms held back
        self._asked: dict[int, _Asked] = {}  # writes in work, by request
        self._tickets: dict[int, tuple[Done, Answer]] = {}  # served answers that wait for their entries
        self._last_ticket = 0
        self._pump: asyncio.Task[None] | None = None
        self._gathering: asyncio.Handle | None = None
        self._ticking: asyncio.TimerHandle | None = None
        self._ending = False

    async def open(self) -> None:
        """Open the database, take a life, read what can still matter; a StoreFault where that fails."""
        await patiently(self._take_life)

    async def _take_life(self) -> None:
        if self._session is None or self._session.closed:
            self._session = await self._opener(PATIENCE)
        await startup.migrate(self._session)
        position = await startup.new_life(self._session, self.keeper.instance)
        longest = max(c.deduplication_window_ms for c in self.settings.classes)
        now = clock.now()
        recent = await startup.recent(self._session, now - longest)
        self.keeper.opened(position, recent, now + longest)

    # Between fronts and the core.

    def submit(self, work: ClientRequest, done: Done, onward: Submit) -> int:
        """Hand work on; a keyed write only while it can be recorded."""
        now = clock.now()
        name = name_of(work)
        if not work.write:
            return onward(work, lambda answer: self._was_read(work, now, answer, done))
        if name and not self.keeper.takes():
            advice = self.keeper.health.advice(now, self.settings.max_retry_after_ms)
            self._loop.call_soon(done, Answer(AnswerStatus.REJECTED, retry_after_ms=advice))
            return 0
        self.drift.writing((work.volume, work.data_key))
        first = self.keeper.earlier(name) if name else None
        if first is not None:
            ran = NodeEntry(b"", first.shard, first.zone, -1, 0.0, 1.0, NodeState.GONE)
            work.possible_execution = first.at, ran
        asked = _Asked(
            work, name, now, now + work.remaining_ms - MARGIN, hashlib.sha256(work.body).hexdigest()
        )
        rid = onward(work, lambda answer: self._finished(rid, asked, answer, done))
        self._asked[rid] = asked
        return rid

    def departed(self, rid: int) -> None:
        """The client of a request has gone: a write is finished, and nobody is told."""
        asked = self._asked.pop(rid, None)
        if asked is not None:
            self.drift.written(clock.now(), (asked.work.volume, asked.work.data_key), None)
            self._journal(asked, "departed", None)

    def _finished(self, rid: int, asked: _Asked, answer: Answer, done: Done) -> None:
        self._asked.pop(rid, None)
        served = answer.status is AnswerStatus.SERVED
        piece = asked.work.volume, asked.work.data_key
        self.drift.written(clock.now(), piece, asked.digest if served else None)
        if not served or not asked.name:
            self._journal(asked, answer.status.value, None)
            done(answer)
            return
        self._last_ticket += 1
        self._tickets[self._last_ticket] = done, answer
        self._journal(asked, "served", self._last_ticket)

    def _journal(self, asked: _Asked, outcome: str, ticket: int | None) -> None:
        if not asked.name:
            return
        work, now = asked.work, clock.now()
        at = work.last_node
        entry = Entry(
            at=int(now),
            began=int(asked.began),
            class_=self.settings.classes[work.class_index].name,
            volume=f"{work.volume:016x}",
            key=token_of(work),
            piece=f"{work.data_key:016x}",
            shard=at.shard if at else work.shard,
            box=node_name(at.node_id) if at else "",
            units=work.units,
            digest=asked.digest,
            outcome=outcome,
        )
        self._do(self.keeper.finished(now, asked.name, entry, ticket, asked.deadline))
        self._kick()

    def _was_read(self, work: ClientRequest, asked: float, answer: Answer, done: Done) -> None:
        piece = work.volume, work.data_key
        if answer.status is AnswerStatus.SERVED and self.drift.wants(asked, piece):
            digest, at = hashlib.sha256(answer.body).hexdigest(), work.last_node
            box = node_name(at.node_id) if at else ""
            found = self.drift.read(clock.now(), asked, piece, digest, box)
            if found is not None:
                self._differs(found)
        done(answer)

    def _differs(self, found: Drift) -> None:
        log.emit(
            "drift",
            f"{found.box} shows volume {found.volume} piece {found.piece} with digest"
            f" {found.got[:12]}, where {found.wanted[:12]} was written",
        )
        self.keeper.drifted(found)
        self._kick()

    # Between the core and the pool.

    def start(self, rid: int, number: int, node: NodeId, work: ClientRequest, timeout: float) -> None:
        """See ``core.Transport``."""
        name = name_of(work)
        if not name:
            self.inner.start(rid, number, node, work, timeout)
            return
        entry, now, attempt = self._entry(node), clock.now(), (rid, number)
        self._held[attempt] = _Held(node, work, name, now, now + timeout)
        sent = Sent(now, entry.shard, entry.zone)
        kind = self.settings.classes[work.class_index]
        effects = self.keeper.attempt(now, attempt, name, sent, now + timeout, kind)
        if any(not isinstance(e, Go) for e in effects):
            self._loop.call_soon(self._do, effects)  # a transport never reports from inside a call
        else:
            self._do(effects)
        self._kick()

    def cancel(self, rid: int, number: int) -> None:
        """See ``core.Transport``."""
        attempt = rid, number
        if attempt in self._held:
            if self.keeper.withdrawn(attempt):
                self._end(attempt, AttemptResult(Outcome.CANCELLED, False))
        else:
            self.inner.cancel(rid, number)

    def close_idle(self, node: NodeId) -> None:
        """See ``core.Transport``."""
        self.inner.close_idle(node)

    def ended(self, rid: int, number: int, ended: AttemptResult) -> None:
        """What the transport below reports."""
        known = self._out.pop((rid, number), None)
        if known is not None:
            name, waited = known
            self.keeper.ended(name, may_have_run=ended.may_have_run)
            ended = replace(ended, held_back_ms=waited)
        self.report(rid, number, ended)

    # Carrying out.

    def _do(self, effects: list[Effect]) -> None:
        now = clock.now()
        for effect in effects:
            match effect:
                case Go(attempt):
                    held = self._held.pop(attempt)
                    self._out[attempt] = held.name, now - held.asked
                    left = max(1.0, held.deadline - now)
                    self.inner.start(*attempt, held.node, held.work, left)
                case Moot(attempt):
                    self._end(attempt, AttemptResult(Outcome.EXPIRED, False))
                case Blocked(attempt):
                    self._end(attempt, AttemptResult(Outcome.ERROR, True))
                case Told(ticket, kept):
                    done, answer = self._tickets.pop(ticket)
                    done(answer if kept else Answer(AnswerStatus.FAILED))
                case Say(text):
                    log.emit("store", text)

    def _end(self, attempt: Attempt, ended: AttemptResult) -> None:
        held = self._held.pop(attempt, None)
        if held is not None:
            self.report(*attempt, replace(ended, held_back_ms=clock.now() - held.asked))

    def _kick(self) -> None:
        """Something may wait for the database: a batch gathers what comes with it."""
        if self._pump is None and self._gathering is None and self.keeper.restless:
            now = clock.now()
            wait = max(self.keeper.limits.gather, self.keeper.health.next_trial() - now)
            if wait > 0:
                self._gathering = self._loop.call_later(wait / 1000, self._begin)
            else:  # all that comes in this turn of the loop, and then while its batch is written
                self._gathering = self._loop.call_soon(self._begin)
        if self._ticking is None and self.keeper.restless:
            self._ticking = self._loop.call_later(TICK, self._tick)

    def _begin(self) -> None:
        self._gathering = None
        self._pump = self._loop.create_task(self._work())
        self._pump.add_done_callback(self._rested)

    def _rested(self, task: asyncio.Task[None]) -> None:
        self._pump = None
        if task.cancelled():
            return
        if (fault := task.exception()) is not None:
            # Guards against a fault here ending the record for good, with all that waits for it.
            log.emit("fault", "".join(traceback.format_exception(fault)))
            told = StoreFault(Kind.BROKEN, repr(fault), uncertain=True)
            keeper, now = self.keeper, clock.now()
            self._do(keeper.failed(now, told) if keeper.flight is not None else keeper.unreachable(now, told))
            check(False, "the record's driver works without a fault")
        if not self._ending:
            self._kick()

    def _tick(self) -> None:
        self._ticking = None
        self._do(self.keeper.tick(clock.now()))
        if self.keeper.restless:
            self._kick()

    async def _work(self) -> None:
        """Batch after batch, as long as there are any; a session that broke is opened anew first."""
        keeper = self.keeper
        while keeper.health.may_try(clock.now()):
            if keeper.unsure or self._session is None or self._session.closed:
                if not await self._come_back():
                    return
                continue
            batch = keeper.next_batch(clock.now())
            if batch is None:
                return
            try:
                taken, found = await self._write(batch)
            except StoreFault as fault:
                self._do(keeper.failed(clock.now(), fault))
            else:
                self._do(keeper.committed(clock.now(), taken, found))

    async def _write(self, batch: Batch) -> tuple[set[str], dict[str, Found]]:
        session, limits = self._session, self.keeper.limits
        assert session is not None
        what = session.transact(statements.steps(batch, self.keeper.instance))
        if session.backend == "sqlite":  # what the disk holds up cannot be called off
            results = await what
        else:
            try:
                async with asyncio.timeout(limits.give_up / 1000):
                    results = await what
            except TimeoutError:
                session.abort()
                text = f"no answer for {limits.give_up:.0f} ms"
                raise StoreFault(Kind.STALL, text, uncertain=True) from None
        taken = statements.taken(batch, results)
        found = {}
        for intent in batch.intents:
            if intent.name not in taken:
                try:
                    rows = await session.query(statements.LOOK_UP, intent.name)
                except StoreFault:  # it is asked once more, with the next batch
                    rows = []
                if rows:
                    found[intent.name] = statements.found(rows[0])
        return taken, found

    async def _come_back(self) -> bool:
        """A session that works, and the position as the database has it."""
        keeper = self.keeper
        keeper.health.began(clock.now())
        try:
            if self._session is None or self._session.closed:
                self._session = await self._opener(CONNECT)
            async with asyncio.timeout(keeper.limits.give_up / 1000):
                position = await startup.read_position(self._session, keeper.instance)
        except TimeoutError:
            if self._session is not None:
                self._session.abort()
            self._do(keeper.unreachable(clock.now(), StoreFault(Kind.STALL)))
            return False
        except StoreFault as fault:
            self._do(keeper.unreachable(clock.now(), fault))
            return False
        keeper.health.passed_over()
        self._do(keeper.synced(clock.now(), position))
        return True

    async def close(self) -> None:
        """Write what is left, for a bounded time, and say what could not be written."""
        until = self._loop.time() + FLUSH
        while self.keeper.busy and self._loop.time() < until:
            await asyncio.sleep(0.005)
        self._ending = True
        left = self.keeper.unwritten
        if left:
            log.emit("store", f"{left} entries of the journal could not be written before the end")
        for timer in (self._gathering, self._ticking):
            if timer is not None:
                timer.cancel()
        if self._pump is not None:
            self._pump.cancel()
        if self._session is not None:
            await self._session.close()
