"""A server with a record on either backend, nodes that deduplicate writes, and means to kill the server."""

from __future__ import annotations

import asyncio
import sqlite3
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from sabledyke import invariants, log, operator_config
from sabledyke.application.server import Server
from sabledyke.config import Config
from sabledyke.protocol import discovery
from sabledyke.store import maintenance, section
from sabledyke.store.database_errors import StoreError
from sabledyke.store.extension import RecordExtension
from sabledyke.store.recording_transport import RecordingTransport
from tests.standins import Discovery, Service, http, read_http, send_request
from tests.standins.postgres import Postgres
from tests.standins.postgres_faults import no_fault
from tests.support.server_rig import DEPLOYMENT, GET, PUT
from tests.support.settings import FAST_SHUTDOWN

RECOVERY_TIMEOUT_S = 5  # time limit for writes to be served again after a fault
BACKENDS = ("sqlite", "postgresql")
Scenario = Callable[["RecordDeployment"], Awaitable[None]]


class KeyedNode(Service):
    """A node that stores pieces and drops repeats of a key.

    Attributes:
        pieces: The stored data by path.
        effects: The number of executions by key.
        sent: The number of received writes by key.
        write_behaviors: The behavior for each of the next writes: "ok", "lost" (the write runs but is not
            answered), "cut" (the write does not run) or "hold" (the answer waits for ``release``).
        holding: Set when a write is held.
        release: Lets held writes be answered.
    """

    def __init__(self) -> None:
        super().__init__()
        self.pieces: dict[str, bytes] = {}
        self.effects: dict[str, int] = {}
        self.sent: dict[str, int] = {}
        self.write_behaviors: list[str] = []
        self.holding = asyncio.Event()
        self.release = asyncio.Event()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, headers, body = await read_http(reader)
            method, target = first.split()[:2]
            path = target.partition("?")[0]
            if method == "GET":
                writer.write(http(200, self.pieces.get(path, b"")))
                continue
            key = headers["idempotency-key"]
            self.sent[key] = self.sent.get(key, 0) + 1
            behavior = self.write_behaviors.pop(0) if self.write_behaviors else "ok"
            if behavior == "cut":
                writer.transport.abort()
                return
            if self.effects.setdefault(key, 0) == 0:
                self.effects[key] = 1
                self.pieces[path] = body
            if behavior == "hold":
                self.holding.set()
                await self.release.wait()
            elif behavior == "lost":
                writer.transport.abort()
                return
            writer.write(http(200, body))


class RecordDeployment:
    """A deployment of nodes, discovery, a database, and successive incarnations of a server."""

    def __init__(self, tmp_path: Path, backend: str, extra: str = "") -> None:
        self.backend, self.path, self._extra = backend, str(tmp_path / "record.sqlite3"), extra
        self.nodes = [KeyedNode(), KeyedNode()]
        self.discovery = Discovery()
        self.postgres = Postgres(str(tmp_path / "pg.sqlite3"))
        self.server: Server
        self.ids = 0

    @property
    def text(self) -> str:
        """The text of the operator's file."""
        if self.backend == "sqlite":
            return f'[store]\npath = "{self.path}"\n{self._extra}'
        return f'[store]\nurl = "postgresql://sabledyke@127.0.0.1:{self.postgres.port}/record"\n{self._extra}'

    @property
    def file(self) -> str:
        """Path of the SQLite file, which on PostgreSQL is the stand-in server's."""
        return self.path if self.backend == "sqlite" else self.postgres.path

    def target(self) -> section.Target:
        """Return the database, as the operators' commands open it."""
        table = self.read_operator_config().store
        assert table is not None
        assert table.record is not None
        return table.record

    def read_operator_config(self) -> operator_config.OperatorConfig:
        """Return the parsed operator's file."""
        environment = {"SABLEDYKE_STORE_PASSWORD": "secret"}
        store = section.read(tomllib.loads(self.text)["store"], environment)
        return operator_config.OperatorConfig(store=store)

    def listing(self) -> Any:
        """Return the endpoint list."""
        return discovery.read_listing(self.discovery.listing(), DEPLOYMENT, cached=True)

    async def start_incarnation(self) -> Server:
        """Start a server, which begins the next incarnation."""
        discovery_address = ("127.0.0.1", self.discovery.port)
        config = Config(
            "n0", ("127.0.0.1", 0), discovery_address, 1, 256, 64 << 20, self.listing(), DEPLOYMENT
        )
        self.server = Server(config, self.read_operator_config(), FAST_SHUTDOWN)
        await self.server.open()
        self.server.start()
        return self.server

    @property
    def recording_transport(self) -> RecordingTransport:
        """The recording transport of the present server."""
        record_extension = self.server.extensions[0]
        assert isinstance(record_extension, RecordExtension)
        return record_extension.recording_transport

    async def kill(self) -> None:
        """Stop the server at once, without answers, writes or an orderly close."""
        while self.server.listeners:
            self.server.listeners.pop().close()
        driver = self.server.assembly.driver
        driver.run_batch = lambda: None  # type: ignore[method-assign]  # a killed process decides nothing
        writer = self.recording_transport.writer
        writer.stop()
        driver.cancel_timer()
        if writer.session is not None:
            writer.session.abort()
        for front in self.server.frontends:
            front.closing = True
            for client in list(front.clients):
                client.on_client_disconnected = lambda: None  # type: ignore[method-assign]
                client.close()
        self.server.watch.watch(on=False)
        for attempt in list(self.server.pool._attempts.values()):
            if attempt.connection is not None:
                attempt.connection.link.close()
        self.server.pool.close()
        await asyncio.sleep(0.02)

    async def restart_after_kill(self) -> None:
        """Try to start the next incarnation until it succeeds."""
        while True:
            try:
                await self.start_incarnation()
                return
            except StoreError:
                await asyncio.sleep(0.01)

    async def shut_down(self) -> None:
        """Shut the server down in good order."""
        self.server.begin_shutdown()
        await self.server.finish()

    async def put(
        self, key: str, body: bytes = b"x", piece: int = 1, shard: int = 0, wait: float = 1.0
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a keyed write; return the status, headers and body of the answer."""
        self.ids += 1
        while not self.server.listeners:  # waits for the next incarnation
            await asyncio.sleep(0.005)
        request_headers = f"IO-Info: units=1,shard={shard},hosts=1\nIdempotency-Key: {key}\n"
        request_headers += f"Content-Length: {len(body)}\n"
        text = PUT.format(f"{piece:x}", f"w{self.ids}", request_headers).replace(
            "Deadline: 1.0", f"Deadline: {wait}"
        )
        return await send_request(self.server.listeners[0].port, text, body)

    async def put_until_served(self, key: str, piece: int) -> None:
        """Repeat a write until it is served, for a bounded time."""
        deadline = time.monotonic() + RECOVERY_TIMEOUT_S
        while (await self.put(key, piece=piece))[0] != 200:
            assert time.monotonic() < deadline

    async def get(self, piece: int = 1, shard: int = 0) -> tuple[int, bytes]:
        """Send a read; return the status and body of the answer."""
        self.ids += 1
        text = GET.format(f"{piece:x}", f"r{self.ids}", f"IO-Info: units=1,shard={shard},hosts=1\n")
        status, _, body = await send_request(self.server.listeners[0].port, text)
        return status, body

    def rows(self, sql: str) -> list[tuple[Any, ...]]:
        """Return the rows of a query of the database."""
        with sqlite3.connect(self.file) as db:
            return db.execute(sql).fetchall()

    def journal(self) -> list[tuple[str, str]]:
        """Return the key and outcome of each journal entry, in order."""
        return self.rows("SELECT token, outcome FROM journal ORDER BY instance, seq")


@asynccontextmanager
async def record_deployment(tmp_path: Path, backend: str, extra: str = "") -> AsyncIterator[RecordDeployment]:
    """Run a deployment with its first server started; at the end no invariant may have been violated."""
    deployment = RecordDeployment(tmp_path, backend, extra)
    invariants.violations.clear()
    log._limiter = log.Limiter()  # log lines of other tests must not count against the rate limit
    async with asyncio.timeout(30):
        for service in (*deployment.nodes, deployment.discovery):
            await service.open()
        await deployment.postgres.open()
        for shard, node in enumerate(deployment.nodes):
            deployment.discovery.add(f"box-{shard}", node.port, shard)
        await deployment.start_incarnation()
        try:
            yield deployment
            if deployment.server.listeners:
                await deployment.shut_down()
        finally:
            for node in deployment.nodes:
                node.die()
            deployment.discovery.die()
            await deployment.postgres.end()
    assert not invariants.violations


def run_scenario(tmp_path: Path, backend: str, scenario: Scenario, extra: str = "") -> None:
    async def run() -> None:
        async with record_deployment(tmp_path, backend, extra) as deployment:
            await scenario(deployment)
            deployment.postgres.script = no_fault
            if deployment.server.listeners:
                await deployment.shut_down()
            reported: list[str] = []
            assert await maintenance.audit(deployment.target(), reported.append), reported
            assert await maintenance.reconcile(deployment.target(), reported.append), reported

    asyncio.run(run())
