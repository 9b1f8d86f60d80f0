"""Executes a graceful shutdown: closes listeners and idle connections, and answers all accepted requests.

``shutdown.graceful_shutdown`` decides when each phase begins and which connections close.
"""

from __future__ import annotations

import asyncio

from sabledyke import log
from sabledyke.application.assembly import Assembly
from sabledyke.application.loop_lateness import LOGGED_S
from sabledyke.net.listener import Listener
from sabledyke.shutdown.graceful_shutdown import GracefulShutdown, ShutdownPhase

PHASE_DESCRIPTIONS = {
    ShutdownPhase.SERVING_OPEN_CONNECTIONS: "the listener is closed, open connections are served",
    ShutdownPhase.DRAINING_CONNECTIONS: "connections close after their answers",
    ShutdownPhase.FINAL_ANSWERS: "final answers",
}
POLL_INTERVAL_S = 0.01  # interval between checks of the phase
LONG_ANSWERS_TIMEOUT_S = 60.0  # longest time after the shutdown for long answers to end
SETTLE_S = 0.04  # time before the end during which nothing is read and pending answers are sent
SETTLE_POLL_INTERVAL_S = 0.002  # interval between checks for unanswered requests while settling
MIN_SETTLE_CHECKS = 4  # minimum number of these checks, also if the event loop is late


class ShutdownDriver:
    """Runs the phases of one graceful shutdown."""

    def __init__(
        self, assembly: Assembly, listeners: list[Listener], plan: GracefulShutdown, *, planned: bool
    ) -> None:
        self.plan = plan
        self._assembly = assembly
        self._listeners = listeners  # open listeners, shared with the life cycle
        self._closing_listeners: list[Listener] = []
        self._planned = planned
        self._hastened = False
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Serve until shortly before the earliest kill, and answer all accepted requests."""
        for frontend in self._assembly.frontends:
            frontend.shutdown = self.plan
        self._set_end()
        await self._serve_until_end()
        for listener in self._closing_listeners:
            listener.close_now()
        await self._settle()
        lateness = self._assembly.driver.lateness
        if lateness.longest_s >= LOGGED_S:
            log.emit("loop", f"late in all: {lateness.describe()}")
        self._log_unfinished()
        await self._finish_long_answers()
        for frontend in self._assembly.frontends:
            frontend.close()

    async def _finish_long_answers(self) -> None:
        """Close all connections but those that pass on a long answer, and wait for these.

        Guards against cutting off an answer that its node is still giving: the kill may come later than at
        its earliest time, and nothing else is owed any more. Other clients may still be connected that sent
        part of a request or do not read their answers. A shutdown that was shortened does not wait.
        """
        end_s = self._loop.time() + LONG_ANSWERS_TIMEOUT_S
        while self._loop.time() < end_s and not self._hastened:
            open_frontends = [
                frontend for frontend in self._assembly.frontends if frontend.close(keep_long_answers=True)
            ]
            if not open_frontends:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def hasten(self) -> None:
        """Shorten the shutdown, after a second SIGINT."""
        self._hastened = True
        self.plan.hasten(self._loop.time())
        self._set_end()

    def _set_end(self) -> None:
        self._assembly.driver.end_by(self.plan.answer_by, self.plan.available_again_at)

    async def _serve_until_end(self) -> None:
        logged_phase = ShutdownPhase.ACCEPTING_CONNECTIONS
        while (phase := self._current_phase()) is not ShutdownPhase.COMPLETED:
            if phase is not ShutdownPhase.ACCEPTING_CONNECTIONS:
                self._stop_accepting()
            if self._all_connections_closed():
                return
            self._answer_remaining()
            if phase is not logged_phase:
                self._log_phase(phase)
                logged_phase = phase
            if phase is ShutdownPhase.FINAL_ANSWERS:
                self._assembly.pool.pass_on_begun_answers()
            if self._closes_idle_connections(phase):
                for frontend in self._assembly.frontends:
                    frontend.close_idle(self._loop.time(), POLL_INTERVAL_S)
            await self._sleep_until_poll()

    async def _sleep_until_poll(self) -> None:
        """Sleep; if the event loop is late, move the end earlier, so that no answer is due at the kill."""
        lateness = self._assembly.driver.lateness
        due_s = self._loop.time() + POLL_INTERVAL_S
        await asyncio.sleep(POLL_INTERVAL_S)
        now_s = self._loop.time()
        lateness.record(now_s, now_s - due_s)
        if self.plan.allow_for_lateness(now_s, lateness.longest_recent_s(now_s)):
            self._set_end()

    def _answer_remaining(self) -> None:
        """Have the extensions give the answers that they hold back, once all answers are due."""
        if self._loop.time() < self.plan.answer_by:
            return
        for extension in self._assembly.extensions:
            extension.answer_remaining()

    def _log_unfinished(self) -> None:
        """Log the number of connections that close before their last request is answered in full."""
        unfinished = sum(
            not client.settled for frontend in self._assembly.frontends for client in frontend.clients
        )
        if unfinished:
            log.emit("stop", f"{unfinished} connections close within a request or an answer")

    def _current_phase(self) -> ShutdownPhase:
        return self.plan.phase(self._loop.time() + SETTLE_S)

    def _stop_accepting(self) -> None:
        while self._listeners:
            listener = self._listeners.pop()
            self._closing_listeners.append(listener)
            listener.close()
        for frontend in self._assembly.frontends:
            frontend.closing = True

    def _all_connections_closed(self) -> bool:
        if self._listeners or not all(listener.closed for listener in self._closing_listeners):
            return False
        return not any(frontend.clients for frontend in self._assembly.frontends)

    def _log_phase(self, phase: ShutdownPhase) -> None:
        connections = sum(len(frontend.clients) for frontend in self._assembly.frontends)
        unanswered = self._assembly.core.unanswered
        log.emit(
            "stop", f"{PHASE_DESCRIPTIONS[phase]}; {connections} connections, {unanswered} requests in flight"
        )

    def _closes_idle_connections(self, phase: ShutdownPhase) -> bool:
        if phase is ShutdownPhase.DRAINING_CONNECTIONS:
            return self._planned
        return phase >= ShutdownPhase.FINAL_ANSWERS

    async def _settle(self) -> None:
        """Stop reading, and answer the requests read last.

        Guards against closing a connection on a request that was read last: a request that was read needs an
        answer, and one that was not read is sent again by its client to another scheduler.
        """
        frontends = self._assembly.frontends
        end_s = self._loop.time() + SETTLE_S
        checks = 0
        for frontend in frontends:
            frontend.stop_reading()
        while not all(frontend.settled for frontend in frontends):
            if self._loop.time() >= end_s and checks >= MIN_SETTLE_CHECKS:
                return
            checks += 1
            self._assembly.driver.run_batch()
            self._answer_remaining()
            for frontend in frontends:
                frontend.reject_partial_requests()
            await asyncio.sleep(SETTLE_POLL_INTERVAL_S)
