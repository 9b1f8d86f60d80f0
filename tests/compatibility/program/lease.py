"""Leases and fences as the program reads and writes them."""

from __future__ import annotations

from typing import Any

from sabledyke.lease import fencing
from sabledyke.lease import types as lease_terms
from sabledyke.lease.etcd_authority import EtcdAuthority
from sabledyke.lease.sql_authority import TableAuthority
from sabledyke.store.database_errors import DatabaseError as StoreFault
from sabledyke.store.section import Target
from sabledyke.store.session import Session
from sabledyke.store.types import Step
from sabledyke.testbed.etcd_server import Etcd

__all__ = ["Etcd", "StoreFault"]

ME = "n1.aaaaaaaaaaaa"  # a holder of leases, as it is stored


def etcd_authority(address: str) -> EtcdAuthority:
    """Leases of 60 s (whole seconds, rounded up) in the etcd at this address."""
    return EtcdAuthority([address], "sabledyke/", 59_500.0, 20_000.0)


async def look(authority: lease_terms.Authority, duty: str) -> Any:
    """Who holds the lease of a duty?"""
    return await authority.ask(duty, ME, lease_terms.Look())


async def take(authority: lease_terms.Authority, duty: str, stamp: tuple[int, int]) -> Any:
    """Take it, if it still stands under this token and count of renewals."""
    return await authority.ask(duty, ME, lease_terms.Take(stamp))


async def renew(authority: lease_terms.Authority, duty: str, token: int) -> Any:
    """Renew it."""
    return await authority.ask(duty, ME, lease_terms.Renew(token))


async def release(authority: lease_terms.Authority, duty: str, token: int) -> Any:
    """Release it."""
    return await authority.ask(duty, ME, lease_terms.Release(token))


def table_authority(path: str) -> TableAuthority:
    """Leases of 3 s in this SQLite file."""
    return TableAuthority(Target(path=path), 3000.0)


async def pass_fence(session: Session, duty: str, token: int) -> None:
    """Show the database a token; a StoreFault where it has seen a later one."""
    await session.transact([Step(fencing.TABLE), *fencing.steps(duty, token)])
