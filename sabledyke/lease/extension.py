"""Sets up the leases: the authority, a lease manager for each leader task, and the tasks themselves."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from uuid import uuid4

from sabledyke import log
from sabledyke.application.extensions import Extension, ServerContext
from sabledyke.config import ConfigError
from sabledyke.lease.leader_tasks import action_of, run_leader_task
from sabledyke.lease.manager import LeaseManager, skewed_clock
from sabledyke.lease.section import LeaseSection
from sabledyke.lease.types import Authority
from sabledyke.store.section import Target

if TYPE_CHECKING:
    from sabledyke.operator_config import OperatorConfig

MAX_CALLS_PER_REQUEST = 4  # calls to etcd that fit into the time for one request
INCARNATION_ID_DIGITS = 12


def set_up(host: ServerContext, section: OperatorConfig) -> Extension | None:
    """Return the extension, where the operator's file has a section ``[lease]``."""
    if section.lease is None:
        return None
    record = section.store.record if section.store is not None else None
    return LeaseExtension(host.config.name, host.config.seed, section.lease, record)


def create_authority(section: LeaseSection) -> Authority:
    """Create the authority that a section names; its library is loaded only where it is named."""
    if section.path:
        from sabledyke.lease.sql_authority import SqlAuthority

        return SqlAuthority(Target(path=section.path), section.times.ttl_ms)
    from sabledyke.lease.etcd_authority import EtcdAuthority

    timeout_ms = section.times.renew_interval_ms / MAX_CALLS_PER_REQUEST
    return EtcdAuthority(section.etcd_endpoints, section.prefix, section.times.ttl_ms, timeout_ms)


class LeaseExtension(Extension):
    """The leader tasks that this instance is a candidate for.

    Attributes:
        managers: The lease managers, in the order of the section's leader tasks.
    """

    def __init__(self, name: str, seed: int, section: LeaseSection, record: Target | None) -> None:
        """Make an extension that does nothing before ``open``.

        Args:
            name: The name of this instance.
            seed: The seed of all jitter.
            section: The operator's settings.
            record: The record that some leader tasks work on.
        """
        self.managers: list[LeaseManager] = []
        self._section = section
        self._record = record
        self._seed = seed
        # An incarnation of its own: what a former one held is not this one's.
        self._holder_id = f"{name}.{uuid4().hex[:INCARNATION_ID_DIGITS]}"
        self._authority = create_authority(section)
        self._manager_runs: list[asyncio.Task[None]] = []
        self._leader_task_runs: list[asyncio.Task[None]] = []
        self._restart: asyncio.Task[None] | None = None  # a reference, so that it is not collected

    async def open(self) -> None:
        """See ``Extension``."""
        await self._authority.open()
        self._start()

    def check_operator_config(self, operator: OperatorConfig) -> None:
        """See ``Extension``."""
        new = operator.lease
        if new is None or not new.uses_authority_of(self._section):
            raise ConfigError("the lease authority differs, which takes a restart")

    def apply_operator_config(self, operator: OperatorConfig) -> None:
        """See ``Extension``: what is held is released, and acquired again under the new times."""
        if operator.lease is not None and operator.lease != self._section:
            self._section = operator.lease
            self._restart = asyncio.get_running_loop().create_task(self._run_new_section())

    async def close(self) -> None:
        """See ``Extension``."""
        await self._stop()
        await self._authority.close()

    def _start(self) -> None:
        section = self._section
        loop = asyncio.get_running_loop()
        clock = skewed_clock(section.clock_offset_ms, section.clock_rate)
        for index, task in enumerate(section.leader_tasks):
            manager = LeaseManager(
                task.name, self._holder_id, self._authority, section.times, self._seed + index, clock
            )
            work = run_leader_task(task, action_of(task, self._record), manager, self._authority)
            self.managers.append(manager)
            self._manager_runs.append(loop.create_task(manager.run()))
            self._leader_task_runs.append(loop.create_task(work))
        log.emit("lease", f"{self._holder_id} stands by at {section}")

    async def _stop(self) -> None:
        for run in self._leader_task_runs:  # these first: they must not go on without their leases
            run.cancel()
        await asyncio.gather(*self._leader_task_runs, return_exceptions=True)
        await asyncio.gather(*(manager.stop() for manager in self.managers))
        await asyncio.gather(*self._manager_runs, return_exceptions=True)
        self.managers.clear()
        self._manager_runs.clear()
        self._leader_task_runs.clear()

    async def _run_new_section(self) -> None:
        await self._stop()
        await self._authority.close()
        self._authority = create_authority(self._section)
        await self._authority.open()
        self._start()
