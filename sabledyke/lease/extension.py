"""Where leases are set up: the authority, a keeper for each duty, and what is done under it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from uuid import uuid4

from sabledyke import log
from sabledyke.application.extensions import Host, Part
from sabledyke.config import ConfigError
from sabledyke.lease.leader_tasks import action_of, run_leader_task
from sabledyke.lease.manager import LeaseManager, skewed_clock
from sabledyke.lease.section import LeaseSection
from sabledyke.lease.types import Authority
from sabledyke.store.section import Target

if TYPE_CHECKING:
    from sabledyke.operator_config import Operator


def create_authority(section: LeaseSection) -> Authority:
    """The authority that a section names; its library is loaded only where it is named."""
    if section.path:
        from sabledyke.lease.sql_authority import SqlAuthority

        return SqlAuthority(Target(path=section.path), section.times.ttl_ms)
    from sabledyke.lease.etcd_authority import EtcdAuthority

    return EtcdAuthority(
        section.etcd_endpoints,
        section.prefix,
        section.times.ttl_ms,
        section.times.renew_interval_ms / MAX_CALLS_PER_REQUEST,
    )


MAX_CALLS_PER_REQUEST = 4  # calls to etcd that fit into the time for one ask


class LeaseExtension(Part):
    """The duties of the fleet that this instance stands by for."""

    def __init__(self, name: str, seed: int, section: LeaseSection, record: Target | None) -> None:
        self._section, self._record, self._seed = section, record, seed
        self._me = f"{name}.{uuid4().hex[:12]}"  # a life of its own: what a former one held is not this one's
        self._authority = create_authority(section)
        self._keepers: list[LeaseManager] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def open(self) -> None:
        """See ``parts.Part``."""
        await self._authority.open()
        self._begin()

    def _begin(self) -> None:
        section, loop = self._section, asyncio.get_running_loop()
        clock = skewed_clock(section.clock_offset_ms, section.clock_rate)
        for i, duty in enumerate(section.leader_tasks):
            keeper = LeaseManager(duty.name, self._me, self._authority, section.times, self._seed + i, clock)
            work = run_leader_task(duty, action_of(duty, self._record), keeper, self._authority)
            self._keepers.append(keeper)
            self._tasks += [loop.create_task(keeper.run()), loop.create_task(work)]
        log.say("lease", f"{self._me} stands by at {section}")

    async def _end(self) -> None:
        for task in self._tasks[1::2]:  # what is being done first: it must not go on without its lease
            task.cancel()
        await asyncio.gather(*self._tasks[1::2], return_exceptions=True)
        await asyncio.gather(*(keeper.stop() for keeper in self._keepers))
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._keepers.clear()
        self._tasks.clear()

    def check(self, operator: Operator) -> None:
        """See ``parts.Part``."""
        new = operator.lease
        if new is None or (new.path, new.etcd_endpoints, new.prefix) != (
            self._section.path,
            self._section.etcd_endpoints,
            self._section.prefix,
        ):
            raise ConfigError("the lease authority differs, which takes a restart")

    def retold(self, operator: Operator) -> None:
        """See ``parts.Part``: what is held is given up first, and taken anew under the new times."""
        if operator.lease is not None and operator.lease != self._section:
            self._section = operator.lease
            task = asyncio.get_running_loop().create_task(self._again())
            self._restart = task  # a reference, so that it is not collected

    async def _again(self) -> None:
        await self._end()
        await self._authority.close()
        self._authority = create_authority(self._section)
        await self._authority.open()
        self._begin()

    async def close(self) -> None:
        """See ``parts.Part``."""
        await self._end()
        await self._authority.close()


def set_up(host: Host, section: Operator) -> Part | None:
    """The leases, where the operator's file has duties for them."""
    if section.lease is None:
        return None
    record = section.store.record if section.store is not None else None
    return LeaseExtension(host.config.name, host.config.seed, section.lease, record)
