"""One HTTP POST over Tornado's client, which the caller may cancel at any time."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPResponse


async def post(
    client: AsyncHTTPClient, url: str, body: bytes, timeout_s: float, headers: Mapping[str, str] | None = None
) -> HTTPResponse:
    """Send a POST request.

    Args:
        client: The client to send it with.
        url: Where it is sent.
        body: The body of the request.
        timeout_s: The limit for connecting, and for the whole call.
        headers: Further headers of the request.

    Returns:
        The response, of status 200.

    Raises:
        HTTPError: Any other status, or no response; Tornado's own type.
    """
    future = client.fetch(
        url,
        method="POST",
        body=body,
        headers=dict(headers or {}),
        connect_timeout=timeout_s,
        request_timeout=timeout_s,
    )
    future.add_done_callback(_retrieve_exception)
    # When the caller is cancelled, the call ends by its own timeout, and nobody waits for it.
    return await asyncio.shield(future)


def _retrieve_exception(future: asyncio.Future[Any]) -> None:
    """Mark the exception as retrieved, as asyncio logs those that nobody has looked at."""
    if not future.cancelled():
        future.exception()
