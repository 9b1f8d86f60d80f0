"""A connection to a box that speaks the platform's HTTP/1.1."""

from __future__ import annotations

import asyncio

from sabledyke.core import AttemptResult, ClientRequest
from sabledyke.net import streams
from sabledyke.net.connection_pool import Address, BadPeer, Connect, plain
from sabledyke.policy.nodes import NodeId
from sabledyke.policy.settings import Settings
from sabledyke.protocol.gateway import MessageReader, encode_node_request
from sabledyke.protocol.http import MAX_BODY_BYTES, HttpError, HttpMessage, HttpParser


class HttpLink(streams.StreamLink):
    """See ``pool.Link``."""

    def __init__(self, host: str, stream: streams.Stream, reader: MessageReader, room: streams.Room) -> None:
        super().__init__(stream)
        self._host, self._reader, self._room = host, reader, room
        self._parser = HttpParser(responses=True)
        self._written: asyncio.Future[None] | None = None
        self.reusable = True

    @property
    def may_have_run(self) -> bool:
        """Whether its last byte has left: a write that is done tells so, one that failed never did."""
        return self._written is not None and self._written.done() and self._written.exception() is None

    async def exchange(self, work: ClientRequest, timeout: float) -> AttemptResult:
        """See ``pool.Link``."""
        self.reusable = False
        self._written = None
        self._written = asyncio.ensure_future(
            self.stream.write(encode_node_request(work, self._host, timeout))
        )
        try:
            answer = await self._answer()
        except HttpError as fault:
            raise BadPeer(str(fault)) from None
        self.reusable = answer.keep_alive and self.may_have_run and self._parser.idle
        return self._reader.read_node_response(answer)

    async def _answer(self) -> HttpMessage:
        held = 0
        try:
            while True:
                try:
                    data = await self.inbox.read()
                except streams.StreamClosedError as end:
                    # Guards against taking a cut answer for a whole one: only an orderly end closes a body
                    # that states no length; a reset or a fault broke it off, and it may have run.
                    whole = self._parser.on_end_of_stream() if end.real_error is None else None
                    if whole is None:
                        raise
                    return whole
                self._parser.feed(data)
                answer = self._parser.next_message()
                if answer is not None:
                    return answer
                self._room.used += self._parser.buffered_bytes - held
                held = self._parser.buffered_bytes
                if self._room.full and held > MAX_BODY_BYTES:  # what is small always fits
                    raise HttpError("no room for so large an answer")
        finally:
            self._room.used -= held


class HttpDialer:
    """Opens such connections."""

    def __init__(
        self, settings: Settings, reader: MessageReader, room: streams.Room, connect: Connect = plain
    ) -> None:
        self.settings, self._reader, self._room, self._connect = settings, reader, room, connect

    async def dial(self, node: NodeId, address: Address, patience: float) -> HttpLink:
        """See ``pool.Dial``."""
        stream = await self._connect(node, address, self.settings.connect_timeout_ms, patience)
        return HttpLink(f"{address[0]}:{address[1]}", stream, self._reader, self._room)
