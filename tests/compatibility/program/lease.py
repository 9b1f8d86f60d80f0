"""Adapter for leases and fences."""

from __future__ import annotations

from typing import Any

from sabledyke.lease import fencing
from sabledyke.lease import types as lease_types
from sabledyke.lease.etcd_authority import EtcdAuthority
from sabledyke.lease.sql_authority import SqlAuthority
from sabledyke.store.database_errors import DatabaseError
from sabledyke.store.section import Target
from sabledyke.store.session import Session
from sabledyke.store.types import Step
from sabledyke.testbed.etcd_server import Etcd

__all__ = ["DatabaseError", "Etcd"]

HOLDER_ID = "n1.aaaaaaaaaaaa"  # identifier of the holder in the stored data


class Leases:
    """An authority whose methods keep their names in the tests when the program renames them."""

    def __init__(self, authority: lease_types.Authority) -> None:
        self.authority = authority
        self.open = authority.open
        self.record_completion = authority.record_completion
        self.last_completion = authority.last_completed_unix_ms
        self.list_leases = authority.list_leases
        self.recall = authority.recall
        self.close = authority.close


def etcd_authority(address: str) -> Leases:
    """Return an authority in the etcd at this address; its TTL is 59.5 s, rounded up to 60 s."""
    return Leases(EtcdAuthority([address], "sabledyke/", 59_500.0, 20_000.0))


async def inspect(leases: Leases, task_name: str) -> Any:
    """Request the status of a leader task's lease."""
    return await leases.authority.request(task_name, HOLDER_ID, lease_types.Inspect())


async def acquire(leases: Leases, task_name: str, seen_version: tuple[int, int]) -> Any:
    """Acquire the lease, if its token and its number of renewals are still these."""
    version = lease_types.LeaseVersion(*seen_version)
    return await leases.authority.request(task_name, HOLDER_ID, lease_types.Acquire(version))


async def renew(leases: Leases, task_name: str, token: int) -> Any:
    """Renew the lease that was granted with this token."""
    return await leases.authority.request(task_name, HOLDER_ID, lease_types.Renew(token))


async def release(leases: Leases, task_name: str, token: int) -> Any:
    """Release the lease that was granted with this token."""
    return await leases.authority.request(task_name, HOLDER_ID, lease_types.Release(token))


def table_authority(path: str) -> Leases:
    """Return an authority in this SQLite file, with a TTL of 3 s."""
    return Leases(SqlAuthority(Target(path=path), 3000.0))


async def check_token(session: Session, task_name: str, token: int) -> None:
    """Check a fencing token in the database.

    Raises:
        DatabaseError: If the database has seen a newer token.
    """
    await session.transact([Step(fencing.CREATE_TABLE_SQL), *fencing.token_check_steps(task_name, token)])
