"""A server with a record on either backend, boxes that know their keys, and ways to kill and stall it all."""

from __future__ import annotations

import asyncio
import sqlite3
import tomllib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from sabledyke import invariants, log, operator_config
from sabledyke.application.server import Server
from sabledyke.config import Config
from sabledyke.protocol import discovery
from sabledyke.store import section
from sabledyke.store.extension import RecordPart
from sabledyke.store.recording_transport import Recorder
from tests.helpers import BRISK
from tests.standins import Discovery, Service, ask, http, read_http
from tests.standins.postgres import Postgres
from tests.test_net import DEPLOYMENT, GET, PUT

BACKENDS = ("sqlite", "postgresql")


class KeyedBox(Service):
    """Keeps pieces, drops repeats of a key, counts what took effect; ``fates`` say how each write ends."""

    def __init__(self) -> None:
        super().__init__()
        self.pieces: dict[str, bytes] = {}
        self.effects: dict[str, int] = {}
        self.sent: dict[str, int] = {}
        self.fates: list[str] = []  # in turn: "ok", "lost" (ran, no answer), "cut" (did not run), "hold"
        self.held = asyncio.Event()
        self.go = asyncio.Event()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, headers, body = await read_http(reader)
            method, target = first.split()[:2]
            path = target.partition("?")[0]
            if method == "GET":
                writer.write(http(200, self.pieces.get(path, b"")))
                continue
            key = headers["idempotency-key"]
            self.sent[key] = self.sent.get(key, 0) + 1
            fate = self.fates.pop(0) if self.fates else "ok"
            if fate == "cut":
                writer.transport.abort()
                return
            if self.effects.setdefault(key, 0) == 0:
                self.effects[key] = 1
                self.pieces[path] = body
            if fate == "hold":
                self.held.set()
                await self.go.wait()
            elif fate == "lost":
                writer.transport.abort()
                return
            writer.write(http(200, body))


class StoreRig:
    """One deployment: boxes, discovery, a database, and one life of a server after another."""

    def __init__(self, tmp_path: Path, backend: str, extra: str = "") -> None:
        self.backend, self.path, self._extra = backend, str(tmp_path / "record.sqlite3"), extra
        self.boxes = [KeyedBox(), KeyedBox()]
        self.discovery = Discovery()
        self.postgres = Postgres(str(tmp_path / "pg.sqlite3"))
        self.server: Server
        self.ids = 0

    @property
    def text(self) -> str:
        """The operator's section."""
        if self.backend == "sqlite":
            return f'[store]\npath = "{self.path}"\n{self._extra}'
        return f'[store]\nurl = "postgresql://sabledyke@127.0.0.1:{self.postgres.port}/record"\n{self._extra}'

    @property
    def file(self) -> str:
        """The SQLite file underneath."""
        return self.path if self.backend == "sqlite" else self.postgres.path

    def target(self) -> section.Target:
        """The database, as the tools open it."""
        table = self.extras().store
        assert table is not None and table.record is not None
        return table.record

    def extras(self) -> operator_config.OperatorConfig:
        """The operator's file."""
        words = {"SABLEDYKE_STORE_PASSWORD": "secret"}
        store = section.read(tomllib.loads(self.text)["store"], words)
        return operator_config.OperatorConfig(store=store)

    def listing(self) -> Any:
        """The list of boxes."""
        return discovery.read_listing(self.discovery.listing(), DEPLOYMENT, cached=True)

    async def live(self) -> Server:
        """A start."""
        here = ("127.0.0.1", self.discovery.port)
        config = Config("n0", ("127.0.0.1", 0), here, 1, 256, 1 << 22, self.listing(), DEPLOYMENT)
        self.server = Server(config, self.extras(), BRISK)
        await self.server.open()
        self.server.start()
        return self.server

    @property
    def recorder(self) -> Recorder:
        """The record's driver."""
        part = self.server.parts[0]
        assert isinstance(part, RecordPart)
        return part.recorder

    async def kill(self) -> None:
        """The server stops where it stands: nothing is answered, written or closed in good order."""
        while self.server.listeners:
            self.server.listeners.pop().close()
        self.server._turn = lambda: None  # type: ignore[method-assign]  # a dead process's guards do not fire
        recorder = self.recorder
        recorder._ending = True
        if recorder._pump is not None:
            recorder._pump.cancel()
        for timer in (recorder._gathering, recorder._ticking, self.server._timer):
            if timer is not None:
                timer.cancel()
        if recorder._session is not None:
            recorder._session.abort()
        for front in self.server.fronts:
            front.closing = True
            for client in list(front.clients):
                client.departed = lambda: None  # type: ignore[method-assign]
                client.close()
        self.server.watch.watch(False)
        for flight in list(self.server.pool._attempts.values()):
            if flight.connection is not None:
                flight.connection.link.close()
        self.server.pool.close()
        await asyncio.sleep(0.02)

    async def leave(self) -> None:
        """The server ends in good order."""
        self.server.leave()
        await self.server.finish()

    async def put(
        self, key: str, body: bytes = b"x", piece: int = 1, shard: int = 0, wait: float = 1.0
    ) -> tuple[int, dict[str, str], bytes]:
        """A keyed write."""
        self.ids += 1
        while not self.server.listeners:  # between two lives
            await asyncio.sleep(0.005)
        more = f"IO-Info: units=1,shard={shard},hosts=1\nIdempotency-Key: {key}\n"
        more += f"Content-Length: {len(body)}\n"
        text = PUT.format(f"{piece:x}", f"w{self.ids}", more).replace("Deadline: 1.0", f"Deadline: {wait}")
        return await ask(self.server.listeners[0].port, text, body)

    async def get(self, piece: int = 1, shard: int = 0) -> tuple[int, bytes]:
        """A read."""
        self.ids += 1
        text = GET.format(f"{piece:x}", f"r{self.ids}", f"IO-Info: units=1,shard={shard},hosts=1\n")
        status, _, body = await ask(self.server.listeners[0].port, text)
        return status, body

    def rows(self, sql: str) -> list[tuple[Any, ...]]:
        """What the database holds."""
        with sqlite3.connect(self.file) as db:
            return db.execute(sql).fetchall()

    def journal(self) -> list[tuple[str, str]]:
        """Key and outcome of each entry, in order."""
        return self.rows("SELECT token, outcome FROM journal ORDER BY instance, seq")


@asynccontextmanager
async def rig(tmp_path: Path, backend: str, extra: str = "") -> AsyncIterator[StoreRig]:
    """A deployment whose first server lives; at the end no invariant is broken and the journal holds."""
    made = StoreRig(tmp_path, backend, extra)
    invariants.violations.clear()
    log._limiter = log.Limiter()  # lines of other tests do not count
    async with asyncio.timeout(30):
        for service in (*made.boxes, made.discovery):
            await service.open()
        await made.postgres.open()
        for shard, box in enumerate(made.boxes):
            made.discovery.add(f"box-{shard}", box.port, shard)
        await made.live()
        try:
            yield made
            if made.server.listeners:
                await made.leave()
        finally:
            for box in made.boxes:
                box.die()
            made.discovery.die()
            await made.postgres.end()
    assert not invariants.violations
