"""The driver that writes the record's batches; it owns the connection, the task and the timers.

It writes batches one after another while ``IntentManager`` has any, replaces a broken session, and passes the
effects of each outcome to its owner. ``IntentManager`` makes all decisions. A batch contains what arrived
before its start.
"""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from sabledyke import log
from sabledyke.invariants import report_violation
from sabledyke.net import clock
from sabledyke.store import startup, statements
from sabledyke.store.connect import CONNECT_TIMEOUT_S, START_TIMEOUT_S, retry_while_transient
from sabledyke.store.database_errors import DatabaseError, DatabaseErrorKind
from sabledyke.store.effects import Effect
from sabledyke.store.intent_manager import IntentManager
from sabledyke.store.session import Session
from sabledyke.store.types import JournalPosition, RecordBatch, RecordedWrite, Row

TICK_S = 0.05  # interval of checks for stalls and passed deadlines, while anything waits
FLUSH_TIMEOUT_S = 1.0  # time limit for the remaining writes during a shutdown
FLUSH_POLL_S = 0.005

Opener = Callable[[float], Awaitable[Session]]  # opens a session, given the connection timeout in seconds


class BatchWriter:
    """Writes the batches of one record.

    Attributes:
        session: The database session, if one was opened.
    """

    def __init__(
        self, intents: IntentManager, opener: Opener, carry_out: Callable[[list[Effect]], None]
    ) -> None:
        self.session: Session | None = None
        self._intents = intents
        self._opener = opener
        self._carry_out = carry_out
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None
        self._gathering: asyncio.Handle | None = None
        self._tick_timer: asyncio.TimerHandle | None = None
        self._stopped = False

    async def open(self, longest_window_ms: float) -> None:
        """Open the database, begin an incarnation, and read the writes that may still be repeated.

        Args:
            longest_window_ms: The longest deduplication window of any request class.

        Raises:
            DatabaseError: The database cannot be opened, migrated or written.
        """
        await retry_while_transient(lambda: self._begin_incarnation(longest_window_ms))

    def schedule(self) -> None:
        """Schedule a batch and the timer ticks, if anything waits and none is scheduled."""
        if not self._intents.needs_polling:
            return
        if self._task is None and self._gathering is None:
            self._gathering = self._schedule_batch()
        if self._tick_timer is None:
            self._tick_timer = self._loop.call_later(TICK_S, self._on_tick)

    def stop(self) -> None:
        """Stop at once, without writing the remaining entries."""
        self._stopped = True
        for timer in (self._gathering, self._tick_timer):
            if timer is not None:
                timer.cancel()
        if self._task is not None:
            self._task.cancel()

    async def close(self) -> None:
        """Write the remaining entries for a bounded time, log how many are left, and close the session."""
        deadline = self._loop.time() + FLUSH_TIMEOUT_S
        while self._intents.has_pending_work and self._loop.time() < deadline:
            await asyncio.sleep(FLUSH_POLL_S)
        unwritten = self._intents.unwritten_entries
        if unwritten:
            log.emit("store", f"{unwritten} journal entries were not written before the shutdown ended")
        self.stop()
        if self.session is not None:
            await self.session.close()

    async def _begin_incarnation(self, longest_window_ms: float) -> None:
        if self.session is None or self.session.closed:
            self.session = await self._opener(START_TIMEOUT_S)
        await startup.migrate(self.session)
        position = await startup.begin_incarnation(self.session, self._intents.instance)
        now_ms = clock.now()
        recent = await startup.recent_writes(self.session, now_ms - longest_window_ms)
        self._intents.on_opened(position, recent, now_ms + longest_window_ms)

    def _schedule_batch(self) -> asyncio.Handle:
        health = self._intents.health
        wait_ms = max(self._intents.limits.gather_ms, health.next_trial_ms() - clock.now())
        if wait_ms > 0:
            return self._loop.call_later(wait_ms / 1000, self._begin_task)
        # The first batch contains what arrives in this iteration of the event loop, and each further batch
        # what arrives while the previous one is written.
        return self._loop.call_soon(self._begin_task)

    def _begin_task(self) -> None:
        self._gathering = None
        self._task = self._loop.create_task(self._write_batches())
        self._task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._task = None
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._on_fault(error)
        if not self._stopped:
            self.schedule()

    def _on_fault(self, error: BaseException) -> None:
        """Handle an unexpected exception as a failed batch.

        Guards against a fault that would stop the record permanently and leave waiting requests unanswered.
        """
        log.emit("fault", "".join(traceback.format_exception(error)))
        failure = DatabaseError(DatabaseErrorKind.UNEXPECTED, repr(error), uncertain=True)
        now_ms = clock.now()
        if self._intents.batch_in_flight is not None:
            self._carry_out(self._intents.on_batch_failed(now_ms, failure))
        else:
            self._carry_out(self._intents.on_unreachable(now_ms, failure))
        report_violation("the record's driver works without a fault")

    def _on_tick(self) -> None:
        self._tick_timer = None
        self._carry_out(self._intents.on_tick(clock.now()))
        self.schedule()

    async def _write_batches(self) -> None:
        """Write batches as long as there are any; recover first if the session or position was lost."""
        intents = self._intents
        while intents.health.may_start_batch(clock.now()):
            if intents.position_unknown or self.session is None or self.session.closed:
                if not await self._recover():
                    return
                continue
            batch = intents.next_batch(clock.now())
            if batch is None:
                return
            try:
                accepted, existing = await self._write(self.session, batch)
            except DatabaseError as error:
                self._carry_out(intents.on_batch_failed(clock.now(), error))
            else:
                self._carry_out(intents.on_batch_committed(clock.now(), accepted, existing))

    async def _write(self, session: Session, batch: RecordBatch) -> tuple[set[str], dict[str, RecordedWrite]]:
        """Write a batch; return the accepted intents, and the existing writes in place of the others."""
        results = await self._transact(session, batch)
        accepted = statements.accepted_intents(batch, results)
        existing: dict[str, RecordedWrite] = {}
        for intent in batch.intents:
            if intent.name in accepted:
                continue
            rows = await _look_up(session, intent.name)
            if rows:
                existing[intent.name] = statements.recorded_write(rows[0])
        return accepted, existing

    async def _transact(self, session: Session, batch: RecordBatch) -> list[list[Row]]:
        transaction = session.transact(statements.batch_steps(batch, self._intents.instance))
        if session.backend == "sqlite":  # a call that waits for the disk cannot be cancelled
            return await transaction
        give_up_ms = self._intents.limits.give_up_ms
        try:
            async with asyncio.timeout(give_up_ms / 1000):
                return await transaction
        except TimeoutError as error:
            session.abort()
            text = f"no answer for {give_up_ms:.0f} ms"
            raise DatabaseError(DatabaseErrorKind.STALL, text, uncertain=True) from error

    async def _recover(self) -> bool:
        """Open a session if needed, and read the position; return True on success."""
        intents = self._intents
        intents.health.on_batch_began(clock.now())
        try:
            position = await self._read_position()
        except TimeoutError:
            if self.session is not None:
                self.session.abort()
            stall = DatabaseError(DatabaseErrorKind.STALL)
            self._carry_out(intents.on_unreachable(clock.now(), stall))
            return False
        except DatabaseError as error:
            self._carry_out(intents.on_unreachable(clock.now(), error))
            return False
        intents.health.allow_immediate_retry()
        self._carry_out(intents.on_position_read(clock.now(), position))
        return True

    async def _read_position(self) -> JournalPosition:
        if self.session is None or self.session.closed:
            self.session = await self._opener(CONNECT_TIMEOUT_S)
        async with asyncio.timeout(self._intents.limits.give_up_ms / 1000):
            return await startup.read_position(self.session, self._intents.instance)


async def _look_up(session: Session, name: str) -> list[Row]:
    """Return the row of a recorded write; none if the query fails, so that the next batch tries again."""
    try:
        return await session.query(statements.SELECT_WRITE, name)
    except DatabaseError:
        return []
