"""Client connections that speak the platform's HTTP/1.1."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from sabledyke import log
from sabledyke.core import Answer
from sabledyke.net import clock, streams
from sabledyke.net.answer_writer import AnswerWriter
from sabledyke.net.client_connection import REQUEST_TIMEOUT_S, ClientConnection, Submit
from sabledyke.net.close_reason import CloseReason
from sabledyke.net.frontend import Frontend
from sabledyke.net.memory_budget import MemoryUse, request_bytes
from sabledyke.protocol.gateway import HEALTH_PATH, MessageReader, encode_client_response
from sabledyke.protocol.http import (
    MAX_HEAD_BYTES,
    MAX_INPUT_BYTES,
    HttpError,
    HttpMessage,
    HttpParser,
    encode_response,
)
from sabledyke.protocol.platform_names import REQUEST_HEADERS
from sabledyke.protocol.request_ids import RequestIds

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HttpClientConnection(ClientConnection):
    """A connection with one request at a time, each answered before the next is processed.

    Args:
        frontend: The front end that owns the connection.
        stream: The connection's byte stream.
        reader: Translates HTTP messages to requests.
        ids: Tracks the ids of requests that are in use.
        submit: Passes a request to the core, and returns its id.
        report_disconnect: Reports that the client of a request has disconnected.
    """

    def __init__(
        self,
        frontend: Frontend,
        stream: streams.Stream,
        reader: MessageReader,
        ids: RequestIds,
        submit: Submit,
        report_disconnect: Callable[[int], None],
    ) -> None:
        super().__init__(stream)
        self._frontend = frontend
        self._reader = reader
        self._ids = ids
        self._submit = submit
        self._report_disconnect = report_disconnect
        self._parser = HttpParser(header_names=REQUEST_HEADERS)
        self._memory_use = MemoryUse(frontend.memory_budget)
        self._request_bytes = 0  # memory of the request in flight
        self._request_id: int | None = None  # the request in flight
        self._writer = AnswerWriter(
            stream, frontend.memory_budget, self._on_activity, self._on_answer_sent, self._on_answer_broken
        )
        self._continue_sent = False  # 100 Continue was sent for the request whose body is being received
        self._reading_stopped = False  # the last answer was sent, or the program stops
        self._resumption: asyncio.Task[None] | None = None  # processes the rest of input after an answer
        self._input_overrun = False  # more input arrived than is buffered: further input is dropped

    @property
    def idle(self) -> bool:
        """True if no request is being received or answered."""
        return not self.busy and self._parser.idle

    @property
    def busy(self) -> bool:
        """True if a request is in flight or an answer is being written."""
        return self._request_id is not None or self._writer.busy

    @property
    def settled(self) -> bool:
        """True if all input that was read is answered, or follows a last answer that is already sent."""
        return super().settled and (self._writer.last_answer_begun or self._parser.idle)

    @property
    def passes_on_answer(self) -> bool:
        """True while a long answer is passed on, which may take longer than its request's deadline."""
        return self._writer.passes_on

    @property
    def partial_bytes(self) -> int:
        """Buffered bytes of a partly received request that can be rejected; 0 if there is none."""
        if self.busy or self._writer.last_answer_begun or self.stream.closed():
            return 0
        return self._parser.buffered_bytes

    def timeout_s(self, idle_timeout_s: float) -> float:
        """Return the time-out of the current state: in flight, writing, receiving or idle.

        Guards against closing the connection of a client that waits for its node, as if it did not read.
        """
        if self._request_id is not None:
            return inf  # the request's deadline is the limit
        if self._writer.awaits_node:
            return inf  # the node's time-out is the limit
        if self._writer.busy:
            return self._frontend.write_timeout_s
        if self.never_requested or not self._parser.idle:
            return REQUEST_TIMEOUT_S
        return idle_timeout_s

    def on_timeout(self) -> None:
        """Close the connection, after answering a partly received request with status 408."""
        if self.busy or self._parser.idle:
            self.close()
        else:
            self._reject_bad_request(HttpError("the request was not completed in time", 408))

    def on_client_disconnected(self) -> None:
        """Report the disconnect of the client for the request in flight."""
        request_id = self._request_id
        self._request_id = None
        if request_id is not None:
            self._report_disconnect(request_id)

    def reject_for_memory(self) -> None:
        """Answer a partly received request with status 503, close the connection and release its memory."""
        log.emit("front", "the memory for requests is used up: a partly received request was rejected")
        self._end_with_error(503)

    def evict(self) -> None:
        """Close the connection for a new one; a partly received request is answered with status 503."""
        if self.idle or self._writer.last_answer_begun:
            self.close()
        else:
            self._end_with_error(503)

    def close(self) -> None:
        """Close the connection, cancel its requests and release its memory."""
        super().close()
        self._memory_use.set(0)
        self._writer.close()

    def stop_reading(self) -> None:
        """Stop reading from the stream; requests that were read are still answered."""
        self._reading_stopped = True
        streams.stop_reading(self.stream)

    def reject_partial_request(self) -> None:
        """Answer a partly received request with status 503, and close the connection."""
        if self.settled or self.busy or self.stream.closed():
            return
        if self.has_unprocessed_input and not self._parser.paused:
            return
        self._writer.write(encode_response(503, close=True), last=True)

    async def serve(self) -> None:
        """Read and answer requests until the client closes, sends an invalid request or reading stops."""
        try:
            while not self._reading_stopped:
                data = await self.receive()
                if self.idle and not self.never_requested:
                    self._on_activity()
                while self._resumption is not None and not self._resumption.done():
                    await self._resumption
                self._parser.feed(self._accept_input(data))
                del data  # a waiting connection holds only the bytes of its parser
                self._count_memory()  # input counts already while its parsing waits for a slot
                await self._process_input()
                self._count_memory()
                self._frontend.relieve_memory()
        except streams.StreamClosedError:
            self.close()
        except HttpError as error:
            self._reject_bad_request(error)

    async def _process_input(self) -> None:
        """Process the input that was read, in turns with other connections, up to a request or its end.

        Raises:
            HttpError: The input is no valid request.
            StreamClosedError: The client has disconnected meanwhile.
        """
        fair_queue = self._frontend.fair_queue
        if not self.busy:
            await self.await_slot(fair_queue.begin())
        self._handle_next_request()
        self._on_body_progress()
        while self._parser.paused and not self.busy and not self._writer.last_answer_begun:
            self._frontend.relieve_memory()
            await self.await_slot(fair_queue.wait())
            if self.stream.closed():
                raise streams.StreamClosedError
            self._handle_next_request()
            self._on_body_progress()

    async def _process_rest(self) -> None:
        try:
            await self._process_input()
        except streams.StreamClosedError:
            self.close()
        except HttpError as error:
            self._reject_bad_request(error)

    def _accept_input(self, data: bytes) -> bytes:
        """Return the input that may be buffered behind a request in flight, and drop any input beyond it.

        Guards against missing a client's close behind bytes that are never read. Also guards against closing
        the connection with requests in flight or buffered: they are answered first, then the error is sent.
        """
        if self._input_overrun or self._writer.last_answer_begun:
            return b""
        if not self.busy:
            return data
        full = self._frontend.memory_budget.refuses_long_answers
        limit_bytes = MAX_HEAD_BYTES if full else MAX_INPUT_BYTES
        accepted = data[: max(0, limit_bytes - self._parser.buffered_bytes)]
        self._input_overrun = len(accepted) < len(data)
        return accepted

    def _handle_next_request(self) -> None:
        if self.busy or self._writer.last_answer_begun or self.stream.closed():
            return
        try:
            message = self._parser.next_message()
        finally:
            self._frontend.fair_queue.count(self._parser.steps)
        if message is None:
            if self._input_overrun:
                raise HttpError("too much input behind a request in flight")
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
        self._writer.write(encode_response(status, close=last), last=last)

    def _submit_request(self, message: HttpMessage) -> None:
        request = self._reader.read_request(message)
        self._count_memory()  # the request's own bytes count once it is in flight
        if self._frontend.memory_budget.refuses_requests:
            log.emit("front", "the memory for requests is used up: a new request was rejected")
            self._end_with_error(503)
            return
        if not streams.may_access_volume(self.stream, request.volume):
            raise HttpError("the client has no access right to this volume", 403)
        self._ids.claim(clock.now(), request)
        request.client_connected = self._client_present

        deadline_s = asyncio.get_running_loop().time() + request.remaining_ms / 1000

        def on_answer(answer: Answer) -> None:
            self._request_id = None
            self._request_bytes = 0
            self._count_memory()
            last = self._ends_connection(message)
            if self.stream.closed():
                answer.discard()
            elif answer.body_stream is not None:
                self._writer.pass_on(answer.body_stream, message, deadline_s, last=last)
            else:
                self._writer.write(encode_client_response(answer, close=last), last=last)

        self.never_requested = False
        self._request_bytes = request_bytes(request.body)
        self._request_id = self._submit(request, on_answer)

    def _on_body_progress(self) -> None:
        """Renew the time-out while a request's body arrives, and send 100 Continue if the client expects it.

        Guards against rejecting a body that arrives slowly but steadily: each part of it renews the time-out.
        A body that stops still times out.
        """
        if self._request_id is not None or not self._parser.receiving_body:
            return
        self._on_activity()
        if self._parser.expects_continue and not self._continue_sent:
            self._continue_sent = True
            sent = asyncio.ensure_future(self.stream.write(CONTINUE_RESPONSE))
            # A failed write is not an error here: the closed stream ends the connection anyway.
            sent.add_done_callback(lambda f: f.cancelled() or f.exception())

    def _client_present(self) -> bool:
        return not streams.peer_closed(self.stream)

    def _ends_connection(self, message: HttpMessage) -> bool:
        """Decide whether the answer to ``message`` closes its connection.

        Guards against losing, in a drain or a shutdown, pipelined requests that the client has already sent:
        they are answered first, and the last answer closes the connection. Bytes that have arrived but are
        not yet processed count as well: a close would drop those that were read and reset the connection for
        the rest.
        """
        if not message.keep_alive:
            return True
        if self._reading_stopped:
            return self._parser.idle
        if not (self._frontend.crowded or self._frontend.ends_connections):
            return False
        return self._parser.idle and not self.has_unread_input

    def _on_activity(self) -> None:
        """Renew the time-out of the connection's present state."""
        self.last_activity_s = asyncio.get_running_loop().time()

    def _on_answer_sent(self, last: bool) -> None:
        """Close the connection after its last answer, else handle the next request."""
        self._on_activity()
        if last:
            self.finish_sending()
        elif not self.stream.closed():
            self._continue_after_answer()

    def _on_answer_broken(self) -> None:
        """Close the connection, as a long answer ended within its body."""
        if not streams.peer_closed(self.stream):
            self.set_close_reason(CloseReason.BROKEN_ANSWER)
        self.close()

    def _continue_after_answer(self) -> None:
        try:
            self._handle_next_request()
        except HttpError as error:
            self._reject_bad_request(error)
            return
        if self._parser.paused and not self.busy:
            self._resumption = asyncio.get_running_loop().create_task(self._process_rest())

    def _count_memory(self) -> None:
        if not self.stream.closed():
            self._memory_use.set(self._parser.buffered_bytes + self._request_bytes)

    def _reject_bad_request(self, error: HttpError) -> None:
        """Close the connection after an error answer; at once if another request is being answered."""
        self.set_close_reason(CloseReason.BAD_REQUEST)
        log.emit("front", f"a client sent a bad request: {error}")
        self._end_with_error(error.status)

    def _end_with_error(self, status: int) -> None:
        if self.busy or self.stream.closed():
            self.close()
            return
        self._parser = HttpParser(header_names=REQUEST_HEADERS)  # releases the input, which is not used
        self._count_memory()
        self._writer.write(encode_response(status, close=True), last=True)
