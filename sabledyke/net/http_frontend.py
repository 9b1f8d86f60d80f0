"""The thin front for the platform's HTTP/1.1."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from sabledyke import log
from sabledyke.core import Answer
from sabledyke.net import clock, streams
from sabledyke.net.frontend import ASKING, Client, Front, Submit
from sabledyke.protocol.gateway import HEALTH_PATH, MessageReader, encode_client_response
from sabledyke.protocol.http import MAX_INPUT_BYTES, HttpError, HttpMessage, HttpParser, encode_response
from sabledyke.protocol.request_ids import RequestIds

LINGER = 0.25  # seconds from the end of sending to the close, for the client to take in its last answer
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HttpClient(Client):
    """A connection: a request at a time, each answered before the next is looked at."""

    def __init__(
        self,
        front: Front,
        stream: streams.Stream,
        reader: MessageReader,
        ids: RequestIds,
        submit: Submit,
        depart: Callable[[int], None],
    ) -> None:
        super().__init__(stream)
        self._front, self._reader, self._ids, self._submit, self._depart = front, reader, ids, submit, depart
        self._parser = HttpParser()
        self._rid: int | None = None  # the request in work
        self._writing = False
        self._continued = False  # the request whose body comes was told to send it
        self._deaf = False  # nothing more is read: the last answer is out, or the program ends
        self._ended = False  # the last answer is written, or being written
        self._overrun = False  # what comes now is dropped: too much came at once

    @property
    def idle(self) -> bool:
        """See ``Client``."""
        return not self.owed and self._parser.idle

    @property
    def owed(self) -> bool:
        """See ``Client``."""
        return self._rid is not None or self._writing

    def patience(self, idle: float) -> float:
        """See ``Client``."""
        if self._rid is not None:
            return inf  # its deadline bounds that
        if self._writing:
            return self._front.reading
        return ASKING if self.fresh or not self._parser.idle else idle

    def give_up(self) -> None:
        """See ``Client``."""
        if self.owed or self._parser.idle:
            self.close()
        else:
            self._bad(HttpError("a request that does not go on", 408))

    def departed(self) -> None:
        """See ``Client``."""
        rid, self._rid = self._rid, None
        if rid is not None:
            self._depart(rid)

    async def serve(self) -> None:
        """See ``Client``."""
        try:
            while not self._deaf:
                data = await self.receive()
                if self.idle and not self.fresh:
                    self.since = asyncio.get_running_loop().time()
                self._parser.feed(self._what_fits(data))
                self._next()
                self._go_on_with_body()
        except streams.StreamClosedError:
            self.close()
        except HttpError as fault:
            self._bad(fault)

    def _go_on_with_body(self) -> None:
        """A request's body is coming: its patience begins anew, and who waits to send it is told to."""
        if self._rid is not None or not self._parser.receiving_body:
            return
        # Guards against cutting off a body that comes slowly but comes: each piece of it
        # renews its patience; one that stops is given up as before.
        self.since = asyncio.get_running_loop().time()
        if self._parser.expects_continue and not self._continued:
            self._continued = True
            sent = asyncio.ensure_future(self.stream.write(CONTINUE))
            sent.add_done_callback(lambda f: f.cancelled() or f.exception())  # an end is no fault

    def _what_fits(self, data: bytes) -> bytes:
        """As much as may wait behind a request in work; from the first byte beyond it on, nothing.

        Guards against a client whose close is not seen, as it lies behind bytes that nobody reads, and
        against ending with the connection what is in work or waits whole: that is answered, then the error.
        """
        if self._overrun or not self.owed:
            return b"" if self._overrun else data
        fits = data[: max(0, MAX_INPUT_BYTES - self._parser.buffered_bytes)]
        self._overrun = len(fits) < len(data)
        return fits

    def _next(self) -> None:
        if self.owed or self._ended:
            return
        message = self._parser.next_message()
        if message is None:
            if self._overrun:
                raise HttpError("more sent than may wait behind a request")
            return
        self._continued = False
        self._front.touch(self)
        if message.target.partition("?")[0] == HEALTH_PATH:
            last = self._last(message)
            self._write(encode_response(503 if self._front.quiesced else 200, close=last), last)
            return
        work = self._reader.read_request(message)
        if not streams.permits(self.stream, work.volume):
            raise HttpError("a client without a right to this volume", 403)
        self._ids.claim(clock.now(), work)
        work.client_connected = self._present

        def done(answer: Answer) -> None:
            self._rid = None
            last = self._last(message)
            if not self.stream.closed():
                self._write(encode_client_response(answer, close=last), last)

        self.fresh = False
        self._rid = self._submit(work, done)

    def _present(self) -> bool:
        return not streams.departed(self.stream)

    def _last(self, message: HttpMessage) -> bool:
        """Whether this answer ends its connection.

        Guards against turning back what a client has already sent in a drain or at the end: requests that
        came one after the other on the connection are answered first, and the last answer closes it. So are
        those that came and were not looked at yet: a close would drop what was read, and reset the rest.
        """
        if not message.keep_alive:
            return True
        if self._deaf:
            return self._parser.idle
        return (self._front.crowded or self._front.parting) and self._parser.idle and not self.unread

    def _write(self, data: bytes, last: bool) -> None:
        self._writing, self.since = True, asyncio.get_running_loop().time()
        self._front.room.used += len(data)
        written = asyncio.ensure_future(self.stream.write(data))
        self._ended = self._ended or last

        def flushed(_: object) -> None:
            self._writing, self.since = False, asyncio.get_running_loop().time()
            self._front.room.used -= len(data)
            if last:
                self._say_no_more()
            elif not self.stream.closed():
                try:
                    self._next()
                except HttpError as fault:
                    self._bad(fault)

        written.add_done_callback(flushed)

    def _say_no_more(self) -> None:
        """End a connection whose last answer is written.

        Guards against that answer being lost: where the client has sent more, a close would reset the
        connection, unread answer and all. So sending ends, and the close follows a moment later. What the
        client sent stays unread: a request that is read and not answered would be lost, and one that was not
        read its client sends once more.
        """
        self.read_no_more()
        if streams.quiet(self.stream) or not streams.half_close(self.stream):
            return self.close()
        asyncio.get_running_loop().call_later(LINGER, self.close)

    def read_no_more(self) -> None:
        """See ``Client``."""
        self._deaf = True
        streams.stop_reading(self.stream)

    def say_last(self) -> None:
        """See ``Client``."""
        if not self.settled and not self.owed and not self.taken and not self.stream.closed():
            self._write(encode_response(503, close=True), True)

    @property
    def settled(self) -> bool:
        """See ``Client``."""
        return super().settled and (self._ended or self._parser.idle)

    def _bad(self, fault: HttpError) -> None:
        """Bad bytes harm nobody but who sent them."""
        log.emit("front", f"a client sent a bad request: {fault}")
        if self._rid is None and not self._writing and not self.stream.closed():
            self._write(encode_response(fault.status, close=True), True)
        else:
            self.close()
