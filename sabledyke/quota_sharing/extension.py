"""Shares limits with other members: publishes demands, polls the others', and marks work with its share.

``allocation`` decides. A member whose clients request nothing that is shared neither writes nor polls.
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
"""Pause after the log did not answer."""
POLLS_PER_GAP = 4
"""Polls in the time that a member may go without one."""


class QuotaExtension(Extension):
    """See ``Extension``."""

    def __init__(
        self,
        context: ServerContext,
        section: Section,
        log_section: LogSection,
        clock: Callable[[], float] = boottime_ms,
    ) -> None:
        """Set up a member that has not begun yet.

        Args:
            context: The server around it.
            section: The operator's section of shares.
            log_section: The operator's section of the log.
            clock: Returns the time in ms.
        """
        self._section = section
        self._clock = clock
        self._name = context.config.name
        self._compacted_log = CompactedLog(log_section.create_backend(), context.config.seed)
        self._allocator = QuotaAllocator(section.policy, section.timing)
        self.meter = DemandMeter(clock())
        self.publisher = DemandPublisher(self._name, self._compacted_log, self._allocator, self.meter, clock)
        self._is_sharing = False  # it took more than its floor when last checked
        self._task: asyncio.Task[None] | None = None
        self.apply_config(context.config)

    async def open(self) -> None:
        """See ``Extension``: shares begin once the log answers; the program does not wait for it."""
        self._task = asyncio.get_running_loop().create_task(self._run())
        log.emit("fleet", f"{self._name}: {self._section}")

    def apply_config(self, config: Config) -> None:
        """See ``Extension``."""
        self._plans = config.settings.plans

    def submit(self, request: ClientRequest, done: AnswerCallback, onward: Submit) -> int:
        """See ``Extension``: work of a volume that is shared gets this member's share."""
        plan = self._plans[request.plan_index]
        if plan.limit > 0 or plan.reservation > 0:
            now_ms = self._clock()
            self.meter.add(now_ms, request.volume, request.units, max(plan.limit, plan.reservation))
            request.quota_share = self._allocator.share_of(request.volume, now_ms)
        return onward(request, done)

    def check_operator_config(self, operator: OperatorConfig) -> None:
        """See ``Extension``."""
        if operator.fleet != self._section:
            raise ConfigError("fleet differs, which takes a restart")

    async def close(self) -> None:
        """See ``Extension``: what it published counts for the others until they know that it ended."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._compacted_log.backend.close()

    async def _run(self) -> None:
        poll_interval_s = self._section.timing.max_poll_gap_ms / POLLS_PER_GAP / 1000
        while True:
            try:
                await self._step()
                await asyncio.sleep(poll_interval_s)
            except StaleWriterError as fault:
                log.emit("fleet", str(fault), **fault.fields)
                return  # another process runs under its name: this one goes on with its floor
            except CompactedLogError as fault:
                log.emit("fleet", f"shares: {fault}", **fault.fields)
                self._log_change()
                await asyncio.sleep(RETRY_INTERVAL_S)
            except Exception as fault:  # shares expire by themselves, but a task is not to end silently
                invariants.report_violation("a turn of shares", repr(fault))
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _step(self) -> None:
        if not self.publisher.has_begun:
            await self.publisher.begin()
        if self.publisher.is_quiet and not self.meter.has_demand:
            return
        await self.publisher.poll()
        if self._clock() - self.publisher.confirmed_at_ms >= self._section.timing.beat_ms:
            await self.publisher.publish()
        self._log_change()

    def _log_change(self) -> None:
        is_sharing = self._allocator.is_fresh(self._clock())
        if is_sharing is self._is_sharing:
            return
        self._is_sharing = is_sharing
        what = "takes its shares by demand" if is_sharing else "takes its floor alone"
        log.emit("fleet", f"{self._name} {what}", shared=str(is_sharing).lower())


def set_up(context: ServerContext, operator: OperatorConfig) -> Extension | None:
    """Return a member that shares limits, where the operator's file says that this process is one."""
    if operator.fleet is None or operator.board is None:
        return None
    return QuotaExtension(context, operator.fleet, operator.board)
