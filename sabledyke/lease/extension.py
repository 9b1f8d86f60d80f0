"""Where leases are set up: the authority, a keeper for each duty, and what is done under it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from uuid import uuid4

from sabledyke import log
from sabledyke.application.extensions import Extension, ServerContext
from sabledyke.config import ConfigError
from sabledyke.lease.leader_tasks import act_of, perform
from sabledyke.lease.manager import Keeper, skewed
from sabledyke.lease.section import Section
from sabledyke.lease.types import Authority
from sabledyke.store.section import Target

if TYPE_CHECKING:
    from sabledyke.operator_config import OperatorConfig


def authority_of(section: Section) -> Authority:
    """The authority that a section names; its library is loaded only where it is named."""
    if section.path:
        from sabledyke.lease.sql_authority import TableAuthority

        return TableAuthority(Target(path=section.path), section.times.ttl)
    from sabledyke.lease.etcd_authority import EtcdAuthority

    return EtcdAuthority(section.etcd, section.prefix, section.times.ttl, section.times.renew / CALLS)


CALLS = 4  # calls to etcd that fit into the time for one ask


class LeasePart(Extension):
    """The duties of the fleet that this instance stands by for."""

    def __init__(self, name: str, seed: int, section: Section, record: Target | None) -> None:
        self._section, self._record, self._seed = section, record, seed
        self._me = f"{name}.{uuid4().hex[:12]}"  # a life of its own: what a former one held is not this one's
        self._authority = authority_of(section)
        self._keepers: list[Keeper] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def open(self) -> None:
        """See ``parts.Part``."""
        await self._authority.open()
        self._begin()

    def _begin(self) -> None:
        section, loop = self._section, asyncio.get_running_loop()
        clock = skewed(section.offset, section.rate)
        for i, duty in enumerate(section.duties):
            keeper = Keeper(duty.name, self._me, self._authority, section.times, self._seed + i, clock)
            work = perform(duty, act_of(duty, self._record), keeper, self._authority)
            self._keepers.append(keeper)
            self._tasks += [loop.create_task(keeper.run()), loop.create_task(work)]
        log.emit("lease", f"{self._me} stands by at {section}")

    async def _end(self) -> None:
        for task in self._tasks[1::2]:  # what is being done first: it must not go on without its lease
            task.cancel()
        await asyncio.gather(*self._tasks[1::2], return_exceptions=True)
        await asyncio.gather(*(keeper.stop() for keeper in self._keepers))
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._keepers.clear()
        self._tasks.clear()

    def check_operator_config(self, operator: OperatorConfig) -> None:
        """See ``parts.Part``."""
        new = operator.lease
        if new is None or (new.path, new.etcd, new.prefix) != (
            self._section.path,
            self._section.etcd,
            self._section.prefix,
        ):
            raise ConfigError("the lease authority differs, which takes a restart")

    def apply_operator_config(self, operator: OperatorConfig) -> None:
        """See ``parts.Part``: what is held is given up first, and taken anew under the new times."""
        if operator.lease is not None and operator.lease != self._section:
            self._section = operator.lease
            task = asyncio.get_running_loop().create_task(self._again())
            self._restart = task  # a reference, so that it is not collected

    async def _again(self) -> None:
        await self._end()
        await self._authority.close()
        self._authority = authority_of(self._section)
        await self._authority.open()
        self._begin()

    async def close(self) -> None:
        """See ``parts.Part``."""
        await self._end()
        await self._authority.close()


def set_up(host: ServerContext, section: OperatorConfig) -> Extension | None:
    """The leases, where the operator's file has duties for them."""
    if section.lease is None:
        return None
    record = section.store.record if section.store is not None else None
    return LeasePart(host.config.name, host.config.seed, section.lease, record)
