"""HTTP POST requests over Tornado's client that the caller may cancel at any time."""

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
        client: Client that sends the request.
        url: URL of the request.
        body: Body of the request.
        timeout_s: Limit in seconds for connecting, and for the whole call.
        headers: Additional headers of the request.

    Returns:
        The response; its status is 200.

    Raises:
        HTTPError: The status is not 200, or no response arrived; Tornado's own type.
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
    # If the caller is cancelled, the call continues in the background until it ends or times out.
    return await asyncio.shield(future)


def _retrieve_exception(future: asyncio.Future[Any]) -> None:
    """Mark the exception as retrieved; asyncio logs exceptions that are never retrieved."""
    if not future.cancelled():
        future.exception()
