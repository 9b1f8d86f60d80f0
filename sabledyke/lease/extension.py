"""Extension that runs leader tasks: the authority, and a lease manager and a runner for each task."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Coroutine, Sequence
from math import inf
from typing import TYPE_CHECKING
from uuid import uuid4

from sabledyke import log
from sabledyke.application.extensions import Extension, ServerContext
from sabledyke.config import ConfigError
from sabledyke.lease.leader_tasks import action_of, run_leader_task
from sabledyke.lease.manager import LeaseManager, skewed_clock
from sabledyke.lease.section import LeaseSection
from sabledyke.lease.types import Authority
from sabledyke.shutdown.graceful_shutdown import GracefulShutdown
from sabledyke.store.section import Target

if TYPE_CHECKING:
    from sabledyke.operator_config import OperatorConfig

INCARNATION_ID_DIGITS = 12
SHUTDOWN_POLL_INTERVAL_S = 0.02  # between checks whether a shutdown leaves time to wait for an operation


def set_up(context: ServerContext, section: OperatorConfig) -> Extension | None:
    """Return the extension; None if the operator's file has no section ``[lease]``."""
    if section.lease is None:
        return None
    record = section.store.record if section.store is not None else None
    return LeaseExtension(context.config.name, context.config.seed, section.lease, record)


def create_authority(section: LeaseSection) -> Authority:
    """Create the authority that a section names; its library is imported only if it is used."""
    if section.path:
        from sabledyke.lease.sql_authority import SqlAuthority

        return SqlAuthority(Target(path=section.path), section.times.ttl_ms)
    from sabledyke.lease.etcd_authority import EtcdAuthority

    timeout_ms = section.times.renew_interval_ms / _majority(section.etcd_endpoints)
    return EtcdAuthority(section.etcd_endpoints, section.prefix, section.times.ttl_ms, timeout_ms)


def _majority(endpoints: Sequence[str]) -> int:
    """Return the size of a majority; one of that many servers answers while etcd has a quorum."""
    return len(endpoints) // 2 + 1


class LeaseExtension(Extension):
    """Runs the leader tasks that this instance is a candidate for.

    Attributes:
        managers: Lease managers, in the order of the section's leader tasks.
    """

    def __init__(self, name: str, seed: int, section: LeaseSection, record: Target | None) -> None:
        """Create an extension that is inactive before ``open``.

        Args:
            name: Name of this instance.
            seed: Seed of all jitter.
            section: Settings of the operator's file.
            record: Record that some leader tasks work on.
        """
        self.managers: list[LeaseManager] = []
        self._name = name
        self._section = section
        self._record = record
        self._seed = seed
        self._authority = create_authority(section)
        self._manager_runs: list[asyncio.Task[None]] = []
        self._leader_task_runs: list[asyncio.Task[None]] = []
        self._changing = asyncio.Lock()  # serializes starts and stops of the leader tasks
        self._changes: set[asyncio.Task[None]] = set()  # references that prevent garbage collection
        self._shutdown: GracefulShutdown | None = None
        self._stops_by_s = inf  # on the event loop's clock

    async def open(self) -> None:
        """Open the authority and start the leader tasks."""
        await self._authority.open()
        self._start()

    def check_operator_config(self, operator: OperatorConfig) -> None:
        """Reject settings with another authority."""
        new = operator.lease
        if new is None or not new.has_same_authority(self._section):
            raise ConfigError("the lease authority differs; a change requires a restart")

    def apply_operator_config(self, operator: OperatorConfig) -> None:
        """Release held leases, and start again with the new leader tasks and times."""
        if operator.lease is not None and operator.lease != self._section:
            self._section = operator.lease
            self._change(self._run_new_section())

    def on_shutdown(self, plan: GracefulShutdown) -> None:
        """Begin no further operation, and release each lease as soon as no operation is in flight."""
        self._shutdown = plan
        self._change(self._stop())

    async def close(self) -> None:
        """Wait for operations in flight as long as the shutdown or their leases allow, then close."""
        self._stops_by_s = asyncio.get_running_loop().time() + self._section.times.operating_window_ms / 1000
        await self._stop()
        await asyncio.gather(*self._changes, return_exceptions=True)
        await self._authority.close()

    @property
    def _is_stopping(self) -> bool:
        return self._shutdown is not None or self._stops_by_s < inf

    def _is_time_over(self) -> bool:
        """Return whether the time to wait for operations in flight is over."""
        now_s = asyncio.get_running_loop().time()
        if self._shutdown is not None:
            return now_s >= self._shutdown.completed_at
        return now_s >= self._stops_by_s

    def _change(self, change: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(change)
        self._changes.add(task)
        task.add_done_callback(self._changes.discard)

    def _start(self) -> None:
        section = self._section
        loop = asyncio.get_running_loop()
        clock = skewed_clock(section.clock_offset_ms, section.clock_rate)
        # A new identifier for each start: a lease that an earlier one left to expire is not resumed.
        holder_id = f"{self._name}.{uuid4().hex[:INCARNATION_ID_DIGITS]}"
        for index, task in enumerate(section.leader_tasks):
            manager = LeaseManager(
                task.name, holder_id, self._authority, section.times, self._seed + index, clock
            )
            work = run_leader_task(task, action_of(task, self._record), manager, self._authority)
            self.managers.append(manager)
            self._manager_runs.append(loop.create_task(manager.run()))
            self._leader_task_runs.append(loop.create_task(work))
        log.emit("lease", f"{holder_id} is a candidate for leases at {section}")

    async def _stop(self) -> None:
        async with self._changing:
            for manager in self.managers:  # all first: none begins an operation during the waits below
                manager.begin_release()
            runs = zip(self.managers, self._leader_task_runs, strict=True)
            await asyncio.gather(*(self._stop_one(manager, run) for manager, run in runs))
            await asyncio.gather(*self._manager_runs, return_exceptions=True)
            self.managers.clear()
            self._manager_runs.clear()
            self._leader_task_runs.clear()

    async def _stop_one(self, manager: LeaseManager, run: asyncio.Task[None]) -> None:
        """Wait for the operation in flight while time remains, then end the leader task and its lease."""
        while not manager.idle.is_set() and not self._is_time_over():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SHUTDOWN_POLL_INTERVAL_S):
                    await manager.idle.wait()
        run.cancel()
        await asyncio.gather(run, return_exceptions=True)
        await manager.stop()

    async def _run_new_section(self) -> None:
        await self._stop()
        async with self._changing:
            if self._is_stopping or self.managers:
                return  # the extension stops, or a later change has already started the leader tasks
            await self._authority.close()
            self._authority = create_authority(self._section)
            await self._authority.open()
            self._start()
