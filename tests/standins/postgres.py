"""A PostgreSQL server for tests, on loopback: protocol 3.0 as far as a client library uses it, and faults.

Written from chapter 55 of PostgreSQL's manual (messages), RFC 5802 and 7677 (SCRAM-SHA-256) and appendix A
(SQLSTATEs), with nothing of the code that it tests. Start-up, SCRAM, simple and extended query, transactions,
errors and cancel are spoken; COPY, cursors, notices and types beyond text, bigint, double precision and bytea
are not. Underneath is one SQLite file with a connection a session, so transactions are real: what a session
writes is seen by others after its COMMIT, and is gone with its ROLLBACK.

What is simpler than the real one: a writing transaction locks the whole database, not rows, so that whoever
writes waits for it; SQL is SQLite's, after value casts and FOR UPDATE are taken away; types of result columns
are those that CREATE TABLE gave them.

As the real one, it goes on with a COMMIT that it has received although its client has gone.
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
import hmac
import re
import secrets
import sqlite3
import struct
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

TEXT, BIGINT, FLOAT, BYTEA = 25, 20, 701, 17
OIDS = {"text": TEXT, "bigint": BIGINT, "double precision": FLOAT, "bytea": BYTEA}
_VALUE = re.compile(r"\$(\d+)(::(double precision|[a-z]+))?")
_COLUMN = re.compile(r"(\w+) (TEXT|BIGINT|DOUBLE PRECISION|BYTEA)")
_TABLE = re.compile(r"\b(?:FROM|INTO|UPDATE|TABLE(?: IF NOT EXISTS)?) (\w+)")
WAIT = 0.002  # seconds between tries for a lock


class PgError(Exception):
    """What a client gets as ErrorResponse."""

    def __init__(self, state: str, text: str) -> None:
        super().__init__(text)
        self.state = state


class Cut(Exception):
    """The connection ends here, without a word."""


@dataclass(slots=True, frozen=True)
class Point:
    """Where a script may act: before a message is acted upon, or after, before it is answered."""

    session: int
    number: int  # of the message in its session, from 1
    stage: str  # "before" or "after"
    what: str  # the statement, or the message's type


Script = Callable[[Point], Awaitable[None]]


async def nothing(_: Point) -> None:
    """The script of a server that is well."""


def fault_at(session: int, message: int, fault: str) -> Script:
    """A script that acts once, at this message of a session: a cut before or after it, an error, or a lag."""
    hit: list[Point] = []

    async def script(point: Point) -> None:
        if hit or (point.session, point.number) != (session, message):
            return
        if fault.startswith("cut"):
            if fault.endswith(point.stage) or point.what == "Sync":
                hit.append(point)
                raise Cut
        elif point.stage == "before":
            hit.append(point)
            if fault == "slow":
                await asyncio.sleep(0.05)
            else:
                raise PgError(fault, "as the script says")

    return script


@dataclass(slots=True)
class Prepared:
    """A statement."""

    sql: str
    oids: list[int]
    columns: list[tuple[str, int]]


@dataclass(slots=True)
class Postgres:
    """The server; give it a path for its file, and a ``script`` that raises Cut or PgError, or sleeps."""

    path: str
    user: str = "sabledyke"
    password: str = "secret"
    script: Script = nothing
    sessions: int = 0
    sessions_messages: dict[int, int] = field(default_factory=dict)  # how many each has received
    cancelled: list[int] = field(default_factory=list)
    statements: list[str] = field(default_factory=list)  # all that was executed, in order
    types: dict[tuple[str, str], int] = field(default_factory=dict)
    port: int = 0
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def open(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._client, "127.0.0.1", port)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def die(self) -> None:
        """Reset what is open, and refuse what comes."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def end(self) -> None:
        """Die, and wait for transactions that still go on."""
        self.die()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.sessions += 1
        session = Session(self, self.sessions, reader, writer)
        try:
            await session.serve()
        except (asyncio.IncompleteReadError, ConnectionError, Cut, asyncio.CancelledError):
            pass
        finally:
            session.leave()
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.transport.abort()


class Session:
    """One connection and its backend."""

    def __init__(
        self, server: Postgres, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.server, self.number, self._reader, self._writer = server, number, reader, writer
        self._db = sqlite3.connect(server.path, isolation_level=None, timeout=0)
        self._db.execute("PRAGMA journal_mode = WAL")
        self._secret = secrets.randbits(31)
        self._messages = 0
        self._status = "I"  # idle, in a transaction, or in a failed one
        self._out = b""
        self._prepared: dict[str, Prepared] = {}
        self._bound: dict[str, tuple[Prepared, list[Any]]] = {}
        self._skipping = False  # after an error, until Sync

    def leave(self) -> None:
        """The backend ends; what it has not committed is gone."""
        self._db.close()

    # The wire.

    def _say(self, kind: bytes, body: bytes = b"") -> None:
        self._out += kind + struct.pack("!I", len(body) + 4) + body

    async def _flush(self) -> None:
        data, self._out = self._out, b""
        self._writer.write(data)
        await self._writer.drain()

    async def _receive(self) -> tuple[bytes, bytes]:
        kind = await self._reader.readexactly(1)
        (size,) = struct.unpack("!I", await self._reader.readexactly(4))
        return kind, await self._reader.readexactly(size - 4)

    async def _at(self, stage: str, what: str) -> None:
        await self.server.script(Point(self.number, self._messages, stage, what))

    async def serve(self) -> None:
        """Until the client has had enough."""
        if not await self._start_up():
            return
        while True:
            kind, body = await self._receive()
            self._messages += 1
            self.server.sessions_messages[self.number] = self._messages
            if kind == b"X":
                return
            try:
                if kind == b"S":
                    await self._at("before", "Sync")
                    self._skipping = False
                    self._ready()
                elif kind == b"Q":
                    await self._simple(body[:-1].decode())
                elif not self._skipping:
                    await self._extended(kind, body)
            except PgError as fault:
                self._error(fault)
                if fault.state.startswith("57P"):  # the session ends with it
                    await self._flush()
                    return
                if kind in b"QS":
                    self._skipping = False
                    self._ready()
                else:
                    self._skipping = True
            if kind in b"SQH":
                await self._flush()

    def _ready(self) -> None:
        self._say(b"Z", self._status.encode())

    def _error(self, fault: PgError) -> None:
        if self._status == "T":
            self._status = "E"
        fields = (("S", "ERROR"), ("V", "ERROR"), ("C", fault.state), ("M", str(fault)))
        self._say(b"E", b"".join(k.encode() + v.encode() + b"\0" for k, v in fields) + b"\0")

    async def _start_up(self) -> bool:
        while True:
            (size,) = struct.unpack("!I", await self._reader.readexactly(4))
            body = await self._reader.readexactly(size - 4)
            (code,) = struct.unpack_from("!I", body)
            if code == 80877103:  # SSLRequest
                self._writer.write(b"N")
            elif code == 80877102:  # CancelRequest
                self.server.cancelled.append(struct.unpack_from("!I", body, 4)[0])
                return False
            else:
                break
        words = body[4:].split(b"\0")
        said = dict(zip(words[::2], words[1::2], strict=False))
        self._messages += 1
        try:
            await self._at("before", "StartupMessage")
            await self._scram(said.get(b"user", b"").decode())
        except PgError as fault:
            self._error(fault)
            await self._flush()
            return False
        for name, value in (
            ("server_version", "16.0"),
            ("client_encoding", "UTF8"),
            ("standard_conforming_strings", "on"),
            ("TimeZone", "UTC"),
        ):
            self._say(b"S", f"{name}\0{value}\0".encode())
        self._say(b"K", struct.pack("!II", self.number, self._secret))
        self._ready()
        await self._flush()
        return True

    async def _scram(self, user: str) -> None:
        """RFC 5802 without channel binding."""
        self._say(b"R", struct.pack("!I", 10) + b"SCRAM-SHA-256\0\0")
        await self._flush()
        _, body = await self._receive()
        mechanism, rest = body.split(b"\0", 1)
        assert mechanism == b"SCRAM-SHA-256"
        bare = rest[4:].decode().split(",", 2)[2]
        nonce = dict(p.split("=", 1) for p in bare.split(","))["r"] + secrets.token_urlsafe(12)
        salt = secrets.token_bytes(16)
        first = f"r={nonce},s={base64.b64encode(salt).decode()},i=4096"
        self._say(b"R", struct.pack("!I", 11) + first.encode())
        await self._flush()
        _, body = await self._receive()
        final, proof = body.decode().rsplit(",p=", 1)
        salted = hashlib.pbkdf2_hmac("sha256", self.server.password.encode(), salt, 4096)
        key = hmac.digest(salted, b"Client Key", "sha256")
        message = f"{bare},{first},{final}".encode()
        signature = hmac.digest(hashlib.sha256(key).digest(), message, "sha256")
        wanted = bytes(a ^ b for a, b in zip(key, signature, strict=True))
        if user != self.server.user or base64.b64decode(proof) != wanted or f"r={nonce}" not in final:
            raise PgError("28P01", f'password authentication failed for user "{user}"')
        server = hmac.digest(hmac.digest(salted, b"Server Key", "sha256"), message, "sha256")
        self._say(b"R", struct.pack("!I", 12) + b"v=" + base64.b64encode(server))
        self._say(b"R", struct.pack("!I", 0))

    # Queries.

    async def _simple(self, sql: str) -> None:
        try:
            await self._at("before", sql)
        except PgError:
            if sql == "COMMIT":  # a commit that fails ends its transaction
                await self._run("ROLLBACK", [])
            raise
        _, tag = await self._run(sql, [])
        await self._at("after", sql)
        self._say(b"C", tag.encode() + b"\0")
        self._ready()

    async def _extended(self, kind: bytes, body: bytes) -> None:
        if kind == b"P":
            called, text, _ = body.split(b"\0", 2)
            await self._at("before", f"Parse {text.decode()}")
            self._prepared[called.decode()] = self._prepare(text.decode())
            self._say(b"1")
        elif kind == b"D":
            await self._at("before", "Describe")
            name = body[1:-1].decode()
            made = self._prepared[name] if body[:1] == b"S" else self._bound[name][0]
            if body[:1] == b"S":
                self._say(b"t", struct.pack(f"!H{len(made.oids)}I", len(made.oids), *made.oids))
            self._describe(made)
        elif kind == b"B":
            self._bind(body)
            self._say(b"2")
        elif kind == b"E":
            made, values = self._bound[body.split(b"\0", 1)[0].decode()]
            await self._at("before", made.sql)
            rows, tag = await self._run(made.sql, values)
            await self._at("after", made.sql)
            for row in rows:
                cells = [_encode(v, oid) for v, (_, oid) in zip(row, made.columns, strict=True)]
                self._say(b"D", struct.pack("!H", len(cells)) + b"".join(cells))
            self._say(b"C", tag.encode() + b"\0")
        elif kind == b"C":
            self._prepared.pop(body[1:-1].decode(), None)
            self._say(b"3")
        elif kind != b"H":
            raise PgError("08P01", f"message {kind!r} is not spoken here")

    def _describe(self, made: Prepared) -> None:
        if not made.columns:
            self._say(b"n")
            return
        out = struct.pack("!H", len(made.columns))
        for name, oid in made.columns:
            size = {BIGINT: 8, FLOAT: 8}.get(oid, -1)
            out += name.encode() + b"\0" + struct.pack("!IHIhiH", 0, 0, oid, size, -1, 1)
        self._say(b"T", out)

    def _prepare(self, sql: str) -> Prepared:
        oids: dict[int, int] = {}
        for number, _, kind in _VALUE.findall(sql):
            if kind:
                oids[int(number)] = OIDS[kind]
        if set(oids) != set(range(1, len(oids) + 1)):
            raise PgError("42P18", f"could not determine data type of parameter: {sql}")
        columns: list[tuple[str, int]] = []
        text, table = _sqlite(sql), _TABLE.search(sql)
        try:
            if " RETURNING " in text:
                names = [n.strip().rpartition(".")[2] for n in text.rpartition(" RETURNING ")[2].split(",")]
            elif text.startswith("SELECT"):
                values = {str(i): None for i in oids}
                cursor = self._db.execute(f"SELECT * FROM ({text}) LIMIT 0", values)
                names = [c[0] for c in cursor.description]
            else:
                names = []
        except sqlite3.Error as fault:
            raise _told(fault) from None
        for name in names:
            key = (table.group(1) if table else "", name)
            columns.append((name, self.server.types.get(key, BIGINT if "(" in name else TEXT)))
        return Prepared(sql, [oids[i + 1] for i in range(len(oids))], columns)

    def _bind(self, body: bytes) -> None:
        portal, rest = body.split(b"\0", 1)
        name, rest = rest.split(b"\0", 1)
        made = self._prepared[name.decode()]
        at, values = 0, []

        def take(form: str) -> Any:
            nonlocal at
            out = struct.unpack_from(form, rest, at)
            at += struct.calcsize(form)
            return out[0] if len(out) == 1 else out

        formats = [take("!H") for _ in range(take("!H"))]
        for i in range(take("!H")):
            size = take("!i")
            binary = formats and formats[i if len(formats) > 1 else 0]
            raw = None if size < 0 else rest[at : at + size]
            at += max(size, 0)
            assert raw is None or binary or made.oids[i] == TEXT, "values come in binary"
            values.append(None if raw is None else _decode(raw, made.oids[i]))
        self._bound[portal.decode()] = made, values

    async def _run(self, sql: str, values: list[Any]) -> tuple[list[tuple[Any, ...]], str]:
        word = sql.split(None, 1)[0].rstrip(";").upper()
        self.server.statements.append(sql)
        if word == "BEGIN":
            self._status = "T"
            if "REPEATABLE READ" in sql:
                self._db.execute("BEGIN")
            return [], "BEGIN"
        if word in ("COMMIT", "ROLLBACK"):
            failed, self._status = self._status == "E" or word == "ROLLBACK", "I"
            if self._db.in_transaction:
                self._db.execute("ROLLBACK" if failed else "COMMIT")
            return [], "ROLLBACK" if failed else "COMMIT"
        if self._status == "E":
            raise PgError("25P02", "current transaction is aborted")
        writes = word != "SELECT" or sql.endswith("FOR UPDATE")
        named = {str(i + 1): v for i, v in enumerate(values)}
        while True:
            try:
                if self._status == "T" and writes and not self._db.in_transaction:
                    self._db.execute("BEGIN IMMEDIATE")
                cursor = self._db.execute(_sqlite(sql), named)
                rows = cursor.fetchall()
                break
            except sqlite3.OperationalError as fault:
                if fault.sqlite_errorcode & 0xFF != sqlite3.SQLITE_BUSY:
                    raise _told(fault) from None
                await asyncio.sleep(WAIT)  # as one waits for a lock
            except sqlite3.Error as fault:
                raise _told(fault) from None
        if word in ("CREATE", "ALTER"):
            table = _TABLE.search(sql)
            for column, kind in _COLUMN.findall(sql) if table else ():
                assert table is not None
                self.server.types[table.group(1), column] = OIDS[kind.lower()]
        count = len(rows) if rows or word == "SELECT" else max(0, cursor.rowcount)
        return rows, f"INSERT 0 {count}" if word == "INSERT" else f"{word} {count}"


def _sqlite(sql: str) -> str:
    if "pg_catalog.pg_tables" in sql:
        return "SELECT name AS tablename FROM sqlite_master WHERE type = 'table'"
    return _VALUE.sub(r":\1", sql).removesuffix(" FOR UPDATE")


def _told(fault: sqlite3.Error) -> PgError:
    text = str(fault)
    for words, state in (
        ("no such table", "42P01"),
        ("no such column", "42703"),
        ("UNIQUE", "23505"),
        ("CHECK", "23514"),
        ("already exists", "42P07"),
        ("duplicate column", "42701"),
        ("readonly", "25006"),
    ):
        if words in text:
            return PgError(state, text)
    return PgError("XX000", text)


def _decode(raw: bytes, oid: int) -> Any:
    if oid == BIGINT:
        return struct.unpack("!q", raw)[0]
    if oid == FLOAT:
        return struct.unpack("!d", raw)[0]
    return raw.decode() if oid == TEXT else raw


def _encode(value: Any, oid: int) -> bytes:
    if value is None:
        return struct.pack("!i", -1)
    if oid == BIGINT:
        raw = struct.pack("!q", value)
    elif oid == FLOAT:
        raw = struct.pack("!d", value)
    else:
        raw = value.encode() if isinstance(value, str) else bytes(value)
    return struct.pack("!i", len(raw)) + raw


async def _alone(path: str) -> None:
    server = Postgres(path)
    await server.open()
    print(server.port, flush=True)
    await asyncio.sleep(1800)


if __name__ == "__main__":  # in a process of its own, for measurements: prints its port
    asyncio.run(_alone(sys.argv[1]))
