"""A deployment of a server with one storage node that is a database on either backend."""

from __future__ import annotations

import asyncio
import sqlite3
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from sabledyke import invariants, log, operator_config
from sabledyke.application.server import Server
from sabledyke.config import Config
from sabledyke.protocol import discovery
from sabledyke.store.section import SqlNode, StoreSection, Target
from tests.standins import Discovery, send_request
from tests.standins.postgres import Postgres
from tests.standins.postgres_faults import no_fault
from tests.support.server_rig import DEPLOYMENT, GET, PUT
from tests.support.settings import FAST_SHUTDOWN

IO_INFO_HEADER = "IO-Info: units=1,shard=0,hosts=1\n"


class SqlNodeDeployment:
    """A server with one storage node that is a database on either backend."""

    def __init__(self, tmp_path: Path, backend: str) -> None:
        self.backend, self.path = backend, str(tmp_path / "box.sqlite3")
        self.postgres, self.discovery = Postgres(self.path), Discovery()
        self.ids = 0

    async def __aenter__(self) -> SqlNodeDeployment:
        invariants.violations.clear()
        log._limiter = log.Limiter()
        await self.postgres.open()
        await self.discovery.open()
        self.discovery.add("db", self.postgres.port, 0)
        if self.backend == "sqlite":
            target = Target(path=self.path)
        else:
            target = Target(host="elsewhere", database="d", user="sabledyke", password="secret")
        store = StoreSection(sql_nodes=(SqlNode(b"db", target, 3),))
        known = discovery.read_listing(self.discovery.listing(), DEPLOYMENT, cached=True)
        discovery_address = ("127.0.0.1", self.discovery.port)
        config = Config("n0", ("127.0.0.1", 0), discovery_address, 1, 256, 64 << 20, known, DEPLOYMENT)
        self.server = Server(config, operator_config.OperatorConfig(store=store), FAST_SHUTDOWN)
        await self.server.open()
        self.server.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.postgres.script = no_fault
        self.server.begin_shutdown()
        await self.server.finish()
        self.discovery.die()
        await self.postgres.end()
        assert not invariants.violations

    async def put(self, key: str, body: bytes = b"x", piece: int = 1) -> tuple[int, bytes]:
        self.ids += 1
        request_headers = f"{IO_INFO_HEADER}Idempotency-Key: {key}\nContent-Length: {len(body)}\n"
        text = PUT.format(f"{piece:x}", f"w{self.ids}", request_headers)
        status, _, answer = await send_request(self.server.listeners[0].port, text, body)
        return status, answer

    async def warm_up(self) -> None:
        """Write a first piece, and retry while a busy machine cannot open a connection within 250 ms."""
        deadline = time.monotonic() + 5
        while (await self.put("first", piece=9))[0] != 200:
            assert time.monotonic() < deadline

    async def get(self, piece: int = 1) -> tuple[int, bytes]:
        self.ids += 1
        text = GET.format(f"{piece:x}", f"r{self.ids}", IO_INFO_HEADER)
        status, _, body = await send_request(self.server.listeners[0].port, text)
        return status, body

    def rows(self, sql: str) -> list[tuple[object, ...]]:
        with sqlite3.connect(self.path) as db:
            return db.execute(sql).fetchall()

    def count_statements(self, prefix: str) -> int:
        """Return the number of statements with this beginning that reached the server."""
        return sum(s.startswith(prefix) for s in self.postgres.statements)


def run_scenario(
    tmp_path: Path, backend: str, scenario: Callable[[SqlNodeDeployment], Awaitable[None]]
) -> None:
    async def run() -> None:
        async with asyncio.timeout(30), SqlNodeDeployment(tmp_path, backend) as deployment:
            await scenario(deployment)

    asyncio.run(run())
