"""Links to storage nodes that are databases.

An attempt is a query, or a transaction that writes the payload and the idempotency key together. Links share
a bounded number of sessions (``SessionPool``), and an attempt that waits for a session has not run. A write
has certainly not run before its COMMIT is handed to a connection. If that COMMIT is not answered, the write
is in doubt, and ``InDoubtWrite`` chooses the queries to run on other connections until its deadline.
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
from sabledyke.net.streams import StreamClosedError
from sabledyke.policy.events import Outcome
from sabledyke.policy.nodes import NodeId, node_name
from sabledyke.policy.settings import Settings
from sabledyke.protocol.discovery import Address
from sabledyke.store import statements
from sabledyke.store.database_errors import DatabaseError
from sabledyke.store.in_doubt import DoubtQuestion, DoubtResolution, InDoubtWrite
from sabledyke.store.section import SqlNode
from sabledyke.store.session import Session
from sabledyke.store.session_pool import SessionPool
from sabledyke.store.types import Row, Step, write_name

COMMIT_TIMEOUT_SHARE = 0.5  # share of an attempt's time after which an unanswered write is looked up
KEY_DELETION_INTERVAL_WRITES = 256  # number of writes between deletions of keys past their retention
QUERY_RETRY_DELAY_S = 0.01  # delay after a failed query
ATTEMPT_ID_BYTES = 12


class SqlLink:
    """A link to one database; it uses a session of the pool only during an exchange.

    Attributes:
        closed: True if the link can no longer be used.
        reusable: True if another exchange may follow the last one.
        may_have_run: True if the node may have run the last exchange.
        begun_answer_bytes: Always None, as a database gives its answer as a whole.
    """

    def __init__(self, pool: SessionPool, retention_ms: float) -> None:
        self.closed = False
        self.reusable = True
        self.may_have_run = False
        self.begun_answer_bytes: int | None = None
        self._pool = pool
        self._retention_ms = retention_ms
        self._session: Session | None = None

    def enter_idle(self, on_activity: Callable[[], None]) -> None:
        """Do nothing, because a session is checked when it is acquired."""

    def leave_idle(self) -> bool:
        """Return True if the pool of sessions is still open."""
        return not self._pool.closed

    def pass_on_begun_answer(self) -> bool:
        """Return False, as a database gives its answer as a whole."""
        return False

    def close(self) -> None:
        """Close the link, and abort the session that it uses."""
        self.closed = True
        if self._session is not None:
            self._session.abort()

    async def exchange(self, request: ClientRequest, timeout: float) -> AttemptResult:
        """Carry out one attempt within ``timeout`` milliseconds, including the wait for a session.

        Raises:
            StreamClosedError: The link was closed, or its session ended.
        """
        self.may_have_run = False
        self.reusable = False
        deadline_ms = clock.now() + timeout
        async with self._pool.permits:
            if self.closed:
                raise StreamClosedError
            attempt_result = await (
                self._write(request, deadline_ms) if request.write else self._read(request)
            )
        self.reusable = not self.closed
        return attempt_result

    # Reads.

    async def _read(self, request: ClientRequest) -> AttemptResult:
        session = await self._acquire()
        self.may_have_run = True
        try:
            rows = await session.query(
                statements.SELECT_PIECE, f"{request.volume:016x}", f"{request.data_key:016x}"
            )
        except DatabaseError as error:
            self._log(str(error))
            if session.closed:
                raise StreamClosedError from error
            return AttemptResult(Outcome.ERROR, may_have_run=True)
        finally:
            self._release()
        if not rows:
            return AttemptResult(Outcome.ERROR, may_have_run=True)
        body = rows[0][0]
        assert isinstance(body, bytes)
        return AttemptResult(Outcome.OK, may_have_run=True, body=body)

    # Writes.

    async def _write(self, request: ClientRequest, deadline_ms: float) -> AttemptResult:
        attempt = secrets.token_hex(ATTEMPT_ID_BYTES)
        name = write_name(request) or f"-/{request.volume:x}/{request.client_request_id}"
        steps = self._steps(request, name, attempt)
        session = await self._acquire()
        timeout_s = (deadline_ms - clock.now()) * COMMIT_TIMEOUT_SHARE / 1000
        transaction = asyncio.ensure_future(session.transact(steps, self._on_committing))
        try:
            async with asyncio.timeout(timeout_s):
                results = await transaction
        except TimeoutError as error:
            session.abort()
            if not self.may_have_run:  # the transaction stalled before COMMIT and can no longer commit
                raise StreamClosedError from error
        except DatabaseError as error:
            if not error.uncertain:
                return self._not_run_result(session, error)
            session.abort()
        else:
            return _result_from_key(results[2])
        finally:
            self._release()
        return await self._resolve(InDoubtWrite(attempt, deadline_ms), name)

    def _steps(self, request: ClientRequest, name: str, attempt: str) -> list[Step]:
        now_ms = int(clock.now())
        volume = f"{request.volume:016x}"
        piece = f"{request.data_key:016x}"
        result = hashlib.sha256(request.body).hexdigest().encode()
        steps = [
            Step(statements.CLAIM_KEY, [(name, attempt, now_ms, result)]),
            Step(statements.UPSERT_PIECE, [(volume, piece, request.body, name, attempt)]),
            Step(statements.SELECT_KEY, [(name,)]),
        ]
        if self._pool.count_write() % KEY_DELETION_INTERVAL_WRITES == 0:
            steps.append(Step(statements.DELETE_OLD_KEYS, [(now_ms - int(self._retention_ms),)]))
        return steps

    def _on_committing(self) -> None:
        self.may_have_run = True

    def _not_run_result(self, session: Session, error: DatabaseError) -> AttemptResult:
        self.may_have_run = False
        self._log(str(error))
        if session.closed:
            raise StreamClosedError from error
        return AttemptResult(Outcome.REJECTED, may_have_run=False)

    # Writes in doubt.

    async def _resolve(self, write: InDoubtWrite, name: str) -> AttemptResult:
        """Query the database until the outcome of a write is known or its deadline has passed."""
        while (question := write.next_question(clock.now())) is not DoubtQuestion.NOTHING:
            try:
                async with asyncio.timeout((write.deadline_ms - clock.now()) / 1000):
                    await self._ask(write, name, question)
            except TimeoutError:
                if self._session is not None:
                    self._session.abort()
                write.on_question_failed()
            except DatabaseError:
                write.on_question_failed()
                await asyncio.sleep(QUERY_RETRY_DELAY_S)
            finally:
                self._release()
        resolution = write.resolution
        self._log(f"did not answer COMMIT; outcome: {resolution.value}, after {write.question_count} queries")
        if resolution is DoubtResolution.SERVED:
            return AttemptResult(Outcome.OK, may_have_run=True, body=write.result)
        if resolution is DoubtResolution.NEVER:
            self.may_have_run = False
            return AttemptResult(Outcome.REJECTED, may_have_run=False)
        return AttemptResult(Outcome.RESET, may_have_run=True)

    async def _ask(self, write: InDoubtWrite, name: str, question: DoubtQuestion) -> None:
        self._session = await self._pool.acquire()
        if question is DoubtQuestion.FENCE:
            fence = (name, write.attempt, int(clock.now()), b"")
            await self._session.transact([Step(statements.FENCE_KEY, [fence])])
            write.on_fence_committed()
            return
        rows = await self._session.query(statements.SELECT_KEY, name)
        if not rows:
            write.on_key_absent()
            return
        attempt, state, result = rows[0]
        assert isinstance(result, bytes)
        write.on_key_found(str(attempt), str(state), result)

    # Sessions.

    async def _acquire(self) -> Session:
        try:
            self._session = await self._pool.acquire()
        except DatabaseError as error:
            self._log(str(error))
            raise StreamClosedError from error
        return self._session

    def _release(self) -> None:
        if self._session is not None:
            self._pool.release(self._session)
            self._session = None

    def _log(self, text: str) -> None:
        log.emit("box", f"{node_name(self._pool.node.node)} {text}")


class SqlDialer:
    """Opens links to the nodes that are databases.

    Attributes:
        settings: The settings in force.
        nodes: The nodes that are databases.
    """

    def __init__(self, settings: Settings, nodes: dict[NodeId, SqlNode], retention_ms: float) -> None:
        self.settings = settings
        self.nodes = nodes
        self._retention_ms = retention_ms
        self._pools: dict[NodeId, SessionPool] = {}

    async def dial(self, node: NodeId, address: Address, _timeout_ms: float) -> SqlLink:
        """Return a link to a node; the node's sessions are opened when they are needed."""
        sql_node = self.nodes[node]
        target = sql_node.target
        if not target.path:
            target = replace(target, host=address.host, port=address.port)
        pool = self._pools.get(node)
        if pool is None or pool.target != target:
            if pool is not None:
                pool.close()
            pool = SessionPool(sql_node, target, self.settings)
            self._pools[node] = pool
        pool.settings = self.settings
        return SqlLink(pool, self._retention_ms)

    def on_node_removed(self, node: NodeId) -> None:
        """Close the sessions of a removed node; a session in use is closed when it is released."""
        pool = self._pools.pop(node, None)
        if pool is not None:
            pool.close()

    def close(self) -> None:
        """Close the sessions of all nodes."""
        for pool in self._pools.values():
            pool.close()


def _result_from_key(rows: list[Row]) -> AttemptResult:
    """Return the result stored with the key, by this attempt or by the attempt that ran first."""
    if not rows or rows[0][1] != "done":
        return AttemptResult(Outcome.ERROR, may_have_run=True)
    result = rows[0][2]
    assert isinstance(result, bytes)
    return AttemptResult(Outcome.OK, may_have_run=True, body=result)
