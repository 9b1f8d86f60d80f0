"""The thin front for the platform's HTTP/1.1: clients' connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import OrderedDict
from collections.abc import Callable

from sabledyke import log
from sabledyke.core import Answer, Core, Verdict
from sabledyke.net import clock, streams
from sabledyke.protocol.gateway import HEALTH, Reader, to_client
from sabledyke.protocol.http import MAX_INPUT, HttpError, Message, Parser, encode_response


class HttpFront:
    """All client connections, and how they are closed when the program leaves."""

    def __init__(self, core: Core, most: int) -> None:
        self.core, self._most = core, most
        self.reader = Reader(core.settings)
        self.leaving = False
        self._clients: OrderedDict[_Client, None] = OrderedDict()

    def accept(self, sock: socket.socket, _address: object = None) -> None:
        """Serve a connection; the one idle for longest makes room where there are too many."""
        if len(self._clients) >= self._most:
            idle = next((c for c in self._clients if c.idle), None)
            which = "an idle one" if idle else "a new one"
            log.say("front", f"{len(self._clients)} clients: {which} is closed")
            if idle is None:
                sock.close()
                return
            idle.close()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = _Client(self, streams.IOStream(sock, read_chunk_size=streams.READ))
        self._clients[client] = None
        asyncio.get_running_loop().create_task(client.serve())

    def close_idle(self) -> None:
        """Close the connections on which nothing is asked or half asked."""
        for client in list(self._clients):
            if client.idle and streams.quiet(client.stream):
                client.close()

    @property
    def busy(self) -> int:
        """Connections on which something is asked or being answered."""
        return sum(not c.idle for c in self._clients)

    def touched(self, client: _Client) -> None:
        """Note that a connection was used last."""
        if client in self._clients:
            self._clients.move_to_end(client)

    def forget(self, client: _Client) -> None:
        """A connection has ended."""
        self._clients.pop(client, None)


class _Client:
    """One connection: a request at a time, each answered before the next is looked at."""

    def __init__(self, front: HttpFront, stream: streams.IOStream) -> None:
        self.front, self.stream = front, stream
        self._parser = Parser()
        self._rid: int | None = None  # the request in work
        self._writing = False
        self._waiting = 0  # bytes that came in while a request was in work

    @property
    def idle(self) -> bool:
        """Nothing is asked, half asked or being answered."""
        return self._rid is None and not self._writing and self._parser.idle

    def close(self) -> None:
        """End the connection; what it asked is not owed any more."""
        streams.abort(self.stream)
        self.front.forget(self)
        rid, self._rid = self._rid, None
        if rid is not None:
            self.front.core.depart(rid)

    async def serve(self) -> None:
        """Read until the client or the program has had enough."""
        try:
            while True:
                data = await self.stream.read_bytes(streams.READ, partial=True)
                self._waiting += len(data)
                if self._waiting > MAX_INPUT:
                    raise HttpError("more sent than one request at a time")
                self._parser.feed(data)
                self._next()
        except streams.StreamClosedError:
            self.close()
        except HttpError as fault:
            self._bad(fault)

    def _next(self) -> None:
        if self._rid is not None or self._writing:
            return
        message = self._parser.next()
        if message is None:
            return
        self._waiting = 0
        self.front.touched(self)
        if message.target.partition("?")[0] == HEALTH:
            self._write(encode_response(200, close=self._last(message)), self._last(message))
            return
        work = self.front.reader.work(message)

        def done(answer: Answer) -> None:
            self._rid = None
            last = self._last(message)
            if not self.stream.closed():
                self._write(to_client(answer, close=last), last)
            elif answer.verdict is Verdict.SERVED:
                log.say("front", "an answer came for a client that is gone")

        self._rid = self.front.core.submit(clock.now(), work, done)

    def _last(self, message: Message) -> bool:
        return self.front.leaving or not message.keep_alive

    def _write(self, data: bytes, last: bool) -> None:
        self._writing = True
        written = self.stream.write(data)

        def flushed(_: object) -> None:
            self._writing = False
            if last:
                self.close()
            elif not self.stream.closed():
                try:
                    self._next()
                except HttpError as fault:
                    self._bad(fault)

        asyncio.ensure_future(written).add_done_callback(flushed)

    def _bad(self, fault: HttpError) -> None:
        """Bad bytes harm nobody but who sent them."""
        log.say("front", f"a client sent a bad request: {fault}")
        if self._rid is None and not self._writing and not self.stream.closed():
            self._write(encode_response(400, close=True), True)
        else:
            self.close()


Acceptor = Callable[[socket.socket, object], None]


class Door:
    """A listening socket."""

    def __init__(self, address: tuple[str, int], accept: Acceptor) -> None:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self._socket.listen(512)
        self._accept = accept
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self._ready)

    @property
    def port(self) -> int:
        """Where it listens, also where any port was asked for."""
        return int(self._socket.getsockname()[1])

    def _ready(self) -> None:
        with contextlib.suppress(BlockingIOError, ConnectionAbortedError):
            while True:
                try:
                    sock, address = self._socket.accept()
                except OSError as fault:
                    if not isinstance(fault, BlockingIOError):
                        log.say("front", f"a connection was not accepted: {fault}")
                    return
                sock.setblocking(False)
                self._accept(sock, address)

    def close(self) -> None:
        """Accept what has already come up, then listen no more."""
        self._ready()
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()
