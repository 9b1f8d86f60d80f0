"""Boxes that are databases: one attempt is a query, or a transaction of payload and key together.

The box's connections are a bounded set of sessions; links are light and share them, and who waits for one has
not run. A write is certainly not run until its COMMIT is handed to a connection; where that COMMIT's answer
does not come, the write is in doubt and ``Doubt`` says what to ask, on another connection, until its time
ends.
"""

from __future__ import annotations

import asyncio
import hashlib
import secrets
from collections.abc import Callable
from dataclasses import replace

from sabledyke import log
from sabledyke.core import AttemptResult, ClientRequest
from sabledyke.net import clock
from sabledyke.net.connection_pool import Address
from sabledyke.net.streams import StreamClosedError
from sabledyke.policy.events import Outcome
from sabledyke.policy.nodes import NodeId, node_name
from sabledyke.policy.settings import Settings
from sabledyke.store import statements
from sabledyke.store.connect import connect
from sabledyke.store.database_errors import StoreFault
from sabledyke.store.in_doubt import Doubt, Next, Verdict
from sabledyke.store.section import Box, Target
from sabledyke.store.session import Session
from sabledyke.store.types import Row, Step, name_of

PATIENCE = 0.5  # part of an attempt's time that its COMMIT may take before it is looked up elsewhere
FORGET_EVERY = 256  # writes between those that also drop keys which nobody repeats any more
IDLE_S = 60.0  # seconds that a session may rest


class _SqlBox:
    """One database: its sessions, and how many there may be."""

    def __init__(self, box: Box, target: Target, settings: Settings) -> None:
        self.box, self.target, self.settings = box, target, settings
        self.permits = asyncio.Semaphore(box.connections)
        self.left = False  # it is gone from the list
        self.writes = 0
        self._idle: list[tuple[Session, float]] = []
        self._ready = False

    async def take(self) -> Session:
        """A session that nobody uses, or a new one; a StoreFault where none comes up."""
        now = asyncio.get_running_loop().time()
        while self._idle:
            session, since = self._idle.pop()
            if not session.closed and now - since < IDLE_S:
                return session
            session.abort()
        session = await connect(self.target, connect_s=self.settings.connect_timeout_ms / 1000)
        if not self._ready:
            try:
                await session.script(statements.BOX)
            except StoreFault:
                session.abort()
                raise
            self._ready = True
        return session

    def give(self, session: Session) -> None:
        """Back, after use."""
        if self.left or session.closed:
            session.abort()
        else:
            self._idle.append((session, asyncio.get_running_loop().time()))

    def leave(self) -> None:
        """Close what rests; what is in use is closed after it."""
        self.left = True
        while self._idle:
            self._idle.pop()[0].abort()


class SqlLink:
    """See ``pool.Link``."""

    def __init__(self, box: _SqlBox, kept: float) -> None:
        self._box, self._kept = box, kept
        self.closed = False
        self.reusable = True
        self.may_have_run = False
        self._session: Session | None = None

    def rest(self, heard: Callable[[], None]) -> None:
        """See ``pool.Link``: a session is looked at when it is taken."""

    def wake(self) -> bool:
        """See ``pool.Link``."""
        return not self._box.left

    def close(self) -> None:
        """See ``pool.Link``."""
        self.closed = True
        if self._session is not None:
            self._session.abort()

    async def exchange(self, work: ClientRequest, timeout: float) -> AttemptResult:
        """See ``pool.Link``."""
        self.may_have_run, self.reusable = False, False
        deadline = clock.now() + timeout
        async with self._box.permits:
            if self.closed:
                raise StreamClosedError
            ended = await (self._write(work, deadline) if work.write else self._read(work))
        self.reusable = not self.closed
        return ended

    async def _take(self) -> Session:
        try:
            self._session = await self._box.take()
        except StoreFault as fault:
            log.emit("box", f"{node_name(self._box.box.node)} {fault}")
            raise StreamClosedError from None
        return self._session

    def _give(self) -> None:
        if self._session is not None:
            self._box.give(self._session)
            self._session = None

    async def _read(self, work: ClientRequest) -> AttemptResult:
        session = await self._take()
        self.may_have_run = True
        try:
            rows = await session.query(statements.GET_PIECE, f"{work.volume:016x}", f"{work.data_key:016x}")
        except StoreFault as fault:
            log.emit("box", f"{node_name(self._box.box.node)} {fault}")
            if session.closed:
                raise StreamClosedError from None
            return AttemptResult(Outcome.ERROR, True)
        finally:
            self._give()
        if not rows:
            return AttemptResult(Outcome.ERROR, True)
        body = rows[0][0]
        assert isinstance(body, bytes)
        return AttemptResult(Outcome.OK, True, body)

    async def _write(self, work: ClientRequest, deadline: float) -> AttemptResult:
        attempt = secrets.token_hex(12)
        name = name_of(work) or f"-/{work.volume:x}/{work.client_request_id}"
        steps = self._steps(work, name, attempt)
        session = await self._take()
        patience = (deadline - clock.now()) * PATIENCE / 1000
        transaction = asyncio.ensure_future(self._watched(session, steps))
        try:
            async with asyncio.timeout(patience):
                results = await transaction
        except TimeoutError:
            session.abort()
            if not self.may_have_run:  # it stalled before COMMIT, and can never commit now
                raise StreamClosedError from None
        except StoreFault as fault:
            if not fault.uncertain:
                self.may_have_run = False
                log.emit("box", f"{node_name(self._box.box.node)} {fault}")
                if session.closed:
                    raise StreamClosedError from None
                return AttemptResult(Outcome.REJECTED, False)
            session.abort()
        else:
            return self._ended(results[2][0] if results[2] else None)
        finally:
            self._give()
        return await self._resolve(Doubt(attempt, deadline), name)

    async def _watched(self, session: Session, steps: list[Step]) -> list[list[Row]]:
        """The transaction; what may have run is known as soon as its COMMIT is handed over."""

        def committing() -> None:
            self.may_have_run = True

        return await session.transact(steps, committing)

    def _steps(self, work: ClientRequest, name: str, attempt: str) -> list[Step]:
        now, volume, piece = int(clock.now()), f"{work.volume:016x}", f"{work.data_key:016x}"
        result = hashlib.sha256(work.body).hexdigest().encode()
        steps = [
            Step(statements.CLAIM, [(name, attempt, now, result)]),
            Step(statements.PUT_PIECE, [(volume, piece, work.body, name, attempt)]),
            Step(statements.KEY, [(name,)]),
        ]
        self._box.writes += 1
        if self._box.writes % FORGET_EVERY == 0:
            steps.append(Step(statements.FORGET_KEYS, [(now - int(self._kept),)]))
        return steps

    def _ended(self, row: Row | None) -> AttemptResult:
        """What the key says after the transaction: done by this attempt, or by whichever was first."""
        if row is None or row[1] != "done":
            return AttemptResult(Outcome.ERROR, True)
        assert isinstance(row[2], bytes)
        return AttemptResult(Outcome.OK, True, row[2])

    async def _resolve(self, doubt: Doubt, name: str) -> AttemptResult:
        """Ask until the write is known to have run or not, or its time is over."""
        while (question := doubt.next(clock.now())) is not Next.NOTHING:
            try:
                async with asyncio.timeout((doubt.deadline - clock.now()) / 1000):
                    session = self._session = await self._box.take()
                    if question is Next.FENCE:
                        row = (name, doubt.attempt, int(clock.now()), b"")
                        await session.transact([Step(statements.FENCE, [row])])
                        doubt.fenced()
                    else:
                        rows = await session.query(statements.KEY, name)
                        if rows:
                            attempt, state, result = rows[0]
                            assert isinstance(result, bytes)
                            doubt.found(str(attempt), str(state), result)
                        else:
                            doubt.absent()
            except TimeoutError:
                if self._session is not None:
                    self._session.abort()
                doubt.failed()
            except StoreFault:
                doubt.failed()
                await asyncio.sleep(0.01)
            finally:
                self._give()
        log.emit(
            "box",
            f"{node_name(self._box.box.node)} lost a commit's answer: it {doubt.verdict.value}"
            f" after {doubt.tries} questions",
        )
        match doubt.verdict:
            case Verdict.SERVED:
                return AttemptResult(Outcome.OK, True, doubt.result)
            case Verdict.NEVER:
                self.may_have_run = False
                return AttemptResult(Outcome.REJECTED, False)
        return AttemptResult(Outcome.RESET, True)


class SqlDialer:
    """Opens such links."""

    def __init__(self, settings: Settings, boxes: dict[NodeId, Box], kept: float) -> None:
        self.settings, self.boxes, self._kept = settings, boxes, kept
        self._open: dict[NodeId, _SqlBox] = {}

    async def dial(self, node: NodeId, address: Address, patience: float) -> SqlLink:
        """See ``pool.Dial``."""
        box = self.boxes[node]
        target = box.target
        if not target.path:
            target = replace(target, host=address[0], port=address[1])
        known = self._open.get(node)
        if known is None or known.target != target:
            if known is not None:
                known.leave()
            known = self._open[node] = _SqlBox(box, target, self.settings)
        known.settings = self.settings
        return SqlLink(known, self._kept)

    def forget(self, node: NodeId) -> None:
        """The box is gone from the list: its sessions are closed, those in use after it."""
        known = self._open.pop(node, None)
        if known is not None:
            known.leave()

    def close(self) -> None:
        """Leave all boxes."""
        for known in self._open.values():
            known.leave()
