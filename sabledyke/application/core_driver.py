"""Runs the core on the event loop: hands it batches of events, and wakes it when its next timer is due."""

from __future__ import annotations

import asyncio

from sabledyke.application.extensions import AnswerCallback
from sabledyke.application.loop_lateness import LoopLateness
from sabledyke.application.rejection_log import RejectionLog
from sabledyke.core import AttemptResult, ClientRequest, Core
from sabledyke.net import clock


class CoreDriver:
    """Connects the core to the event loop and to the clock.

    The core is pure: each of its calls is given the time. This driver knows the time and decides nothing.
    ``core`` is set once, right after construction, as the core is given ``wake`` when it is made.

    Attributes:
        lateness: How late the event loop ran the core's timers.
        rejection_log: Logs why the core rejected requests.
    """

    core: Core

    def __init__(self) -> None:
        self.lateness = LoopLateness()
        self.rejection_log = RejectionLog()
        self._loop = asyncio.get_running_loop()
        self._batch_scheduled = False
        self._timer: asyncio.TimerHandle | None = None

    def submit(self, work: ClientRequest, done: AnswerCallback) -> int:
        """Hand a request to the core, as the last step of every front end's way.

        Returns:
            The id of the request.
        """
        return self.core.submit(clock.now(), work, done)

    def on_attempt_completed(self, request_id: int, number: int, result: AttemptResult) -> None:
        """Report the outcome of an attempt to the core."""
        self.core.on_attempt_completed(clock.now(), request_id, number, result)

    def may_send(self, request_id: int, number: int) -> bool:
        """Tell whether an attempt may still be written now."""
        return self.core.may_write(clock.now(), request_id, number)

    def end_by(self, answer_by_s: float, available_again_at_s: float) -> None:
        """Have every request answered by a time of the event loop's clock.

        Args:
            answer_by_s: When the last answer has to be given.
            available_again_at_s: When rejected clients may expect a server at this address again.
        """
        now_ms = clock.now()
        offset_ms = now_ms - self._loop.time() * 1000
        self.core.shut_down_by(
            now_ms, answer_by_s * 1000 + offset_ms, available_again_at_s * 1000 + offset_ms
        )
        self.wake()

    def wake(self) -> None:
        """Schedule a batch: all events of this iteration of the loop go to the scheduler together."""
        if not self._batch_scheduled:
            self._batch_scheduled = True
            self._loop.call_soon(self.run_batch)

    def run_batch(self) -> None:
        """Process the events that wait and the timers that are due, and arm the timer of the next batch."""
        self._batch_scheduled = False
        now_ms = clock.now()
        self.core.run_batch(now_ms)
        self.rejection_log.report(now_ms, self.core.metrics.rejections)
        self.cancel_timer()
        due_ms = self.core.next_batch_due()
        if due_ms is None:
            self._timer = None
            return
        due_s = self._loop.time() + max(0.0, due_ms - now_ms) / 1000
        self._timer = self._loop.call_at(due_s, self._on_timer, due_s)

    def _on_timer(self, due_s: float) -> None:
        now_s = self._loop.time()
        self.lateness.record(now_s, now_s - due_s)
        self.run_batch()

    def cancel_timer(self) -> None:
        """Cancel the timer of the next batch."""
        if self._timer is not None:
            self._timer.cancel()
