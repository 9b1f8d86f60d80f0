"""A stand-in for discovery, which serves the endpoint list."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from tests.standins.http_messages import http, read_http
from tests.standins.service import FOREVER_S, Reader, Service, Writer


class Discovery(Service):
    """Answers the first call with the complete list, then calls from ``script``, and no further calls.

    Attributes:
        hosts: The entries of the complete list.
        calls: Request lines of all calls.
        script: One entry for each call after the first: a list or bytes to answer with, None to abort the
            connection, a bytearray to write unchanged and then leave the call unanswered.
        indent: The JSON indentation of scripted lists; None for compact JSON.
        on_silence: Called when a scripted call stays unanswered after its bytearray.
    """

    def __init__(self) -> None:
        super().__init__()
        self.hosts: list[dict[str, Any]] = []
        self.calls: list[str] = []
        self.script: list[dict[str, Any] | bytes | None] = []
        self.indent: int | None = None
        self.on_silence: Callable[[], None] = lambda: None

    def add(self, name: str, port: int, shard: int) -> None:
        """Add a storage node to the list."""
        self.hosts.append(
            {
                "host": name,
                "dial": f"127.0.0.1:{port}",
                "site": "a",
                "class": "m",
                "block": shard,
                "health": "ready",
                "share": 1.0,
                "born_ms": 0,
            }
        )

    def listing(self) -> dict[str, Any]:
        """Return the complete list as it is served."""
        return {"seq": 1, "whole": True, "hosts": self.hosts}

    async def serve_connection(self, reader: Reader, writer: Writer) -> None:
        while True:
            first_line, _, _ = await read_http(reader)
            self.calls.append(first_line)
            if len(self.calls) == 1:
                writer.write(http(200, json.dumps(self.listing()).encode()))
            elif self.script:
                scripted = self.script.pop(0)
                if scripted is None:
                    writer.transport.abort()
                    return
                await self._answer(writer, scripted)
            else:
                await asyncio.sleep(FOREVER_S)
                writer.write(http(200, json.dumps(self.listing()).encode()))

    async def _answer(self, writer: Writer, scripted: dict[str, Any] | bytes) -> None:
        if isinstance(scripted, bytearray):
            writer.write(bytes(scripted))
            self.on_silence()
            await asyncio.sleep(FOREVER_S)
        body = json.dumps(scripted, indent=self.indent).encode() if isinstance(scripted, dict) else scripted
        writer.write(http(200, body))
