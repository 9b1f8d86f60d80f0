"""One session of the PostgreSQL stand-in: start-up, authentication, simple and extended query."""

from __future__ import annotations

import asyncio
import secrets
import struct
from typing import TYPE_CHECKING

from tests.standins.postgres_backend import Backend
from tests.standins.postgres_faults import FaultPoint, PostgresError
from tests.standins.postgres_messages import CANCEL_REQUEST, MessageStream
from tests.standins.postgres_scram import ScramServer
from tests.standins.postgres_statements import Statements, data_row

if TYPE_CHECKING:
    from tests.standins.postgres import Postgres

PARAMETERS = {
    "server_version": "16.0",
    "client_encoding": "UTF8",
    "standard_conforming_strings": "on",
    "TimeZone": "UTC",
}
AUTHENTICATION_OK = 0  # codes of the Authentication messages
AUTHENTICATION_SASL = 10
AUTHENTICATION_SASL_CONTINUE = 11
AUTHENTICATION_SASL_FINAL = 12


class PostgresSession(MessageStream):
    """One client connection with its backend."""

    def __init__(self, server: Postgres, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        super().__init__(reader, writer)
        self.server = server
        self.number = 0  # 0 until the StartupMessage is received
        self._backend = Backend(server)
        self._statements = Statements(self._backend)
        self._secret = secrets.randbits(31)
        self._messages = 0
        self._skipping = False  # after an error, messages are skipped until Sync

    async def serve(self) -> None:
        """Process messages until the client ends the session."""
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
                if error.sqlstate.startswith("57P"):  # errors of this class end the session
                    await self._flush()
                    return
                self._skipping = kind not in b"QS"
                if not self._skipping:
                    self._send_ready()
            if kind in b"SQH":
                await self._flush()

    def end(self) -> None:
        """Close the backend, which discards uncommitted changes."""
        self._backend.close()

    async def _on_message(self, kind: bytes, body: bytes) -> None:
        if kind == b"S":
            await self._reach("before", "Sync")
            self._skipping = False
            self._send_ready()
        elif kind == b"Q":
            await self._on_simple_query(body[:-1].decode())
        elif not self._skipping:
            await self._on_extended(kind, body)

    def _send_ready(self) -> None:
        self._send(b"Z", self._backend.status.encode())

    def _send_error(self, error: PostgresError) -> None:
        self._backend.fail_transaction()
        fields = (("S", "ERROR"), ("V", "ERROR"), ("C", error.sqlstate), ("M", str(error)))
        self._send(b"E", b"".join(code.encode() + text.encode() + b"\0" for code, text in fields) + b"\0")

    def _count_message(self) -> None:
        self._messages += 1
        self.server.message_counts[self.number] = self._messages

    async def _reach(self, stage: str, label: str) -> None:
        """Call the script, which may inject a fault at this point."""
        await self.server.script(FaultPoint(self.number, self._messages, stage, label))

    # Start-up.

    async def _start_up(self) -> bool:
        """Start the session; return False if it ends at once, after a CancelRequest or an error."""
        code, body = await self._receive_startup()
        if code == CANCEL_REQUEST:
            self.server.cancelled.append(struct.unpack_from("!I", body)[0])
            return False
        self.number = self.server.begin_session()
        words = body.split(b"\0")
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

    async def _authenticate(self, user: str) -> None:
        scram = ScramServer(self.server.password)
        self._send_authentication(AUTHENTICATION_SASL, b"SCRAM-SHA-256\0\0")
        await self._flush()
        _, body = await self._receive()
        mechanism, message = body.split(b"\0", 1)
        assert mechanism == b"SCRAM-SHA-256"
        client_first = message[4:]  # without the length field
        self._send_authentication(AUTHENTICATION_SASL_CONTINUE, scram.first_message(client_first))
        await self._flush()
        _, client_final = await self._receive()
        server_final = scram.final_message(client_final)
        if user != self.server.user or server_final is None:
            raise PostgresError("28P01", f'password authentication failed for user "{user}"')
        self._send_authentication(AUTHENTICATION_SASL_FINAL, server_final)
        self._send_authentication(AUTHENTICATION_OK)

    def _send_authentication(self, code: int, data: bytes = b"") -> None:
        self._send(b"R", struct.pack("!I", code) + data)

    # Queries.

    async def _on_simple_query(self, sql: str) -> None:
        try:
            await self._reach("before", sql)
        except PostgresError:
            if sql == "COMMIT":  # a failed commit rolls the transaction back
                await self._backend.run("ROLLBACK", [])
            raise
        _, tag = await self._backend.run(sql, [])
        await self._reach("after", sql)
        self._send(b"C", tag.encode() + b"\0")
        self._send_ready()

    async def _on_extended(self, kind: bytes, body: bytes) -> None:
        match kind:
            case b"P":
                name, text, _ = body.split(b"\0", 2)
                await self._reach("before", f"Parse {text.decode()}")
                self._statements.prepare(name.decode(), text.decode())
                self._send(b"1")
            case b"D":
                await self._reach("before", "Describe")
                for message in self._statements.describe(body):
                    self._send(*message)
            case b"B":
                self._statements.bind(body)
                self._send(b"2")
            case b"E":
                await self._execute(body.split(b"\0", 1)[0].decode())
            case b"C":
                self._statements.close(body[1:-1].decode())
                self._send(b"3")
            case b"H":
                pass
            case _:
                raise PostgresError("08P01", f"message type {kind!r} is not supported")

    async def _execute(self, name: str) -> None:
        portal = self._statements.portals[name]
        sql = portal.prepared.sql
        await self._reach("before", sql)
        rows, tag = await self._backend.run(sql, portal.values)
        await self._reach("after", sql)
        for row in rows:
            self._send(*data_row(row, portal.prepared))
        self._send(b"C", tag.encode() + b"\0")
