"""A connection to a box that speaks the platform's HTTP/1.1."""

from __future__ import annotations

import asyncio

from sabledyke.core import Ended, Work
from sabledyke.net import streams
from sabledyke.net.connection_pool import Address, Connect, PeerProtocolError, connect_plain
from sabledyke.policy import interface as api
from sabledyke.protocol.gateway import Reader, to_box
from sabledyke.protocol.http import MAX_BODY, HttpError, Message, Parser


class HttpLink(streams.StreamLink):
    """See ``pool.Link``."""

    def __init__(
        self, host: str, stream: streams.Stream, reader: Reader, room: streams.ResponseMemory
    ) -> None:
        super().__init__(stream)
        self._host, self._reader, self._response_memory = host, reader, room
        self._parser = Parser(responses=True)
        self._written: asyncio.Future[None] | None = None
        self.reusable = True

    @property
    def may_have_run(self) -> bool:
        """Whether its last byte has left: a write that is done tells so, one that failed never did."""
        return self._written is not None and self._written.done() and self._written.exception() is None

    async def exchange(self, work: Work, timeout: float) -> Ended:
        """See ``pool.Link``."""
        self.reusable = False
        self._written = None
        self._written = asyncio.ensure_future(self.stream.write(to_box(work, self._host, timeout)))
        try:
            answer = await self._read_response()
        except HttpError as fault:
            raise PeerProtocolError(str(fault)) from None
        self.reusable = answer.keep_alive and self.may_have_run and self._parser.idle
        return self._reader.ended(answer)

    async def _read_response(self) -> Message:
        held = 0
        try:
            while True:
                try:
                    data = await self.read_ahead.read()
                except streams.StreamClosedError as end:
                    # Guards against taking a cut answer for a whole one: only an orderly end closes a body
                    # that states no length; a reset or a fault broke it off, and it may have run.
                    whole = self._parser.end() if end.real_error is None else None
                    if whole is None:
                        raise
                    return whole
                self._parser.feed(data)
                answer = self._parser.next()
                if answer is not None:
                    return answer
                self._response_memory.used_bytes += self._parser.held - held
                held = self._parser.held
                if self._response_memory.full and held > MAX_BODY:  # what is small always fits
                    raise HttpError("no room for so large an answer")
        finally:
            self._response_memory.used_bytes -= held


class HttpDialer:
    """Opens such connections."""

    def __init__(
        self,
        settings: api.Settings,
        reader: Reader,
        room: streams.ResponseMemory,
        connect: Connect = connect_plain,
    ) -> None:
        self.settings, self._reader, self._response_memory, self._connect = settings, reader, room, connect

    async def dial(self, node: api.NodeId, address: Address, patience: float) -> HttpLink:
        """See ``pool.Dial``."""
        stream = await self._connect(node, address, self.settings.connect_timeout, patience)
        return HttpLink(f"{address[0]}:{address[1]}", stream, self._reader, self._response_memory)
