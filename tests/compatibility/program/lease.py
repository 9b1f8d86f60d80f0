"""Leases and fences as the program reads and writes them."""

from __future__ import annotations

from typing import Any

from sabledyke.lease import fencing
from sabledyke.lease import types as lease_terms
from sabledyke.lease.etcd_authority import EtcdAuthority
from sabledyke.lease.sql_authority import SqlAuthority
from sabledyke.store.database_errors import DatabaseError as StoreFault
from sabledyke.store.section import Target
from sabledyke.store.session import Session
from sabledyke.store.types import Step
from sabledyke.testbed.etcd_server import Etcd

__all__ = ["Etcd", "StoreFault"]

ME = "n1.aaaaaaaaaaaa"  # a holder of leases, as it is stored


class Leases:
    """An authority under the names by which the tests call it, whatever the program calls them."""

    def __init__(self, authority: lease_terms.Authority) -> None:
        self.authority = authority
        self.open = authority.open
        self.done = authority.record_completion
        self.last = authority.last_completed_unix_ms
        self.standing = authority.list_leases
        self.recall = authority.recall
        self.close = authority.close


def etcd_authority(address: str) -> Leases:
    """Leases of 60 s (whole seconds, rounded up) in the etcd at this address."""
    return Leases(EtcdAuthority([address], "sabledyke/", 59_500.0, 20_000.0))


async def look(leases: Leases, duty: str) -> Any:
    """Who holds the lease of a duty?"""
    return await leases.authority.request(duty, ME, lease_terms.Inspect())


async def take(leases: Leases, duty: str, stamp: tuple[int, int]) -> Any:
    """Take it, if it still stands under this token and count of renewals."""
    version = lease_terms.LeaseVersion(*stamp)
    return await leases.authority.request(duty, ME, lease_terms.Acquire(version))


async def renew(leases: Leases, duty: str, token: int) -> Any:
    """Renew it."""
    return await leases.authority.request(duty, ME, lease_terms.Renew(token))


async def release(leases: Leases, duty: str, token: int) -> Any:
    """Release it."""
    return await leases.authority.request(duty, ME, lease_terms.Release(token))


def table_authority(path: str) -> Leases:
    """Leases of 3 s in this SQLite file."""
    return Leases(SqlAuthority(Target(path=path), 3000.0))


async def pass_fence(session: Session, duty: str, token: int) -> None:
    """Show the database a token; a StoreFault where it has seen a later one."""
    await session.transact([Step(fencing.CREATE_TABLE_SQL), *fencing.token_check_steps(duty, token)])
