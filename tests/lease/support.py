"""Settings and helpers shared by the tests of leases."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from sabledyke.lease.types import LeaseTimes
from sabledyke.testbed.etcd_server import Etcd

TIMES = LeaseTimes(ttl_ms=1000, renew_interval_ms=100, safety_margin_ms=100, max_clock_drift=0.02)
TIMEOUT_S = 60
CALL = {"name": "d", "kind": "call", "url": "http://h:1/", "every_s": 1}


@asynccontextmanager
async def etcd_server() -> AsyncIterator[Etcd]:
    """Run an etcd server of the testbed for the duration of the context."""
    etcd = Etcd()
    await etcd.open()
    try:
        yield etcd
    finally:
        await etcd.close()
