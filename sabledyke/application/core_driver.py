"""Runs the core on the event loop: passes it batches of events, and calls it when its next timer is due."""

from __future__ import annotations

import asyncio

from sabledyke.application.extensions import AnswerCallback
from sabledyke.application.loop_lateness import LoopLateness
from sabledyke.application.rejection_log import RejectionLog
from sabledyke.core import AttemptResult, ClientRequest, Core
from sabledyke.net import clock


class CoreDriver:
    """Connects the core to the event loop and to the clock.

    The core has no clock: each call passes it the time. This driver reads the clock and makes no decisions.
    ``core`` is set once, right after construction, because the constructor of the core takes ``wake``.

    Attributes:
        core: The core.
        lateness: Delays with which the event loop ran the core's timers.
        rejection_log: Logs the reasons for rejected and failed requests.
    """

    core: Core

    def __init__(self) -> None:
        self.lateness = LoopLateness()
        self.rejection_log = RejectionLog()
        self._loop = asyncio.get_running_loop()
        self._batch_scheduled = False
        self._timer: asyncio.TimerHandle | None = None

    def submit(self, request: ClientRequest, done: AnswerCallback) -> int:
        """Submit a request to the core, after all extensions have processed it.

        Returns:
            The id of the request.
        """
        return self.core.submit(clock.now(), request, done)

    def on_attempt_completed(self, request_id: int, number: int, result: AttemptResult) -> None:
        """Report the outcome of an attempt to the core."""
        self.core.on_attempt_completed(clock.now(), request_id, number, result)

    def may_send(self, request_id: int, number: int) -> bool:
        """Return whether an attempt may still be written now."""
        return self.core.may_write(clock.now(), request_id, number)

    def end_by(self, answer_by_s: float, available_again_at_s: float) -> None:
        """Set the time by which every request is answered.

        Args:
            answer_by_s: Due time of the last answer, on the event loop's clock.
            available_again_at_s: Time from which rejected clients may expect a server at this address again,
                on the event loop's clock.
        """
        now_ms = clock.now()
        offset_ms = now_ms - self._loop.time() * 1000
        self.core.shut_down_by(
            now_ms, answer_by_s * 1000 + offset_ms, available_again_at_s * 1000 + offset_ms
        )
        self.wake()

    def wake(self) -> None:
        """Schedule a batch, which passes all events of this loop iteration to the scheduler together."""
        if not self._batch_scheduled:
            self._batch_scheduled = True
            self._loop.call_soon(self.run_batch)

    def run_batch(self) -> None:
        """Process pending events and due timers, and set the timer of the next batch."""
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
