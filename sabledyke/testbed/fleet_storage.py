"""Storage of a fleet's compacted log and leases: SQLite files, or the etcd stand-in.

It can stall the log to inject a fault.
"""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import AsyncIterator
from pathlib import Path

from sabledyke.compacted_log.etcd_backend import EtcdBackend
from sabledyke.compacted_log.records import Backend
from sabledyke.compacted_log.sqlite_backend import SqliteBackend
from sabledyke.testbed.etcd_server import Etcd
from sabledyke.testbed.fault_proxy import Proxy
from sabledyke.testbed.fleet_settings import FleetSettings, StorageKeys

KEY_PREFIX = "fleet/"
LOCK_TIMEOUT_S = 5.0


class FleetStorage:
    """The storage of one fleet.

    Attributes:
        etcd: The etcd stand-in; it runs with both backends.
        proxies: The proxies between members and etcd, by the member's number.
    """

    def __init__(self, settings: FleetSettings, folder: Path, seed: int) -> None:
        self.etcd = Etcd()
        self.proxies: list[Proxy] = []
        self._settings = settings
        self._log_path = folder / "board.sqlite3"
        self._lease_path = folder / "leases.sqlite3"
        self._seed = seed

    async def open(self) -> None:
        """Start the etcd stand-in."""
        await self.etcd.open()

    async def open_proxy(self, number: int) -> None:
        """Start a member's proxy, if the fleet has proxies."""
        if self._settings.has_proxies:
            proxy = Proxy(self.etcd.port, self._seed + number)
            self.proxies.append(proxy)
            await proxy.open()

    async def close(self) -> None:
        """Stop the proxies and etcd."""
        for proxy in self.proxies:
            await proxy.close()
        await self.etcd.close()

    def create_backend(self) -> Backend:
        """Return a new backend of the log that bypasses the proxies."""
        if self._settings.backend == "table":
            return SqliteBackend(str(self._log_path))
        return EtcdBackend([f"127.0.0.1:{self.etcd.port}"], KEY_PREFIX)

    def keys_for(self, number: int) -> StorageKeys:
        """Return the storage keys for a member's operator's file."""
        if self._settings.backend == "etcd":
            port = self.proxies[number].port if self._settings.has_proxies else self.etcd.port
            keys = f'etcd = ["127.0.0.1:{port}"]\nprefix = "{KEY_PREFIX}"'
            return StorageKeys(keys, keys)
        return StorageKeys(f'path = "{self._log_path}"', f'path = "{self._lease_path}"')

    @contextlib.asynccontextmanager
    async def stalled(self) -> AsyncIterator[None]:
        """Block all reads and writes of the log while the context is active."""
        if self._settings.backend == "etcd":
            await self.etcd.close()
            try:
                yield
            finally:
                await self.etcd.reopen()
            return
        lock = sqlite3.connect(self._log_path, isolation_level=None, timeout=LOCK_TIMEOUT_S)
        lock.execute("BEGIN EXCLUSIVE")
        try:
            yield
        finally:
            lock.execute("ROLLBACK")
            lock.close()
