"""Client connections that speak the platform's HTTP/1.1."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from sabledyke import log
from sabledyke.core import Answer
from sabledyke.net import clock, streams
from sabledyke.net.client_connection import REQUEST_TIMEOUT_S, ClientConnection, Submit
from sabledyke.net.frontend import Frontend
from sabledyke.protocol.gateway import HEALTH_PATH, MessageReader, encode_client_response
from sabledyke.protocol.http import MAX_INPUT_BYTES, HttpError, HttpMessage, HttpParser, encode_response
from sabledyke.protocol.request_ids import RequestIds

CLOSE_DELAY_S = 0.25  # from the end of sending to the close, for the client to read its last answer
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HttpClientConnection(ClientConnection):
    """A connection with one request at a time, each answered before the next is processed.

    Args:
        frontend: Where the connection belongs.
        stream: The connection's bytes.
        reader: Translates requests.
        ids: Remembers the ids of requests.
        submit: Hands a request in, and returns its id.
        abandon: Gives up a request whose client is gone.
    """

    def __init__(
        self,
        frontend: Frontend,
        stream: streams.Stream,
        reader: MessageReader,
        ids: RequestIds,
        submit: Submit,
        abandon: Callable[[int], None],
    ) -> None:
        super().__init__(stream)
        self._frontend = frontend
        self._reader = reader
        self._ids = ids
        self._submit = submit
        self._abandon = abandon
        self._parser = HttpParser()
        self._request_id: int | None = None  # the request in flight
        self._writing = False
        self._continue_sent = False  # for the request whose body comes
        self._reading_stopped = False  # the last answer is out, or the program stops
        self._last_answer_written = False  # or being written
        self._input_overrun = False  # too much came at once: what comes now is dropped

    @property
    def idle(self) -> bool:
        """See ``ClientConnection``."""
        return not self.busy and self._parser.idle

    @property
    def busy(self) -> bool:
        """See ``ClientConnection``."""
        return self._request_id is not None or self._writing

    @property
    def settled(self) -> bool:
        """See ``ClientConnection``."""
        return super().settled and (self._last_answer_written or self._parser.idle)

    def timeout_s(self, idle_timeout_s: float) -> float:
        """See ``ClientConnection``."""
        if self._request_id is not None:
            return inf  # its deadline bounds that
        if self._writing:
            return self._frontend.write_timeout_s
        if self.never_requested or not self._parser.idle:
            return REQUEST_TIMEOUT_S
        return idle_timeout_s

    def time_out(self) -> None:
        """See ``ClientConnection``."""
        if self.busy or self._parser.idle:
            self.close()
        else:
            self._reject_bad_request(HttpError("a request that does not go on", 408))

    def on_client_gone(self) -> None:
        """See ``ClientConnection``."""
        request_id = self._request_id
        self._request_id = None
        if request_id is not None:
            self._abandon(request_id)

    def stop_reading(self) -> None:
        """See ``ClientConnection``."""
        self._reading_stopped = True
        streams.stop_reading(self.stream)

    def reject_partial_request(self) -> None:
        """See ``ClientConnection``."""
        if self.settled or self.busy or self.has_unprocessed or self.stream.closed():
            return
        self._write(encode_response(503, close=True), last=True)

    async def serve(self) -> None:
        """See ``ClientConnection``."""
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
        except HttpError as error:
            self._reject_bad_request(error)

    def _accept_input(self, data: bytes) -> bytes:
        """Return as much as may wait behind a request in flight; nothing after the first byte beyond it.

        Guards against a client whose close is not seen, as it lies behind bytes that nobody reads, and
        against ending, with the connection, requests in flight or waiting: they are answered, then the error.
        """
        if self._input_overrun:
            return b""
        if not self.busy:
            return data
        accepted = data[: max(0, MAX_INPUT_BYTES - self._parser.buffered_bytes)]
        self._input_overrun = len(accepted) < len(data)
        return accepted

    def _handle_next_request(self) -> None:
        if self.busy or self._last_answer_written:
            return
        message = self._parser.next_message()
        if message is None:
            if self._input_overrun:
                raise HttpError("more sent than may wait behind a request")
            return
        self._continue_sent = False
        self._frontend.mark_used(self)
        if message.target.partition("?")[0] == HEALTH_PATH:
            self._answer_health_check(message)
        else:
            self._submit_request(message)

    def _answer_health_check(self, message: HttpMessage) -> None:
        last = self._ends_connection(message)
        status = 503 if self._frontend.quiesced else 200
        self._write(encode_response(status, close=last), last=last)

    def _submit_request(self, message: HttpMessage) -> None:
        request = self._reader.read_request(message)
        if not streams.may_access_volume(self.stream, request.volume):
            raise HttpError("a client without a right to this volume", 403)
        self._ids.claim(clock.now(), request)
        request.client_connected = self._client_present

        def on_answer(answer: Answer) -> None:
            self._request_id = None
            last = self._ends_connection(message)
            if not self.stream.closed():
                self._write(encode_client_response(answer, close=last), last=last)

        self.never_requested = False
        self._request_id = self._submit(request, on_answer)

    def _on_body_progress(self) -> None:
        """Renew the time-out while a request's body comes, and send 100 Continue where it is awaited.

        Guards against cutting off a body that comes slowly but comes: each piece of it renews the time-out;
        one that stops times out as before.
        """
        if self._request_id is not None or not self._parser.receiving_body:
            return
        self.last_activity_s = asyncio.get_running_loop().time()
        if self._parser.expects_continue and not self._continue_sent:
            self._continue_sent = True
            sent = asyncio.ensure_future(self.stream.write(CONTINUE_RESPONSE))
            sent.add_done_callback(lambda f: f.cancelled() or f.exception())  # an end is no fault

    def _client_present(self) -> bool:
        return not streams.peer_closed(self.stream)

    def _ends_connection(self, message: HttpMessage) -> bool:
        """Decide whether the answer to ``message`` ends its connection.

        Guards against rejecting what a client has already sent in a drain or at the end: requests that came
        one after the other on the connection are answered first, and the last answer closes it. So are those
        that came and were not processed yet: a close would drop what was read, and reset the rest.
        """
        if not message.keep_alive:
            return True
        if self._reading_stopped:
            return self._parser.idle
        if not (self._frontend.crowded or self._frontend.ends_connections):
            return False
        return self._parser.idle and not self.has_unread

    def _write(self, data: bytes, *, last: bool) -> None:
        """Send an answer; once it is sent, end the connection or go on with the next request."""
        self._writing = True
        self.last_activity_s = asyncio.get_running_loop().time()
        self._frontend.response_memory.used_bytes += len(data)
        written = asyncio.ensure_future(self.stream.write(data))
        self._last_answer_written = self._last_answer_written or last

        def on_written(_: object) -> None:
            self._writing = False
            self.last_activity_s = asyncio.get_running_loop().time()
            self._frontend.response_memory.used_bytes -= len(data)
            if last:
                self._finish_sending()
            elif not self.stream.closed():
                self._continue_after_answer()

        written.add_done_callback(on_written)

    def _continue_after_answer(self) -> None:
        try:
            self._handle_next_request()
        except HttpError as error:
            self._reject_bad_request(error)

    def _finish_sending(self) -> None:
        """End a connection whose last answer is written.

        Guards against that answer being lost: where the client has sent more, a close would reset the
        connection, unread answer and all. So sending ends, and the close follows a moment later. What the
        client sent stays unread: a request that is read and not answered would be lost, and one that was not
        read its client sends once more.
        """
        self.stop_reading()
        if streams.is_silent(self.stream) or not streams.half_close(self.stream):
            self.close()
            return
        asyncio.get_running_loop().call_later(CLOSE_DELAY_S, self.close)

    def _reject_bad_request(self, error: HttpError) -> None:
        """Answer bad bytes where nothing is being answered, and end the connection."""
        log.emit("front", f"a client sent a bad request: {error}")
        if self._request_id is None and not self._writing and not self.stream.closed():
            self._write(encode_response(error.status, close=True), last=True)
        else:
            self.close()
