"""A stand-in for a storage node with HTTP."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from tests.standins.http_messages import http, read_http
from tests.standins.service import Reader, Service, Writer


class HttpNode(Service):
    """Echoes the body of each request, or responds with the result of ``answer``.

    Attributes:
        seen: First line, headers and body of each received request.
        answer: Returns the response, or None to close the connection without a response.
    """

    def __init__(self) -> None:
        super().__init__()
        self.seen: list[tuple[str, dict[str, str], bytes]] = []
        self.answer: Callable[[Writer], Awaitable[bytes | None]] | None = None

    async def serve_connection(self, reader: Reader, writer: Writer) -> None:
        while True:
            first_line, headers, body = await read_http(reader)
            self.seen.append((first_line, headers, body))
            response = http(200, body) if self.answer is None else await self.answer(writer)
            if response is None:
                return
            writer.write(response)
