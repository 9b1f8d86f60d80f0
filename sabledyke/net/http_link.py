"""Connections to storage nodes that speak the platform's HTTP/1.1."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from http import HTTPStatus

from sabledyke.core import AttemptResult, ClientRequest
from sabledyke.net import streams
from sabledyke.net.fair_queue import FairQueue
from sabledyke.net.http_body_stream import HttpBodyStream
from sabledyke.net.http_responses import complete_at_end
from sabledyke.net.link import Connect, PeerProtocolError, connect_plain
from sabledyke.net.memory_budget import MemoryBudget, MemoryUse
from sabledyke.policy.nodes import NodeId
from sabledyke.policy.settings import Settings
from sabledyke.protocol.discovery import Address
from sabledyke.protocol.gateway import MessageReader, encode_node_request
from sabledyke.protocol.http import (
    MAX_BODY_BYTES,
    MAX_STREAMED_BODY_BYTES,
    HttpError,
    HttpMessage,
    HttpParser,
)
from sabledyke.protocol.platform_names import RESPONSE_HEADERS


class HttpLink(streams.StreamLink):
    """HTTP connection to a storage node that carries one request at a time."""

    def __init__(
        self,
        host: str,
        stream: streams.Stream,
        reader: MessageReader,
        memory_budget: MemoryBudget,
        fair_queue: FairQueue,
    ) -> None:
        super().__init__(stream)
        self.reusable = True
        self._host = host
        self._reader = reader
        self._memory_budget = memory_budget
        self._fair_queue = fair_queue
        self._parser = HttpParser(
            responses=True, header_names=RESPONSE_HEADERS, max_body_bytes=MAX_STREAMED_BODY_BYTES
        )
        self._written: asyncio.Future[None] | None = None
        self._passes_on_begun = False  # the response that has begun ends the exchange

    @property
    def may_have_run(self) -> bool:
        """True if the request's last byte was sent, which a failed write has not done."""
        return self._written is not None and self._written.done() and self._written.exception() is None

    @property
    def begun_answer_bytes(self) -> int | None:
        """Bytes received of the body of an answer that has begun and is not complete; None without one."""
        return self._parser.buffered_bytes if self._parser.receiving_body else None

    def pass_on_begun_answer(self) -> bool:
        """End the exchange in progress with the response that has begun, if that may be a long one."""
        head = self._parser.incomplete_message
        if head is None or head.status != HTTPStatus.OK:
            return False
        body_bytes = self._parser.missing_body_bytes
        if body_bytes is not None and body_bytes <= MAX_BODY_BYTES:
            return False
        self._passes_on_begun = True
        self.read_ahead.interrupt()
        return True

    async def exchange(self, request: ClientRequest, timeout: float) -> AttemptResult:
        """Send a request to the node and return the result of its response.

        The body of a long response is still arriving then: the result has a ``body_stream``, which needs the
        connection until it ends.
        """
        self.reusable = False
        self._passes_on_begun = False
        self._written = None
        self._written = asyncio.ensure_future(
            self.stream.write(encode_node_request(request, self._host, timeout))
        )
        use = MemoryUse(self._memory_budget)
        try:
            answer = await self._read_response(use)
        except HttpError as error:
            use.set(0)
            raise PeerProtocolError(str(error)) from None
        except BaseException:
            use.set(0)
            raise
        result = self._reader.read_node_response(answer)
        if answer.status == HTTPStatus.OK and answer is self._parser.incomplete_message:
            return replace(result, body_stream=self._make_body_stream(use))
        use.set(0)
        self.reusable = answer.keep_alive and self.may_have_run and self._parser.idle
        return result

    async def _read_response(self, use: MemoryUse) -> HttpMessage:
        """Return the response, without its body if that is long; count the bytes that it buffers."""
        while True:
            try:
                self._parser.feed(await self.read_ahead.read())
            except streams.StreamClosedError as end:
                return complete_at_end(self._parser, end, closed_locally=self.closed_locally)
            except streams.ReadInterruptedError:
                pass  # no further bytes have arrived
            answer = await self._fair_queue.next_message(self._parser)
            if answer is not None:
                return answer
            use.set(self._parser.buffered_bytes)
            head = self._parser.incomplete_message
            if head is not None and (self._passes_on_begun or self._is_long()):
                if self._memory_budget.refuses_long_answers:
                    raise HttpError("the answer exceeds the memory left for answers")
                return head

    def _is_long(self) -> bool:
        """Return whether the response's body has begun and has, or will have, over ``MAX_BODY_BYTES``."""
        received_bytes = self._parser.buffered_bytes
        missing_bytes = self._parser.missing_body_bytes
        if missing_bytes is not None:
            return missing_bytes > MAX_BODY_BYTES and received_bytes > 0
        return received_bytes > MAX_BODY_BYTES

    def _make_body_stream(self, use: MemoryUse) -> HttpBodyStream:
        return HttpBodyStream(
            self._parser, self.read_ahead.read, self._fair_queue, use, lambda: self.closed_locally
        )


class HttpDialer:
    """Opens HTTP connections to storage nodes.

    Attributes:
        settings: The settings in force.
    """

    def __init__(
        self,
        settings: Settings,
        reader: MessageReader,
        memory_budget: MemoryBudget,
        connect: Connect = connect_plain,
    ) -> None:
        self.settings = settings
        self._reader = reader
        self._memory_budget = memory_budget
        self._connect = connect
        self._fair_queue = FairQueue()

    async def dial(self, node: NodeId, address: Address, timeout_ms: float) -> HttpLink:
        """Connect to a storage node and return the HTTP link."""
        stream = await self._connect(node, address, self.settings.connect_timeout_ms, timeout_ms)
        host = f"{address.host}:{address.port}"
        return HttpLink(host, stream, self._reader, self._memory_budget, self._fair_queue)
