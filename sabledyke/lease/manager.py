"""Lease manager: executes the transitions of ``holder``, and runs the operations of the leader task.

The default clock (``CLOCK_BOOTTIME``) advances while the machine is suspended and while the process is
paused. Instances of the testbed may use a clock with an offset and a rate that differs from true time.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, replace
from random import Random

from sabledyke import log
from sabledyke.errors import AuthorityError, LeaseLostError, OperationUnresolvedError
from sabledyke.lease import holder
from sabledyke.lease.holder_state import (
    HolderEvent,
    HolderState,
    Phase,
    SendRequest,
    Transition,
)
from sabledyke.lease.types import Authority, LeaseTimes

Clock = Callable[[], float]

# The clock is checked at least this often, as its rate may differ from that of the event loop's clock.
MAX_CLOCK_CHECK_INTERVAL_S = 0.25
# After a pause of the process, an answer that has already arrived is read before its operation is cancelled.
ANSWER_GRACE_S = 0.05


def boottime_ms() -> float:
    """Return the milliseconds since the machine started, including time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


def skewed_clock(offset_ms: float, rate: float) -> Clock:
    """Return a clock with an offset of ``offset_ms`` that runs at ``rate`` times the true rate."""
    return lambda: boottime_ms() * rate + offset_ms


@dataclass(frozen=True, slots=True)
class HeldLease:
    """Data of a held lease at one moment.

    Attributes:
        token: Fencing token of the lease.
        confirmed_for_ms: Time since the request that the authority last confirmed the lease by.
        remaining_ms: Time in which the holder may still operate.
    """

    token: int
    confirmed_for_ms: float
    remaining_ms: float


class LeaseManager:
    """Acquires and renews one lease for this instance.

    Attributes:
        task_name: Name of the leader task that the lease is for.
        holder_id: Identifier that this instance holds the lease under.
        times: Times of the lease.
        state: State of the holder.
        leading: Set while an operation may begin, as of the last update.
        idle: Set while no operation runs in this process.
    """

    def __init__(
        self,
        task_name: str,
        holder_id: str,
        authority: Authority,
        times: LeaseTimes,
        seed: int,
        clock: Clock = boottime_ms,
    ) -> None:
        """Create a manager without a lease; ``run`` begins to acquire it."""
        self.task_name = task_name
        self.holder_id = holder_id
        self.times = replace(times, authority_tracks_expiry=authority.tracks_expiry)
        self.state = HolderState(holder_id)
        self.leading = asyncio.Event()
        self.idle = asyncio.Event()
        self.idle.set()
        self._authority = authority
        self._clock = clock
        self._random = Random(seed)
        self._changed = asyncio.Event()
        self._requests: set[asyncio.Task[None]] = set()
        self._operation_timeout: asyncio.Timeout | None = None

    @contextlib.asynccontextmanager
    async def operation(self) -> AsyncIterator[HeldLease]:
        """Run the body as one operation under the lease, which is not released before the operation ends.

        The body is cancelled when the lease ends. It raises ``OperationUnresolvedError`` if the outcome of
        the operation is unknown. In both cases the operation counts as running until the end of the lease.

        Raises:
            LeaseLostError: No operation may begin now, or the lease has ended during this one.
        """
        if not holder.may_begin_operation(self.state, self._clock()):
            raise LeaseLostError(f"the lease {self.task_name} allows no further operation now")
        lease = self.current_lease()
        self._apply(holder.on_operation_begun(self.state, self.times))
        self.idle.clear()
        self._operation_timeout = timeout = asyncio.timeout(None)
        is_completed = False
        try:
            async with timeout:
                yield lease
            is_completed = True
        except Exception as error:
            if timeout.expired():
                raise LeaseLostError(f"the lease {self.task_name} ended before its operation") from error
            is_completed = not isinstance(error, OperationUnresolvedError)
            raise
        finally:
            self._complete_operation(lease.token, is_completed=is_completed)

    def _complete_operation(self, token: int, *, is_completed: bool) -> None:
        self._operation_timeout = None
        self.idle.set()
        now_ms = self._clock()
        self._apply(
            holder.on_operation_completed(self.state, self.times, now_ms, token, is_completed=is_completed)
        )
        self._changed.set()

    def current_token(self) -> int:
        """Return the token of the held lease; call this before every step.

        Raises:
            LeaseLostError: This instance may not operate now.
        """
        return self.current_lease().token

    def current_lease(self) -> HeldLease:
        """Return the token and the times of the held lease; call this before every step.

        Raises:
            LeaseLostError: This instance may not operate now.
        """
        now_ms = self._clock()
        if not holder.may_operate(self.state, now_ms):
            raise LeaseLostError(f"the lease {self.task_name} is not held")
        remaining_ms = self.state.may_operate_until_ms - now_ms
        return HeldLease(self.state.token, self.times.operating_window_ms - remaining_ms, remaining_ms)

    def recheck(self) -> None:
        """Check the clock and update ``leading`` now, after a step was not allowed to operate."""
        self.leading.clear()
        self._changed.set()

    def on_fenced(self, token: int) -> None:
        """Release the lease: a resource rejected this token, as it has seen a later one."""
        self._apply(holder.on_fenced(self.state, self.times, self._clock(), token))
        self._changed.set()

    async def run(self) -> None:
        """Acquire and renew the lease until ``stop`` is called and the lease is released."""
        while self.state.phase is not Phase.STOPPED:
            self._changed.clear()
            now_ms = self._clock()
            self._apply(holder.on_tick(self.state, self.times, now_ms, self._random.random()))
            wait_s = max(0.0, holder.next_tick_at_ms(self.state, self.times) - now_ms) / 1000
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(MAX_CLOCK_CHECK_INTERVAL_S, wait_s)):
                    await self._changed.wait()

    def begin_release(self) -> None:
        """Begin no further operation, and release a held lease as soon as no operation is in flight."""
        self._apply(holder.on_stop(self.state, self.times, self._clock()))
        self._changed.set()

    async def stop(self) -> None:
        """Release the lease when no operation runs in this process, and wait for pending requests to end."""
        self.begin_release()
        if self._requests:
            await asyncio.wait(self._requests)

    def _apply(self, transition: Transition) -> None:
        self.state = transition.state
        self._update_flags()
        for event in transition.events:
            self._publish(event)
        for request in transition.requests:
            task = asyncio.get_running_loop().create_task(self._send(request))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    async def _send(self, action: SendRequest) -> None:
        sent_at_ms = self._clock()
        try:
            async with asyncio.timeout(self.times.renew_interval_ms / 1000):
                reply = await self._authority.request(self.task_name, self.holder_id, action.request)
            jitter = self._random.random()
            now_ms = self._clock()
            self._apply(holder.on_reply(self.state, self.times, now_ms, action.number, reply, jitter))
        except (AuthorityError, TimeoutError) as error:
            now_ms = self._clock()
            self._log_failure(action, error, now_ms - sent_at_ms)
            jitter = self._random.random()
            self._apply(holder.on_failure(self.state, self.times, now_ms, action.number, jitter))
        self._changed.set()

    def _log_failure(self, action: SendRequest, error: Exception, duration_ms: float) -> None:
        """Log the kind and duration of a failed request; a long duration indicates a slow authority."""
        request = type(action.request).__name__.lower()
        log.emit(
            "lease",
            f"{self.task_name}: the authority did not answer: {error or 'in time'}"
            f" ({request}, after {duration_ms:.0f} ms)",
            duty=self.task_name,
            request=request,
            after_ms=round(duration_ms),
        )

    def _update_flags(self) -> None:
        """Update ``leading``, and schedule the cancellation of an operation whose lease has ended."""
        now_ms = self._clock()
        if holder.may_begin_operation(self.state, now_ms):
            self.leading.set()
        else:
            self.leading.clear()
        timeout = self._operation_timeout
        if timeout is not None and timeout.when() is None and not holder.may_operate(self.state, now_ms):
            timeout.reschedule(asyncio.get_running_loop().time() + ANSWER_GRACE_S)

    def _publish(self, event: HolderEvent) -> None:
        if event is HolderEvent.RENEWED:  # too frequent for the log; ``lease status`` shows renewals
            return
        log.emit_change(
            "lease",
            event.value,
            f"{self.task_name}: {event.value}, token {self.state.token}",
            what=event.value,
            duty=self.task_name,
            token=self.state.token,
            holder=self.holder_id,
        )
