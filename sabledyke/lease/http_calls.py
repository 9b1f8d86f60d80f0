"""One POST over Tornado's client, which whoever waits for it may give up at any time."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPResponse


async def post(
    client: AsyncHTTPClient, url: str, body: bytes, patience: float, headers: Mapping[str, str] | None = None
) -> HTTPResponse:
    """The answer with status 200, or Tornado's HTTPError; ``patience`` in seconds is for all of it."""
    future = client.fetch(
        url,
        method="POST",
        body=body,
        headers=dict(headers or {}),
        connect_timeout=patience,
        request_timeout=patience,
    )
    future.add_done_callback(_heard)
    return await asyncio.shield(future)  # given up, it ends by its own time-out, with nobody to tell


def _heard(future: asyncio.Future[Any]) -> None:
    if not future.cancelled():
        future.exception()
