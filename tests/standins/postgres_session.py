"""One session of the stand-in for PostgreSQL: start-up, SCRAM, simple and extended query, transactions."""

from __future__ import annotations

import asyncio
import base64
import hashlib
import hmac
import secrets
import sqlite3
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from tests.standins.postgres_faults import Point, PostgresError
from tests.standins.postgres_values import (
    BIGINT,
    COLUMN,
    FLOAT,
    OIDS,
    TABLE,
    TEXT,
    decode,
    encode,
    from_sqlite,
    parameter_types,
    to_sqlite,
)

if TYPE_CHECKING:
    from tests.standins.postgres import Postgres

LOCK_WAIT_S = 0.002  # between tries for a lock
SCRAM_ITERATIONS = 4096
SSL_REQUEST = 80877103
CANCEL_REQUEST = 80877102
PARAMETERS = {
    "server_version": "16.0",
    "client_encoding": "UTF8",
    "standard_conforming_strings": "on",
    "TimeZone": "UTC",
}
IDLE = "I"  # states of the transaction, as ReadyForQuery sends them
IN_TRANSACTION = "T"
FAILED = "E"


@dataclass(slots=True)
class Prepared:
    """A prepared statement."""

    sql: str
    oids: list[int]
    columns: list[tuple[str, int]]


class PostgresSession:
    """One connection and its backend."""

    def __init__(self, server: Postgres, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.server = server
        self.number = 0  # until its StartupMessage has come
        self._reader = reader
        self._writer = writer
        self._database = sqlite3.connect(server.path, isolation_level=None, timeout=0)
        self._database.execute("PRAGMA journal_mode = WAL")
        self._secret = secrets.randbits(31)
        self._messages = 0
        self._status = IDLE
        self._output = b""
        self._prepared: dict[str, Prepared] = {}
        self._portals: dict[str, tuple[Prepared, list[Any]]] = {}
        self._skipping = False  # after an error, until Sync

    async def serve(self) -> None:
        """Serve until the client ends the session."""
        if not await self._start_up():
            return
        while True:
            kind, body = await self._receive()
            self._count_message()
            if kind == b"X":
                return
            try:
                await self._on_message(kind, body)
            except PostgresError as error:
                self._send_error(error)
                if error.sqlstate.startswith("57P"):  # the session ends with it
                    await self._flush()
                    return
                self._skipping = kind not in b"QS"
                if not self._skipping:
                    self._send_ready()
            if kind in b"SQH":
                await self._flush()

    def end(self) -> None:
        """End the backend; what it has not committed is gone."""
        self._database.close()

    async def _on_message(self, kind: bytes, body: bytes) -> None:
        if kind == b"S":
            await self._reach("before", "Sync")
            self._skipping = False
            self._send_ready()
        elif kind == b"Q":
            await self._on_simple_query(body[:-1].decode())
        elif not self._skipping:
            await self._on_extended(kind, body)

    # The wire.

    def _send(self, kind: bytes, body: bytes = b"") -> None:
        self._output += kind + struct.pack("!I", len(body) + 4) + body

    def _send_ready(self) -> None:
        self._send(b"Z", self._status.encode())

    def _send_error(self, error: PostgresError) -> None:
        if self._status == IN_TRANSACTION:
            self._status = FAILED
        fields = (("S", "ERROR"), ("V", "ERROR"), ("C", error.sqlstate), ("M", str(error)))
        self._send(b"E", b"".join(code.encode() + text.encode() + b"\0" for code, text in fields) + b"\0")

    async def _flush(self) -> None:
        data = self._output
        self._output = b""
        self._writer.write(data)
        await self._writer.drain()

    async def _receive(self) -> tuple[bytes, bytes]:
        kind = await self._reader.readexactly(1)
        (size,) = struct.unpack("!I", await self._reader.readexactly(4))
        return kind, await self._reader.readexactly(size - 4)

    def _count_message(self) -> None:
        self._messages += 1
        self.server.sessions_messages[self.number] = self._messages

    async def _reach(self, stage: str, what: str) -> None:
        """Let the script act."""
        await self.server.script(Point(self.number, self._messages, stage, what))

    # Start-up.

    async def _start_up(self) -> bool:
        body = await self._receive_startup()
        if body is None:
            return False
        self.number = self.server.begin_session()
        words = body[4:].split(b"\0")
        parameters = dict(zip(words[::2], words[1::2], strict=False))
        self._count_message()
        try:
            await self._reach("before", "StartupMessage")
            await self._authenticate(parameters.get(b"user", b"").decode())
        except PostgresError as error:
            self._send_error(error)
            await self._flush()
            return False
        for name, value in PARAMETERS.items():
            self._send(b"S", f"{name}\0{value}\0".encode())
        self._send(b"K", struct.pack("!II", self.number, self._secret))
        self._send_ready()
        await self._flush()
        return True

    async def _receive_startup(self) -> bytes | None:
        """Return the StartupMessage; None for a CancelRequest."""
        while True:
            (size,) = struct.unpack("!I", await self._reader.readexactly(4))
            body = await self._reader.readexactly(size - 4)
            (code,) = struct.unpack_from("!I", body)
            if code == CANCEL_REQUEST:
                self.server.cancelled.append(struct.unpack_from("!I", body, 4)[0])
                return None
            if code != SSL_REQUEST:
                return body
            self._writer.write(b"N")

    async def _authenticate(self, user: str) -> None:
        """Authenticate by SCRAM, as RFC 5802 has it, without channel binding."""
        self._send(b"R", struct.pack("!I", 10) + b"SCRAM-SHA-256\0\0")
        await self._flush()
        _, body = await self._receive()
        mechanism, message = body.split(b"\0", 1)
        assert mechanism == b"SCRAM-SHA-256"
        client_first = message[4:].decode().split(",", 2)[2]
        client_nonce = dict(pair.split("=", 1) for pair in client_first.split(","))["r"]
        nonce = client_nonce + secrets.token_urlsafe(12)
        salt = secrets.token_bytes(16)
        server_first = f"r={nonce},s={base64.b64encode(salt).decode()},i={SCRAM_ITERATIONS}"
        self._send(b"R", struct.pack("!I", 11) + server_first.encode())
        await self._flush()
        _, body = await self._receive()
        client_final, proof = body.decode().rsplit(",p=", 1)
        signed = f"{client_first},{server_first},{client_final}".encode()
        expected_proof, server_signature = self._signatures(salt, signed)
        known = user == self.server.user and f"r={nonce}" in client_final
        if not known or base64.b64decode(proof) != expected_proof:
            raise PostgresError("28P01", f'password authentication failed for user "{user}"')
        self._send(b"R", struct.pack("!I", 12) + b"v=" + base64.b64encode(server_signature))
        self._send(b"R", struct.pack("!I", 0))

    def _signatures(self, salt: bytes, signed: bytes) -> tuple[bytes, bytes]:
        """Return the client's proof and the server's signature."""
        salted = hashlib.pbkdf2_hmac("sha256", self.server.password.encode(), salt, SCRAM_ITERATIONS)
        client_key = hmac.digest(salted, b"Client Key", "sha256")
        client_signature = hmac.digest(hashlib.sha256(client_key).digest(), signed, "sha256")
        proof = bytes(a ^ b for a, b in zip(client_key, client_signature, strict=True))
        server_key = hmac.digest(salted, b"Server Key", "sha256")
        return proof, hmac.digest(server_key, signed, "sha256")

    # Queries.

    async def _on_simple_query(self, sql: str) -> None:
        try:
            await self._reach("before", sql)
        except PostgresError:
            if sql == "COMMIT":  # a commit that fails ends its transaction
                await self._run("ROLLBACK", [])
            raise
        _, tag = await self._run(sql, [])
        await self._reach("after", sql)
        self._send(b"C", tag.encode() + b"\0")
        self._send_ready()

    async def _on_extended(self, kind: bytes, body: bytes) -> None:
        match kind:
            case b"P":
                name, text, _ = body.split(b"\0", 2)
                await self._reach("before", f"Parse {text.decode()}")
                self._prepared[name.decode()] = self._prepare(text.decode())
                self._send(b"1")
            case b"D":
                await self._reach("before", "Describe")
                self._describe(body)
            case b"B":
                self._bind(body)
                self._send(b"2")
            case b"E":
                await self._execute(body.split(b"\0", 1)[0].decode())
            case b"C":
                self._prepared.pop(body[1:-1].decode(), None)
                self._send(b"3")
            case b"H":
                pass
            case _:
                raise PostgresError("08P01", f"message {kind!r} is not spoken here")

    def _describe(self, body: bytes) -> None:
        is_statement = body[:1] == b"S"
        name = body[1:-1].decode()
        prepared = self._prepared[name] if is_statement else self._portals[name][0]
        if is_statement:
            count = len(prepared.oids)
            self._send(b"t", struct.pack(f"!H{count}I", count, *prepared.oids))
        if not prepared.columns:
            self._send(b"n")
            return
        description = struct.pack("!H", len(prepared.columns))
        for column, oid in prepared.columns:
            size = {BIGINT: 8, FLOAT: 8}.get(oid, -1)
            description += column.encode() + b"\0" + struct.pack("!IHIhiH", 0, 0, oid, size, -1, 1)
        self._send(b"T", description)

    def _prepare(self, sql: str) -> Prepared:
        oids = parameter_types(sql)
        table = TABLE.search(sql)
        columns: list[tuple[str, int]] = []
        for name in self._column_names(to_sqlite(sql), len(oids)):
            default = BIGINT if "(" in name else TEXT
            columns.append((name, self.server.types.get((table.group(1) if table else "", name), default)))
        return Prepared(sql, oids, columns)

    def _column_names(self, text: str, parameters: int) -> list[str]:
        if " RETURNING " in text:
            names = text.rpartition(" RETURNING ")[2].split(",")
            return [name.strip().rpartition(".")[2] for name in names]
        if not text.startswith("SELECT"):
            return []
        values = {str(number): None for number in range(1, parameters + 1)}
        try:
            cursor = self._database.execute(f"SELECT * FROM ({text}) LIMIT 0", values)
        except sqlite3.Error as error:
            raise from_sqlite(error) from error
        return [column[0] for column in cursor.description]

    def _bind(self, body: bytes) -> None:
        portal, rest = body.split(b"\0", 1)
        name, rest = rest.split(b"\0", 1)
        prepared = self._prepared[name.decode()]
        offset = 0
        values: list[Any] = []

        def unpack(form: str) -> int:
            nonlocal offset
            (value,) = struct.unpack_from(form, rest, offset)
            offset += struct.calcsize(form)
            return int(value)

        formats = [unpack("!H") for _ in range(unpack("!H"))]
        for index in range(unpack("!H")):
            size = unpack("!i")
            binary = formats and formats[index if len(formats) > 1 else 0]
            raw = None if size < 0 else rest[offset : offset + size]
            offset += max(size, 0)
            assert raw is None or binary or prepared.oids[index] == TEXT, "values come in binary"
            values.append(None if raw is None else decode(raw, prepared.oids[index]))
        self._portals[portal.decode()] = prepared, values

    async def _execute(self, portal: str) -> None:
        prepared, values = self._portals[portal]
        await self._reach("before", prepared.sql)
        rows, tag = await self._run(prepared.sql, values)
        await self._reach("after", prepared.sql)
        for row in rows:
            cells = [encode(value, oid) for value, (_, oid) in zip(row, prepared.columns, strict=True)]
            self._send(b"D", struct.pack("!H", len(cells)) + b"".join(cells))
        self._send(b"C", tag.encode() + b"\0")

    # The backend.

    async def _run(self, sql: str, values: list[Any]) -> tuple[list[tuple[Any, ...]], str]:
        """Run a statement; return its rows and its command tag."""
        command = sql.split(None, 1)[0].rstrip(";").upper()
        self.server.statements.append(sql)
        if command == "BEGIN":
            self._status = IN_TRANSACTION
            if "REPEATABLE READ" in sql:
                self._database.execute("BEGIN")
            return [], "BEGIN"
        if command in ("COMMIT", "ROLLBACK"):
            return [], self._end_transaction(command)
        if self._status == FAILED:
            raise PostgresError("25P02", "current transaction is aborted")
        writes = command != "SELECT" or sql.endswith("FOR UPDATE")
        cursor, rows = await self._run_locked(lambda: self._run_once(sql, values, writes=writes))
        if command in ("CREATE", "ALTER"):
            self._note_types(sql)
        count = len(rows) if rows or command == "SELECT" else max(0, cursor.rowcount)
        return rows, f"INSERT 0 {count}" if command == "INSERT" else f"{command} {count}"

    def _end_transaction(self, command: str) -> str:
        rolls_back = self._status == FAILED or command == "ROLLBACK"
        self._status = IDLE
        tag = "ROLLBACK" if rolls_back else "COMMIT"
        if self._database.in_transaction:
            self._database.execute(tag)
        return tag

    def _run_once(
        self, sql: str, values: list[Any], *, writes: bool
    ) -> tuple[sqlite3.Cursor, list[tuple[Any, ...]]]:
        if self._status == IN_TRANSACTION and writes and not self._database.in_transaction:
            self._database.execute("BEGIN IMMEDIATE")
        named = {str(number): value for number, value in enumerate(values, 1)}
        cursor = self._database.execute(to_sqlite(sql), named)
        return cursor, cursor.fetchall()

    async def _run_locked(
        self, run: Callable[[], tuple[sqlite3.Cursor, list[tuple[Any, ...]]]]
    ) -> tuple[sqlite3.Cursor, list[tuple[Any, ...]]]:
        """Run it once the lock is free."""
        while True:
            try:
                return run()
            except sqlite3.OperationalError as error:
                if error.sqlite_errorcode & 0xFF != sqlite3.SQLITE_BUSY:
                    raise from_sqlite(error) from error
                await asyncio.sleep(LOCK_WAIT_S)
            except sqlite3.Error as error:
                raise from_sqlite(error) from error

    def _note_types(self, sql: str) -> None:
        table = TABLE.search(sql)
        if table is None:
            return
        for column, kind in COLUMN.findall(sql):
            self.server.types[table.group(1), column] = OIDS[kind.lower()]
