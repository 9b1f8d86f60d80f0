"""Extension that shares limits with other members: publishes demands, polls, and marks requests with a share.

``allocation`` computes the share. A member whose clients request nothing that is shared neither writes nor
polls.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from sabledyke import invariants, log
from sabledyke.application.extensions import AnswerCallback, Extension, ServerContext, Submit
from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.section import LogSection
from sabledyke.config import Config, ConfigError
from sabledyke.core import ClientRequest
from sabledyke.errors import CompactedLogError, StaleWriterError
from sabledyke.lease.manager import boottime_ms
from sabledyke.quota_sharing.allocation import QuotaAllocator
from sabledyke.quota_sharing.demand import DemandMeter
from sabledyke.quota_sharing.publisher import DemandPublisher
from sabledyke.quota_sharing.section import Section

if TYPE_CHECKING:
    from sabledyke.operator_config import OperatorConfig

RETRY_INTERVAL_S = 0.2
"""Pause after a failed access to the compacted log."""
POLLS_PER_MAX_GAP = 4
"""Polls within the longest time that a member may go without one."""


class QuotaExtension(Extension):
    """Member of a group of schedulers that share limits and reservations."""

    def __init__(
        self,
        context: ServerContext,
        section: Section,
        log_section: LogSection,
        clock: Callable[[], float] = boottime_ms,
    ) -> None:
        """Create a member that accesses the log from ``open`` on.

        Args:
            context: Context of the server.
            section: Operator's section of quota sharing.
            log_section: Operator's section of the compacted log.
            clock: Function that returns the time in ms.
        """
        self._section = section
        self._clock = clock
        self._name = context.config.name
        self._compacted_log = CompactedLog(log_section.create_backend(), context.config.seed)
        self._allocator = QuotaAllocator(section.policy, section.timing)
        self.meter = DemandMeter(clock())
        self.publisher = DemandPublisher(self._name, self._compacted_log, self._allocator, self.meter, clock)
        self._is_sharing = False  # True if the last check allowed more than the floor
        self._task: asyncio.Task[None] | None = None
        self.apply_config(context.config)

    async def open(self) -> None:
        """Start the task that publishes and polls, without a wait for the log."""
        self._task = asyncio.get_running_loop().create_task(self._run())
        log.emit("fleet", f"{self._name}: {self._section}")

    def apply_config(self, config: Config) -> None:
        """Apply the limits and reservations of a new configuration."""
        self._plans = config.settings.plans

    def submit(self, request: ClientRequest, done: AnswerCallback, onward: Submit) -> int:
        """Count the demand of a request for a shared volume, and set the request's quota share."""
        plan = self._plans[request.plan_index]
        if plan.limit > 0 or plan.reservation > 0:
            now_ms = self._clock()
            self.meter.add(now_ms, request.volume, request.units, max(plan.limit, plan.reservation))
            request.quota_share = self._allocator.share_of(request.volume, now_ms)
        return onward(request, done)

    def check_operator_config(self, operator: OperatorConfig) -> None:
        """Reject a changed section."""
        if operator.fleet != self._section:
            raise ConfigError("fleet differs; a change requires a restart")

    async def close(self) -> None:
        """Stop publishing and polling; the other members count the last publication until it expires."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._compacted_log.backend.close()

    async def _run(self) -> None:
        poll_interval_s = self._section.timing.max_poll_gap_ms / POLLS_PER_MAX_GAP / 1000
        while True:
            try:
                await self._step()
                await asyncio.sleep(poll_interval_s)
            except StaleWriterError as fault:
                log.emit("fleet", str(fault), **fault.fields)
                return  # another process uses the same name: this one keeps to its floor from now on
            except CompactedLogError as fault:
                log.emit("fleet", f"shares: {fault}", **fault.fields)
                self._log_change()
                await asyncio.sleep(RETRY_INTERVAL_S)
            except Exception as fault:  # shares expire without this task, but its failure must be visible
                invariants.report_violation("a step of quota sharing", repr(fault))
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _step(self) -> None:
        if not self.publisher.has_begun:
            await self.publisher.begin()
        if self.publisher.has_no_demand and not self.meter.has_demand:
            return
        await self.publisher.poll()
        if self._clock() - self.publisher.confirmed_at_ms >= self._section.timing.beat_ms:
            await self.publisher.publish()
        self._log_change()

    def _log_change(self) -> None:
        is_sharing = self._allocator.may_exceed_floor(self._clock())
        if is_sharing is self._is_sharing:
            return
        self._is_sharing = is_sharing
        what = "uses its share by demand" if is_sharing else "uses only its floor"
        log.emit("fleet", f"{self._name} {what}", shared=str(is_sharing).lower())


def set_up(context: ServerContext, operator: OperatorConfig) -> Extension | None:
    """Return the extension; None if the operator's file has no section ``[fleet]`` or ``[board]``."""
    if operator.fleet is None or operator.board is None:
        return None
    return QuotaExtension(context, operator.fleet, operator.board)
