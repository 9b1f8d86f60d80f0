"""The thin front for the platform's HTTP/1.1."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from sabledyke import log
from sabledyke.core import Answer
from sabledyke.net import clock, streams
from sabledyke.net.frontend import REQUEST_TIMEOUT_S, ClientConnection, Frontend, Submit
from sabledyke.protocol.gateway import HEALTH, Ids, Reader, to_client
from sabledyke.protocol.http import MAX_INPUT, HttpError, Message, Parser, encode_response

CLOSE_DELAY_S = (
    0.25  # seconds from the end of sending to the close, for the client to take in its last answer
)
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HttpClientConnection(ClientConnection):
    """A connection: a request at a time, each answered before the next is looked at."""

    def __init__(
        self,
        front: Frontend,
        stream: streams.Stream,
        reader: Reader,
        ids: Ids,
        submit: Submit,
        depart: Callable[[int], None],
    ) -> None:
        super().__init__(stream)
        self._front, self._reader, self._ids, self._submit, self._on_client_gone = (
            front,
            reader,
            ids,
            submit,
            depart,
        )
        self._parser = Parser()
        self._request_id: int | None = None  # the request in work
        self._writing = False
        self._continue_sent = False  # the request whose body comes was told to send it
        self._reading_stopped = False  # nothing more is read: the last answer is out, or the program ends
        self._last_answer_written = False  # the last answer is written, or being written
        self._input_overrun = False  # what comes now is dropped: too much came at once

    @property
    def idle(self) -> bool:
        """See ``Client``."""
        return not self.busy and self._parser.idle

    @property
    def busy(self) -> bool:
        """See ``Client``."""
        return self._request_id is not None or self._writing

    def timeout_s(self, idle: float) -> float:
        """See ``Client``."""
        if self._request_id is not None:
            return inf  # its deadline bounds that
        if self._writing:
            return self._front.write_timeout_s
        return REQUEST_TIMEOUT_S if self.never_requested or not self._parser.idle else idle

    def time_out(self) -> None:
        """See ``Client``."""
        if self.busy or self._parser.idle:
            self.close()
        else:
            self._reject_bad_request(HttpError("a request that does not go on", 408))

    def on_client_gone(self) -> None:
        """See ``Client``."""
        rid, self._request_id = self._request_id, None
        if rid is not None:
            self._on_client_gone(rid)

    async def serve(self) -> None:
        """See ``Client``."""
        try:
            while not self._reading_stopped:
                data = await self.receive()
                if self.idle and not self.never_requested:
                    self.last_activity_s = asyncio.get_running_loop().time()
                self._parser.feed(self._accept_input(data))
                self._handle_next_request()
                self._on_body_progress()
        except streams.StreamClosedError:
            self.close()
        except HttpError as fault:
            self._reject_bad_request(fault)

    def _on_body_progress(self) -> None:
        """A request's body is coming: its patience begins anew, and who waits to send it is told to."""
        if self._request_id is not None or not self._parser.in_body:
            return
        # Guards against cutting off a body that comes slowly but comes: each piece of it
        # renews its patience; one that stops is given up as before.
        self.last_activity_s = asyncio.get_running_loop().time()
        if self._parser.expects and not self._continue_sent:
            self._continue_sent = True
            sent = asyncio.ensure_future(self.stream.write(CONTINUE_RESPONSE))
            sent.add_done_callback(lambda f: f.cancelled() or f.exception())  # an end is no fault

    def _accept_input(self, data: bytes) -> bytes:
        """As much as may wait behind a request in work; from the first byte beyond it on, nothing.

        Guards against a client whose close is not seen, as it lies behind bytes that nobody reads, and
        against ending with the connection what is in work or waits whole: that is answered, then the error.
        """
        if self._input_overrun or not self.busy:
            return b"" if self._input_overrun else data
        fits = data[: max(0, MAX_INPUT - self._parser.held)]
        self._input_overrun = len(fits) < len(data)
        return fits

    def _handle_next_request(self) -> None:
        if self.busy or self._last_answer_written:
            return
        message = self._parser.next()
        if message is None:
            if self._input_overrun:
                raise HttpError("more sent than may wait behind a request")
            return
        self._continue_sent = False
        self._front.mark_used(self)
        if message.target.partition("?")[0] == HEALTH:
            last = self._ends_connection(message)
            self._write(encode_response(503 if self._front.quiesced else 200, close=last), last)
            return
        work = self._reader.work(message)
        if not streams.may_access_volume(self.stream, work.volume):
            raise HttpError("a client without a right to this volume", 403)
        self._ids.claim(clock.now(), work)
        work.present = self._client_present

        def done(answer: Answer) -> None:
            self._request_id = None
            last = self._ends_connection(message)
            if not self.stream.closed():
                self._write(to_client(answer, close=last), last)

        self.never_requested = False
        self._request_id = self._submit(work, done)

    def _client_present(self) -> bool:
        return not streams.peer_closed(self.stream)

    def _ends_connection(self, message: Message) -> bool:
        """Whether this answer ends its connection.

        Guards against turning back what a client has already sent in a drain or at the end: requests that
        came one after the other on the connection are answered first, and the last answer closes it. So are
        those that came and were not looked at yet: a close would drop what was read, and reset the rest.
        """
        if not message.keep_alive:
            return True
        if self._reading_stopped:
            return self._parser.idle
        return (
            (self._front.crowded or self._front.ends_connections)
            and self._parser.idle
            and not self.has_unread
        )

    def _write(self, data: bytes, last: bool) -> None:
        self._writing, self.last_activity_s = True, asyncio.get_running_loop().time()
        self._front.response_memory.used_bytes += len(data)
        written = asyncio.ensure_future(self.stream.write(data))
        self._last_answer_written = self._last_answer_written or last

        def flushed(_: object) -> None:
            self._writing, self.last_activity_s = False, asyncio.get_running_loop().time()
            self._front.response_memory.used_bytes -= len(data)
            if last:
                self._finish_sending()
            elif not self.stream.closed():
                try:
                    self._handle_next_request()
                except HttpError as fault:
                    self._reject_bad_request(fault)

        written.add_done_callback(flushed)

    def _finish_sending(self) -> None:
        """End a connection whose last answer is written.

        Guards against that answer being lost: where the client has sent more, a close would reset the
        connection, unread answer and all. So sending ends, and the close follows a moment later. What the
        client sent stays unread: a request that is read and not answered would be lost, and one that was not
        read its client sends once more.
        """
        self.stop_reading()
        if streams.is_silent(self.stream) or not streams.half_close(self.stream):
            return self.close()
        asyncio.get_running_loop().call_later(CLOSE_DELAY_S, self.close)

    def stop_reading(self) -> None:
        """See ``Client``."""
        self._reading_stopped = True
        streams.stop_reading(self.stream)

    def reject_partial_request(self) -> None:
        """See ``Client``."""
        if not self.settled and not self.busy and not self.has_unprocessed and not self.stream.closed():
            self._write(encode_response(503, close=True), True)

    @property
    def settled(self) -> bool:
        """See ``Client``."""
        return super().settled and (self._last_answer_written or self._parser.idle)

    def _reject_bad_request(self, fault: HttpError) -> None:
        """Bad bytes harm nobody but who sent them."""
        log.say("front", f"a client sent a bad request: {fault}")
        if self._request_id is None and not self._writing and not self.stream.closed():
            self._write(encode_response(fault.status, close=True), True)
        else:
            self.close()
